"""Registers the handlers of membership messages and runs the membership tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core import member_digest
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
    """Register the handlers of all membership messages.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    for part in (heartbeat, probe, spread, sync):
        part.register(state)


async def run(state: NodeState) -> None:
    """Maintain this node's view of the members until cancelled.

    The node joins through the configured peers or the platform, whichever replies.

    Parameters
    ----------
    state : NodeState
        State of this node; its links must be up.
    """
    tasks = (
        router_updates.run,
        spread.run,
        member_digest.run,
        sync.run,
        reachability.run,
        heartbeat.send,
        heartbeat.watch,
    )
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task, state)
