"""The short queue in front of one backend server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.admission.settings import QueueOrder

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Reason
    from fuchsiagap.core.clock import Milliseconds


@dataclass(slots=True, eq=False)
class Waiter:
    """One waiting call.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    since : float
        When it began to wait.
    """

    head: CallHead
    since: Milliseconds
    ready: trio.Event = field(default_factory=trio.Event)
    granted: bool = False
    dropped_for: Reason | None = None


class WaitingCalls:
    """Waiting calls, by priority and in the order of arrival.

    Parameters
    ----------
    by_priority : bool
        Whether priorities count; otherwise all calls stand in one line.
    """

    def __init__(self, by_priority: bool = True) -> None:
        self._by_priority = by_priority
        # Dicts keep the order of arrival, and a call that leaves costs no search.
        self._lines: dict[int, dict[Waiter, None]] = {}
        self._n_waiting = 0

    def __len__(self) -> int:
        return self._n_waiting

    def add(self, waiter: Waiter) -> None:
        """Put a call at the end of its line."""
        self._lines.setdefault(self._key(waiter), {})[waiter] = None
        self._n_waiting += 1

    def discard(self, waiter: Waiter) -> None:
        """Take out a call that has left, if it is still there."""
        line = self._lines.get(self._key(waiter))
        if line is not None and waiter in line:
            del line[waiter]
            self._n_waiting -= 1

    def pop_next(self, order: QueueOrder) -> Waiter | None:
        """Take out the call that shall start next.

        Parameters
        ----------
        order : QueueOrder
            Which one of the most important priority; `ADAPTIVE` isn't one of them.

        Returns
        -------
        Waiter or None
            None if nothing waits.
        """
        for key in sorted(self._lines):
            line = self._lines[key]
            if line:
                waiter = _PICKS[order](line)
                self.discard(waiter)
                return waiter
        return None

    def pop_least_important(self) -> Waiter | None:
        """Take out the oldest call of the least important priority."""
        for key in sorted(self._lines, reverse=True):
            line = self._lines[key]
            if line:
                waiter = next(iter(line))
                self.discard(waiter)
                return waiter
        return None

    def oldest_since(self) -> Milliseconds | None:
        """Return since when the longest waiting call has waited."""
        return min(
            (next(iter(line)).since for line in self._lines.values() if line),
            default=None,
        )

    def least_important_priority(self) -> int | None:
        """Return the least important priority among the waiting calls."""
        return max((key for key, line in self._lines.items() if line), default=None)

    def less_important_than(self, priority: int) -> list[Waiter]:
        """Return the waiting calls that are less important than a priority."""
        return [
            waiter
            for key, line in self._lines.items()
            if key > priority
            for waiter in line
        ]

    def _key(self, waiter: Waiter) -> int:
        return waiter.head.priority if self._by_priority else 0


def _oldest(line: dict[Waiter, None]) -> Waiter:
    return next(iter(line))


def _newest(line: dict[Waiter, None]) -> Waiter:
    return next(reversed(line))


def _earliest_deadline(line: dict[Waiter, None]) -> Waiter:
    return min(line, key=lambda waiter: waiter.head.deadline)


_PICKS: dict[QueueOrder, Callable[[dict[Waiter, None]], Waiter]] = {
    QueueOrder.OLDEST_FIRST: _oldest,
    QueueOrder.NEWEST_FIRST: _newest,
    QueueOrder.DEADLINE_FIRST: _earliest_deadline,
}
