"""Exponentially decaying counts of requests by priority rank."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

# Time constant (to 1/e) of the counts, in milliseconds: some hundred requests of a busy
# server, longer than any request is queued, shorter than clients keep retrying.
DECAY_MS = 2_000.0


@dataclass(slots=True)
class RankCount:
    """Decaying counts of the requests of one rank.

    Parameters
    ----------
    arrivals : float
        Requests that arrived.
    matched : float
        Those of them with the outcome that is counted, such as a time-out.
    """

    arrivals: float = 0.0
    matched: float = 0.0


class RankCounts:
    """Counts requests, and those of them with a given outcome, by rank."""

    def __init__(self) -> None:
        self._ranks: dict[int, RankCount] = {}
        self._at: Milliseconds = 0.0

    def of(self, rank: int, now: Milliseconds) -> RankCount:
        """Return the counts of a rank, for the caller to increment.

        Parameters
        ----------
        rank : int
            Priority rank.
        now : float
            Time in milliseconds, to which all counts are decayed.

        Returns
        -------
        RankCount
            The counts, created if the rank is new.
        """
        self._decay(now)
        count = self._ranks.get(rank)
        if count is None:
            count = self._ranks[rank] = RankCount()
        return count

    def all(self, now: Milliseconds) -> Iterator[tuple[int, RankCount]]:
        """Yield each rank with its decayed counts, the best rank first."""
        self._decay(now)
        for rank in sorted(self._ranks):
            yield rank, self._ranks[rank]

    def _decay(self, now: Milliseconds) -> None:
        factor = math.exp((self._at - now) / DECAY_MS)
        self._at = now
        for count in self._ranks.values():
            count.arrivals *= factor
            count.matched *= factor
