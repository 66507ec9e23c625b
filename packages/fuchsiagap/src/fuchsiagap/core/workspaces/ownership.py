"""Which node owns the quota of a workspace, and the share it may grant."""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING

from fuchsiagap.core.routing.subset import rendezvous_rank

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

# Number of nodes that may own one quota; each takes over if those before it are
# unreachable.
_N_CANDIDATES = 5


def candidates(workspace: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return the nodes that may own a quota, in an order that all nodes share.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    nodes : iterable of str
        All known nodes, reachable or not.
    """

    def rank(node: str) -> int:
        return rendezvous_rank(workspace, node)

    return tuple(nsmallest(_N_CANDIDATES, nodes, key=rank))


def owner_of(order: Iterable[str], is_up: Callable[[str], bool]) -> str | None:
    """Return the first candidate that is up; None if none is."""
    return next((node for node in order if is_up(node)), None)


def granted_share(
    own: str, known: Collection[str], reachable: Collection[str], reaches_own: bool
) -> float:
    """Return the share of each quota that a node may grant as its owner.

    Each data centre has an equal share, and a node grants the shares of the data
    centres that it reaches. So the sides of a partition together never exceed the
    quota, while each side continues with its share.

    Parameters
    ----------
    own : str
        Data centre of the node.
    known : collection of str
        Data centres that have nodes.
    reachable : collection of str
        Data centres of which a node is reachable.
    reaches_own : bool
        Whether another node of its own data centre is reachable, there is none, or the
        store answers this node. A node for which none of these holds is itself cut off,
        and its data centre's share belongs to the other nodes there.
    """
    data_centres = {own, *known}
    reached = set(reachable) & data_centres
    if reaches_own:
        reached.add(own)
    return len(reached) / len(data_centres)
