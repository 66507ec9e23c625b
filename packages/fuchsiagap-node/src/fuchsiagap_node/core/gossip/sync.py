"""Anti-entropy: exchange of differing records between nodes; also used to join."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap_node.core.wire.messages_gossip import SyncReply, SyncRequest, Updates

if TYPE_CHECKING:
    from fuchsiagap.core.membership.member import Member
    from fuchsiagap_node.core.state import NodeState

# Maximum number of records in a reply.
_MAX_MEMBERS = 256
# Maximum number of requests in one sync.
_MAX_ROUNDS = 256
_TIMEOUT_S = 1.0
_DEAD_CONTACTS_PER_INTERVAL = 3.0


def register(state: NodeState) -> None:
    """Register the handler of sync requests from other nodes.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """

    async def on_sync(_peer: str, msg: SyncRequest) -> SyncReply:
        return _make_reply(state, msg)

    state.handlers.on_request(SyncRequest, on_sync)


async def run(state: NodeState) -> None:
    """Join, then sync with nodes whose views differ, until cancelled.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    contacts = state.membership.contacts
    while True:
        for address in _sync_addresses(state):
            if await sync_with(state, address):
                break
        with trio.move_on_after(_pause_s(state)):
            await contacts.sync_due.wait()


async def sync_with(state: NodeState, address: str) -> bool:
    """Exchange differing records with another node until both views agree.

    Parameters
    ----------
    state : NodeState
        State of this node.
    address : str
        ``IP:PORT`` of the other node.

    Returns
    -------
    bool
        Whether the views agree now; False if a reply was missing or the rounds ran out.
    """
    membership = state.membership
    for _ in range(_MAX_ROUNDS):
        reply = await _request(state, address)
        if reply is None:
            return False
        # A joining node does not pass on records, as its neighbours have them already.
        membership.merge(reply.members, reply.node, spread=membership.joined)
        await _send_newer(state, address, reply)
        if len(reply.buckets) >= reply.n_differing:
            membership.joined = True
            return True
    return False


async def _request(state: NodeState, address: str) -> SyncReply | None:
    reply: object = None
    request = SyncRequest(state.membership.digest(), _MAX_MEMBERS)
    with trio.move_on_after(_TIMEOUT_S):
        reply = await state.peers.ask(address, request)
    if isinstance(reply, SyncReply) and reply.node != state.membership.name:
        return reply
    return None


def _make_reply(state: NodeState, msg: SyncRequest) -> SyncReply:
    membership = state.membership
    differing = list(membership.differing(msg.digest))
    n_differing = len(differing)
    # In random order, so that buckets whose exchange fails repeatedly do not block the
    # others.
    state.rng.shuffle(differing)
    buckets: list[int] = []
    members: list[Member] = []
    for number in differing:
        found = membership.bucket(number)
        if buckets and len(members) + len(found) > msg.max_members:
            break
        buckets.append(number)
        members += found
    return SyncReply(membership.name, tuple(buckets), tuple(members), n_differing)


async def _send_newer(state: NodeState, address: str, reply: SyncReply) -> None:
    """Send back this node's newer records in the buckets of a reply."""
    membership = state.membership
    remote_members = {member.node: member for member in reply.members}
    newer = [
        member
        for number in reply.buckets
        for member in membership.bucket(number)
        if remote_members.get(member.node) != member
    ]
    size = membership.cfg.max_updates
    for start in range(0, len(newer), size):
        msg = Updates(tuple(newer[start : start + size]))
        with trio.move_on_after(_TIMEOUT_S):
            await state.peers.notify(address, msg)


def _pause_s(state: NodeState) -> float:
    interval = state.membership.cfg.sync_interval / MS_PER_S
    return interval * state.rng.uniform(0.8, 1.2)


def _sync_addresses(state: NodeState) -> list[str]:
    """Return the addresses to try for a sync, which ends at the first success."""
    membership = state.membership
    differing = map(membership.get, membership.contacts.take_mismatches())
    found = [member.address for member in differing if member is not None]
    found += _sample_dead(state)
    if not membership.joined or _is_alone(state):
        found += state.cfg.peers.first
        found += [m.address for m in membership.members() if not m.gone]
    state.rng.shuffle(found)
    own = membership.self_member.address
    return [address for address in dict.fromkeys(found) if address != own]


def _is_alone(state: NodeState) -> bool:
    membership = state.membership
    own_name = membership.self_member.node
    return all(m.gone or m.node == own_name for m in membership.members())


def _sample_dead(state: NodeState) -> list[str]:
    """Return, with some probability, the address of a random dead node.

    The node may be live in another partition. All nodes of a data centre together
    make about `_DEAD_CONTACTS_PER_INTERVAL` such contacts in each interval; if there
    are fewer nodes, each makes one.
    """
    membership = state.membership
    dead = [m for m in membership.members() if m.state is MemberState.DEAD]
    if not dead:
        return []
    own = membership.self_member.data_centre
    n_live = len(membership.rings.nodes(own))
    if state.rng.random() * n_live > _DEAD_CONTACTS_PER_INTERVAL:
        return []
    return [state.rng.choice(dead).address]
