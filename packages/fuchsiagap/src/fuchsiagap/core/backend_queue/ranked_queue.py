"""Priority queue of the requests that wait for a slot at one backend server."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

JobT = TypeVar("JobT")

# Queued requests per slot while the service time is not known.
QUEUE_PER_SLOT = 2.0
# Milliseconds of work that may be queued. Entry nodes need a few hundred milliseconds
# to react to a surge, and rejecting a nested call wastes the work of its call tree.
MAX_QUEUE_MS = 300.0
# Minimum queue capacity, for backend servers with few slots.
MIN_QUEUE_LENGTH = 16
# Dropped requests beyond the number of waiting ones that a rank keeps at most.
_MAX_DROPPED = 64
# Share of a request's remaining time for which it yields to better ranks; afterwards it
# is guaranteed a share of the starts. At 0.1, the best rank loses two percentage points
# of its success rate under high load (0.66 in place of 0.68).
MAX_YIELD_SHARE = 0.5
# Share of the starts that is guaranteed to requests past their yield time, and share of
# the queue that is guaranteed to the worse ranks. With strict priority, 7 of 10 call
# trees of the worst rank that had been admitted time out in queues under three times
# the nominal load, and clients get no answer in 20 to 40 requests.
GUARANTEED_START_SHARE = 0.25
# Remaining time, in mean service times, below which a nested call overtakes better
# ranks, so that the work already done for its call tree is not lost. Few calls come
# that close to their deadline. Without this, 58 of 300 low-rank requests with time to
# spare fail after admission under three times the nominal load, in place of 14, and
# 0.31 of them succeed in place of 0.41. The success rate of the best rank does not drop
# (0.86 with this, 0.84 without).
URGENT_SERVICE_TIMES = 3.0


@dataclass(slots=True)
class QueueItem(Generic[JobT]):
    """A request that waits for a slot.

    Parameters
    ----------
    job : object
        The request.
    rank : int
        Priority rank; 0 is the best.
    deadline : float
        Time in milliseconds from which the request must not be started.
    due : float
        Time in milliseconds by which the answer meets the latency objective.
    yields_until : float
        Time in milliseconds until which the request waits for better ranks.
    is_nested : bool
        Whether it is a call within a call tree for which work has been done.
    dropped : bool, default=False
        Whether it was taken out of the queue, to be started or otherwise.
    """

    job: JobT
    rank: int
    deadline: Milliseconds
    due: Milliseconds
    yields_until: Milliseconds
    is_nested: bool
    dropped: bool = False

    def take_job(self) -> JobT:
        """Return the request and drop the reference to it.

        A dropped item may stay in the queue for some time; its request must not.
        """
        job = self.job
        del self.job
        return job


@dataclass(slots=True)
class _RankQueue(Generic[JobT]):
    """The queued requests of one rank.

    Dropped requests stay in the containers until they reach the front, are swept, or
    outnumber the others.

    Parameters
    ----------
    in_time : list
        Heap, by due time, of the nested calls and of the requests that have not been
        found late.
    late : deque
        The requests found late when they reached the front, in that order.
    by_arrival : deque
        All requests, in order of arrival.
    n_waiting : int
        Number of requests that have not been dropped.
    credit : float
        Starts earned while requests of the rank are past their yield time; 1 pays for
        one start.
    """

    in_time: list[tuple[Milliseconds, int, QueueItem[JobT]]] = field(
        default_factory=list
    )
    late: deque[QueueItem[JobT]] = field(default_factory=deque)
    by_arrival: deque[QueueItem[JobT]] = field(default_factory=deque)
    n_waiting: int = 0
    credit: float = 0.0

    def oldest(self) -> QueueItem[JobT] | None:
        """Return the request that arrived first; None if the queue is empty."""
        while self.by_arrival and self.by_arrival[0].dropped:
            self.by_arrival.popleft()
        return self.by_arrival[0] if self.by_arrival else None

    def yields_until(self) -> Milliseconds:
        """Return the time until which the oldest request waits for better ranks."""
        oldest = self.oldest()
        return float("inf") if oldest is None else oldest.yields_until

    def all(self) -> Iterator[QueueItem[JobT]]:
        """Yield all requests, including dropped ones that have not been swept."""
        yield from (item for _, _, item in self.in_time)
        yield from self.late

    def pop_next(self, now: Milliseconds) -> QueueItem[JobT] | None:
        """Remove and return the request due first, else the first late one.

        A late nested call is not put behind the others.
        """
        while self.in_time:
            due, _, item = heapq.heappop(self.in_time)
            if item.dropped:
                continue
            if due >= now or item.is_nested:
                return item
            self.late.append(item)
        while self.late:
            item = self.late.popleft()
            if not item.dropped:
                return item
        return None

    def pop_last(self) -> QueueItem[JobT] | None:
        """Remove and return the newest late request, else the one due last."""
        while self.late:
            item = self.late.pop()
            if not item.dropped:
                return item
        while self.in_time:
            entry = max(self.in_time)
            self.in_time.remove(entry)
            heapq.heapify(self.in_time)
            if not entry[2].dropped:
                return entry[2]
        return None

    def sweep(self) -> None:
        """Remove dropped requests from the containers."""
        if any(item.dropped for item in self.all()):
            self._remove_dropped()

    def sweep_if_many(self) -> None:
        """Remove dropped requests if they outnumber the waiting ones."""
        kept = max(len(self.by_arrival), len(self.in_time) + len(self.late))
        if kept > 2 * self.n_waiting + _MAX_DROPPED:
            self._remove_dropped()

    def _remove_dropped(self) -> None:
        self.in_time = [entry for entry in self.in_time if not entry[2].dropped]
        heapq.heapify(self.in_time)
        self.late = deque(w for w in self.late if not w.dropped)
        self.by_arrival = deque(w for w in self.by_arrival if not w.dropped)


class RankedQueue(Generic[JobT]):
    """Counts the slots in use and orders waiting requests by rank, then by due time.

    No rank starves: requests past their yield time get a guaranteed share of the starts
    (`GUARANTEED_START_SHARE`), and a nested call about to expire overtakes better ranks
    (`URGENT_SERVICE_TIMES`). Load is shed at the entry node, before any work is done
    for a request; a request admitted there should complete, whatever its rank.

    Within a rank, requests that can still meet their latency objective go first, by due
    time. In order of arrival, requests with an objective of 150 ms would wait behind
    call trees that have a second left until their deadline, and late requests would
    take the slots of requests that are still in time.

    Parameters
    ----------
    limit : int
        Number of slots.

    Attributes
    ----------
    limit : int
        Number of slots.
    running : int
        Slots in use.
    service_ms : float
        Mean milliseconds that a request holds a slot; 0 if not known.
    max_waiting : float or None
        Bound on the queued requests besides that by slots; None for none.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self.service_ms = 0.0
        self.max_waiting: float | None = None
        self._ranks: dict[int, _RankQueue[JobT]] = {}
        self._sequence = count()
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._waiting

    @property
    def load(self) -> int:
        """Number of running and queued requests."""
        return self.running + self._waiting

    def has_free_slot(self) -> bool:
        """Whether a new request may start at once."""
        return self.running < self.limit and self._waiting == 0

    def is_full(self) -> bool:
        """Whether the queue is at its capacity."""
        return self._waiting >= self._capacity()

    def _capacity(self) -> float:
        per_slot = QUEUE_PER_SLOT
        if self.service_ms > 0.0:
            per_slot = max(per_slot, MAX_QUEUE_MS / self.service_ms)
        capacity = max(MIN_QUEUE_LENGTH, self.limit * per_slot)
        return capacity if self.max_waiting is None else min(capacity, self.max_waiting)

    def push(
        self,
        job: JobT,
        rank: int,
        deadline: Milliseconds,
        due: Milliseconds,
        now: Milliseconds,
        is_nested: bool = False,
    ) -> QueueItem[JobT]:
        """Queue a request; `pop` returns it when it may start.

        Parameters
        ----------
        job : object
            The request.
        rank : int
            Priority rank; the lowest is started first.
        deadline : float
            Time in milliseconds from which the request must not be started.
        due : float
            Time in milliseconds by which the answer meets the latency objective.
        now : float
            Time of arrival in milliseconds.
        is_nested : bool, default=False
            Whether it is a call within a call tree for which work has been done. Such a
            call is not put behind the others once it is late: under overload that would
            abandon call trees when they are nearly complete.

        Returns
        -------
        QueueItem
            The queued request, for `drop`.
        """
        yields_until = now + MAX_YIELD_SHARE * (deadline - now)
        item = QueueItem(job, rank, deadline, due, yields_until, is_nested)
        queue = self._ranks.get(rank)
        if queue is None:
            queue = self._ranks[rank] = _RankQueue()
        heapq.heappush(queue.in_time, (due, next(self._sequence), item))
        queue.by_arrival.append(item)
        queue.n_waiting += 1
        self._waiting += 1
        return item

    def drop(self, item: QueueItem[JobT]) -> bool:
        """Remove a request; return False if it is no longer queued."""
        if item.dropped:
            return False
        item.dropped = True
        queue = self._ranks[item.rank]
        queue.n_waiting -= 1
        queue.sweep_if_many()
        self._waiting -= 1
        return True

    def pop(self, now: Milliseconds) -> QueueItem[JobT] | None:
        """Remove and return the request to start next.

        Parameters
        ----------
        now : float
            Time in milliseconds.

        Returns
        -------
        QueueItem or None
            None if all slots are in use or nothing is queued.
        """
        if self.running >= self.limit:
            return None
        rank = self._next_rank(now)
        item = None if rank is None else self._ranks[rank].pop_next(now)
        if item is not None:
            self.drop(item)
        return item

    def _next_rank(self, now: Milliseconds) -> int | None:
        """Return the rank that starts a request next; None if nothing is queued."""
        ranks = sorted(rank for rank, queue in self._ranks.items() if queue.n_waiting)
        if len(ranks) < 2:
            return ranks[0] if ranks else None
        for rank in ranks[1:]:
            if self._is_urgent(rank, now):
                return rank
        delayed = [r for r in ranks[1:] if self._ranks[r].yields_until() <= now]
        for rank in delayed:
            self._ranks[rank].credit += GUARANTEED_START_SHARE / len(delayed)
        for rank in delayed:
            if self._ranks[rank].credit >= 1.0:
                self._ranks[rank].credit = 0.0
                return rank
        return ranks[0]

    def _is_urgent(self, rank: int, now: Milliseconds) -> bool:
        """Whether the oldest request of a rank is a nested call about to expire."""
        oldest = self._ranks[rank].oldest()
        if oldest is None or not oldest.is_nested:
            return False
        return oldest.deadline - now < URGENT_SERVICE_TIMES * self.service_ms

    def evict_for(self, rank: int) -> QueueItem[JobT] | None:
        """Evict a request so that one of `rank` can be queued.

        Each rank is guaranteed a share of the queue. The worst rank above its guarantee
        is evicted from first, if it is worse than `rank`; a rank below its guarantee
        may displace any rank that is above its own guarantee.

        Parameters
        ----------
        rank : int
            Rank of the request to be queued.

        Returns
        -------
        QueueItem or None
            The evicted request; None if the new one must be rejected.
        """
        others = [
            other
            for other, queue in self._ranks.items()
            if other != rank and queue.n_waiting
        ]
        if not others:
            return None
        guaranteed = GUARANTEED_START_SHARE * self._capacity() / len(others)
        for other in sorted(others, reverse=True):
            has_more = self._ranks[other].n_waiting > guaranteed
            if has_more and (other > rank or self._n_waiting(rank) < guaranteed):
                return self._evict(other)
        return None

    def _n_waiting(self, rank: int) -> int:
        queue = self._ranks.get(rank)
        return 0 if queue is None else queue.n_waiting

    def _evict(self, rank: int) -> QueueItem[JobT] | None:
        """Remove and return a late request of a rank, else the one due last."""
        item = self._ranks[rank].pop_last()
        if item is not None:
            self.drop(item)
        return item

    def expired(self, now: Milliseconds) -> Iterator[QueueItem[JobT]]:
        """Remove and yield the requests whose deadline has passed."""
        for queue in self._ranks.values():
            for item in [w for w in queue.all() if w.deadline <= now]:
                if self.drop(item):
                    yield item
            queue.sweep()

    def clear(self) -> Iterator[QueueItem[JobT]]:
        """Remove and yield all queued requests."""
        for rank in self._ranks:
            while (item := self._evict(rank)) is not None:
                yield item
