"""Departures of backend servers, as the nodes remember them for each other.

The node beside a server receives the announcement of its departure. It has no storage
of its own, so other nodes keep a copy and return it to the next process of that node.
Only a later start of the server, or a revocation by its node, ends a departure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Maximum number of departures that are kept for one node. A delayed report of an
# earlier server must not displace that of the last one.
_MAX_PER_NODE = 4
# Maximum number of nodes whose departures are kept.
_MAX_NODES = 1_000


@dataclass(frozen=True, slots=True)
class Departure:
    """An incarnation of a backend server that has announced its departure.

    Parameters
    ----------
    node : str
        Node beside the server.
    instance : str
        Identifier of the server.
    born : int or None
        Start time in Unix milliseconds; None if the server does not state it.
    is_revoked : bool, default=False
        Whether the node beside it has found that the server is not leaving.
    """

    node: str
    instance: str
    born: int | None
    is_revoked: bool = False


class DepartureRegister:
    """The last departures beside each node."""

    def __init__(self) -> None:
        self._by_node: dict[str, dict[str, Departure]] = {}

    def record(self, departure: Departure) -> bool:
        """Record a departure or its revocation; return whether that changes anything.

        Parameters
        ----------
        departure : Departure
            The departure; one of an earlier start than the recorded one has no effect.
        """
        departures = self._by_node.pop(departure.node, {})
        changed = _update(departures, departure)
        if departures:
            self._by_node[departure.node] = departures
        while len(departures) > _MAX_PER_NODE:
            del departures[next(iter(departures))]
        while len(self._by_node) > _MAX_NODES:
            del self._by_node[next(iter(self._by_node))]
        return changed

    def of_node(self, node: str) -> Iterator[Departure]:
        """Yield the departures beside a node, oldest first."""
        yield from self._by_node.get(node, {}).values()

    def __len__(self) -> int:
        return sum(len(departures) for departures in self._by_node.values())


def _update(departures: dict[str, Departure], departure: Departure) -> bool:
    """Apply a departure to those of its node; return whether that changes anything."""
    known = departures.get(departure.instance)
    if departure.is_revoked:
        return departures.pop(departure.instance, None) is not None
    if known == departure or (known is not None and _is_earlier(departure, known)):
        return False
    departures.pop(departure.instance, None)
    departures[departure.instance] = departure
    return True


def _is_earlier(departure: Departure, other: Departure) -> bool:
    """Whether a departure is of an earlier start than another one."""
    if departure.born is None or other.born is None:
        return False
    return departure.born < other.born
