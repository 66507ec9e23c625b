"""Tests of the reporting of violated invariants and of clock drift."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.hlc import stamp_at
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap.core.telemetry.telemetry import TelemetrySettings, make_telemetry
from fuchsiagap.core.telemetry.violations import Invariant, InvariantViolated

CLOCK = Clock(now=lambda: 0.0, wall=lambda: 1_000.0)


class TestViolation(TestCase):
    def test_a_violation_is_counted_recorded_and_logged(self) -> None:
        telemetry = make_telemetry(TelemetrySettings(), "node-a", CLOCK)
        with self.assertLogs("fuchsiagap", "CRITICAL") as logged:
            telemetry.report_violation(
                Invariant.WRONG_ANSWER, "answer of c2", "c1", "r1"
            )
        self.assertIn("wrong-answer", logged.output[0])
        self.assertEqual(
            1, telemetry.metrics.counter_value(Counter.VIOLATIONS, "wrong-answer")
        )
        (event,) = telemetry.ring.since(call="c1").events
        self.assertEqual(EventKind.VIOLATION, event.kind)

    def test_a_violation_raises_if_configured(self) -> None:
        cfg = TelemetrySettings(stop_on_violation=True)
        telemetry = make_telemetry(cfg, "node-a", CLOCK)
        with self.assertLogs("fuchsiagap", "CRITICAL"):
            self.assertRaises(
                InvariantViolated,
                telemetry.report_violation,
                Invariant.TICKET_STARTED_TWICE,
                "n1.1.1",
            )
        self.assertEqual(1, telemetry.ring.counts[EventKind.VIOLATION])


class TestDrift(TestCase):
    def test_a_peer_whose_clock_is_far_ahead_is_recorded_once_a_minute(self) -> None:
        now = [0.0]
        clock = Clock(now=lambda: now[0], wall=lambda: 1_000.0 + now[0])
        telemetry = make_telemetry(TelemetrySettings(), "node-a", clock)
        with self.assertLogs("fuchsiagap", "INFO") as logged:
            for _ in range(121):
                telemetry.hlc.observe(stamp_at(3_600_000.0))
                now[0] += 1_000.0
        self.assertEqual(3, telemetry.ring.counts[EventKind.CLOCK_DRIFT])
        self.assertIn("ahead_ms=3599000", logged.output[0])
