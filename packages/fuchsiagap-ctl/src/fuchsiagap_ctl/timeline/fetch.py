"""Fetching of the event rings of many nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import trio

from fuchsiagap.core.telemetry.events import Event, EventKind
from fuchsiagap_ctl.admin_client import NoReply
from fuchsiagap_ctl.timeline.merge import MissingNode, RingContents, Timeline, merge

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from fuchsiagap.core.telemetry.hlc import Stamp
    from fuchsiagap_ctl.admin_client import AdminClient
    from fuchsiagap_ctl.fleet import FleetNode

_MAX_CONCURRENT_REQUESTS = 24
# Bounds the reading of a ring that is written faster than it is read.
_MAX_PAGES = 100
# Small pages, since a node is blocked while it serializes one.
_PAGE_EVENTS = 1_000
_NODES_PER_PROGRESS_NOTE = 100
_KIND_BY_NAME = {str(kind): kind for kind in EventKind}


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Filter for the events to fetch.

    Parameters
    ----------
    after : int
        Only events with a higher stamp of the hybrid logical clock.
    call, root : str
        Only events of this call, or of this root request; empty for all.
    """

    after: Stamp = 0
    call: str = ""
    root: str = ""


async def fetch(
    client: AdminClient,
    nodes: Sequence[FleetNode],
    event_filter: EventFilter,
    note: Callable[[str], None],
) -> Timeline:
    """Fetch the events of all nodes and merge them.

    Parameters
    ----------
    client : AdminClient
        Sends the requests.
    nodes : sequence of FleetNode
        Nodes to query; those that are gone or have no known address are reported as
        missing.
    event_filter : EventFilter
        Selects the events to fetch.
    note : callable
        Called with lines of progress.

    Returns
    -------
    Timeline
        The events, and the nodes that are missing.
    """
    results: list[RingContents | MissingNode] = []
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

    async def fetch_one(node: FleetNode) -> None:
        async with limiter:
            results.append(await _fetch_ring(client, node, event_filter))
        if len(results) % _NODES_PER_PROGRESS_NOTE == 0:
            note(f"events of {len(results)} of {len(nodes)} nodes fetched")

    async with trio.open_nursery() as nursery:
        for node in nodes:
            nursery.start_soon(fetch_one, node)
    return merge(
        (one for one in results if isinstance(one, RingContents)),
        (one for one in results if isinstance(one, MissingNode)),
    )


async def _fetch_ring(
    client: AdminClient, node: FleetNode, event_filter: EventFilter
) -> RingContents | MissingNode:
    if node.gone or not node.address:
        reason = (
            f"it is {node.state}" if node.gone else "its admin address is not known"
        )
        return MissingNode(node.name, node.address, reason)
    events: list[Event] = []
    overwritten = False
    after = event_filter.after
    for _ in range(_MAX_PAGES):
        params = {
            "after": str(after),
            "call": event_filter.call,
            "root": event_filter.root,
            "limit": str(_PAGE_EVENTS),
        }
        answer = await client.request(
            node.address, "GET", "/v1/events", params=params, with_token=False
        )
        if isinstance(answer, NoReply):
            return MissingNode(node.name, node.address, answer.detail)
        if not answer.ok:
            detail = f"it answered with status {answer.status}"
            return MissingNode(node.name, node.address, detail)
        page = answer.body
        events.extend(_event(one) for one in page["events"])
        overwritten = overwritten or page["overwritten"]
        if not page["more"]:
            return RingContents(node.name, tuple(events), overwritten)
        if not page["events"]:
            break
        after = events[-1].stamp
    return RingContents(node.name, tuple(events), overwritten, truncated=True)


def _event(record: dict[str, Any]) -> Event:
    return Event(
        stamp=record["stamp"],
        process=record["process"],
        kind=_kind(record["kind"]),
        call_id=record["call_id"],
        root_id=record["root_id"],
        detail=record["detail"],
    )


def _kind(name: str) -> EventKind:
    """Return the event kind; the unknown kind of a newer node stays a plain string."""
    return _KIND_BY_NAME.get(name) or cast("EventKind", name)
