"""What each rank of requests got at one door."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.rank_counts import RankCounts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.backend_queue.rank_counts import RankCount
    from fuchsiagap.core.clock import Milliseconds


class RankTurns:
    """Counts, rank by rank, what comes to a door and what gets a place."""

    def __init__(self) -> None:
        self._counts = RankCounts()

    def note_arrival(self, rank: int, now: Milliseconds) -> None:
        """Count a request that comes."""
        self._counts.of(rank, now).came += 1.0

    def note_start(self, rank: int, now: Milliseconds) -> None:
        """Count a request that gets a place."""
        self._counts.of(rank, now).marked += 1.0

    def all(self, now: Milliseconds) -> Iterator[tuple[int, RankCount]]:
        """Yield each rank that came of late, with what got a place marked."""
        return self._counts.all(now)
