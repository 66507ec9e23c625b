"""Selects the nodes to ask how fresh their configuration is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from fuchsiagap.core.clock import Milliseconds

# Milliseconds for which an answer is used to judge its source.
_RETENTION_MS = 10_000.0
# Ages of a source's configuration below this, in milliseconds, rank equal. Requests
# then spread over all such sources, and no node is asked by a whole data centre.
_FRESH_AGE_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class FreshnessSource:
    """A node that can be asked.

    Parameters
    ----------
    name : str
        Name of the node.
    watches : bool
        Whether it watches the store and the store answers it.
    local : bool
        Whether it is in the same data centre.
    """

    name: str
    watches: bool
    local: bool


class SourceSelector:
    """Ranks nodes by how fresh their last answers were.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, and draws the additional node of an urgent query.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ages: dict[str, tuple[Milliseconds, Milliseconds]] = {}

    def record(self, name: str, age: Milliseconds, now: Milliseconds) -> None:
        """Record the age of a node's configuration, as received in its answer."""
        self._ages[name] = age, now

    def choose(
        self, nodes: Sequence[FreshnessSource], now: Milliseconds, is_urgent: bool
    ) -> list[str]:
        """Return the names of the nodes to ask.

        Parameters
        ----------
        nodes : sequence of FreshnessSource
            Reachable nodes.
        now : float
            Time in milliseconds.
        is_urgent : bool
            Whether to ask a random second node too, which finds a fresh one when the
            highest-ranked ones have lost their own connections.
        """
        if not nodes:
            return []
        first = min(nodes, key=lambda source: self._order(source, now)).name
        second = self._rng.choice(nodes).name
        return [first, second] if is_urgent and second != first else [first]

    def _order(
        self, source: FreshnessSource, now: Milliseconds
    ) -> tuple[bool, bool, Milliseconds, float]:
        """Return the sort key of a node; the smallest is asked first."""
        age, at = self._ages.get(source.name, (_RETENTION_MS, float("-inf")))
        if now - at > _RETENTION_MS:
            age = _RETENTION_MS
        is_fresh = age < _FRESH_AGE_MS
        is_preferred = is_fresh or (source.watches and age == _RETENTION_MS)
        rank = 0.0 if is_fresh else age
        return not is_preferred, not source.local, rank, self._rng.random()

    def forget(self, nodes: Sequence[FreshnessSource]) -> None:
        """Forget all nodes but the given ones."""
        names = {source.name for source in nodes}
        self._ages = {name: age for name, age in self._ages.items() if name in names}
