"""Graceful shutdown: refuse new work, finish requests in progress, then leave."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Reason
from fuchsiagap.core.clock import MS_PER_S, sleep_ms
from fuchsiagap.core.membership.member import Member, MemberState
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap_node.core.drain.handover import HandOverCompleted, hand_over
from fuchsiagap_node.core.gossip import neighbours
from fuchsiagap_node.core.wire.messages_gossip import Leaving

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState

_LOG = logging.getLogger(__name__)


def register(state: NodeState) -> None:
    """Register the handler of notices that another node is leaving.

    Parameters
    ----------
    state : NodeState
        The node.
    """

    async def on_leaving(peer: str, msg: Leaving) -> None:
        state.membership.apply(msg.member, peer)

    state.handlers.on_notification(Leaving, on_leaving)


async def drain(state: NodeState, reason: str) -> None:
    """Leave without interrupting a request; return when the process may exit.

    Parameters
    ----------
    state : NodeState
        The node; its other tasks must keep running meanwhile.
    reason : str
        Reason of the shutdown, for the event ring.

    Notes
    -----
    New work is refused from the first step on and callers may retry it elsewhere, so
    notices that do not arrive do no harm. No step waits for the platform. The only
    time limits on requests in progress are their own deadlines.
    """
    membership = state.membership
    state.telemetry.ring.record(EventKind.DRAIN_STARTED, reason=reason)
    state.leaving = True
    state.gate.refuse_waiting(Reason.LEAVING)
    await _announce(state, membership.announce_state(MemberState.LEAVING))
    # Before the wait for requests in progress, since callers with unused tickets could
    # otherwise keep starting new runs.
    successor = await _hand_over_tickets(state)
    if successor:
        incarnation = state.tickets.own.incarnation
        await _announce(state, membership.announce_hand_over(successor, incarnation))
    await _wait_until_idle(state)
    await _announce(state, membership.announce_state(MemberState.LEFT))
    # This node forwards calls with its tickets until others know the successor.
    await sleep_ms(membership.cfg.drain_relay_time)
    # Requests that arrived since, such as settlements of tickets, are answered too.
    await _wait_until_idle(state)
    state.telemetry.ring.record(EventKind.DRAIN_FINISHED, successor=successor)


async def _announce(state: NodeState, update: Member) -> None:
    """Send an update to linked nodes, and to other neighbours within a time limit."""
    msg = Leaving(update)
    await state.peers.notify_linked(msg)
    linked = set(state.peers.linked())
    with trio.move_on_after(state.membership.cfg.drain_notice_timeout / MS_PER_S):
        async with trio.open_nursery() as nursery:
            for member in neighbours.gossip_targets(state.membership):
                if member.address not in linked:
                    nursery.start_soon(state.peers.notify, member.address, msg)


async def _hand_over_tickets(state: NodeState) -> str:
    """Hand the tickets over; return the successor's name, or an empty string."""
    for member in _successors(state):
        result = await hand_over(state, member.address)
        if isinstance(result, HandOverCompleted):
            return member.node
        _LOG.info("%s did not take over the tickets: %s", member.node, result.detail)
        if not result.may_try_another:
            break
    return ""


def _successors(state: NodeState) -> list[Member]:
    """Return candidate successors, those of the same data centre first."""
    membership = state.membership
    self_member = membership.self_member
    candidates = [
        member
        for member in membership.members()
        if member.state is MemberState.ALIVE
        and member.node != self_member.node
        and member.data_centre not in membership.unreachable
    ]
    state.rng.shuffle(candidates)
    candidates.sort(key=lambda member: member.data_centre != self_member.data_centre)
    return candidates[: membership.cfg.max_successors]


async def _wait_until_idle(state: NodeState) -> None:
    """Wait until no request and no local run of a ticket is in progress."""
    while state.calls.has_calls():
        state.calls.idle = trio.Event()
        await state.calls.idle.wait()
    for window in state.tickets.windows():
        for record in tuple(window.records.values()):
            if record.is_remote or record.outcome is not None:
                continue
            if record.ended is None:
                record.ended = trio.Event()
            if record.final_outcome is None:
                await record.ended.wait()
