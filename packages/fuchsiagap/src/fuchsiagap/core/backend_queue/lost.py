"""Trees of calls that run out of time while they wait at one door."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.rank_counts import RankCounts

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Load that each part of the calls of a rank that is lost adds, as a part of the load
# that is offered. A call that is lost takes its tree with it, with the work of half of
# ten or fifteen calls; and where trees have little time to spare, they get through at
# less load only. Pages that need 0.5 s of their 0.8 s, at three times the load of a
# sheet: 0.10 served without this, 0.15 with 10, 0.18 with 20, and orders of the best
# rank 0.98, 0.92 and 0.89 (`test_sheet_virtual`, seed 2).
LOAD_OF_LOST = 20.0
# The most that the load is multiplied by: with 1.6 the same pages were served 0.19 in
# place of 0.20 (a trial with a larger kept share), so the time is lost elsewhere then.
MOST_STRAIN = 1.3
# Calls with which each rank begins, as if none had been lost: nothing is read from the
# first few of them.
_BEGUN_WITH = 20.0


class LostTrees:
    """Counts calls that run out of time at a door, and says how much that weighs.

    The load that is offered to a door tells how long its queue grows, not whether who
    waits there can afford it. At 97 of 100 places a few calls wait for long, those of
    the worst rank most of all: of trees that make ten calls and have little time to
    spare, seven of ten were lost after half of their work had been done.
    """

    def __init__(self) -> None:
        self._counts = RankCounts()

    def note_arrival(self, rank: int, now: Milliseconds) -> None:
        """Count a call within a tree that comes."""
        self._counts.of(rank, now).came += 1.0

    def note_lost(self, rank: int, now: Milliseconds) -> None:
        """Count a call within a tree that ran out of time before it had a place."""
        self._counts.of(rank, now).marked += 1.0

    def strain(self, now: Milliseconds) -> float:
        """Return by what the load counts more for the calls that are lost.

        Returns
        -------
        float
            1 where none is lost. The rank that loses most decides.
        """
        shares = (
            count.marked / (count.came + _BEGUN_WITH)
            for _, count in self._counts.all(now)
        )
        return min(1.0 + LOAD_OF_LOST * max(shares, default=0.0), MOST_STRAIN)
