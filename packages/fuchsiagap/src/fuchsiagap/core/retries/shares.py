"""One node's share of a retry budget that all nodes keep together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds

# Parts of the window in which requests are counted together.
_PARTS = 20
# Share of the ratio that a node uses: what other nodes cannot know of each other's
# windows, and repeats that never reach a server but count, stay within the rest.
_USED = 0.75
# Share of the slack that all nodes together use.
_SLACK_USED = 0.6
# Where a request makes calls of its own, its repeat repeats those too, over up to
# three services below; the share is cut so that the sum stays within each budget.
_WITH_CALLS = 0.25
# Share of the budget that requests of a rank other than the best may use. Where a
# service refuses at random, every call of every tree asks for repeats, and the budget
# is gone within seconds: some of it is kept for trees that matter more.
_LESS_URGENT = 0.6


@dataclass(frozen=True, slots=True)
class SharedBudget:
    """Bounds on repeats over all nodes.

    Parameters
    ----------
    ratio : float
        Repeats per request of a service.
    slack : float
        Repeats on top, in each window, over all nodes.
    window : float
        Milliseconds.
    """

    ratio: float
    slack: float
    window: Milliseconds


class BudgetShare:
    """Counts requests and repeats of one service in a sliding window.

    Parameters
    ----------
    cfg : SharedBudget
        Bounds of all nodes together.
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, cfg: SharedBudget, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._parts: deque[list[float]] = deque()
        self._requests = 0.0
        self._repeats = 0.0

    def adopt(self, cfg: SharedBudget) -> None:
        """Go on under changed bounds."""
        self._cfg = cfg

    def earn(self) -> None:
        """Count a request."""
        self._part()[1] += 1.0
        self._requests += 1.0

    def charge(self) -> None:
        """Count a repeat that a repeat above this request has caused."""
        self._part()[2] += 1.0
        self._repeats += 1.0

    def spend(self, nodes: int, with_calls: bool, rank: int = 0) -> bool:
        """Pay for a repeat.

        Parameters
        ----------
        nodes : int
            Nodes that share the slack.
        with_calls : bool
            Whether the repeated request makes calls of its own.
        rank : int, default=0
            Priority of the request at the root of the tree; 0 is the best.

        Returns
        -------
        bool
            False if this node's share is used up.
        """
        part = self._part()
        ratio = self._cfg.ratio * _USED
        slack = self._cfg.slack * _SLACK_USED / max(nodes, 1)
        if with_calls:
            ratio *= _WITH_CALLS
            slack *= _WITH_CALLS
        if rank > 0:
            ratio *= _LESS_URGENT
            slack *= _LESS_URGENT
        if self._repeats + 1.0 > self._requests * ratio + slack:
            return False
        part[2] += 1.0
        self._repeats += 1.0
        return True

    def _part(self) -> list[float]:
        now = self._clock.now()
        length = self._cfg.window / _PARTS
        start = now // length * length
        while self._parts and self._parts[0][0] <= now - self._cfg.window:
            _, requests, repeats = self._parts.popleft()
            self._requests -= requests
            self._repeats -= repeats
        if not self._parts or self._parts[-1][0] != start:
            self._parts.append([start, 0.0, 0.0])
        return self._parts[-1]
