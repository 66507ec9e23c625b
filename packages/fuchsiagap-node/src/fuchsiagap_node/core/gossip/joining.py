"""Waits until a starting node is known to the others and may serve callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, sleep_ms

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState

_POLL_MS = 20.0


async def wait_until_joined(state: NodeState) -> bool:
    """Wait for a limited time until other nodes know this one.

    A ticket that is used through another node is resolved there by the name of the
    node that issued it, so that name must be known by then. Once another node has the
    record of this one, the record needs some more time to reach the rest.

    Parameters
    ----------
    state : NodeState
        State of this node; `gossip.run` must be running.

    Returns
    -------
    bool
        Whether another node has the record of this one. This node may serve callers
        in either case.
    """
    membership = state.membership
    with trio.move_on_after(membership.cfg.join_timeout / MS_PER_S):
        while not membership.joined:
            await sleep_ms(_POLL_MS)
        await sleep_ms(membership.cfg.join_propagation_delay)
    return membership.joined
