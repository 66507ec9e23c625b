"""Rendering of a timeline as text or JSON lines."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.telemetry.events import event_to_dict
from fuchsiagap.core.telemetry.hlc import wall_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.telemetry.events import Event
    from fuchsiagap_ctl.timeline.merge import Timeline


def text_lines(timeline: Timeline) -> Iterator[str]:
    """Yield the lines of a timeline as text.

    Parameters
    ----------
    timeline : Timeline
        The timeline.

    Yields
    ------
    str
        A summary, a line for each gap, then a line for each event.
    """
    yield _summary(timeline)
    yield from gap_lines(timeline)
    if not timeline.events:
        return
    start = wall_of(timeline.events[0].stamp)
    width = max(len(event.process) for event in timeline.events)
    for event in timeline.events:
        wall = wall_of(event.stamp)
        yield (
            f"{time_of_day(wall)} {wall - start:+10.3f} ms  {event.process:{width}}"
            f"  {event.kind:20} {_details(event)}"
        ).rstrip()


def gap_lines(timeline: Timeline) -> Iterator[str]:
    """Yield a line for each node with missing, overwritten or unread events."""
    for node in timeline.missing:
        yield (
            f"missing: {node.name} ({node.address}) did not answer: {node.detail};"
            " its events are not shown"
        )
    for process in timeline.overwritten:
        yield (
            f"overwritten: older events of {process} had been overwritten in its"
            " ring; run the command sooner, or with a shorter --since"
        )
    for process in timeline.truncated:
        yield (
            f"truncated: events of {process} after the last one shown were not read;"
            " use a shorter --since, or select a call"
        )


def json_lines(timeline: Timeline) -> Iterator[str]:
    """Yield each event as a JSON object, then one that lists what is missing.

    Parameters
    ----------
    timeline : Timeline
        The timeline.

    Yields
    ------
    str
        A JSON object on one line.
    """
    for event in timeline.events:
        time = _iso(wall_of(event.stamp))
        yield json.dumps({"time": time, **event_to_dict(event)})
    yield json.dumps(
        {
            "events": len(timeline.events),
            "processes": timeline.processes,
            "overwritten": timeline.overwritten,
            "truncated": timeline.truncated,
            "missing": [
                {"node": node.name, "address": node.address, "detail": node.detail}
                for node in timeline.missing
            ],
        }
    )


def time_of_day(wall: float) -> str:
    """Return the UTC time of day, in microseconds, of a Unix time in milliseconds."""
    return datetime.fromtimestamp(wall / MS_PER_S, UTC).strftime("%H:%M:%S.%f")


def _iso(wall: float) -> str:
    moment = datetime.fromtimestamp(wall / MS_PER_S, UTC)
    return moment.isoformat(timespec="microseconds")


def _summary(timeline: Timeline) -> str:
    n_events, n_processes = len(timeline.events), len(timeline.processes)
    title = f"{n_events} events, {n_processes} processes answered"
    if not timeline.events:
        return title
    day = _iso(wall_of(timeline.events[0].stamp)).partition("T")[0]
    return f"{title}, {day} UTC"


def _details(event: Event) -> str:
    parts = []
    if event.call_id:
        parts.append(f"call={event.call_id}")
    if event.root_id and event.root_id != event.call_id:
        parts.append(f"root={event.root_id}")
    parts.extend(f"{name}={value}" for name, value in event.detail.items())
    return " ".join(parts)
