"""Counters, gauges and histograms of one process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.clock import Milliseconds

# More labels than this on one metric are counted together as `OTHER_LABEL`, so that
# names that callers make up cannot fill the memory.
MAX_LABELS = 1_000
MAX_HISTOGRAMS = 500
OTHER_LABEL = "other"

# Histograms count microseconds with two significant digits up to two minutes.
UNITS_PER_MS = 1_000
HIGHEST_UNITS = 120_000_000
SIGNIFICANT_DIGITS = 2
_COUNTER_BYTES = 4
# Bits of a value that decide its bucket at two significant digits.
_BUCKET_BITS = 8


class Counter(StrEnum):
    """Counters; the value is the name in the text format."""

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
    """Gauges; the value is the name in the text format."""

    IN_FLIGHT = "fuchsiagap_in_flight"
    QUEUED = "fuchsiagap_queued"
    LIMIT = "fuchsiagap_limit"
    LEVEL = "fuchsiagap_level"
    MEMBERS = "fuchsiagap_members"
    LINKS = "fuchsiagap_links"
    PLATFORM_UP = "fuchsiagap_platform_up"
    SETTINGS_VERSION = "fuchsiagap_settings_version"


class Measure(StrEnum):
    """Times that are kept in histograms, by route and outcome."""

    LATENCY = "fuchsiagap_latency"
    QUEUEING_DELAY = "fuchsiagap_queueing_delay"
    ADDED_TIME = "fuchsiagap_added_time"


@dataclass(frozen=True, slots=True)
class Summary:
    """What a histogram holds, times in milliseconds.

    Parameters
    ----------
    measure : Measure
        What was measured.
    route, outcome : str
        Of which calls.
    count : int
        How many values.
    total : float
        Sum of the values.
    quantiles : tuple of (float, float)
        Quantile between 0 and 1, and its value.
    """

    measure: Measure
    route: str
    outcome: str
    count: int
    total: Milliseconds
    quantiles: tuple[tuple[float, Milliseconds], ...]


QUANTILES = (0.5, 0.9, 0.99, 0.999, 1.0)


class _Series:
    """A histogram, and counts that wait to be put into it as a batch.

    A value costs a division into buckets as wide as the histogram's and one step in
    a dict; the histogram itself is touched by readers only.
    """

    __slots__ = ("histogram", "pending", "total")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(
            1, HIGHEST_UNITS, SIGNIFICANT_DIGITS, word_size=_COUNTER_BYTES
        )
        self.pending: dict[int, int] = {}
        self.total = 0.0

    def flush(self, limit: int) -> int:
        """Move up to `limit` counts to the histogram, and return how many."""
        moved = 0
        while self.pending and moved < limit:
            self.histogram.record_value(*self.pending.popitem())
            moved += 1
        if not self.pending:
            self.pending = {}  # An emptied dict would keep its memory.
        return moved

    def quantiles(self) -> tuple[tuple[float, Milliseconds], ...]:
        """Return the values at `QUANTILES`, found in one pass."""
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
            Which one.
        label : str, default=""
            Its label, for example a route or a reason.
        amount : int, default=1
            What to add.
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
        """Call a function, which sets gauges, whenever the gauges are read."""
        self._sources.append(source)

    def observe(
        self, measure: Measure, route: str, outcome: str, value: Milliseconds
    ) -> None:
        """Put a time into a histogram; cheap, since values go in by batches.

        Parameters
        ----------
        measure : Measure
            What was measured.
        route, outcome : str
            Of which calls.
        value : float
            Milliseconds.
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
        """Move waiting values to the histograms, so that a reader's share is small.

        Parameters
        ----------
        limit : int
            At most so many steps, of about 3 microseconds each.

        Returns
        -------
        int
            How many steps were made; 0 if nothing waits.
        """
        moved = 0
        for series in self._series.values():
            moved += series.flush(limit - moved)
        return moved

    def counter_value(self, counter: Counter, label: str = "") -> int:
        """Return a counter's value."""
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
        """Yield a summary of each histogram; others may be added meanwhile."""
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
