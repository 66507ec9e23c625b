"""Places at one backend server, and the requests that wait for one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
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
    rank: int
    deadline: Milliseconds
    since: Milliseconds
    dropped: bool = False


class DoorQueue(Generic[Job]):
    """Counts the places in use and orders what waits by rank, then by arrival.

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
        self._ranks: dict[int, deque[Waiting[Job]]] = {}
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
        self, job: Job, rank: int, deadline: Milliseconds, now: Milliseconds
    ) -> Waiting[Job]:
        """Let a request wait; it is started by `pop`."""
        waiting = Waiting(job, rank, deadline, now)
        queue = self._ranks.get(rank)
        if queue is None:
            queue = self._ranks[rank] = deque()
        queue.append(waiting)
        self._waiting += 1
        return waiting

    def drop(self, waiting: Waiting[Job]) -> bool:
        """Take a request out; False if it no longer waits."""
        if waiting.dropped:
            return False
        waiting.dropped = True
        self._waiting -= 1
        return True

    def pop(self) -> Waiting[Job] | None:
        """Return the next request to start, or None without place or request."""
        if self.running >= self.limit:
            return None
        for rank in sorted(self._ranks):
            queue = self._ranks[rank]
            while queue:
                waiting = queue.popleft()
                if self.drop(waiting):
                    return waiting
        return None

    def pop_worst(self, rank: int) -> Waiting[Job] | None:
        """Take out the newest request of a rank that is worse than `rank`."""
        for other in sorted(self._ranks, reverse=True):
            if other <= rank:
                return None
            queue = self._ranks[other]
            while queue:
                waiting = queue.pop()
                if self.drop(waiting):
                    return waiting
        return None

    def expired(self, now: Milliseconds) -> Iterator[Waiting[Job]]:
        """Take out the requests whose deadline has passed."""
        for queue in self._ranks.values():
            late = [w for w in queue if not w.dropped and w.deadline <= now]
            for waiting in late:
                self.drop(waiting)
                yield waiting
            if late or any(w.dropped for w in queue):
                kept = [w for w in queue if not w.dropped]
                queue.clear()
                queue.extend(kept)

    def clear(self) -> Iterator[Waiting[Job]]:
        """Take out every request that waits."""
        while (waiting := self.pop_worst(-1)) is not None:
            yield waiting
