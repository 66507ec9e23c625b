"""Ejection of outliers, its floor, and the way back."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.calls.outcome import Reason
from fuchsiagap.tests.core.routing.a_router import (
    CERTS,
    ManualClock,
    a_lost_link,
    a_passed_deadline,
    a_refusal,
    a_router,
    an_answer,
    instances,
    run_calls,
)


class EjectionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.time = ManualClock()
        self.router = a_router(self.time)
        self.router.update(instances(4))

    def one_bad(self, outcome):
        def outcome_of(instance):
            return outcome if instance.node == "certs-0" else an_answer()

        return outcome_of

    def test_failing_instance_is_ejected_and_comes_back_slowly(self):
        run_calls(self.router, 100, self.one_bad(a_lost_link()))
        self.assertEqual(1, self.router.counts.ejections)
        counts = run_calls(self.router, 100, self.one_bad(an_answer()))
        self.assertNotIn("certs-0", counts)
        self.time.advance(self.router.cfg.ejection)
        counts = run_calls(self.router, 400, self.one_bad(an_answer()))
        self.assertLess(0, counts["certs-0"])
        self.assertLess(counts["certs-0"], 50)

    def test_longer_with_each_relapse(self):
        lengths = []
        for _ in range(6):
            run_calls(self.router, 800, self.one_bad(a_lost_link()))
            ejected_at = self.time.time
            while "certs-0" not in run_calls(self.router, 40, self.one_bad(None)):
                self.time.advance(500.0)
            lengths.append(self.time.time - ejected_at)
        self.assertEqual(sorted(lengths), lengths)
        self.assertGreater(lengths[-1], 5 * lengths[0])
        self.assertLessEqual(lengths[-1], self.router.cfg.ejection_max + 2_000.0)

    def test_floor_holds_when_all_fail(self):
        counts = run_calls(self.router, 2_000, lambda _: a_lost_link())
        self.assertEqual(1, self.router.counts.ejections)
        n_chosen_late = run_calls(self.router, 300, lambda _: a_lost_link())
        self.assertEqual(4, len(counts))
        self.assertEqual(3, len(n_chosen_late))

    def test_refusals_from_overload_eject_nobody(self):
        refusal = a_refusal(Reason.OVERLOAD)
        run_calls(self.router, 200, lambda _: refusal)
        self.assertEqual(0, self.router.counts.ejections)

    def test_silent_instance_is_ejected_a_slow_one_is_not(self):
        def some_late(instance):
            is_late = instance.node == "certs-1" and self.time.time % 100 < 80
            is_silent = instance.node == "certs-0"
            return a_passed_deadline() if is_late or is_silent else an_answer()

        for _ in range(180):
            run_calls(self.router, 2, some_late)
            self.time.advance(10.0)
        self.assertEqual(1, self.router.counts.ejections)
        self.assertNotIn("certs-0", run_calls(self.router, 20, some_late))

    def test_ejected_one_is_better_than_none(self):
        run_calls(self.router, 100, self.one_bad(a_lost_link()))
        others = frozenset({"certs-1", "certs-2", "certs-3"})
        self.assertEqual("certs-0", self.router.choose(CERTS, others).node)
        self.assertEqual(1, self.router.counts.last_resorts)
