"""Rings of members, which determine the nodes that monitor each other.

Each ring of a data centre orders its nodes by a different hash. So all nodes agree on
the order, each node keeps the same few neighbours, and the neighbours on all rings
together form a random graph of small diameter.
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
    """Rings of all data centres.

    Parameters
    ----------
    n_rings : int
        Number of rings of each data centre.
    """

    n_rings: int
    _rings: dict[str, list[list[_RingEntry]]] = field(default_factory=dict)

    def add(self, data_centre: str, node: str) -> None:
        """Add a node to the rings of its data centre."""
        rings = self._rings.setdefault(data_centre, [[] for _ in range(self.n_rings)])
        for number, ring in enumerate(rings):
            insort(ring, (ring_position(f"{number}", node), node))

    def remove(self, data_centre: str, node: str) -> None:
        """Remove a node from the rings of its data centre."""
        rings = self._rings[data_centre]
        for number, ring in enumerate(rings):
            del ring[bisect_left(ring, (ring_position(f"{number}", node), node))]
        if not rings[0]:
            del self._rings[data_centre]

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Sorted names of the data centres with at least one node."""
        return tuple(sorted(self._rings))

    def nodes(self, data_centre: str) -> tuple[str, ...]:
        """Return the nodes of a data centre in the order of its first ring."""
        rings = self._rings.get(data_centre)
        return tuple(node for _, node in rings[0]) if rings else ()

    def after(self, data_centre: str, ring: int, node: str) -> Iterator[str]:
        """Yield the nodes that follow a node on a ring, in one full turn.

        Parameters
        ----------
        data_centre : str
            Data centre of the ring.
        ring : int
            Index of the ring.
        node : str
            Node to start from, which is not yielded. It need not be in the data centre.
        """
        yield from self._walk(data_centre, ring, node, step=1)

    def before(self, data_centre: str, ring: int, node: str) -> Iterator[str]:
        """Yield the nodes that precede a node on a ring; see `after`."""
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
