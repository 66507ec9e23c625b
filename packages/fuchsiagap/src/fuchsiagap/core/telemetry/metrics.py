"""Counters, gauges and histograms of one process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.clock import Milliseconds

# Beyond these numbers, labels of a metric and routes of histograms are recorded
# together as `OTHER_LABEL`, so that arbitrary names of callers cannot exhaust memory.
MAX_LABELS = 1_000
MAX_HISTOGRAMS = 500
OTHER_LABEL = "other"

# Histograms store microseconds up to two minutes with two significant digits.
UNITS_PER_MS = 1_000
HIGHEST_UNITS = 120_000_000
SIGNIFICANT_DIGITS = 2
_COUNTER_BYTES = 4
# Number of leading bits that determine the bucket of a value at two significant digits.
_BUCKET_BITS = 8


class Counter(StrEnum):
    """Counters; the value is the name in the exposition format."""

    CALLS = "fuchsiagap_calls"
    REFUSALS = "fuchsiagap_refusals"
    UNKNOWNS = "fuchsiagap_unknowns"
    CALLS_RELAYED = "fuchsiagap_calls_relayed"
    CALLS_CANCELLED = "fuchsiagap_calls_cancelled"
    CALLS_EXPIRED = "fuchsiagap_calls_expired"
    RETRIES = "fuchsiagap_retries"
    RETRIES_DENIED = "fuchsiagap_retries_denied"
    LATE_ANSWERS = "fuchsiagap_late_answers"
    CROSSED_ANSWERS = "fuchsiagap_crossed_answers"
    INCOMPLETE_ANSWERS = "fuchsiagap_incomplete_answers"
    TICKETS_ISSUED = "fuchsiagap_tickets_issued"
    TICKETS_REPEATED = "fuchsiagap_tickets_repeated"
    TICKETS_BURNT = "fuchsiagap_tickets_burnt"
    TICKETS_FORGOTTEN = "fuchsiagap_tickets_forgotten"
    FRAMES_SENT = "fuchsiagap_frames_sent"
    FRAMES_RECEIVED = "fuchsiagap_frames_received"
    BYTES_SENT = "fuchsiagap_bytes_sent"
    BYTES_RECEIVED = "fuchsiagap_bytes_received"
    MALFORMED_FRAMES = "fuchsiagap_malformed_frames"
    LINK_FAULTS = "fuchsiagap_link_faults"
    PLATFORM_CALLS = "fuchsiagap_platform_calls"
    PLATFORM_FAILURES = "fuchsiagap_platform_failures"
    SETTINGS_ADOPTED = "fuchsiagap_settings_adopted"
    VIOLATIONS = "fuchsiagap_violations"


class Gauge(StrEnum):
    """Gauges; the value is the name in the exposition format."""

    IN_FLIGHT = "fuchsiagap_in_flight"
    QUEUED = "fuchsiagap_queued"
    LIMIT = "fuchsiagap_limit"
    LEVEL = "fuchsiagap_level"
    MEMBERS = "fuchsiagap_members"
    LINKS = "fuchsiagap_links"
    PLATFORM_UP = "fuchsiagap_platform_up"
    SETTINGS_VERSION = "fuchsiagap_settings_version"


class Measure(StrEnum):
    """Durations recorded in histograms, by route and outcome."""

    LATENCY = "fuchsiagap_latency"
    QUEUEING_DELAY = "fuchsiagap_queueing_delay"
    ADDED_TIME = "fuchsiagap_added_time"


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary of a histogram.

    Parameters
    ----------
    measure : Measure
        The measured duration.
    route, outcome : str
        Route and outcome of the calls.
    count : int
        Number of values.
    total : float
        Sum of the values in milliseconds.
    quantiles : tuple of (float, float)
        Pairs of a quantile between 0 and 1 and its value in milliseconds.
    """

    measure: Measure
    route: str
    outcome: str
    count: int
    total: Milliseconds
    quantiles: tuple[tuple[float, Milliseconds], ...]


QUANTILES = (0.5, 0.9, 0.99, 0.999, 1.0)


class _Series:
    """A histogram and the counts of values that have not been added to it yet.

    To keep recording cheap, a value is only rounded to the histogram's resolution and
    counted in a dict. The counts are added to the histogram by `flush`.
    """

    __slots__ = ("histogram", "pending", "total")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(
            1, HIGHEST_UNITS, SIGNIFICANT_DIGITS, word_size=_COUNTER_BYTES
        )
        self.pending: dict[int, int] = {}
        self.total = 0.0

    def flush(self, limit: int) -> int:
        """Move the counts of up to `limit` values to the histogram; return how many."""
        moved = 0
        while self.pending and moved < limit:
            self.histogram.record_value(*self.pending.popitem())
            moved += 1
        if not self.pending:
            self.pending = {}  # An emptied dict would retain its memory.
        return moved

    def quantiles(self) -> tuple[tuple[float, Milliseconds], ...]:
        """Return the values at `QUANTILES`, computed in one pass."""
        percentiles = [quantile * 100.0 for quantile in QUANTILES]
        found = self.histogram.get_percentile_to_value_dict(percentiles)
        values = (found[percentile] / UNITS_PER_MS for percentile in percentiles)
        return tuple(zip(QUANTILES, values, strict=True))


class Metrics:
    """Counters, gauges and histograms of one process."""

    __slots__ = ("_counts", "_gauges", "_series", "_sources")

    def __init__(self) -> None:
        self._counts: dict[Counter, dict[str, int]] = {c: {} for c in Counter}
        self._gauges: dict[Gauge, dict[str, float]] = {g: {} for g in Gauge}
        self._series: dict[tuple[Measure, str, str], _Series] = {}
        self._sources: list[Callable[[], None]] = []

    def count(self, counter: Counter, label: str = "", amount: int = 1) -> None:
        """Add to a counter.

        Parameters
        ----------
        counter : Counter
            The counter.
        label : str, default=""
            Label value, for example a route or a reason.
        amount : int, default=1
            Amount to add.
        """
        counts = self._counts[counter]
        if label not in counts and len(counts) >= MAX_LABELS:
            label = OTHER_LABEL
        counts[label] = counts.get(label, 0) + amount

    def gauge(self, gauge: Gauge, value: float, label: str = "") -> None:
        """Set a gauge."""
        gauges = self._gauges[gauge]
        if label not in gauges and len(gauges) >= MAX_LABELS:
            label = OTHER_LABEL
        gauges[label] = value

    def add_source(self, source: Callable[[], None]) -> None:
        """Register a function that sets gauges, called whenever the gauges are read."""
        self._sources.append(source)

    def observe(
        self, measure: Measure, route: str, outcome: str, value: Milliseconds
    ) -> None:
        """Record a duration for its histogram, to which `flush` adds it.

        Parameters
        ----------
        measure : Measure
            The measured duration.
        route : str
            Route of the call.
        outcome : str
            Outcome of the call.
        value : float
            Milliseconds. Clipped to the range of the histograms, but not in the sum of
            the values.
        """
        series = self._series.get((measure, route, outcome))
        if series is None:
            series = self._new_series(measure, route, outcome)
        units = int(value * UNITS_PER_MS)
        if not 0 <= units <= HIGHEST_UNITS:
            units = min(max(units, 0), HIGHEST_UNITS)
        shift = units.bit_length() - _BUCKET_BITS
        if shift > 0:
            units = units >> shift << shift
        pending = series.pending
        pending[units] = pending.get(units, 0) + 1
        series.total += value

    def _new_series(self, measure: Measure, route: str, outcome: str) -> _Series:
        if len(self._series) >= MAX_HISTOGRAMS:
            route = OTHER_LABEL
        return self._series.setdefault((measure, route, outcome), _Series())

    def flush(self, limit: int) -> int:
        """Move pending values to the histograms, so that reading them takes less time.

        Parameters
        ----------
        limit : int
            Maximum number of distinct rounded values to move; each takes about
            3 microseconds.

        Returns
        -------
        int
            Number of distinct values moved; 0 if none are pending.
        """
        moved = 0
        for series in self._series.values():
            moved += series.flush(limit - moved)
        return moved

    def counter_value(self, counter: Counter, label: str = "") -> int:
        """Return the value of a counter; 0 if it was never increased."""
        return self._counts[counter].get(label, 0)

    def counters(self) -> Iterator[tuple[Counter, str, int]]:
        """Yield each counter with its label and value."""
        for counter, counts in self._counts.items():
            for label, value in counts.items():
                yield counter, label, value

    def gauges(self) -> Iterator[tuple[Gauge, str, float]]:
        """Yield each gauge with its label and value."""
        for source in self._sources:
            source()
        for gauge, values in self._gauges.items():
            for label, value in values.items():
                yield gauge, label, value

    def summaries(self) -> Iterator[Summary]:
        """Yield a summary of each histogram; ones added meanwhile are not included."""
        for (measure, route, outcome), series in list(self._series.items()):
            series.flush(len(series.pending))
            yield Summary(
                measure=measure,
                route=route,
                outcome=outcome,
                count=series.histogram.get_total_count(),
                total=series.total,
                quantiles=series.quantiles(),
            )
