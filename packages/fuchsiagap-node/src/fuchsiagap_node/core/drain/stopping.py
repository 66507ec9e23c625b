"""Graceful shutdown: no new work, every request in progress ends, then stop."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Reason
from fuchsiagap.core.clock import MS_PER_S, sleep_ms
from fuchsiagap.core.membership.member import Member, MemberState
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap_node.core.drain.handover import HandedOver, hand_over
from fuchsiagap_node.core.gossip import neighbours
from fuchsiagap_node.core.wire.messages_gossip import Leaving

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState

_LOG = logging.getLogger(__name__)


def register(state: NodeState) -> None:
    """Take the word of other nodes that they are leaving.

    Parameters
    ----------
    state : NodeState
        The node.
    """

    async def on_leaving(peer: str, msg: Leaving) -> None:
        state.membership.apply(msg.member, peer)

    state.handlers.on_notification(Leaving, on_leaving)


async def drain(state: NodeState, reason: str) -> None:
    """Leave without cutting a request; returns when the process may exit.

    Parameters
    ----------
    state : NodeState
        The node, whose other tasks go on running meanwhile.
    reason : str
        Why, for people.

    Notes
    -----
    New work is refused from the first step on, truthfully, so it does not matter
    whom the notices do not reach. Nothing here waits for the platform. There is no
    time limit but the deadlines of the calls.
    """
    membership = state.membership
    state.telemetry.ring.record(EventKind.DRAIN_STARTED, reason=reason)
    state.leaving = True
    state.gate.refuse_waiting(Reason.LEAVING)
    await _tell(state, membership.describe_self(MemberState.LEAVING))
    # Before the requests end, since holders of tickets could start new ones for long.
    successor = await _hand_over_tickets(state)
    if successor:
        incarnation = state.tickets.own.incarnation
        await _tell(state, membership.describe_hand_over(successor, incarnation))
    await _until_idle(state)
    await _tell(state, membership.describe_self(MemberState.LEFT))
    await sleep_ms(membership.cfg.drain_linger)
    # What came meanwhile, such as a question about a ticket, has its answer too.
    await _until_idle(state)
    state.telemetry.ring.record(EventKind.DRAIN_FINISHED, successor=successor)


async def _tell(state: NodeState, word: Member) -> None:
    """Tell every linked node and the neighbours; wait only for what gets through."""
    msg = Leaving(word)
    await state.peers.notify_linked(msg)
    linked = set(state.peers.linked())
    with trio.move_on_after(state.membership.cfg.drain_notice / MS_PER_S):
        async with trio.open_nursery() as nursery:
            for member in neighbours.gossip_targets(state.membership):
                if member.address not in linked:
                    nursery.start_soon(state.peers.notify, member.address, msg)


async def _hand_over_tickets(state: NodeState) -> str:
    """Hand the tickets to another node, and wait for the runs; return its name."""
    for member in _successors(state):
        result = await hand_over(state, member.address)
        if isinstance(result, HandedOver):
            return member.node
        _LOG.info("%s did not take the tickets: %s", member.node, result.detail)
        if not result.may_try_another:
            break
    return ""


def _successors(state: NodeState) -> list[Member]:
    """Return nodes that may take the tickets, those of the own data centre first."""
    membership = state.membership
    me = membership.self_member
    fit = [
        member
        for member in membership.members()
        if member.state is MemberState.ALIVE
        and member.node != me.node
        and member.data_centre not in membership.unreachable
    ]
    state.rng.shuffle(fit)
    fit.sort(key=lambda member: member.data_centre != me.data_centre)
    return fit[: membership.cfg.max_successors]


async def _until_idle(state: NodeState) -> None:
    """Wait until no request is in progress here and no run of a ticket goes on."""
    while state.calls.busy():
        state.calls.idle = trio.Event()
        await state.calls.idle.wait()
    for window in state.tickets.windows():
        for record in tuple(window.records.values()):
            if record.elsewhere or record.outcome is not None:
                continue
            if record.ended is None:
                record.ended = trio.Event()
            if record.last is None:
                await record.ended.wait()
