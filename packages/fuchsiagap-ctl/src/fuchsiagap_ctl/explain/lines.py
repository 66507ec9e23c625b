"""Log lines of nodes, as they were collected."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_COMMON = frozenset({"t", "wall", "node", "event", "request"})


@dataclass(frozen=True, slots=True)
class Line:
    """One line of one node.

    Parameters
    ----------
    wall : float
        Time of day in milliseconds; hosts' clocks may differ.
    at : float
        The node's own steady clock in milliseconds.
    node, event : str
        Who wrote it, and what happened.
    request : str
        Identifier of the request; empty if it concerns none.
    fields : mapping of str to object
        What decided it.
    """

    wall: float
    at: float
    node: str
    event: str
    request: str
    fields: Mapping[str, object]

    def text(self) -> str:
        """Return the line for people."""
        told = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.wall:.0f} {self.node} {self.event} {told}".rstrip()


@dataclass(frozen=True, slots=True)
class Read:
    """What a text of collected lines held.

    Parameters
    ----------
    lines : tuple of Line
        Lines of nodes.
    unread : int
        Lines that are no line of a node.
    dropped : int
        Lines that nodes say they have dropped.
    """

    lines: tuple[Line, ...]
    unread: int
    dropped: int


def read_lines(text: Iterable[str]) -> Read:
    """Read collected lines, whatever stands before the JSON of each."""
    lines = []
    unread = 0
    dropped = 0
    for raw in text:
        line = _line(raw)
        if line is None:
            unread += bool(raw.strip())
            continue
        lines.append(line)
        before = line.fields.get("dropped_before", 0)
        dropped += before if isinstance(before, int) else 0
    return Read(tuple(lines), unread, dropped)


def _line(raw: str) -> Line | None:
    start = raw.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(raw[start:])
        return Line(
            float(data["wall"]),
            float(data["t"]),
            str(data["node"]),
            str(data["event"]),
            str(data.get("request", "")),
            {key: value for key, value in data.items() if key not in _COMMON},
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
