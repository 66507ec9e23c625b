"""Fairness between callers while only a share of their requests is admitted."""

import random
import statistics

from testtools import TestCase

from fuchsiagap.core.shedding.fair_admission import CallerCredit, FairAdmission

N_REQUESTS = 200


def run_rounds(n_callers, share, seed, keeps_connection=True, n_rounds=N_REQUESTS):
    """Return the admitted requests of each caller, and all decisions in order.

    The callers send requests in a fixed rotation. The credit of a caller that does not
    keep its connection is lost after each request.
    """
    shares = FairAdmission(random.Random(seed))
    caller_credits = [CallerCredit() for _ in range(n_callers)]
    n_admitted = [0] * n_callers
    decisions = []
    for _ in range(n_rounds):
        for number in range(n_callers):
            credit = caller_credits[number] if keeps_connection else CallerCredit()
            admitted = shares.admits("read", share, credit)
            n_admitted[number] += admitted
            decisions.append(admitted)
    return n_admitted, decisions


class TestFairAdmission(TestCase):
    def test_callers_in_steady_rotation_each_get_their_share(self):
        for n_callers in (2, 3, 5, 10):
            for share in (0.5, 0.3, 0.2, 0.1):
                n_admitted, _ = run_rounds(n_callers, share, seed=n_callers)
                expected = share * N_REQUESTS
                self.assertGreater(min(n_admitted), 0.9 * expected, (n_callers, share))
                self.assertLess(max(n_admitted), 1.1 * expected, (n_callers, share))

    def test_callers_with_a_new_connection_each_time_get_their_share(self):
        # They have no credit, so each request is in effect an independent draw, and the
        # admissions of a caller lie within four standard deviations of its share.
        for n_callers in (2, 3, 5, 10):
            for share in (0.5, 0.3, 0.2, 0.1):
                n_admitted, _ = run_rounds(
                    n_callers, share, n_callers, keeps_connection=False
                )
                tolerance = 4.0 * (N_REQUESTS * share * (1.0 - share)) ** 0.5
                self.assertGreater(min(n_admitted), share * N_REQUESTS - tolerance)
                self.assertLess(max(n_admitted), share * N_REQUESTS + tolerance)

    def test_caller_that_keeps_its_connection_is_admitted_within_a_few_rounds(self):
        _, decisions = run_rounds(40, 0.13, seed=7)
        for number in range(40):
            n_waited = longest = 0
            for admitted in decisions[number::40]:
                n_waited = 0 if admitted else n_waited + 1
                longest = max(longest, n_waited)
            self.assertLess(longest, 3.0 / 0.13)

    def test_admissions_match_the_share_and_are_evenly_spread(self):
        for keeps_connection in (True, False):
            _, decisions = run_rounds(10, 0.3, 3, keeps_connection)
            self.assertAlmostEqual(0.3, statistics.mean(decisions), delta=0.01)
            admitted_per_20 = [
                sum(decisions[n : n + 20]) for n in range(0, len(decisions), 20)
            ]
            # Independent draws have a standard deviation of 2.05 here.
            self.assertLess(statistics.pstdev(admitted_per_20), 1.0)

    def test_new_callers_are_not_put_behind_those_with_kept_connections(self):
        shares = FairAdmission(random.Random(5))
        kept_credits = [CallerCredit() for _ in range(5)]
        n_admitted = {"kept": 0, "new": 0}
        for _ in range(N_REQUESTS):
            for credit in kept_credits:
                n_admitted["kept"] += shares.admits("read", 0.2, credit)
                n_admitted["new"] += shares.admits("read", 0.2, CallerCredit())
        self.assertAlmostEqual(200, n_admitted["kept"], delta=20)
        self.assertAlmostEqual(200, n_admitted["new"], delta=20)

    def test_all_requests_are_admitted_at_a_share_of_one(self):
        n_admitted, _ = run_rounds(3, 1.0, seed=1)
        self.assertEqual([N_REQUESTS] * 3, n_admitted)
