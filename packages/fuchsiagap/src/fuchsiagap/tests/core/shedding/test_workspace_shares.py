"""Shares of workspaces in what an entry node admits of a kind."""

import math
import random
from bisect import bisect
from collections import Counter
from itertools import accumulate

from testtools import TestCase

from fuchsiagap.core.shedding.fair_admission import CallerCredit, FairAdmission
from fuchsiagap.core.shedding.workspace_shares import (
    IDLE_MS,
    MAX_WORKSPACES,
    Demand,
    WorkspaceShares,
    max_min_level,
)
from fuchsiagap.core.workspaces.model import Workspace

# Usual requests per second of 75 workspaces whose sizes follow a Zipf distribution.
USUAL = [268.0 * n**-1.2 / 3.486 for n in range(1, 76)]
N_NODES = 65
BURST_AT_MS, END_MS = 15_000.0, 55_000.0


def served_shares(capacity, bursting, n_nodes=20, seed=1):
    """Return the admitted share of each workspace while one sends 7.5 times its rate.

    Also returns the admitted requests as a part of those that the share of the kind
    allows. The share follows the total demand with a delay of 1.2 s. `bursting` is the
    index of the workspace; None for none. Each node gets a 65th of the load.
    """
    workspaces = [Workspace(f"w-{n}", rate=1.6 * r) for n, r in enumerate(USUAL)]
    usual = list(accumulate(USUAL))
    surge = list(
        accumulate(r * (7.5 if n == bursting else 1.0) for n, r in enumerate(USUAL))
    )
    sent, admitted, allowed = Counter(), Counter(), 0.0
    for node in range(n_nodes):
        rng = random.Random(1_000 * seed + node)
        admission, shares = FairAdmission(rng), WorkspaceShares()
        now, smoothed = 0.0, sum(USUAL)
        while now < END_MS:
            rates = usual if now < BURST_AT_MS else surge
            elapsed = rng.expovariate(rates[-1] / N_NODES / 1_000.0)
            now += elapsed
            smoothed += (rates[-1] - smoothed) * -math.expm1(-elapsed / 1_200.0)
            share = min(1.0, capacity / smoothed)
            name = bisect(rates, rng.random() * rates[-1])
            own = shares.share_for("read", workspaces[name], share, now)
            is_admitted = admission.admits(
                "read", own.share, CallerCredit(), own.credit
            )
            if now >= BURST_AT_MS:
                sent[name] += 1
                admitted[name] += is_admitted
                allowed += share
    return sent, admitted, admitted.total() / allowed


def others_share(sent, admitted, bursting):
    """Return the admitted share of all workspaces but one."""
    n_sent = sent.total() - sent[bursting]
    return (admitted.total() - admitted[bursting]) / n_sent


class TestMaxMinLevel(TestCase):
    def test_unused_parts_go_to_workspaces_that_need_more(self):
        demands = [Demand(1.0, 1.0), Demand(9.0, 1.0), Demand(9.0, 2.0)]
        self.assertEqual(3.0, max_min_level(demands, 10.0))
        self.assertEqual(math.inf, max_min_level(demands, 19.0))
        self.assertEqual(0.0, max_min_level(demands, -1.0))


class TestWorkspaceShares(TestCase):
    def test_surge_of_one_workspace_costs_the_others_two_hundredths_at_most(self):
        # The demand without the surge is 1.3 and 0.8 of the capacity. With one share
        # for all, the others get 0.28 and 0.44 in place of 0.77 and 1. The bound is the
        # goal of the design; the overshoot is that of the first seconds.
        for demand, surges in ((1.3, (0, 4)), (0.8, (0,))):
            capacity = sum(USUAL) / demand
            without, admitted_without, _ = served_shares(capacity, None)
            for bursting in surges:
                before = others_share(without, admitted_without, bursting)
                sent, admitted, overshoot = served_shares(capacity, bursting)
                after = others_share(sent, admitted, bursting)
                self.assertGreater(after, before - 0.02, (demand, bursting))
                self.assertLess(overshoot, 1.03, (demand, bursting))
                own_share = admitted[bursting] / sent[bursting]
                self.assertLess(own_share, 0.3 * after, (demand, bursting))

    def test_one_workspace_alone_has_the_share_of_the_kind(self):
        shares, one = WorkspaceShares(), Workspace("one", rate=5.0)
        own = [shares.share_for("read", one, 0.4, 50.0 * n).share for n in range(1_000)]
        self.assertAlmostEqual(0.4, sum(own) / len(own), delta=0.01)

    def test_workspaces_have_the_same_share_if_each_uses_as_much_of_its_quota(self):
        shares = WorkspaceShares()
        large, small = Workspace("large", rate=30.0), Workspace("small", rate=10.0)
        own = Counter()
        for n in range(4_000):
            workspace = small if n % 4 == 0 else large
            share = shares.share_for("read", workspace, 0.5, 25.0 * n).share
            own[workspace.name] += share / (1_000 if workspace is small else 3_000)
        self.assertAlmostEqual(own["large"], own["small"], delta=0.06)

    def test_low_share_is_kept_beside_a_high_one_and_callers_stay_equal(self):
        # With new connections, a workspace with a low share would be admitted on the
        # credit that the other one adds to the kind.
        for keeps_connection in (True, False):
            admission = FairAdmission(random.Random(3))
            caller_credits = [CallerCredit() for _ in range(8)]
            workspace_credits = CallerCredit(), CallerCredit()
            n_admitted = [0] * 8
            for n in range(8_000):
                caller = n % 8
                credit = caller_credits[caller] if keeps_connection else CallerCredit()
                n_admitted[caller] += admission.admits(
                    "read", (0.1, 0.8)[n % 2], credit, workspace_credits[n % 2]
                )
            self.assertAlmostEqual(400, sum(n_admitted[::2]), delta=20)
            self.assertAlmostEqual(3_200, sum(n_admitted[1::2]), delta=20)
            tolerance = 10 if keeps_connection else 50
            for low, high in zip(n_admitted[::2], n_admitted[1::2], strict=True):
                self.assertAlmostEqual(100, low, delta=tolerance)
                self.assertAlmostEqual(800, high, delta=tolerance)

    def test_records_are_bounded_and_idle_workspaces_forgotten(self):
        shares = WorkspaceShares()
        for n in range(MAX_WORKSPACES + 50):
            shares.share_for("read", Workspace(f"w-{n}"), 0.5, 0.0)
        self.assertEqual(MAX_WORKSPACES, len(shares.busiest(10_000, 0.0)))
        shares.tick(IDLE_MS + 1.0)
        self.assertEqual([], shares.busiest(10_000, IDLE_MS + 1.0))

    def test_change_is_reported_once_when_shares_differ_and_once_when_they_cease(self):
        shares, changes = WorkspaceShares(), []
        shares.on_change = changes.append
        # Half of the requests are of one of six workspaces with equal quotas, so its
        # fair share is a third of that of all.
        for n in range(1_000):
            now = 20.0 * n
            share = 0.5 if n < 500 else 1.0
            name = "many" if n % 2 else f"few-{n // 2 % 5}"
            shares.share_for("read", Workspace(name, rate=10.0), share, now)
            if n % 50 == 0:
                shares.tick(now)
        began, ceased = changes
        self.assertEqual((True, "many"), (began.differs, began.lowest))
        self.assertLess(began.lowest_share, 0.34)
        self.assertFalse(ceased.differs)
