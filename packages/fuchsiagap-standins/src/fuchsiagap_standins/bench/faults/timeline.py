"""Timeline of a run: the events of all processes merged by their timestamps."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.telemetry.events import Event
    from fuchsiagap_standins.bench.faults.fleet import Fleet

# Event timestamps count in units of 2**-16 milliseconds.
_STAMP_SHIFT = 16


def merged_events(fleet: Fleet) -> tuple[str, ...]:
    """Return the events of all processes of all nodes as lines of text, in order.

    Parameters
    ----------
    fleet : Fleet
        The nodes.

    Returns
    -------
    tuple of str
        One line per event; times are in milliseconds since the first event.
    """
    events: list[Event] = []
    for process in fleet.all_processes:
        if process.state is not None:
            events.extend(process.state.telemetry.ring.since().events)
    events.sort(key=lambda event: (event.stamp, event.process))
    if not events:
        return ()
    first = events[0].stamp >> _STAMP_SHIFT
    return tuple(_line(event, first) for event in events)


def _line(event: Event, first: int) -> str:
    at = (event.stamp >> _STAMP_SHIFT) - first
    detail_text = " ".join(f"{name}={value}" for name, value in event.detail.items())
    ids = f"{event.call_id or '-'} {event.root_id or '-'}"
    return f"{at:8d} ms {event.process:10s} {event.kind.value:24s} {ids} {detail_text}"
