"""Selection of the nodes to monitor and of the nodes to send changes to."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from fuchsiagap.core.membership.member import MemberState, ring_position

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.membership.member import Member
    from fuchsiagap.core.membership.table import Membership


def successors(membership: Membership) -> tuple[Member, ...]:
    """Return the nodes to which this node sends heartbeats.

    On each ring, this is the next node. If that one is suspected, the node after it
    is included too, so that the failure of adjacent nodes is detected at once and
    not one by one.
    """
    return _ring_neighbours(membership, membership.rings.after)


def predecessors(membership: Membership) -> tuple[Member, ...]:
    """Return the nodes from which this node expects heartbeats; see `successors`."""
    return _ring_neighbours(membership, membership.rings.before)


def gossip_targets(membership: Membership) -> tuple[Member, ...]:
    """Return the nodes to which this node sends membership changes.

    These are its successors on the rings of its own data centre, to which links are
    open already, and one node in each of a few other data centres.
    """
    found = {member.node: member for member in successors(membership)}
    for data_centre in _target_data_centres(membership):
        for member in in_data_centre(membership, data_centre, count=1):
            found[member.node] = member
    return tuple(found.values())


def other_data_centres(membership: Membership) -> tuple[str, ...]:
    """Return all other data centres in order, starting after this node's own."""
    own = membership.self_member.data_centre
    names = [name for name in membership.rings.data_centres if name != own]
    start = sum(name < own for name in names)
    return tuple(names[start:] + names[:start])


def in_data_centre(
    membership: Membership, data_centre: str, count: int
) -> tuple[Member, ...]:
    """Return the next `count` nodes on the first ring of another data centre.

    The result stays the same while these nodes are live.
    """
    nodes = membership.rings.after(data_centre, 0, membership.name)
    members = (membership.get(node) for node in islice(nodes, count))
    return tuple(member for member in members if member is not None)


def claims_to_refute(membership: Membership, node: str) -> tuple[Member, ...]:
    """Return a node's record if it says that the node is suspect or dead.

    The node has to refute such a record.
    """
    known = membership.get(node)
    if known is None or known.state not in (MemberState.SUSPECT, MemberState.DEAD):
        return ()
    return (known,)


def _ring_neighbours(
    membership: Membership, walk: Callable[[str, int, str], Iterator[str]]
) -> tuple[Member, ...]:
    self_member = membership.self_member
    found: dict[str, Member] = {}
    for ring in range(membership.cfg.n_rings):
        for node in walk(self_member.data_centre, ring, self_member.node):
            member = membership.get(node)
            if member is None:
                continue
            found[node] = member
            if member.state is not MemberState.SUSPECT:
                break
    return tuple(found.values())


def _target_data_centres(membership: Membership) -> tuple[str, ...]:
    """Return the data centres to which this node sends changes.

    The first is the next one in order, so that a chain connects all data centres. The
    others differ from node to node and are shortcuts in that chain.
    """
    names = other_data_centres(membership)
    count = membership.cfg.n_cross_probes
    others = sorted(names[1:], key=lambda name: ring_position(name, membership.name))
    return (*names[:1], *others)[:count]
