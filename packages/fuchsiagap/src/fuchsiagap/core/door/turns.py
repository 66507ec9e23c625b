"""What each rank of requests got at one door."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Milliseconds

# Milliseconds over which requests are counted (to 1/e): longer than any waits for its
# turn, shorter than callers go on asking.
COUNTED_MS = 2_000.0


@dataclass(slots=True)
class Turns:
    """Requests of one rank at a door, those of late counting most.

    Parameters
    ----------
    arrived, started : float
        Requests that came, and those that got a place.
    """

    arrived: float = 0.0
    started: float = 0.0


class RankTurns:
    """Counts, rank by rank, what comes to a door and what gets a place."""

    def __init__(self) -> None:
        self._ranks: dict[int, Turns] = {}
        self._at: Milliseconds = 0.0

    def _of(self, rank: int, now: Milliseconds) -> Turns:
        self._fade(now)
        turns = self._ranks.get(rank)
        if turns is None:
            turns = self._ranks[rank] = Turns()
        return turns

    def note_arrival(self, rank: int, now: Milliseconds) -> None:
        """Count a request that comes."""
        self._of(rank, now).arrived += 1.0

    def note_start(self, rank: int, now: Milliseconds) -> None:
        """Count a request that gets a place."""
        self._of(rank, now).started += 1.0

    def all(self, now: Milliseconds) -> Iterator[tuple[int, Turns]]:
        """Yield each rank that came of late, the best first."""
        self._fade(now)
        for rank in sorted(self._ranks):
            yield rank, self._ranks[rank]

    def _fade(self, now: Milliseconds) -> None:
        kept = math.exp((self._at - now) / COUNTED_MS)
        self._at = now
        for turns in self._ranks.values():
            turns.arrived *= kept
            turns.started *= kept
