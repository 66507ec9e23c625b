from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.retries.shares import BudgetShare, SharedBudget

CFG = SharedBudget(0.2, 48.0, 10_000.0)


class TestBudgetShare(TestCase):
    def setUp(self):
        super().setUp()
        self.at = 0.0
        self.clock = Clock(now=lambda: self.at, wall=lambda: 0.0)

    def spent(self, share, nodes, with_calls=False):
        """Return how many repeats a share pays for."""
        n = 0
        while share.spend(nodes, with_calls):
            n += 1
        return n

    def test_all_nodes_together_stay_within_the_budget(self):
        nodes = 14
        total = 0
        for _ in range(nodes):
            share = BudgetShare(CFG, self.clock)
            for _ in range(100):
                share.earn()
            total += self.spent(share, nodes)
        self.assertGreater(total, 0)
        self.assertLessEqual(total, 0.2 * 100 * nodes + 48.0)

    def test_requests_that_make_calls_are_repeated_less(self):
        shares = [BudgetShare(CFG, self.clock) for _ in range(2)]
        for share in shares:
            for _ in range(200):
                share.earn()
        plain = self.spent(shares[0], 4)
        self.assertLess(self.spent(shares[1], 4, with_calls=True), plain / 2)

    def test_less_urgent_requests_leave_a_part_to_those_that_matter_more(self):
        share = BudgetShare(CFG, self.clock)
        for _ in range(1_000):
            share.earn()
        less_urgent = 0
        while share.spend(14, False, rank=2):
            less_urgent += 1
        urgent = self.spent(share, 14)
        self.assertGreater(less_urgent, 0)
        self.assertGreaterEqual(urgent, less_urgent / 2)

    def test_inherited_repeats_use_the_share_up(self):
        share = BudgetShare(CFG, self.clock)
        for _ in range(100):
            share.earn()
            share.charge()
        self.assertFalse(share.spend(14, False))

    def test_no_window_of_any_phase_holds_more_than_the_share(self):
        share = BudgetShare(CFG, self.clock)
        spent = []
        for step in range(400):
            self.at = step * 100.0
            share.earn()
            if share.spend(14, False):
                spent.append(self.at)
        for start in range(0, 30_000, 700):
            within = [at for at in spent if start <= at < start + 10_000.0]
            self.assertLessEqual(len(within), 0.2 * 100 + 48.0 / 14)
