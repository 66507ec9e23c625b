"""Places at one backend server, and the requests that wait for one."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

Job = TypeVar("Job")

# Requests that may wait, per place, where the service time is not known.
QUEUE_PER_SLOT = 2.0
# Milliseconds of work that may wait: the levels of the entries need some hundred
# milliseconds to follow a surge, and a call turned away wastes the tree above it.
QUEUE_MS = 300.0
# Fewest requests that may wait, for servers with few places.
LEAST_QUEUE = 16


@dataclass(slots=True)
class Waiting(Generic[Job]):
    """A request that waits for a place."""

    job: Job
    deadline: Milliseconds
    due: Milliseconds
    dropped: bool = False


@dataclass(slots=True)
class _Rank(Generic[Job]):
    """What waits of one rank.

    Parameters
    ----------
    in_time : list
        A heap of those whose answer can still be in time, by when it is due.
    late : deque
        The others, by arrival.
    """

    in_time: list[tuple[Milliseconds, int, Waiting[Job]]] = field(default_factory=list)
    late: deque[Waiting[Job]] = field(default_factory=deque)

    def all(self) -> Iterator[Waiting[Job]]:
        """Yield what waits, and what has been dropped since."""
        yield from (waiting for _, _, waiting in self.in_time)
        yield from self.late

    def next(self, now: Milliseconds) -> Waiting[Job] | None:
        """Take out the one that is due first, or the first of the late ones."""
        while self.in_time:
            due, _, waiting = heapq.heappop(self.in_time)
            if waiting.dropped:
                continue
            if due >= now:
                return waiting
            self.late.append(waiting)
        while self.late:
            waiting = self.late.popleft()
            if not waiting.dropped:
                return waiting
        return None

    def last(self) -> Waiting[Job] | None:
        """Take out the one whose loss costs least: a late one, or the last due."""
        while self.late:
            waiting = self.late.pop()
            if not waiting.dropped:
                return waiting
        while self.in_time:
            entry = max(self.in_time)
            self.in_time.remove(entry)
            heapq.heapify(self.in_time)
            if not entry[2].dropped:
                return entry[2]
        return None

    def sweep(self) -> None:
        """Forget what has been dropped."""
        if any(waiting.dropped for waiting in self.all()):
            self.in_time = [entry for entry in self.in_time if not entry[2].dropped]
            heapq.heapify(self.in_time)
            self.late = deque(w for w in self.late if not w.dropped)


class DoorQueue(Generic[Job]):
    """Counts the places in use and orders what waits by rank, then by when it is due.

    By arrival within a rank, requests with an objective of 150 ms waited behind trees
    that had a second left; and what is late already took the places of what was not.

    Parameters
    ----------
    limit : int
        Places.

    Attributes
    ----------
    running : int
        Places in use.
    service_ms : float
        Mean time that a request holds a place; 0 if not known.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self.service_ms = 0.0
        self._ranks: dict[int, _Rank[Job]] = {}
        self._numbers = count()
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return self._waiting

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + self._waiting

    def has_place(self) -> bool:
        """Whether a request may start at once."""
        return self.running < self.limit and self._waiting == 0

    def is_full(self) -> bool:
        """Whether no more requests may wait."""
        per_slot = QUEUE_PER_SLOT
        if self.service_ms > 0.0:
            per_slot = max(per_slot, QUEUE_MS / self.service_ms)
        return self._waiting >= max(LEAST_QUEUE, self.limit * per_slot)

    def push(
        self, job: Job, rank: int, deadline: Milliseconds, due: Milliseconds
    ) -> Waiting[Job]:
        """Let a request wait; it is started by `pop`.

        Parameters
        ----------
        job : object
            The request.
        rank : int
            Rank; the least goes first.
        deadline : float
            Time from which it is not to be started any more.
        due : float
            Time until which its answer is in time.
        """
        waiting = Waiting(job, deadline, due)
        queue = self._ranks.get(rank)
        if queue is None:
            queue = self._ranks[rank] = _Rank()
        heapq.heappush(queue.in_time, (due, next(self._numbers), waiting))
        self._waiting += 1
        return waiting

    def drop(self, waiting: Waiting[Job]) -> bool:
        """Take a request out; False if it no longer waits."""
        if waiting.dropped:
            return False
        waiting.dropped = True
        self._waiting -= 1
        return True

    def pop(self, now: Milliseconds) -> Waiting[Job] | None:
        """Return the next request to start, or None without place or request."""
        if self.running >= self.limit:
            return None
        for rank in sorted(self._ranks):
            waiting = self._ranks[rank].next(now)
            if waiting is not None:
                self.drop(waiting)
                return waiting
        return None

    def pop_worst(self, rank: int) -> Waiting[Job] | None:
        """Take out the request of a rank worse than `rank` that is missed least."""
        for other in sorted(self._ranks, reverse=True):
            if other <= rank:
                return None
            waiting = self._ranks[other].last()
            if waiting is not None:
                self.drop(waiting)
                return waiting
        return None

    def expired(self, now: Milliseconds) -> Iterator[Waiting[Job]]:
        """Take out the requests whose deadline has passed."""
        for queue in self._ranks.values():
            for waiting in [w for w in queue.all() if w.deadline <= now]:
                if self.drop(waiting):
                    yield waiting
            queue.sweep()

    def clear(self) -> Iterator[Waiting[Job]]:
        """Take out every request that waits."""
        while (waiting := self.pop_worst(-1)) is not None:
            yield waiting
