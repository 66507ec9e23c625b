"""Metrics in the Prometheus text format."""

from __future__ import annotations

import trio
from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metric_table import COUNTERS, GAUGES, MEASURES
from fuchsiagap.core.telemetry.metrics import Counter, Gauge, Measure
from fuchsiagap.core.telemetry.telemetry import TelemetrySettings, make_telemetry
from fuchsiagap_node.core.edges.metrics_text import metrics_text
from fuchsiagap_standins.testing import run_virtual


class TestMetricsText(TestCase):
    def setUp(self) -> None:
        super().setUp()
        clock = Clock(now=lambda: 0.0, wall=lambda: 0.0)
        self.telemetry = make_telemetry(TelemetrySettings(), "node-a", clock)

    def samples(self) -> dict[tuple[str, tuple[str, ...]], float]:
        text = run_virtual(metrics_text, self.telemetry).decode()
        return {
            (sample.name, tuple(sorted(sample.labels.values()))): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        }

    def test_every_metric_is_written(self) -> None:
        metrics = self.telemetry.metrics
        for counter in Counter:
            metrics.count(counter, "x" if COUNTERS[counter].labels else "")
        for gauge in Gauge:
            metrics.gauge(gauge, 2.0, "x" if GAUGES[gauge].labels else "")
        for measure in Measure:
            metrics.observe(measure, "certs/issue", "answered", 8.0)
        self.telemetry.ring.record(EventKind.LINK_UP)
        names = {name for name, _ in self.samples()}
        self.assertLessEqual({f"{c}_total" for c in Counter}, names)
        self.assertLessEqual(set(Gauge), names)
        self.assertLessEqual({f"{m}_seconds_count" for m in MEASURES}, names)
        self.assertIn("fuchsiagap_events_total", names)
        self.assertIn("fuchsiagap_build_info", names)

    def test_times_are_in_seconds(self) -> None:
        self.telemetry.metrics.observe(Measure.LATENCY, "r", "answered", 2_000.0)
        samples = self.samples()
        self.assertEqual(
            2.0, samples["fuchsiagap_latency_seconds_sum", ("answered", "r")]
        )
        half = samples["fuchsiagap_latency_seconds", ("0.5", "answered", "r")]
        self.assertLess(abs(half - 2.0), 0.02)

    def test_labels_with_quotes_and_newlines_are_escaped(self) -> None:
        label = 'a"b\\c\nd'
        self.telemetry.metrics.count(Counter.CALLS, label)
        self.assertEqual(1.0, self.samples()["fuchsiagap_calls_total", (label,)])

    def test_other_tasks_run_while_a_long_text_is_written(self) -> None:
        metrics = self.telemetry.metrics
        for number in range(50):
            metrics.observe(Measure.LATENCY, f"r{number}", "answered", 1.0)
        texts: list[str] = []

        async def read() -> None:
            texts.append((await metrics_text(self.telemetry)).decode())

        async def work() -> None:
            for number in range(50, 90):
                metrics.observe(Measure.LATENCY, f"r{number}", "answered", 1.0)
                metrics.count(Counter.CALLS, f"r{number}")
                await trio.lowlevel.checkpoint()

        async def both() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                nursery.start_soon(work)

        run_virtual(both)
        (text,) = texts
        self.assertEqual(1, text.count("# TYPE fuchsiagap_latency_seconds "))
        for number in range(50):
            self.assertIn(f'_count{{outcome="answered",route="r{number}"}} 1.0', text)
