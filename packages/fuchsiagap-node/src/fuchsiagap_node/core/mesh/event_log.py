"""Structured event log and metrics of one process.

Events are written as JSON lines to standard output through a bounded buffer. Writing
never blocks; lines that do not fit in the buffer are dropped and counted.
"""

from __future__ import annotations

import json
import os
import traceback
from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.malformed_input import MalformedInput

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.clock import Clock

# Maximum number of lines that wait for standard output: about a second of the output
# of the busiest node.
_MAX_BUFFERED_LINES = 2_000
# Milliseconds between two writes, so that many lines share one system call.
FLUSH_MS = 200.0
# One in this many of the requests answered at the first attempt is logged; the others
# are only counted. At 1,000 requests per second that is 5 lines per second.
SAMPLE_ANSWERED = 200
# After the first one, one in this many of equal exceptions or equal malformed inputs is
# logged.
_REPEAT_LOG_INTERVAL = 100
# Number of distinct malformed inputs that are counted separately; all others share one
# count.
_MAX_MALFORMED_KINDS = 200
# Upper bounds of the latency histogram in milliseconds.
LATENCY_BOUNDS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000)


@dataclass(frozen=True, slots=True)
class Gauge:
    """Current value of a metric.

    Parameters
    ----------
    name : str
        Metric name without its prefix, with its unit.
    labels : str
        Labels in the text format of Prometheus.
    value : float
        Value.
    """

    name: str
    labels: str
    value: float

    def line(self) -> str:
        """Return the gauge in the text format of Prometheus."""
        return f"fuchsiagap_{self.name}{{{self.labels}}} {self.value:g}"


class EventLog:
    """Writes one JSON line for each event, and counts events and requests.

    Parameters
    ----------
    node : str
        Name of the node, included in each line.
    clock : Clock
        Clock of the process.
    descriptor : int, default=1
        File descriptor that lines are written to.

    Attributes
    ----------
    counts : Counter
        Counters by metric name and labels; labels without ``=`` are the value of the
        label ``kind``.
    """

    def __init__(self, node: str, clock: Clock, descriptor: int = 1) -> None:
        self._node = node
        self._clock = clock
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._dropped = 0
        self.counts: Counter[tuple[str, str]] = Counter()
        self._latency: dict[str, list[int]] = {}
        self._latency_sum: Counter[str] = Counter()
        self._exception_counts: Counter[tuple[str, str]] = Counter()
        self._malformed_counts: Counter[MalformedInput] = Counter()

    def event(self, kind: str, **fields: object) -> None:
        """Write an event.

        Parameters
        ----------
        kind : str
            Name of the event.
        **fields : object
            Details: identifiers, values, ages in milliseconds, versions.
        """
        self.counts["events", kind] += 1
        if len(self._lines) >= _MAX_BUFFERED_LINES:
            self._dropped += 1
            self.counts["dropped_lines", ""] += 1
            return
        line: dict[str, object] = {
            "t": round(self._clock.now(), 1),
            "wall": round(self._clock.wall()),
            "node": self._node,
            "event": kind,
        }
        line.update(fields)
        if self._dropped:
            line["dropped_before"], self._dropped = self._dropped, 0
        self._lines.append(json.dumps(line, default=str).encode() + b"\n")

    def lines(self) -> tuple[bytes, ...]:
        """Return the lines that are buffered."""
        return tuple(self._lines)

    def log_exception(self, where: str, exc: BaseException) -> None:
        """Write an event for an unexpected exception.

        The first one of each component and exception type is written with its
        traceback. Of the others only one in a hundred is written, because writing
        thousands of tracebacks during overload costs more than the fault itself.

        Parameters
        ----------
        where : str
            Component in which it was raised.
        exc : BaseException
            The exception.
        """
        cause = f"{type(exc).__name__}: {exc}"
        kind = where, type(exc).__name__
        self._exception_counts[kind] += 1
        seen = self._exception_counts[kind]
        if seen == 1:
            trace = "".join(traceback.format_exception(exc))
            self.event("fault", where=where, cause=cause, trace=trace[-1_500:])
        elif seen % _REPEAT_LOG_INTERVAL == 0:
            self.event("fault", where=where, cause=cause, seen=seen)
        else:
            self.counts["events", "fault"] += 1

    def log_malformed_input(self, kind: str, malformed: MalformedInput) -> None:
        """Write an event for malformed input from outside the process.

        Of equal inputs the first one is written and then one in a hundred, because
        their source may repeat them without end.

        Parameters
        ----------
        kind : str
            Name of the event.
        malformed : MalformedInput
            Where the input was found and what is wrong with it.
        """
        if (
            malformed not in self._malformed_counts
            and len(self._malformed_counts) >= _MAX_MALFORMED_KINDS
        ):
            malformed = MalformedInput("", "one of many distinct malformed inputs")
        self._malformed_counts[malformed] += 1
        seen = self._malformed_counts[malformed]
        if seen % _REPEAT_LOG_INTERVAL == 1:
            self.event(kind, place=malformed.place, reason=malformed.reason, seen=seen)
        else:
            self.counts["events", kind] += 1

    def count_store_call(self, kind: str, cause: str) -> None:
        """Count a call to the store by kind and cause."""
        self.counts["store_calls", f'kind="{kind}",cause="{cause}"'] += 1

    def count_outcome(self, route: str, outcome: str, latency: float) -> None:
        """Count a request by route and outcome, and record its latency in ms."""
        self.counts["requests", f'route="{route}",outcome="{outcome}"'] += 1
        buckets = self._latency.get(route)
        if buckets is None:
            buckets = self._latency[route] = [0] * (len(LATENCY_BOUNDS) + 1)
        index = 0
        while index < len(LATENCY_BOUNDS) and latency > LATENCY_BOUNDS[index]:
            index += 1
        buckets[index] += 1
        self._latency_sum[route] += round(latency)

    def metrics(self, gauges: Iterable[Gauge] = ()) -> str:
        """Return gauges, counters and histograms in the text format of Prometheus."""
        lines = [gauge.line() for gauge in gauges]
        for (name, labels), value in sorted(self.counts.items()):
            shown = labels if "=" in labels or not labels else f'kind="{labels}"'
            lines.append(f"fuchsiagap_{name}_total{{{shown}}} {value}")
        for route, buckets in sorted(self._latency.items()):
            total = 0
            for bound, count in zip((*LATENCY_BOUNDS, "+Inf"), buckets, strict=True):
                total += count
                labels = f'route="{route}",le="{bound}"'
                lines.append(f"fuchsiagap_latency_ms_bucket{{{labels}}} {total}")
            labels = f'route="{route}"'
            lines.append(f"fuchsiagap_latency_ms_count{{{labels}}} {total}")
            spent = self._latency_sum[route]
            lines.append(f"fuchsiagap_latency_ms_sum{{{labels}}} {spent}")
        return "\n".join(lines) + "\n"

    def set_non_blocking(self) -> None:
        """Make the output non-blocking, so a slow reader cannot block the node."""
        os.set_blocking(self._descriptor, False)

    def flush(self) -> None:
        """Write as many buffered lines as the output accepts without blocking."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                self._rest = b""
                self.counts["dropped_lines", ""] += 1
                return
            self._rest = self._rest[written:]
