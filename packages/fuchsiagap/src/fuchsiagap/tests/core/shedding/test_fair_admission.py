"""Callers of one entry while only a share of their requests is let in."""

import random
import statistics

from testtools import TestCase

from fuchsiagap.core.shedding.fair_admission import CallerCredit, FairAdmission

TRIES = 200


def rounds(n_callers, share, seed, keeps=True, n_rounds=TRIES):
    """Return how many requests of each caller are let in, and all decisions.

    The callers take turns in the same order, without end. One that does not keep its
    connection is nobody that the entry knows.
    """
    shares = FairAdmission(random.Random(seed))
    turns = [CallerCredit() for _ in range(n_callers)]
    let_in = [0] * n_callers
    decisions = []
    for _ in range(n_rounds):
        for number in range(n_callers):
            turn = turns[number] if keeps else CallerCredit()
            admitted = shares.admits("read", share, turn)
            let_in[number] += admitted
            decisions.append(admitted)
    return let_in, decisions


class TestEvenShares(TestCase):
    def test_callers_in_steady_rotation_each_get_their_share(self):
        for n_callers in (2, 3, 5, 10):
            for share in (0.5, 0.3, 0.2, 0.1):
                let_in, _ = rounds(n_callers, share, seed=n_callers)
                due = share * TRIES
                self.assertGreater(min(let_in), 0.9 * due, (n_callers, share))
                self.assertLess(max(let_in), 1.1 * due, (n_callers, share))

    def test_callers_that_open_a_connection_each_time_are_not_met_in_step(self):
        # Nothing is known of them: each request is as good as drawn by itself, and
        # what a caller gets lies within four deviations of its share.
        for n_callers in (2, 3, 5, 10):
            for share in (0.5, 0.3, 0.2, 0.1):
                let_in, _ = rounds(n_callers, share, n_callers, keeps=False)
                away = 4.0 * (TRIES * share * (1.0 - share)) ** 0.5
                self.assertGreater(min(let_in), share * TRIES - away)
                self.assertLess(max(let_in), share * TRIES + away)

    def test_caller_that_keeps_its_connection_waits_for_a_few_rounds_at_most(self):
        _, decisions = rounds(40, 0.13, seed=7)
        for number in range(40):
            waited = longest = 0
            for admitted in decisions[number::40]:
                waited = 0 if admitted else waited + 1
                longest = max(longest, waited)
            self.assertLess(longest, 3.0 / 0.13)

    def test_no_more_than_the_share_is_let_in_and_evenly(self):
        for keeps in (True, False):
            _, decisions = rounds(10, 0.3, 3, keeps)
            self.assertAlmostEqual(0.3, statistics.mean(decisions), delta=0.01)
            parts = [sum(decisions[n : n + 20]) for n in range(0, len(decisions), 20)]
            # Draws of their own would have 2.05 here.
            self.assertLess(statistics.pstdev(parts), 1.0)

    def test_new_callers_are_not_put_behind_those_that_keep_connections(self):
        shares = FairAdmission(random.Random(5))
        kept = [CallerCredit() for _ in range(5)]
        let_in = {"kept": 0, "new": 0}
        for _ in range(TRIES):
            for turn in kept:
                let_in["kept"] += shares.admits("read", 0.2, turn)
                let_in["new"] += shares.admits("read", 0.2, CallerCredit())
        self.assertAlmostEqual(200, let_in["kept"], delta=20)
        self.assertAlmostEqual(200, let_in["new"], delta=20)

    def test_all_are_let_in_where_nothing_is_refused(self):
        let_in, _ = rounds(3, 1.0, seed=1)
        self.assertEqual([TRIES] * 3, let_in)
