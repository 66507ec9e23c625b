"""The bounded queue of calls in front of one backend server."""

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
    enqueued_at : float
        Time at which the call entered the queue, in milliseconds.
    ready : trio.Event
        Set once the call is granted a slot or dropped.
    granted : bool
        Whether the call has a slot at the backend server.
    drop_reason : Reason or None
        Why the call was dropped; None if it was not.
    """

    head: CallHead
    enqueued_at: Milliseconds
    ready: trio.Event = field(default_factory=trio.Event)
    granted: bool = False
    drop_reason: Reason | None = None


class WaitingCalls:
    """Waiting calls, by priority and in the order of arrival.

    Parameters
    ----------
    by_priority : bool
        Whether each priority has its own queue; otherwise all calls share one.
    """

    def __init__(self, by_priority: bool = True) -> None:
        self._by_priority = by_priority
        # A dict keeps the order of arrival and removes any call in constant time.
        self._queues: dict[int, dict[Waiter, None]] = {}
        self._n_waiting = 0

    def __len__(self) -> int:
        return self._n_waiting

    def add(self, waiter: Waiter) -> None:
        """Append a call to the queue of its priority."""
        self._queues.setdefault(self._key(waiter), {})[waiter] = None
        self._n_waiting += 1

    def discard(self, waiter: Waiter) -> None:
        """Remove a call if it is still in its queue."""
        queue = self._queues.get(self._key(waiter))
        if queue is not None and waiter in queue:
            del queue[waiter]
            self._n_waiting -= 1

    def pop_next(self, order: QueueOrder) -> Waiter | None:
        """Remove and return the call to start next.

        Parameters
        ----------
        order : QueueOrder
            Order within the most important priority; not `QueueOrder.ADAPTIVE`, which
            the caller resolves to another order first.

        Returns
        -------
        Waiter or None
            None if no call waits.
        """
        for key in sorted(self._queues):
            queue = self._queues[key]
            if queue:
                waiter = _SELECTORS[order](queue)
                self.discard(waiter)
                return waiter
        return None

    def pop_least_important(self) -> Waiter | None:
        """Remove and return the oldest call of the least important priority."""
        for key in sorted(self._queues, reverse=True):
            queue = self._queues[key]
            if queue:
                waiter = next(iter(queue))
                self.discard(waiter)
                return waiter
        return None

    def oldest_enqueued_at(self) -> Milliseconds | None:
        """Return when the longest waiting call entered the queue; None if empty."""
        return min(
            (next(iter(queue)).enqueued_at for queue in self._queues.values() if queue),
            default=None,
        )

    def least_important_priority(self) -> int | None:
        """Return the least important priority among the waiting calls."""
        return max((key for key, queue in self._queues.items() if queue), default=None)

    def less_important_than(self, priority: int) -> list[Waiter]:
        """Return the waiting calls that are less important than a priority."""
        return [
            waiter
            for key, queue in self._queues.items()
            if key > priority
            for waiter in queue
        ]

    def _key(self, waiter: Waiter) -> int:
        return waiter.head.priority if self._by_priority else 0


def _oldest(queue: dict[Waiter, None]) -> Waiter:
    return next(iter(queue))


def _newest(queue: dict[Waiter, None]) -> Waiter:
    return next(reversed(queue))


def _earliest_deadline(queue: dict[Waiter, None]) -> Waiter:
    return min(queue, key=lambda waiter: waiter.head.deadline)


_SELECTORS: dict[QueueOrder, Callable[[dict[Waiter, None]], Waiter]] = {
    QueueOrder.OLDEST_FIRST: _oldest,
    QueueOrder.NEWEST_FIRST: _newest,
    QueueOrder.DEADLINE_FIRST: _earliest_deadline,
}
