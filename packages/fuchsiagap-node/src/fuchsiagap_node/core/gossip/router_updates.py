"""Updates the router when the view changes, and closes links to dead nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import sleep_ms
from fuchsiagap.core.membership.member import MemberState

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState

_COALESCE_MS = 10.0


async def run(state: NodeState) -> None:
    """Keep the router's list of instances up to date with the view until cancelled.

    Parameters
    ----------
    state : NodeState
        State of this node.
    """
    membership = state.membership
    changed = trio.Event()

    def wake() -> None:
        changed.set()

    membership.on_instances(wake)
    previous: dict[str, str] = {}
    while True:
        changed = trio.Event()
        instances = membership.instances()
        state.router.update(instances)
        current = {instance.node: instance.address for instance in instances}
        _drop_links(state, previous, current)
        previous = current
        await changed.wait()
        await sleep_ms(_COALESCE_MS)


def _drop_links(
    state: NodeState, previous: dict[str, str], current: dict[str, str]
) -> None:
    """Close links to nodes that died, so that the calls on them end.

    A host that failed does not close or reset its connections.
    """
    in_use = set(current.values())
    for node in previous.keys() - current.keys():
        member = state.membership.get(node)
        is_dead = member is not None and member.state is MemberState.DEAD
        if is_dead and previous[node] not in in_use:
            state.peers.drop(previous[node])
