"""Heartbeats to the successors on the rings, and a watch on the predecessors.

A heartbeat has no reply, so it costs half as much as a probe. A node is probed only
when its heartbeats stop arriving.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds, sleep_ms
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap_node.core.gossip import neighbours
from fuchsiagap_node.core.gossip.probe import probe
from fuchsiagap_node.core.wire.messages_gossip import Heartbeat, Updates

if TYPE_CHECKING:
    from fuchsiagap.core.membership.member import Member
    from fuchsiagap.core.membership.settings import MembershipSettings
    from fuchsiagap.core.membership.table import Membership
    from fuchsiagap_node.core.state import NodeState

_LOG = logging.getLogger(__name__)
# As a fraction of the interval.
_JITTER = 0.1
_MIN_PAUSE_MS = 10.0


def register(state: NodeState) -> None:
    """Register the handler of heartbeats from other nodes.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    membership = state.membership

    async def on_heartbeat(peer: str, msg: Heartbeat) -> None:
        membership.merge(msg.updates, peer)
        same = msg.hash == membership.hash
        membership.contacts.record_contact(peer, same, state.clock.now())
        membership.clear_suspicion(peer)
        claims = neighbours.claims_to_refute(membership, peer)
        if claims:
            await state.peers.notify(claims[0].address, Updates(claims))

    state.handlers.on_notification(Heartbeat, on_heartbeat)


async def send(state: NodeState) -> None:
    """Send heartbeats to the successors on the rings until cancelled.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    interval = state.membership.cfg.heartbeat_interval
    in_progress: set[str] = set()
    async with trio.open_nursery() as nursery:
        while True:
            for member in neighbours.successors(state.membership):
                # Heartbeats must not queue up on a stalled link.
                if member.node not in in_progress:
                    nursery.start_soon(_send_one, state, member, in_progress)
            await sleep_ms(interval * state.rng.uniform(1 - _JITTER, 1 + _JITTER))


async def watch(state: NodeState) -> None:
    """Probe nodes that stop sending heartbeats, and expire suspicions.

    Runs until cancelled.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    membership = state.membership
    watched_nodes = _WatchedNodes()
    async with trio.open_nursery() as nursery:
        while True:
            started = state.clock.now()
            watched_nodes.refresh(membership, started)
            pause = watched_nodes.pause(membership, started)
            await sleep_ms(pause)
            now = state.clock.now()
            if now - started > pause + membership.cfg.stall_slack:
                # This process was paused: the silence of other nodes proves nothing.
                membership.postpone(now - started)
            for node in membership.expire():
                _LOG.info("node %s is marked dead", node)
            if membership.superseded and not state.leaving:
                _LOG.warning("another process now uses the node name %s", state.name)
                state.request_drain()
            for member in watched_nodes.find_silent(membership, now):
                nursery.start_soon(_probe_one, state, member, watched_nodes)


@dataclass(slots=True)
class _WatchedNodes:
    """The nodes whose heartbeats are expected, recomputed when the view changes."""

    version: int = -1
    members: tuple[Member, ...] = ()
    probing: set[str] = field(default_factory=set)

    def refresh(self, membership: Membership, now: Milliseconds) -> None:
        """Recompute the watched nodes if the view has changed.

        Newly watched nodes count as overdue and are probed at once: if a whole rack
        fails, the nodes that watched them before may have failed too.
        """
        if membership.version == self.version:
            return
        self.version = membership.version
        self.members = neighbours.predecessors(membership)
        heard = membership.contacts.last_heard
        for node in heard.keys() - {member.node for member in self.members}:
            del heard[node]
        overdue = now - _max_silence(membership.cfg)
        for member in self.members:
            heard.setdefault(member.node, overdue)

    def pause(self, membership: Membership, now: Milliseconds) -> Milliseconds:
        """Return the time until the next check, in milliseconds.

        It is due when a node may be overdue or a suspicion may expire.
        """
        due = membership.next_deadline()
        for member in self._unsuspected():
            silence = membership.contacts.silence(member.node, now)
            due = min(due, now - silence + _max_silence(membership.cfg))
        # A suspicion that is received during the pause cannot expire within it.
        longest = membership.cfg.suspicion_timeout / 3
        return min(max(due - now, _MIN_PAUSE_MS), longest)

    def find_silent(self, membership: Membership, now: Milliseconds) -> list[Member]:
        """Return the watched nodes that have been silent for too long."""
        longest = _max_silence(membership.cfg)
        return [
            member
            for member in self._unsuspected()
            if membership.contacts.silence(member.node, now) >= longest
        ]

    def _unsuspected(self) -> list[Member]:
        return [
            member
            for member in self.members
            if member.state is not MemberState.SUSPECT
            and member.node not in self.probing
        ]


def _max_silence(cfg: MembershipSettings) -> Milliseconds:
    return cfg.heartbeat_interval * (1 + _JITTER) + cfg.heartbeat_slack


async def _send_one(state: NodeState, member: Member, in_progress: set[str]) -> None:
    membership = state.membership
    claims = neighbours.claims_to_refute(membership, member.node)
    in_progress.add(member.node)
    try:
        with trio.move_on_after(membership.cfg.heartbeat_interval / MS_PER_S):
            msg = Heartbeat(membership.hash, claims)
            await state.peers.notify(member.address, msg)
    finally:
        in_progress.discard(member.node)


async def _probe_one(
    state: NodeState, member: Member, watched_nodes: _WatchedNodes
) -> None:
    watched_nodes.probing.add(member.node)
    try:
        await probe(state, member)
    finally:
        watched_nodes.probing.discard(member.node)
