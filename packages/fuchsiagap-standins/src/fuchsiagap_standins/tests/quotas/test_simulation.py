"""Quota algorithm of the nodes, compared with an exact token bucket."""

from dataclasses import replace

from testtools import TestCase

from fuchsiagap_standins.quotas.algorithms import EqualShares, OwnerTokens
from fuchsiagap_standins.quotas.scenario import Scenario
from fuchsiagap_standins.quotas.simulation import simulate

SMALL = Scenario("small", 24, n_workspaces=20, rate=400.0, length=15_000.0)
SEEDS = range(4)


class TestSimulation(TestCase):
    def test_few_requests_within_quota_are_refused_without_faults(self):
        for seed in SEEDS:
            found = simulate(SMALL, OwnerTokens, seed)
            self.assertLess(found.refused, 0.0005, seed)

    def test_quota_holds_whatever_happens(self):
        for changes in (
            {"hot_factor": 7.5},
            {"hot_factor": 7.5, "moves": True},
            {"hot_factor": 7.5, "kills": True},
            {"hot_factor": 7.5, "partitions": True},
        ):
            for seed in SEEDS:
                found = simulate(replace(SMALL, **changes), OwnerTokens, seed)
                self.assertLessEqual(found.overrun, 1.0, (changes, seed))

    def test_equal_shares_refuse_requests_within_quota(self):
        self.assertGreater(simulate(SMALL, EqualShares, 1).refused, 0.1)
