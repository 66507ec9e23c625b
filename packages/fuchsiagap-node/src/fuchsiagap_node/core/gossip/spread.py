"""Dissemination of membership changes to the gossip targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import sleep_ms
from fuchsiagap_node.core.gossip import neighbours
from fuchsiagap_node.core.wire.messages_gossip import Updates

if TYPE_CHECKING:
    from fuchsiagap.core.membership.member import Member
    from fuchsiagap_node.core.state import NodeState

_SEND_TIMEOUT_S = 1.0


@dataclass(slots=True)
class _Progress:
    """Progress of the dissemination, by numbers in the log of changes.

    Attributes
    ----------
    last_sent : dict
        Number of the last change sent to each target.
    last_round : int
        Number of the last change at the end of the previous round.
    in_progress : set of str
        Targets to which a message is being sent.
    """

    last_sent: dict[str, int] = field(default_factory=dict)
    last_round: int = 0
    in_progress: set[str] = field(default_factory=set)


def register(state: NodeState) -> None:
    """Register the handler of changes sent by other nodes.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """

    async def on_updates(peer: str, msg: Updates) -> None:
        state.membership.merge(msg.members, peer)

    state.handlers.on_notification(Updates, on_updates)


async def run(state: NodeState) -> None:
    """Send changes to the gossip targets soon after they occur, until cancelled.

    A failed send is not repeated: the comparison of view hashes finds what the target
    missed.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    membership = state.membership
    changed = trio.Event()

    def wake(_known: Member | None, _member: Member) -> None:
        changed.set()

    membership.on_change(wake)
    progress = _Progress()
    async with trio.open_nursery() as nursery:
        while True:
            changed = trio.Event()
            more = False
            for member in neighbours.gossip_targets(membership):
                if member.node not in progress.in_progress:
                    more |= _send_changes(state, progress, nursery, member)
            progress.last_round = membership.log.last
            _drop_old_targets(progress, state)
            if not more:
                await changed.wait()
            await sleep_ms(membership.cfg.flush_delay)


def _send_changes(
    state: NodeState, progress: _Progress, nursery: trio.Nursery, member: Member
) -> bool:
    """Start sending a target its next changes; return whether there are more."""
    membership = state.membership
    is_new = member.node not in progress.last_sent
    # A new target got the earlier changes from its previous neighbours.
    last_sent = progress.last_sent.setdefault(member.node, progress.last_round)
    changes = membership.log.after(last_sent)
    batch = changes[: membership.cfg.max_updates]
    updates = [membership.get(c.node) for c in batch if c.source != member.node]
    if is_new:
        updates.append(membership.self_member)
    if batch:
        progress.last_sent[member.node] = batch[-1].number
    members = tuple(update for update in updates if update is not None)
    if members:
        progress.in_progress.add(member.node)
        nursery.start_soon(_send, state, progress, member, Updates(members))
    return len(batch) < len(changes)


async def _send(
    state: NodeState, progress: _Progress, member: Member, msg: Updates
) -> None:
    try:
        with trio.move_on_after(_SEND_TIMEOUT_S):
            await state.peers.notify(member.address, msg)
    finally:
        progress.in_progress.discard(member.node)


def _drop_old_targets(progress: _Progress, state: NodeState) -> None:
    nodes = {member.node for member in neighbours.gossip_targets(state.membership)}
    for node in progress.last_sent.keys() - nodes:
        del progress.last_sent[node]
