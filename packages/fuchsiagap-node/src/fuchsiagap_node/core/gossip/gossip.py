"""The tasks and handlers of membership, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core import digest
from fuchsiagap_node.core.gossip import (
    heartbeat,
    probe,
    reachability,
    router_updates,
    spread,
    sync,
)

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState


def register(state: NodeState) -> None:
    """Register who replies to the messages of membership.

    Parameters
    ----------
    state : NodeState
        The node.
    """
    for part in (heartbeat, probe, spread, sync):
        part.register(state)


async def run(state: NodeState) -> None:
    """Keep this node's view of the members, until cancelled.

    Joins through the configured peers or the platform, whichever replies.

    Parameters
    ----------
    state : NodeState
        The node, with its links up.
    """
    tasks = (
        router_updates.run,
        spread.run,
        digest.run,
        sync.run,
        reachability.run,
        heartbeat.send,
        heartbeat.watch,
    )
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task, state)
