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
# Share of the time that a request has left for which it waits for better ranks at most;
# then it takes turns with them. At 0.1, orders of the best rank were answered 0.66 and
# 0.67 of the time where they have 0.68 and 0.69 with 0.5 (a day of high load).
HOLD_SHARE = 0.5
# Share of the starts that go to those held for so long, as of the places to wait in
# that the worse ranks keep. Strictly by rank, without end, 7 of 10 trees of the worst
# rank that an entry had let in ran out of time at doors, and callers that asked 20 to
# 40 times got nothing (real processes, three times the load of a sheet).
TURN_SHARE = 0.25
# Times that a request holds a place: with less time left, a call within a tree goes
# before better ranks, so that the work done for its tree is not lost. Few calls come so
# far. Pages with time to spare, at three times the load of a sheet: 0.31 served and 58
# of 300 failed without this, 0.41 and 14 with it, orders of the best rank 0.84 and 0.86
# (`test_sheet_virtual`, seed 2).
LAST_CHANCE = 3.0


@dataclass(slots=True)
class Waiting(Generic[Job]):
    """A request that waits for a place."""

    job: Job
    rank: int
    deadline: Milliseconds
    due: Milliseconds
    held_until: Milliseconds
    begun: bool
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
    by_arrival : deque
        All, by arrival.
    n_waiting : int
        How many wait.
    turn : float
        Part of a turn that it has while it is held up; with 1 it starts one.
    """

    in_time: list[tuple[Milliseconds, int, Waiting[Job]]] = field(default_factory=list)
    late: deque[Waiting[Job]] = field(default_factory=deque)
    by_arrival: deque[Waiting[Job]] = field(default_factory=deque)
    n_waiting: int = 0
    turn: float = 0.0

    def first(self) -> Waiting[Job] | None:
        """Return the first that came; None if nothing waits."""
        while self.by_arrival and self.by_arrival[0].dropped:
            self.by_arrival.popleft()
        return self.by_arrival[0] if self.by_arrival else None

    def held_until(self) -> Milliseconds:
        """Return until when the first that came waits for better ranks."""
        first = self.first()
        return float("inf") if first is None else first.held_until

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
            if due >= now or waiting.begun:
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
            self.by_arrival = deque(w for w in self.by_arrival if not w.dropped)


class DoorQueue(Generic[Job]):
    """Counts the places in use and orders what waits by rank, then by when it is due.

    No rank waits without end: one that was held for long takes turns with the better
    ones (`TURN_SHARE`), and a tree that is about to be lost goes before them
    (`LAST_CHANCE`). Whom to refuse is decided before any work is done for a request;
    what was let in is to end well, whatever its rank.

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
        return self._waiting >= self._most_waiting()

    def _most_waiting(self) -> float:
        per_slot = QUEUE_PER_SLOT
        if self.service_ms > 0.0:
            per_slot = max(per_slot, QUEUE_MS / self.service_ms)
        return max(LEAST_QUEUE, self.limit * per_slot)

    def push(
        self,
        job: Job,
        rank: int,
        deadline: Milliseconds,
        due: Milliseconds,
        now: Milliseconds,
        begun: bool = False,
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
        now : float
            Time of its arrival.
        begun : bool, default=False
            Whether work has been done for it, as for a call within a tree: it is not
            put behind the others once it is late. Where more came than there was room
            for, trees were so given up when they were nearly complete.
        """
        held_until = now + HOLD_SHARE * (deadline - now)
        waiting = Waiting(job, rank, deadline, due, held_until, begun)
        queue = self._ranks.get(rank)
        if queue is None:
            queue = self._ranks[rank] = _Rank()
        heapq.heappush(queue.in_time, (due, next(self._numbers), waiting))
        queue.by_arrival.append(waiting)
        queue.n_waiting += 1
        self._waiting += 1
        return waiting

    def drop(self, waiting: Waiting[Job]) -> bool:
        """Take a request out; False if it no longer waits."""
        if waiting.dropped:
            return False
        waiting.dropped = True
        self._ranks[waiting.rank].n_waiting -= 1
        self._waiting -= 1
        return True

    def pop(self, now: Milliseconds) -> Waiting[Job] | None:
        """Return the next request to start, or None without place or request."""
        if self.running >= self.limit:
            return None
        rank = self._next_rank(now)
        waiting = None if rank is None else self._ranks[rank].next(now)
        if waiting is not None:
            self.drop(waiting)
        return waiting

    def _next_rank(self, now: Milliseconds) -> int | None:
        """Return the rank whose turn it is; None if nothing waits."""
        ranks = sorted(rank for rank, queue in self._ranks.items() if queue.n_waiting)
        if len(ranks) < 2:
            return ranks[0] if ranks else None
        for rank in ranks[1:]:
            if self._has_last_chance(rank, now):
                return rank
        held = [r for r in ranks[1:] if self._ranks[r].held_until() <= now]
        for rank in held:
            self._ranks[rank].turn += TURN_SHARE / len(held)
        for rank in held:
            if self._ranks[rank].turn >= 1.0:
                self._ranks[rank].turn = 0.0
                return rank
        return ranks[0]

    def _has_last_chance(self, rank: int, now: Milliseconds) -> bool:
        """Whether a tree of a rank is lost if its call does not start at once."""
        first = self._ranks[rank].first()
        if first is None or not first.begun:
            return False
        return first.deadline - now < LAST_CHANCE * self.service_ms

    def make_room(self, rank: int) -> Waiting[Job] | None:
        """Take out a request so that one of `rank` can wait; None if none gives way.

        Worse ranks give way first, except for what each keeps; one that has less than
        that gets it from any that has more.
        """
        others = [other for other in self._ranks if other != rank]
        if not others:
            return None
        kept = TURN_SHARE * self._most_waiting() / len(others)
        for other in sorted(others, reverse=True):
            has_more = self._ranks[other].n_waiting > kept
            if has_more and (other > rank or self._n_waiting(rank) < kept):
                return self._take_last(other)
        return None

    def _n_waiting(self, rank: int) -> int:
        queue = self._ranks.get(rank)
        return 0 if queue is None else queue.n_waiting

    def _take_last(self, rank: int) -> Waiting[Job] | None:
        """Take out the request of a rank that is missed least."""
        waiting = self._ranks[rank].last()
        if waiting is not None:
            self.drop(waiting)
        return waiting

    def expired(self, now: Milliseconds) -> Iterator[Waiting[Job]]:
        """Take out the requests whose deadline has passed."""
        for queue in self._ranks.values():
            for waiting in [w for w in queue.all() if w.deadline <= now]:
                if self.drop(waiting):
                    yield waiting
            queue.sweep()

    def clear(self) -> Iterator[Waiting[Job]]:
        """Take out every request that waits."""
        for rank in self._ranks:
            while (waiting := self._take_last(rank)) is not None:
                yield waiting
