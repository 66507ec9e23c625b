"""Outlier ejection: its limit, and the return of ejected instances."""

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

    def outcome_of_first(self, outcome):
        def outcome_of(instance):
            return outcome if instance.node == "certs-0" else an_answer()

        return outcome_of

    def test_failing_instance_is_ejected_and_returns_with_a_slow_start(self):
        run_calls(self.router, 100, self.outcome_of_first(a_lost_link()))
        self.assertEqual(1, self.router.counts.ejections)
        counts = run_calls(self.router, 100, self.outcome_of_first(an_answer()))
        self.assertNotIn("certs-0", counts)
        self.time.advance(self.router.cfg.ejection)
        counts = run_calls(self.router, 400, self.outcome_of_first(an_answer()))
        self.assertLess(0, counts["certs-0"])
        self.assertLess(counts["certs-0"], 50)

    def test_ejection_lasts_longer_after_each_relapse(self):
        durations = []
        for _ in range(6):
            run_calls(self.router, 800, self.outcome_of_first(a_lost_link()))
            ejected_at = self.time.time
            while "certs-0" not in run_calls(
                self.router, 40, self.outcome_of_first(None)
            ):
                self.time.advance(500.0)
            durations.append(self.time.time - ejected_at)
        self.assertEqual(sorted(durations), durations)
        self.assertGreater(durations[-1], 5 * durations[0])
        self.assertLessEqual(durations[-1], self.router.cfg.ejection_max + 2_000.0)

    def test_ejected_share_is_bounded_when_all_fail(self):
        counts = run_calls(self.router, 2_000, lambda _: a_lost_link())
        self.assertEqual(1, self.router.counts.ejections)
        n_chosen_late = run_calls(self.router, 300, lambda _: a_lost_link())
        self.assertEqual(4, len(counts))
        self.assertEqual(3, len(n_chosen_late))

    def test_overload_refusals_do_not_eject(self):
        refusal = a_refusal(Reason.OVERLOAD)
        run_calls(self.router, 200, lambda _: refusal)
        self.assertEqual(0, self.router.counts.ejections)

    def test_silent_instance_is_ejected_but_not_a_slow_one(self):
        def some_late(instance):
            is_late = instance.node == "certs-1" and self.time.time % 100 < 80
            is_silent = instance.node == "certs-0"
            return a_passed_deadline() if is_late or is_silent else an_answer()

        for _ in range(180):
            run_calls(self.router, 2, some_late)
            self.time.advance(10.0)
        self.assertEqual(1, self.router.counts.ejections)
        self.assertNotIn("certs-0", run_calls(self.router, 20, some_late))

    def test_ejected_instance_is_chosen_if_there_is_no_other(self):
        run_calls(self.router, 100, self.outcome_of_first(a_lost_link()))
        others = frozenset({"certs-1", "certs-2", "certs-3"})
        self.assertEqual("certs-0", self.router.choose(CERTS, others).node)
        self.assertEqual(1, self.router.counts.last_resorts)
