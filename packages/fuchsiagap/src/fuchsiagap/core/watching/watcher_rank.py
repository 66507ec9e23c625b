"""Decides on each node whether it watches the store.

If every node watched the store, each change of the configuration would wake all of
them, and each store request is billed: 195 nodes made 14 requests each in 49 s with
three changes. Instead, the first nodes of a data centre in the order of their names
watch, and the others learn of changes over their links.

There is no election. A node considers the nodes that it has links to. A node that does
not watch relies on one with a smaller name that learns of changes. That one watches
itself or relies on a node with a smaller name in turn, so the chain ends at a node that
watches. Nodes that are linked to different nodes cause redundant watches at worst.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.clock import Milliseconds

# Milliseconds by which a node delays, for each node before it, its own requests to a
# store that does not answer those nodes. If the store rejects a third of the nodes, one
# of the first three reaches it in 26 of 27 cases; if it is down, not all nodes ask it.
_TAKEOVER_MS = 800.0


class UpdateSource(IntEnum):
    """How a node learns of changes.

    A node without a source keeps this state until the store answers it again or a node
    with a smaller name has a source. If a node with a larger name counted as a source,
    the two could rely on each other.
    """

    PEERS = 0  # from other nodes
    STORE = 1  # it watches the store, which has answered
    NONE = 2  # the store does not answer, and no node before it has a source


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A reachable node of the same data centre.

    Parameters
    ----------
    name : str
        Name of the node.
    update_source : UpdateSource
        How it learns of changes.
    """

    name: str
    update_source: UpdateSource


@dataclass(frozen=True, slots=True)
class WatcherRank:
    """Whether a node should watch the store, and its position among the others.

    Parameters
    ----------
    should_watch : bool
        Whether too few of the nodes before it learn of changes.
    position : int
        Number of reachable nodes with smaller names.
    others_watch : bool
        Whether any reachable node watches the store.
    """

    should_watch: bool
    position: int
    others_watch: bool

    def is_first(self, n_watchers: int) -> bool:
        """Whether the node is among those that watch when all learn of changes."""
        return self.position < n_watchers

    def takeover_delay(self, n_watchers: int) -> Milliseconds:
        """Return for how long `should_watch` must hold before the node watches."""
        return max(self.position - n_watchers + 1, 0) * _TAKEOVER_MS


def rank_of(own: str, neighbours: Iterable[Neighbour], n_watchers: int) -> WatcherRank:
    """Return the rank of a node.

    Parameters
    ----------
    own : str
        Name of the node.
    neighbours : iterable of Neighbour
        Nodes of its data centre that it has links to.
    n_watchers : int
        Number of nodes per data centre that watch when all learn of changes.
    """
    position = n_updated = 0
    others_watch = False
    for neighbour in neighbours:
        others_watch |= neighbour.update_source is UpdateSource.STORE
        if neighbour.name < own:
            position += 1
            n_updated += neighbour.update_source is not UpdateSource.NONE
    return WatcherRank(n_updated < n_watchers, position, others_watch)
