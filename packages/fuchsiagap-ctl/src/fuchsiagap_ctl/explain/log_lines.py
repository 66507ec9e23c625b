"""Log lines of nodes, as they were collected."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_COMMON_KEYS = frozenset({"t", "wall", "node", "event", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of one node.

    Parameters
    ----------
    wall : float
        Time of day in milliseconds; hosts' clocks may differ.
    monotonic : float
        The node's own steady clock in milliseconds.
    node, event : str
        Who wrote it, and what happened.
    request : str
        Identifier of the request; empty if it concerns none.
    fields : mapping of str to object
        What decided it.
    """

    wall: float
    monotonic: float
    node: str
    event: str
    request: str
    fields: Mapping[str, object]

    def text(self) -> str:
        """Return the line for people."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.wall:.0f} {self.node} {self.event} {details}".rstrip()


@dataclass(frozen=True, slots=True)
class ParsedLog:
    """What a text of collected lines held.

    Parameters
    ----------
    lines : tuple of LogLine
        Lines of nodes.
    n_unparsed : int
        Lines that are no line of a node.
    n_dropped : int
        Lines that nodes say they have dropped.
    """

    lines: tuple[LogLine, ...]
    n_unparsed: int
    n_dropped: int


def parse_log(text: Iterable[str]) -> ParsedLog:
    """Read collected lines, whatever stands before the JSON of each."""
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
