"""Tests that each step of a call is recorded as event, counter and histogram value."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap.core.clock import Clock
from fuchsiagap.core.telemetry import call_telemetry
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter, Measure
from fuchsiagap.core.telemetry.telemetry import TelemetrySettings, make_telemetry
from fuchsiagap_standins.builders import a_head

CLOCK = Clock(now=lambda: 0.0, wall=lambda: 1_000.0)


class TestCallTelemetry(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.telemetry = make_telemetry(TelemetrySettings(), "node-a", CLOCK)
        self.head = a_head()

    def test_each_outcome_is_counted_recorded_and_timed(self) -> None:
        outcomes = (
            Answered(200, (), b""),
            Refused(Reason.OVERLOAD),
            Unknown(Reason.CONNECTION_LOST),
            None,
        )
        for outcome in outcomes:
            call_telemetry.record_received(self.telemetry, self.head)
            call_telemetry.record_ended(self.telemetry, self.head, outcome, 5.0)
        metrics = self.telemetry.metrics
        self.assertEqual(4, metrics.counter_value(Counter.CALLS, self.head.route))
        self.assertEqual(1, metrics.counter_value(Counter.REFUSALS, "overload"))
        self.assertEqual(1, metrics.counter_value(Counter.UNKNOWNS, "connection-lost"))
        self.assertEqual(
            1, metrics.counter_value(Counter.CALLS_CANCELLED, self.head.route)
        )
        measured_outcomes = {summary.outcome for summary in metrics.summaries()}
        self.assertEqual(
            {"answered", "refused", "unknown", "cancelled"}, measured_outcomes
        )
        kinds = [e.kind for e in self.telemetry.ring.since().events if "at" in e.detail]
        self.assertEqual(
            [
                EventKind.CALL_ANSWERED,
                EventKind.CALL_REFUSED,
                EventKind.CALL_UNKNOWN,
                EventKind.CALL_CANCELLED,
            ],
            kinds,
        )

    def test_queueing_delay_and_added_time_are_measured_at_the_serving_node(
        self,
    ) -> None:
        call_telemetry.record_admitted(self.telemetry, self.head, 3.0)
        call_telemetry.record_served(
            self.telemetry, self.head, Answered(200, (), b""), 4.0
        )
        measures = [s.measure for s in self.telemetry.metrics.summaries()]
        self.assertEqual([Measure.QUEUEING_DELAY, Measure.ADDED_TIME], measures)
