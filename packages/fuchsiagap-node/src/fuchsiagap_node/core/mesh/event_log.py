"""Structured log lines and counters of one process.

Lines go through a bounded buffer to standard output, which is never waited for: what
does not fit is dropped and counted.
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

# Lines that wait for standard output at most: about a second of the busiest node.
_BUFFERED_LINES = 2_000
# Milliseconds between two writes; many lines share one system call.
FLUSH_MS = 200.0
# One request in so many that was answered at the first try gets a line; the others
# are counted only. At 1,000 requests a second that is 5 lines a second.
SAMPLE_ANSWERED = 200
# Repeats of a fault of one kind at one place, or of one unreadable word, for which one
# line is written.
_REPEATED = 100
# Kinds of unreadable words that are told apart; beyond them all count as one.
_MOST_UNREADABLE = 200
# Upper bounds of the latency histogram in milliseconds.
LATENCY_BOUNDS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000)


@dataclass(frozen=True, slots=True)
class Gauge:
    """A value that is true now.

    Parameters
    ----------
    name : str
        Name, with its unit.
    labels : str
        Labels as the text format has them.
    value : float
        Value.
    """

    name: str
    labels: str
    value: float

    def line(self) -> str:
        """Return it in the text format of Prometheus."""
        return f"fuchsiagap_{self.name}{{{self.labels}}} {self.value:g}"


class EventLog:
    """Writes one line for each decision and counts what happens often.

    Parameters
    ----------
    node : str
        Name of the node, in each line.
    clock : Clock
        Clock of the process.
    descriptor : int, default=1
        File descriptor of the lines.
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
        self._faults: Counter[tuple[str, str]] = Counter()
        self._unreadable: Counter[MalformedInput] = Counter()

    def event(self, kind: str, **fields: object) -> None:
        """Write a line.

        Parameters
        ----------
        kind : str
            What happened.
        **fields : object
            What decided it: identifiers, values, ages in milliseconds, versions.
        """
        self.counts["events", kind] += 1
        if len(self._lines) >= _BUFFERED_LINES:
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
        """Return the lines that are still to be written."""
        return tuple(self._lines)

    def log_exception(self, where: str, exc: BaseException) -> None:
        """Write a line for an exception that nothing else expected.

        Only the first of a kind gets its trace, and of the others one in a hundred a
        line: thousands of traces in a surge cost more than what they told of.
        """
        cause = f"{type(exc).__name__}: {exc}"
        kind = where, type(exc).__name__
        self._faults[kind] += 1
        seen = self._faults[kind]
        if seen == 1:
            trace = "".join(traceback.format_exception(exc))
            self.event("fault", where=where, cause=cause, trace=trace[-1_500:])
        elif seen % _REPEATED == 0:
            self.event("fault", where=where, cause=cause, seen=seen)
        else:
            self.counts["events", "fault"] += 1

    def unreadable(self, kind: str, word: MalformedInput) -> None:
        """Write a line for a word from outside that says nothing to be believed.

        Of equal ones the first gets a line and then one in a hundred: whoever writes
        them may go on for ever.
        """
        if word not in self._unreadable and len(self._unreadable) >= _MOST_UNREADABLE:
            word = MalformedInput("", "one of many")
        self._unreadable[word] += 1
        seen = self._unreadable[word]
        if seen % _REPEATED == 1:
            self.event(kind, place=word.place, reason=word.reason, seen=seen)
        else:
            self.counts["events", kind] += 1

    def count_store_call(self, kind: str, cause: str) -> None:
        """Count a call to the store by what it asks for and why."""
        self.counts["store_calls", f'kind="{kind}",cause="{cause}"'] += 1

    def count_outcome(self, route: str, outcome: str, latency: float) -> None:
        """Count a request by route and outcome, and its latency in milliseconds."""
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

    def never_wait(self) -> None:
        """Make sure that no line ever waits for whoever reads the output."""
        os.set_blocking(self._descriptor, False)

    def flush(self) -> None:
        """Write what standard output takes at once."""
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
