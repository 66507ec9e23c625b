"""Parsing of collected log lines of nodes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_COMMON_KEYS = frozenset({"t", "wall", "node", "event", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a node.

    Parameters
    ----------
    wall : float
        Unix time in milliseconds; the clocks of hosts may differ.
    monotonic : float
        Monotonic clock of the node in milliseconds.
    node, event : str
        Name of the node and of the event.
    request : str
        Identifier of the request; empty if the event concerns none.
    fields : mapping of str to object
        Other fields of the event.
    """

    wall: float
    monotonic: float
    node: str
    event: str
    request: str
    fields: Mapping[str, object]

    def text(self) -> str:
        """Return the line as readable text."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.wall:.0f} {self.node} {self.event} {details}".rstrip()


@dataclass(frozen=True, slots=True)
class ParsedLog:
    """The result of parsing collected log lines.

    Parameters
    ----------
    lines : tuple of LogLine
        Parsed lines.
    n_unparsed : int
        Non-blank lines that are not valid log lines of a node.
    n_dropped : int
        Lines that nodes dropped, by their own count.
    """

    lines: tuple[LogLine, ...]
    n_unparsed: int
    n_dropped: int


def parse_log(text: Iterable[str]) -> ParsedLog:
    """Parse collected lines; text before the JSON object of a line is ignored."""
    lines = []
    n_unparsed = 0
    n_dropped = 0
    for raw in text:
        line = _parse_line(raw)
        if line is None:
            n_unparsed += bool(raw.strip())
            continue
        lines.append(line)
        before = line.fields.get("dropped_before", 0)
        n_dropped += before if isinstance(before, int) else 0
    return ParsedLog(tuple(lines), n_unparsed, n_dropped)


def _parse_line(raw: str) -> LogLine | None:
    start = raw.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(raw[start:])
        return LogLine(
            float(data["wall"]),
            float(data["t"]),
            str(data["node"]),
            str(data["event"]),
            str(data.get("request", "")),
            {key: value for key, value in data.items() if key not in _COMMON_KEYS},
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
