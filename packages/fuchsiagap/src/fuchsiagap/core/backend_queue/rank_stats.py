"""Arrivals and starts by priority rank at one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.rank_counts import RankCounts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.backend_queue.rank_counts import RankCount
    from fuchsiagap.core.clock import Milliseconds


class RankStats:
    """Counts, by rank, the requests that arrive and those that get a slot."""

    def __init__(self) -> None:
        self._counts = RankCounts()

    def record_arrival(self, rank: int, now: Milliseconds) -> None:
        """Count a request that arrives at a time in milliseconds."""
        self._counts.of(rank, now).arrivals += 1.0

    def record_start(self, rank: int, now: Milliseconds) -> None:
        """Count a request that gets a slot at a time in milliseconds."""
        self._counts.of(rank, now).matched += 1.0

    def all(self, now: Milliseconds) -> Iterator[tuple[int, RankCount]]:
        """Yield each rank with its counts; `RankCount.matched` are the starts."""
        return self._counts.all(now)
