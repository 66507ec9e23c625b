"""When a starting node is known well enough to serve callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, sleep_ms

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState

_POLL_MS = 20.0


async def wait_until_joined(state: NodeState) -> bool:
    """Wait until other nodes know this one; not for long if there are none.

    A ticket that is used through another node is looked up there by the name of the
    node that issued it, which has to be known by then.

    Parameters
    ----------
    state : NodeState
        The node; `gossip.run` runs.

    Returns
    -------
    bool
        Whether another node has this one's record. It may serve in any case.
    """
    membership = state.membership
    with trio.move_on_after(membership.cfg.join_limit / MS_PER_S):
        while not membership.settled:
            await sleep_ms(_POLL_MS)
        await sleep_ms(membership.cfg.join_spread)
    return membership.settled
