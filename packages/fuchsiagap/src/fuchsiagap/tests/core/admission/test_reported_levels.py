"""Refusals by an entry node according to the levels reported to it."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.admission.reported_levels import ReportedLevels
from fuchsiagap.core.admission.settings import ReportedLevelsSettings
from fuchsiagap.core.clock import Clock
from fuchsiagap_standins.builders import a_head, a_load, a_service


class TestReportedLevels(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        clock = Clock(now=lambda: self.now, wall=lambda: self.now)
        self.cfg = ReportedLevelsSettings()
        self.levels = ReportedLevels(clock, self.cfg)

    def learn(
        self, priority: int, cohort: int = 127, instance: str = "certs-1"
    ) -> None:
        load = a_load(level_priority=priority, level_cohort=cohort)
        self.levels.learn(a_service(), "certs/read", instance, load)

    def passes(self, **changes: object) -> bool:
        return self.levels.refusal(a_head(**changes)) is None

    def test_refuses_by_priority_then_cohort_and_says_so_with_the_level(self) -> None:
        self.learn(5, 60)
        self.passes(priority=6)
        refusal = self.levels.refusal(a_head(priority=5, cohort=61))
        self.assertEqual(
            (5, 60), (refusal.load.level_priority, refusal.load.level_cohort)
        )
        self.assertTrue(self.passes(priority=5, cohort=60))
        self.assertTrue(self.passes(priority=4, cohort=127))

    def test_routes_without_reports_are_open(self) -> None:
        self.learn(0)
        self.assertTrue(self.passes(priority=9, route="certs/other"))

    def test_the_most_open_instance_counts(self) -> None:
        self.learn(0)
        self.learn(6, instance="certs-2")
        self.assertTrue(self.passes(priority=6))
        self.assertEqual([True, False], [self.passes(priority=7) for _ in range(2)])

    def test_calls_within_a_chain_pass(self) -> None:
        self.learn(0)
        self.assertTrue(self.passes(priority=9, depth=2))

    def test_one_call_passes_periodically_as_a_probe(self) -> None:
        self.learn(0)
        self.assertEqual([True, False], [self.passes(priority=7) for _ in range(2)])
        self.now = self.cfg.probe_ms
        self.learn(0)
        self.assertEqual([True, False], [self.passes(priority=7) for _ in range(2)])

    def test_a_level_without_new_reports_opens_and_is_dropped(self) -> None:
        self.learn(0)
        self.passes(priority=1)
        self.now = self.cfg.fresh_ms + self.cfg.reopen_ms
        self.assertTrue(self.passes(priority=1, cohort=0))
        self.now = self.cfg.forget_ms + 1.0
        self.assertEqual([True, True], [self.passes(priority=9) for _ in range(2)])
