"""Whom a node asks how old its knowledge is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from fuchsiagap.core.clock import Milliseconds

# Milliseconds for which an answer says how good a source is.
_REMEMBERED_MS = 10_000.0
# Age of a source's knowledge, in milliseconds, that is as good as any: those that ask
# spread over all such sources, so that none is asked by a whole data centre.
_GOOD_AGE_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class FreshnessSource:
    """A node that can be asked.

    Parameters
    ----------
    name : str
        Its name.
    watches : bool
        Whether the store answers it.
    local : bool
        Whether it is in the same data centre.
    """

    name: str
    watches: bool
    local: bool


class SourceSelector:
    """Remembers how fresh the answers of each node were.

    Parameters
    ----------
    rng : random.Random
        Chooses among equal ones, and one more.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ages: dict[str, tuple[Milliseconds, Milliseconds]] = {}

    def record(self, name: str, age: Milliseconds, now: Milliseconds) -> None:
        """Take in the age of a node's knowledge, as it was received."""
        self._ages[name] = age, now

    def choose(
        self, nodes: Sequence[FreshnessSource], now: Milliseconds, is_urgent: bool
    ) -> list[str]:
        """Return the nodes to ask.

        Parameters
        ----------
        nodes : sequence of FreshnessSource
            Those in reach.
        now : float
            Time.
        is_urgent : bool
            Whether to ask another one at random as well, which finds a way round where
            the likely ones have lost touch themselves.
        """
        if not nodes:
            return []
        first = min(nodes, key=lambda source: self._order(source, now)).name
        other = self._rng.choice(nodes).name
        return [first, other] if is_urgent and other != first else [first]

    def _order(
        self, source: FreshnessSource, now: Milliseconds
    ) -> tuple[bool, bool, Milliseconds, float]:
        age, at = self._ages.get(source.name, (_REMEMBERED_MS, float("-inf")))
        if now - at > _REMEMBERED_MS:
            age = _REMEMBERED_MS
        is_good = age < _GOOD_AGE_MS
        likely = is_good or (source.watches and age == _REMEMBERED_MS)
        rank = 0.0 if is_good else age
        return not likely, not source.local, rank, self._rng.random()

    def forget(self, nodes: Sequence[FreshnessSource]) -> None:
        """Forget the nodes that are not among these."""
        names = {source.name for source in nodes}
        self._ages = {name: age for name, age in self._ages.items() if name in names}
