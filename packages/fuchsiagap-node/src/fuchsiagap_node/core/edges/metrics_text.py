"""Metrics of a node in the Prometheus text format."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import trio
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    InfoMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from fuchsiagap.core.build_info import build_info
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.telemetry.metric_table import COUNTERS, GAUGES, MEASURES

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from fuchsiagap.core.telemetry.metric_table import MetricSpec
    from fuchsiagap.core.telemetry.metrics import Measure, Summary
    from fuchsiagap.core.telemetry.telemetry import Telemetry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

# Flush steps between two yields to other tasks; 64 take about 0.2 ms.
_FLUSH_STEPS_PER_YIELD = 64
# Samples rendered between two yields to other tasks; 64 take about 1 ms.
_SAMPLES_PER_YIELD = 64
_COMMENT_PREFIX = b"# "
_EVENTS_METRIC = "fuchsiagap_events"
_BUILD_METRIC = "fuchsiagap_build"


async def metrics_text(telemetry: Telemetry) -> bytes:
    """Return the metrics of a process, yielding to other tasks meanwhile.

    Parameters
    ----------
    telemetry : Telemetry
        Telemetry of the process.

    Returns
    -------
    bytes
        Text of content type `CONTENT_TYPE`, with times in seconds.
    """
    metrics = telemetry.metrics
    while metrics.flush(_FLUSH_STEPS_PER_YIELD):
        await trio.lowlevel.checkpoint()
    summary_families = await _collect_summaries(telemetry)
    # Counters are copied without a yield, since other tasks change them.
    value_families = list(_collect_values(telemetry))
    parts: list[bytes] = []
    for family in (*value_families, *summary_families):
        for start in range(0, len(family.samples), _SAMPLES_PER_YIELD):
            parts.append(_render_samples(family, start))
            await trio.lowlevel.checkpoint()
    return b"".join(parts)


def _render_samples(family: Metric, start: int) -> bytes:
    """Return the text of one batch of samples, with comments only in the first."""
    subset = Metric(family.name, family.documentation, family.type)
    subset.samples = family.samples[start : start + _SAMPLES_PER_YIELD]
    text = generate_latest(_Families((subset,)))
    if start == 0:
        return text
    lines = text.splitlines(keepends=True)
    return b"".join(line for line in lines if not line.startswith(_COMMENT_PREFIX))


@dataclass(frozen=True, slots=True)
class _Families(Collector):
    """Adapter that passes metric families to the exposition library."""

    families: tuple[Metric, ...]

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families."""
        return iter(self.families)


def _collect_values(telemetry: Telemetry) -> Iterator[Metric]:
    metrics = telemetry.metrics
    yield InfoMetricFamily(
        _BUILD_METRIC, "Identity of the running code.", value=asdict(build_info())
    )
    yield from _labelled_families(CounterMetricFamily, COUNTERS, metrics.counters())
    yield from _labelled_families(GaugeMetricFamily, GAUGES, metrics.gauges())
    yield _collect_events(telemetry)


def _labelled_families(
    family_type: type[CounterMetricFamily] | type[GaugeMetricFamily],
    table: Mapping[Any, MetricSpec],
    values: Iterable[tuple[str, str, float]],
) -> Iterator[Metric]:
    families: dict[str, CounterMetricFamily | GaugeMetricFamily] = {}
    for name, label, value in values:
        spec = table[name]
        if name not in families:
            families[name] = family_type(name, spec.help, labels=spec.labels)
        families[name].add_metric([label] if spec.labels else [], value)
    return iter(families.values())


async def _collect_summaries(telemetry: Telemetry) -> list[Metric]:
    families: dict[Measure, SummaryMetricFamily] = {}
    for summary in telemetry.metrics.summaries():
        measure = summary.measure
        if measure not in families:
            spec = MEASURES[measure]
            families[measure] = SummaryMetricFamily(
                f"{measure}_seconds", spec.help, labels=spec.labels
            )
        _add_summary(families[measure], summary)
        await trio.lowlevel.checkpoint()
    return list(families.values())


def _collect_events(telemetry: Telemetry) -> Metric:
    family = CounterMetricFamily(
        _EVENTS_METRIC, "Events recorded for the time line.", labels=("kind",)
    )
    for kind, count in telemetry.ring.counts.items():
        if count:
            family.add_metric([kind], count)
    return family


def _add_summary(family: SummaryMetricFamily, summary: Summary) -> None:
    labels = [summary.route, summary.outcome]
    family.add_metric(labels, summary.count, summary.total / MS_PER_S)
    label_values = dict(zip(MEASURES[summary.measure].labels, labels, strict=True))
    for quantile, value in summary.quantiles:
        family.add_sample(
            family.name, {**label_values, "quantile": f"{quantile:g}"}, value / MS_PER_S
        )
