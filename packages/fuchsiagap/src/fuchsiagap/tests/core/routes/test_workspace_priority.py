from testtools import TestCase

from fuchsiagap.core.routes.workspace_priority import apply_workspace_priority
from fuchsiagap_standins.mesh.deployment import a_route


class TestWorkspacePriority(TestCase):
    def test_priority_of_the_workspace_first_then_that_of_the_route(self):
        order = [(0, 0), (0, 5), (1, 0), (1, 2), (1, 99), (2, 0)]
        ranks = [
            apply_workspace_priority(a_route("r", priority=route), workspace).priority
            for workspace, route in order
        ]
        self.assertEqual(sorted(set(ranks)), ranks)

    def test_route_stands_in_where_the_workspace_has_no_priority(self):
        route = a_route("r", priority=3)
        self.assertEqual(
            apply_workspace_priority(route, 3), apply_workspace_priority(route, None)
        )

    def test_kinds_of_two_priorities_are_told_apart(self):
        route = a_route("r")
        self.assertEqual("r", route.kind)
        self.assertEqual(
            3,
            len(
                {route.kind, *(apply_workspace_priority(route, p).kind for p in (0, 1))}
            ),
        )
