from testtools import TestCase

from fuchsiagap.core.workspaces.ownership import candidates, granted_share, owner_of

NODES = tuple(f"n{number}" for number in range(40))


class TestOwnership(TestCase):
    def test_all_nodes_agree_whatever_order_they_know_each_other_in(self):
        for workspace in ("a", "b", "c"):
            order = candidates(workspace, NODES)
            self.assertEqual(order, candidates(workspace, reversed(NODES)))

    def test_workspaces_are_spread(self):
        owners = {candidates(f"w{n}", NODES)[0] for n in range(200)}
        self.assertGreater(len(owners), 30)

    def test_node_that_goes_changes_only_what_it_owned(self):
        gone = NODES[7]
        rest = [node for node in NODES if node != gone]
        for n in range(100):
            before = candidates(f"w{n}", NODES)
            after = candidates(f"w{n}", rest)
            self.assertEqual([x for x in before if x != gone][:4], list(after[:4]))

    def test_next_one_owns_where_the_first_is_down(self):
        order = candidates("a", NODES)
        self.assertEqual(order[1], owner_of(order, lambda node: node != order[0]))
        self.assertIsNone(owner_of(order, lambda node: False))

    def test_parts_of_all_sides_of_a_partition_are_never_above_the_whole(self):
        places = {"a", "b", "c"}
        whole = granted_share("a", places, places, reaches_own=True)
        self.assertEqual(1.0, whole)
        alone = granted_share("a", places, {"a"}, reaches_own=True)
        others = granted_share("b", places, {"b", "c"}, reaches_own=True)
        self.assertAlmostEqual(1.0, alone + others)

    def test_node_that_hears_nobody_hands_out_nothing(self):
        self.assertEqual(0.0, granted_share("a", {"a", "b"}, (), reaches_own=False))

    def test_only_node_of_all_hands_out_the_whole(self):
        self.assertEqual(1.0, granted_share("a", (), (), reaches_own=True))
