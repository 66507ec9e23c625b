"""Direct and indirect probes; a node that no probe reaches becomes suspect."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap_node.core.gossip import neighbours
from fuchsiagap_node.core.wire.messages_gossip import (
    Ack,
    Ping,
    PingReport,
    PingRequest,
)

if TYPE_CHECKING:
    from fuchsiagap.core.membership.member import Member
    from fuchsiagap_node.core.state import NodeState

# Time limit of direct and indirect probes together, in probe timeouts: one for the
# probe that a helper makes, and the rest for its report to return.
_INDIRECT_TIMEOUT_FACTOR = 1.5


def register(state: NodeState) -> None:
    """Register the handlers that answer probes and make indirect probes.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    membership = state.membership

    async def on_ping(peer: str, msg: Ping) -> Ack:
        membership.merge(msg.updates, peer)
        claims = neighbours.claims_to_refute(membership, peer)
        return Ack(membership.name, membership.hash, claims)

    async def on_ping_request(_peer: str, msg: PingRequest) -> PingReport:
        ack = await ping(state, msg.target, msg.address)
        return PingReport(reached=ack is not None)

    state.handlers.on_request(Ping, on_ping)
    state.handlers.on_request(PingRequest, on_ping_request)


async def ping(state: NodeState, target: str, address: str) -> Ack | None:
    """Probe a node once.

    Parameters
    ----------
    state : NodeState
        State of the probing node.
    target : str
        Name of the node that should reply.
    address : str
        ``IP:PORT`` of the node.

    Returns
    -------
    Ack or None
        The reply; None if there was none in time, or one from another node.
    """
    membership = state.membership
    claims = neighbours.claims_to_refute(membership, target)
    reply: object = None
    with trio.move_on_after(membership.cfg.probe_timeout / MS_PER_S):
        reply = await state.peers.ask(address, Ping(target, claims))
    if not isinstance(reply, Ack) or reply.node != target:
        return None
    membership.merge(reply.updates, target)
    membership.clear_suspicion(target)
    same = reply.hash == membership.hash
    membership.contacts.record_contact(target, same, state.clock.now())
    return reply


async def probe(state: NodeState, member: Member) -> bool:
    """Probe a node directly and through helpers; suspect it if no probe reaches it.

    It is not suspected if this process was paused meanwhile.

    Parameters
    ----------
    state : NodeState
        State of the probing node.
    member : Member
        The node to probe.

    Returns
    -------
    bool
        Whether it replied to this node or to a helper.
    """
    started = state.clock.now()
    timeout = _INDIRECT_TIMEOUT_FACTOR * state.membership.cfg.probe_timeout
    reached = await _probe_all_paths(state, member, timeout)
    if reached:
        # A helper may have reached it: then only the direct link is broken.
        state.membership.contacts.last_heard[member.node] = state.clock.now()
    elif not was_paused(state, started, timeout):
        state.membership.suspect(member.node, member.incarnation)
    return reached


def was_paused(state: NodeState, started: Milliseconds, expected: Milliseconds) -> bool:
    """Return whether this process was paused, which makes its timeouts meaningless.

    Parameters
    ----------
    state : NodeState
        State of this node.
    started : float
        Start of the wait, in milliseconds.
    expected : float
        Longest time the wait should have taken, in milliseconds.
    """
    taken = state.clock.now() - started
    return taken > expected + state.membership.cfg.stall_slack


async def _probe_all_paths(
    state: NodeState, member: Member, timeout: Milliseconds
) -> bool:
    reached = False
    with trio.move_on_after(timeout / MS_PER_S):
        async with trio.open_nursery() as nursery:

            async def report(is_reached: bool) -> None:
                nonlocal reached
                if is_reached:
                    reached = True
                    nursery.cancel_scope.cancel()

            async def probe_directly() -> None:
                ack = await ping(state, member.node, member.address)
                await report(ack is not None)

            async def probe_through(helper: Member) -> None:
                request = PingRequest(member.node, member.address)
                reply = await state.peers.ask(helper.address, request)
                await report(isinstance(reply, PingReport) and reply.reached)

            nursery.start_soon(probe_directly)
            for helper in _choose_helpers(state, member):
                nursery.start_soon(probe_through, helper)
    return reached


def _choose_helpers(state: NodeState, member: Member) -> list[Member]:
    """Return a few live gossip targets, which are mostly linked already."""
    membership = state.membership
    candidates = [
        other
        for other in neighbours.gossip_targets(membership)
        if other.node != member.node and other.state is MemberState.ALIVE
    ]
    return state.rng.sample(candidates, min(membership.cfg.n_indirect, len(candidates)))
