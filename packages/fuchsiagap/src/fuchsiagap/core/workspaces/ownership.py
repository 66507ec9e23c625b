"""Which node owns the quota of a workspace, and how much of it."""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING

from fuchsiagap.core.routing.subset import rendezvous_rank

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

# Nodes that may own a quota where those before them are out of reach.
_MOST_CANDIDATES = 5


def candidates(workspace: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return the nodes that may own a quota, in order, the same at every node.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    nodes : iterable of str
        All nodes that are known, in reach or not.
    """

    def rank(node: str) -> int:
        return rendezvous_rank(workspace, node)

    return tuple(nsmallest(_MOST_CANDIDATES, nodes, key=rank))


def owner_of(order: Iterable[str], is_up: Callable[[str], bool]) -> str | None:
    """Return the first candidate that is up; None if none is."""
    return next((node for node in order if is_up(node)), None)


def granted_share(
    own: str, known: Collection[str], heard: Collection[str], reaches_own: bool
) -> float:
    """Return the part of each quota that a node may hand out as its owner.

    Each data centre stands for an equal part, and a node hands out the parts of those
    that it hears: on both sides of a partition together they are never above the whole,
    while a side goes on with its part.

    Parameters
    ----------
    own : str
        Data centre of the node.
    known : collection of str
        Data centres that have nodes.
    heard : collection of str
        Data centres of which a node is heard.
    reaches_own : bool
        Whether a node of its own data centre is heard, or there is no other, or the
        store answers this node: one that hears nobody is cut off by itself, and those
        beside it count for their data centre.
    """
    places = {own, *known}
    reached = set(heard) & places
    if reaches_own:
        reached.add(own)
    return len(reached) / len(places)
