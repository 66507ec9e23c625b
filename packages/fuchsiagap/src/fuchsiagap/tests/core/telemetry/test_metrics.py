"""Tests of counters, gauges and histograms, and of the limits on their number."""

from __future__ import annotations

import math
import random

from testtools import TestCase

from fuchsiagap.core.telemetry import metrics as metrics_module
from fuchsiagap.core.telemetry.metrics import (
    HIGHEST_UNITS,
    OTHER_LABEL,
    UNITS_PER_MS,
    Counter,
    Gauge,
    Measure,
    Metrics,
)


class TestMetrics(TestCase):
    def test_counters_by_label(self) -> None:
        metrics = Metrics()
        metrics.count(Counter.REFUSALS, "overload")
        metrics.count(Counter.REFUSALS, "overload", 2)
        metrics.count(Counter.REFUSALS, "deadline")
        self.assertEqual(3, metrics.counter_value(Counter.REFUSALS, "overload"))
        self.assertEqual(0, metrics.counter_value(Counter.CALLS))

    def test_number_of_labels_is_limited(self) -> None:
        metrics = Metrics()
        n_labels = metrics_module.MAX_LABELS + 50
        for number in range(n_labels):
            metrics.count(Counter.CALLS, f"route-{number}")
            metrics.gauge(Gauge.LIMIT, number, f"route-{number}")
        self.assertLessEqual(len(list(metrics.counters())), n_labels - 49)
        self.assertEqual(50, metrics.counter_value(Counter.CALLS, OTHER_LABEL))
        self.assertLessEqual(len(list(metrics.gauges())), n_labels - 49)

    def test_quantiles_are_accurate_and_flushing_loses_no_values(self) -> None:
        metrics = Metrics()
        rng = random.Random(7)
        values = sorted(rng.lognormvariate(2.0, 1.0) for _ in range(5_000))
        for value in values:
            metrics.observe(Measure.LATENCY, "certs/issue", "answered", value)
        while metrics.flush(100):
            pass
        (summary,) = metrics.summaries()
        self.assertEqual(5_000, summary.count)
        self.assertAlmostEqual(sum(values), summary.total, places=3)
        for quantile, measured in summary.quantiles:
            exact = values[math.ceil(quantile * len(values)) - 1]
            self.assertLess(abs(measured - exact) / exact, 0.01)

    def test_values_outside_the_range_are_clipped(self) -> None:
        metrics = Metrics()
        metrics.observe(Measure.LATENCY, "r", "answered", -1.0)
        metrics.observe(Measure.LATENCY, "r", "answered", 1e12)
        (summary,) = metrics.summaries()
        self.assertEqual(2, summary.count)
        highest = HIGHEST_UNITS / UNITS_PER_MS
        self.assertLess(abs(summary.quantiles[-1][1] - highest) / highest, 0.01)

    def test_number_of_histograms_is_limited(self) -> None:
        metrics = Metrics()
        self.patch(metrics_module, "MAX_HISTOGRAMS", 3)
        for number in range(6):
            metrics.observe(Measure.LATENCY, f"r{number}", "answered", 1.0)
        counts = {s.route: s.count for s in metrics.summaries()}
        self.assertEqual({"r0": 1, "r1": 1, "r2": 1, OTHER_LABEL: 3}, counts)
