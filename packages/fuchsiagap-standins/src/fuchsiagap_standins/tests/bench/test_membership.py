from testtools import TestCase

from fuchsiagap_standins.bench.membership.fleet import measure_fleet
from fuchsiagap_standins.bench.membership.view import measure_view


class TestMembershipBench(TestCase):
    def test_small_fleet_meets_the_bounds(self):
        figures = measure_fleet(8, 2, seed=3)
        self.assertLess(figures.vanish_ms_max, 3_000)
        self.assertLess(figures.heal_ms, 5_000)
        self.assertLess(figures.bytes_per_s_max, 30_000)

    def test_same_seed_gives_same_traffic(self):
        one, other = (measure_fleet(4, 2, seed=4) for _ in range(2))
        self.assertEqual(one.messages_per_s, other.messages_per_s)
        self.assertEqual(one.vanish_ms_median, other.vanish_ms_median)

    def test_view_counts_every_member(self):
        figures = measure_view(300, seed=1)
        self.assertEqual(300, figures.members)
        self.assertLess(figures.bytes_per_member, 10_000)
