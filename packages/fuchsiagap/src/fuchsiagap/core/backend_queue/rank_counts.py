"""Two counts for each rank of requests, of which those of late weigh most."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

# Milliseconds over which requests are counted (to 1/e): some hundred of a busy server,
# longer than any waits for its turn, shorter than callers go on asking.
COUNTED_MS = 2_000.0


@dataclass(slots=True)
class RankCount:
    """Requests of one rank.

    Parameters
    ----------
    came : float
        Those that came.
    marked : float
        Those of them that became what is counted.
    """

    came: float = 0.0
    marked: float = 0.0


class RankCounts:
    """Counts requests by rank, and those of them that something became of."""

    def __init__(self) -> None:
        self._ranks: dict[int, RankCount] = {}
        self._at: Milliseconds = 0.0

    def of(self, rank: int, now: Milliseconds) -> RankCount:
        """Return the counts of a rank, to be added to."""
        self._fade(now)
        count = self._ranks.get(rank)
        if count is None:
            count = self._ranks[rank] = RankCount()
        return count

    def all(self, now: Milliseconds) -> Iterator[tuple[int, RankCount]]:
        """Yield each rank that came of late, the best first."""
        self._fade(now)
        for rank in sorted(self._ranks):
            yield rank, self._ranks[rank]

    def _fade(self, now: Milliseconds) -> None:
        kept = math.exp((self._at - now) / COUNTED_MS)
        self._at = now
        for count in self._ranks.values():
            count.came *= kept
            count.marked *= kept
