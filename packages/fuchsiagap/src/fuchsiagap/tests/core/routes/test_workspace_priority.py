from testtools import TestCase

from fuchsiagap.core.routes.workspace_priority import apply_workspace_priority
from fuchsiagap_standins.mesh.deployment import a_route


class TestWorkspacePriority(TestCase):
    def test_workspace_priority_precedes_route_priority(self):
        order = [(0, 0), (0, 5), (1, 0), (1, 2), (1, 99), (2, 0)]
        priorities = [
            apply_workspace_priority(a_route("r", priority=route), workspace).priority
            for workspace, route in order
        ]
        self.assertEqual(sorted(set(priorities)), priorities)

    def test_route_priority_is_used_if_the_workspace_has_none(self):
        route = a_route("r", priority=3)
        self.assertEqual(
            apply_workspace_priority(route, 3), apply_workspace_priority(route, None)
        )

    def test_kind_differs_by_workspace_priority(self):
        route = a_route("r")
        self.assertEqual("r", route.kind)
        self.assertEqual(
            3,
            len(
                {route.kind, *(apply_workspace_priority(route, p).kind for p in (0, 1))}
            ),
        )
