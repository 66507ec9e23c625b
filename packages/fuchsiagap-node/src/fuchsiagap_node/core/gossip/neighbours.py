"""Which nodes a node watches and which it passes changes on to."""

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

    On each ring the next node; beyond one that is suspected, the one after it too, so
    that the loss of neighbouring nodes is noticed at once and not one by one.
    """
    return _ring_neighbours(membership, membership.rings.after)


def predecessors(membership: Membership) -> tuple[Member, ...]:
    """Return the nodes from which this node expects heartbeats; see `successors`."""
    return _ring_neighbours(membership, membership.rings.before)


def gossip_targets(membership: Membership) -> tuple[Member, ...]:
    """Return the nodes to which this node passes changes on.

    The next ones on the rings of its own data centre, where links are open already,
    and one node in each of a few other data centres.
    """
    found = {member.node: member for member in successors(membership)}
    for data_centre in _target_data_centres(membership):
        for member in in_data_centre(membership, data_centre, count=1):
            found[member.node] = member
    return tuple(found.values())


def other_data_centres(membership: Membership) -> tuple[str, ...]:
    """Return all other data centres, beginning after the own one."""
    own = membership.self_member.data_centre
    names = [name for name in membership.rings.data_centres if name != own]
    start = sum(name < own for name in names)
    return tuple(names[start:] + names[:start])


def in_data_centre(
    membership: Membership, data_centre: str, count: int
) -> tuple[Member, ...]:
    """Return a few nodes of another data centre, always the same while they live."""
    nodes = membership.rings.after(data_centre, 0, membership.name)
    members = (membership.get(node) for node in islice(nodes, count))
    return tuple(member for member in members if member is not None)


def claims_to_refute(membership: Membership, node: str) -> tuple[Member, ...]:
    """Return what a node has to refute, if anything."""
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
    """Return the data centres to which this node passes changes on.

    The next one, so that a chain joins them all; and some that differ from node to
    node, so that the chain has short cuts.
    """
    names = other_data_centres(membership)
    count = membership.cfg.n_cross_probes
    others = sorted(names[1:], key=lambda name: ring_position(name, membership.name))
    return (*names[:1], *others)[:count]
