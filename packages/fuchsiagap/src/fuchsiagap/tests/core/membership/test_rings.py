from testtools import TestCase

from fuchsiagap.core.membership.changes import ChangeLog
from fuchsiagap.core.membership.rings import Rings


class TestRings(TestCase):
    def setUp(self):
        super().setUp()
        self.rings = Rings(3)
        self.nodes = [f"certs-{i}" for i in range(40)]
        for node in self.nodes:
            self.rings.add("hall-a", node)

    def test_each_ring_has_a_different_order_of_all_nodes(self):
        orders = [list(self.rings.after("hall-a", r, "certs-0")) for r in range(3)]
        for order in orders:
            self.assertEqual(sorted([*order, "certs-0"]), sorted(self.nodes))
        self.assertEqual(len({order[0] for order in orders}), 3)

    def test_before_is_the_inverse_of_after(self):
        for node in self.nodes:
            after = next(self.rings.after("hall-a", 1, node))
            self.assertEqual(next(self.rings.before("hall-a", 1, after)), node)

    def test_node_of_another_data_centre_has_a_stable_position(self):
        first = list(self.rings.after("hall-a", 0, "panels-1"))
        self.rings.remove("hall-a", first[0])
        self.assertEqual(list(self.rings.after("hall-a", 0, "panels-1")), first[1:])

    def test_data_centre_without_nodes_is_removed(self):
        for node in self.nodes:
            self.rings.remove("hall-a", node)
        self.assertEqual(self.rings.data_centres, ())
        self.assertEqual(list(self.rings.after("hall-a", 0, "certs-0")), [])


class TestChangeLog(TestCase):
    def test_only_the_last_change_of_a_member_is_returned(self):
        log = ChangeLog()
        for node in ("a", "b", "a"):
            log.add(node, source="")
        self.assertEqual([c.node for c in log.after(0)], ["b", "a"])
        self.assertEqual([c.node for c in log.after(2)], ["a"])

    def test_length_is_bounded_by_the_number_of_members(self):
        log = ChangeLog()
        for i in range(10_000):
            log.add(f"certs-{i % 10}", source="")
        self.assertLess(len(log._changes), 100)
        self.assertEqual(len(log.after(0)), 10)
