"""Log of member changes, from which updates to other nodes are sent."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

# The log is compacted when its length exceeds factor * members + floor.
_COMPACT_FACTOR = 2
_COMPACT_FLOOR = 64


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a member.

    Parameters
    ----------
    number : int
        Sequence number of the change in this view, from 1.
    node : str
        Name of the changed member.
    source : str
        Node that sent the update; empty if the change originated here.
    """

    number: int
    node: str
    source: str


@dataclass(slots=True)
class ChangeLog:
    """Last change of each member, in order.

    A later change of a member replaces the earlier one, so the length is bounded by the
    number of members.

    Parameters
    ----------
    last : int, default=0
        Sequence number of the last change.
    """

    last: int = 0
    _changes: list[Change] = field(default_factory=list)
    _last_of: dict[str, int] = field(default_factory=dict)

    def add(self, node: str, source: str) -> None:
        """Append a change of a member."""
        self.last += 1
        self._last_of[node] = self.last
        self._changes.append(Change(self.last, node, source))
        if len(self._changes) > _COMPACT_FACTOR * len(self._last_of) + _COMPACT_FLOOR:
            self._changes = [c for c in self._changes if self._is_last(c)]

    def forget(self, node: str) -> None:
        """Remove a member that the view has dropped."""
        self._last_of.pop(node, None)

    def after(self, number: int) -> list[Change]:
        """Return the last change of each member changed after a sequence number."""
        start = bisect_right(self._changes, number, key=lambda c: c.number)
        return [c for c in self._changes[start:] if self._is_last(c)]

    def _is_last(self, change: Change) -> bool:
        return self._last_of.get(change.node) == change.number
