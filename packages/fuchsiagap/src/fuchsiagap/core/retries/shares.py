"""A budget of repeats that is kept at the doors of the called service.

The bound holds for what reaches the servers of a service, over all nodes together. Each
door counts what reaches its own server, and owns an equal part of the slack. The part
of an entry would be next to nothing where entries are many: at 195 nodes and 74
requests a second each may repeat 0.7 of a request in ten seconds, so none at all, where
each of 13 doors may repeat 9.

Where servers fail more than the budget can repair, repeats that are spread evenly
complete hardly a tree, and the best ranks get no more than others. So each tree draws a
lot at its entry, and a door pays for the calls of as many trees as it can pay for
whole: those of the best rank first, of one rank those with the smallest lots.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from fuchsiagap.core.clock import Clock, Milliseconds

# Parts of the window in which arrivals are counted together.
_PARTS = 20
# Share of the ratio that doors use: what they cannot know of each other's windows stays
# within the rest.
_USED = 0.75
# Share of the slack that all doors together use: they may know of too few others.
_SLACK_USED = 0.6
# Part of the share that trees of a rank other than the best may use: some is kept for
# those that matter more.
_LESS_URGENT = 0.6
# Part of the trees that a door can pay for that is left to worse ranks, whatever better
# ones ask for, so that none is shut out.
_LEFT_TO_WORSE = 0.1
# Share of failures below which a door pays for whoever asks.
_FEW_FAILURES = 0.02
# Lots are whole numbers below this one.
N_SAMPLING_KEYS = 256


@dataclass(frozen=True, slots=True)
class SharedBudget:
    """Bounds on repeats over all doors of a service.

    Parameters
    ----------
    ratio : float
        Repeats per request of the service.
    slack : float
        Repeats on top, in each window.
    window : float
        Milliseconds.
    """

    ratio: float
    slack: float
    window: Milliseconds


@dataclass(frozen=True, slots=True)
class Repeat:
    """A repeat that is asked for.

    Parameters
    ----------
    rank : int
        Priority of the request at the root of its tree; the least is the best.
    sampling_key : int
        What its tree has drawn, below `N_SAMPLING_KEYS`; the smaller, the sooner it
        is repeated.
    is_nested : bool
        Whether it belongs to a tree that needs other calls too.
    calls : float
        Calls that it makes itself, with those that they make.
    """

    rank: int
    sampling_key: int
    is_nested: bool
    calls: float

    def is_whole(self) -> bool:
        """Whether its request is one call, so that this repeat may be all it needs."""
        return not self.is_nested and self.calls < 1.0

    def part(self, best: int) -> float:
        """Return the part of a door's share that it may use, by the best rank there."""
        return 1.0 if self.is_whole() or self.rank <= best else _LESS_URGENT


@dataclass(slots=True)
class _Part:
    """What arrived in a part of the window.

    Parameters
    ----------
    start : float
        When it began.
    requests, repeats : int
        First arrivals, and others.
    ranks : Counter of int
        First arrivals by the rank of their tree.
    """

    start: Milliseconds
    requests: int = 0
    repeats: int = 0
    ranks: Counter[int] = field(default_factory=Counter)


class DoorBudget:
    """Counts what reaches one server in a sliding window, and pays for repeats.

    Parameters
    ----------
    cfg : SharedBudget
        Bounds of all doors together.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Rounds shares, so that those below one are used by some of the doors.
    """

    def __init__(self, cfg: SharedBudget, clock: Clock, rng: random.Random) -> None:
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._parts: deque[_Part] = deque()
        self._requests = 0
        self._repeats = 0
        self._ranks: Counter[int] = Counter()
        self._started_at = clock.now()
        self._rounding = rng.random()
        self._rounded_at = self._started_at

    def adopt(self, cfg: SharedBudget) -> None:
        """Go on under changed bounds."""
        self._cfg = cfg

    def note_first(self, rank: int = 0) -> None:
        """Count a first arrival of a tree of a rank."""
        part = self._part()
        part.requests += 1
        part.ranks[rank] += 1
        self._requests += 1
        self._ranks[rank] += 1

    def note_inherited(self) -> None:
        """Count an arrival that a repeat above it has caused; it is never turned away.

        Its tree is at work already. Where those above stay within their ratio, these do
        too.
        """
        self._part().repeats += 1
        self._repeats += 1

    def pay(self, repeat: Repeat, n_doors: int, failing: float = 0.0) -> bool:
        """Pay for a repeat.

        Parameters
        ----------
        repeat : Repeat
            What is asked for.
        n_doors : int
            Doors that share the slack.
        failing : float, default=0.0
            Share of what reaches the server that fails there.

        Returns
        -------
        bool
            False if this door's share is used up, or is for other trees.
        """
        part = self._part()
        share = self._share(repeat.calls, n_doors)
        best = min(self._ranks, default=repeat.rank)
        if self._repeats + 1 > share * repeat.part(best) + self._rounding:
            return False
        if not repeat.is_whole() and not self._is_drawn(repeat, share, failing):
            return False
        part.repeats += 1
        self._repeats += 1
        return True

    def _is_drawn(self, repeat: Repeat, share: float, failing: float) -> bool:
        """Whether a tree is among those for which this door can pay whole."""
        n_requests = sum(self._ranks.values())
        if failing < _FEW_FAILURES or not n_requests:
            return True
        # Each call takes so many repeats, on average, until it is answered.
        repeats_a_call = failing / max(1.0 - failing, _FEW_FAILURES)
        paid = share / repeats_a_call
        better = sum(n for rank, n in self._ranks.items() if rank < repeat.rank)
        worse = n_requests - better - self._ranks[repeat.rank]
        if worse:
            paid *= 1.0 - _LEFT_TO_WORSE
        paid = max(paid - better, paid * _LEFT_TO_WORSE)
        return repeat.sampling_key < N_SAMPLING_KEYS * paid / max(
            self._ranks[repeat.rank], 1
        )

    def _share(self, calls: float, n_doors: int) -> float:
        """Return the repeats that this door may have in a window.

        The slack grows from nothing after a start, since a door knows nothing of what
        the one before it has spent. Of a request that makes calls, the repeat repeats
        them too: where requests are few, that would use up the slack below.
        """
        cfg = self._cfg
        age = self._clock.now() - self._started_at
        slack = cfg.slack * _SLACK_USED / max(n_doors, 1) / (1.0 + calls)
        return self._requests * cfg.ratio * _USED + slack * min(age / cfg.window, 1.0)

    def _part(self) -> _Part:
        now = self._clock.now()
        window = self._cfg.window
        length = window / _PARTS
        start = now // length * length
        while self._parts and self._parts[0].start <= now - window:
            old = self._parts.popleft()
            self._requests -= old.requests
            self._repeats -= old.repeats
            self._ranks -= old.ranks
        if now - self._rounded_at >= window:
            self._rounding = self._rng.random()
            self._rounded_at = now
        if not self._parts or self._parts[-1].start != start:
            self._parts.append(_Part(start))
        return self._parts[-1]
