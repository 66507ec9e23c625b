"""Detection of data centres that cannot be reached.

The members of an unreachable data centre are not marked dead: their state cannot be
known from outside, and all of them would have to rejoin one by one.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import sleep_ms
from fuchsiagap_node.core.gossip import neighbours
from fuchsiagap_node.core.gossip.probe import ping, was_paused

if TYPE_CHECKING:
    from fuchsiagap.core.membership.member import Member
    from fuchsiagap_node.core.state import NodeState

_LOG = logging.getLogger(__name__)
# As a fraction of the interval.
_JITTER = 0.1


async def run(state: NodeState) -> None:
    """Probe the other data centres in turn until cancelled.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    cfg = state.membership.cfg
    offset = 0
    async with trio.open_nursery() as nursery:
        while True:
            names = neighbours.other_data_centres(state.membership)
            count = min(cfg.n_cross_probes, len(names))
            due = {names[(offset + i) % len(names)] for i in range(count)}
            offset += count
            for name in sorted(due | state.membership.unreachable):
                nursery.start_soon(_probe_data_centre, state, name)
            interval = cfg.cross_probe_interval
            await sleep_ms(interval * state.rng.uniform(1 - _JITTER, 1 + _JITTER))


async def _probe_data_centre(state: NodeState, data_centre: str) -> None:
    """Probe one node of a data centre; if it does not reply, probe some more."""
    membership = state.membership
    cfg = membership.cfg
    started = state.clock.now()
    members = neighbours.in_data_centre(
        membership, data_centre, 1 + cfg.cross_probe_attempts
    )
    reached = await _any_replies(state, members[:1])
    reached = reached or await _any_replies(state, members[1:])
    if not reached and was_paused(state, started, 2 * cfg.probe_timeout):
        return
    is_reachable = reached or not members
    if membership.set_reachable(data_centre, is_reachable):
        _LOG.info("data centre %s reachable: %s", data_centre, is_reachable)
    if not reached and len(members) == 1:
        # A single node has no neighbour in its data centre to detect its failure.
        membership.suspect(members[0].node, members[0].incarnation)


async def _any_replies(state: NodeState, members: tuple[Member, ...]) -> bool:
    reached = False

    async def ping_member(member: Member) -> None:
        nonlocal reached
        if await ping(state, member.node, member.address) is not None:
            reached = True

    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(ping_member, member)
    return reached
