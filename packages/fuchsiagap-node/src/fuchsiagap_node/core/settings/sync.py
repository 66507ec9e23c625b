"""Synchronization of all settings: with the platform and between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.settings import spread, watch

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState


def register(state: NodeState) -> None:
    """Register the handlers of the messages about settings.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    spread.register(state)
    watch.register(state)


async def run(state: NodeState) -> None:
    """Keep the settings of all teams up to date until cancelled.

    Parameters
    ----------
    state : NodeState
        State of this node; its links must be up.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.bootstrap, state)
        nursery.start_soon(watch.run_watch, state)
        nursery.start_soon(watch.run_proxy_watch, state)
        nursery.start_soon(spread.announce_adopted, state)
        nursery.start_soon(spread.compare_periodically, state)
