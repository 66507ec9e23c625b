from testtools import TestCase

from fuchsiagap.core.workspaces.ownership import candidates, granted_share, owner_of

NODES = tuple(f"n{number}" for number in range(40))


class TestOwnership(TestCase):
    def test_candidates_do_not_depend_on_the_order_of_nodes(self):
        for workspace in ("a", "b", "c"):
            order = candidates(workspace, NODES)
            self.assertEqual(order, candidates(workspace, reversed(NODES)))

    def test_workspaces_are_spread_over_nodes(self):
        owners = {candidates(f"w{n}", NODES)[0] for n in range(200)}
        self.assertGreater(len(owners), 30)

    def test_removed_node_changes_only_its_own_workspaces(self):
        removed = NODES[7]
        rest = [node for node in NODES if node != removed]
        for n in range(100):
            before = candidates(f"w{n}", NODES)
            after = candidates(f"w{n}", rest)
            self.assertEqual([x for x in before if x != removed][:4], list(after[:4]))

    def test_next_candidate_owns_if_the_first_is_down(self):
        order = candidates("a", NODES)
        self.assertEqual(order[1], owner_of(order, lambda node: node != order[0]))
        self.assertIsNone(owner_of(order, lambda node: False))

    def test_sides_of_a_partition_never_exceed_the_quota(self):
        data_centres = {"a", "b", "c"}
        whole = granted_share("a", data_centres, data_centres, reaches_own=True)
        self.assertEqual(1.0, whole)
        alone = granted_share("a", data_centres, {"a"}, reaches_own=True)
        others = granted_share("b", data_centres, {"b", "c"}, reaches_own=True)
        self.assertAlmostEqual(1.0, alone + others)

    def test_isolated_node_grants_nothing(self):
        self.assertEqual(0.0, granted_share("a", {"a", "b"}, (), reaches_own=False))

    def test_single_node_grants_the_whole_quota(self):
        self.assertEqual(1.0, granted_share("a", (), (), reaches_own=True))
