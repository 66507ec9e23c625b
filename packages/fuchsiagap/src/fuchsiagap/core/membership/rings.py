"""Who probes whom: the members of each data centre on a few rings.

Each ring of a data centre orders its nodes by another hash, so that all nodes agree
on the order, each node has a few neighbours for long, and the neighbours on all rings
together make a random graph of small diameter.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.membership.member import ring_position

if TYPE_CHECKING:
    from collections.abc import Iterator

_RingEntry = tuple[int, str]


@dataclass(slots=True)
class Rings:
    """The rings of all data centres.

    Parameters
    ----------
    n_rings : int
        Rings of each data centre.
    """

    n_rings: int
    _rings: dict[str, list[list[_RingEntry]]] = field(default_factory=dict)

    def add(self, data_centre: str, node: str) -> None:
        """Put a node on the rings of its data centre."""
        rings = self._rings.setdefault(data_centre, [[] for _ in range(self.n_rings)])
        for number, ring in enumerate(rings):
            insort(ring, (ring_position(f"{number}", node), node))

    def remove(self, data_centre: str, node: str) -> None:
        """Take a node off the rings of its data centre."""
        rings = self._rings[data_centre]
        for number, ring in enumerate(rings):
            del ring[bisect_left(ring, (ring_position(f"{number}", node), node))]
        if not rings[0]:
            del self._rings[data_centre]

    @property
    def data_centres(self) -> tuple[str, ...]:
        """The data centres that have a node on a ring, sorted."""
        return tuple(sorted(self._rings))

    def nodes(self, data_centre: str) -> tuple[str, ...]:
        """Return the nodes of a data centre, in the order of its first ring."""
        rings = self._rings.get(data_centre)
        return tuple(node for _, node in rings[0]) if rings else ()

    def after(self, data_centre: str, ring: int, node: str) -> Iterator[str]:
        """Yield the nodes that follow a node on a ring, once round.

        Parameters
        ----------
        data_centre : str
            Whose ring.
        ring : int
            Number of the ring.
        node : str
            Where to begin; need not be of that data centre, and is not yielded.
        """
        yield from self._walk(data_centre, ring, node, step=1)

    def before(self, data_centre: str, ring: int, node: str) -> Iterator[str]:
        """Yield the nodes that go before a node on a ring, once round."""
        yield from self._walk(data_centre, ring, node, step=-1)

    def _walk(self, data_centre: str, ring: int, node: str, step: int) -> Iterator[str]:
        rings = self._rings.get(data_centre)
        if not rings:
            return
        entries = rings[ring]
        start = bisect_left(entries, (ring_position(f"{ring}", node), node))
        offset = 0 if step > 0 else -1
        for i in range(len(entries)):
            other = entries[(start + offset + step * i) % len(entries)][1]
            if other != node:
                yield other
