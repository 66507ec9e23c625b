"""Event kinds, and the bounded ring buffer of recent events of one process."""

from __future__ import annotations

import heapq
import logging
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import islice
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from fuchsiagap.core.telemetry.hlc import HybridClock, Stamp

_logger = logging.getLogger(__name__)

DEFAULT_RING_SIZE = 20_000
# Events that belong to no call are rare, so a small buffer retains them far longer.
STATE_RING_SIZE = 2_000
MAX_EVENTS_PER_PAGE = 10_000

Value: TypeAlias = str | int | float | bool
_Row: TypeAlias = "tuple[Stamp, EventKind, str, str, dict[str, Value]]"


class EventKind(StrEnum):
    """Kind of an event; the value is its name in messages and on screen."""

    # Steps of a call.
    CALL_RECEIVED = "call-received"
    CALL_RELAYED = "call-relayed"
    CALL_ADMITTED = "call-admitted"
    CALL_ANSWERED = "call-answered"
    CALL_REFUSED = "call-refused"
    CALL_UNKNOWN = "call-unknown"
    CALL_CANCELLED = "call-cancelled"
    CALL_EXPIRED = "call-expired"
    CALL_RETRIED = "call-retried"
    RETRY_DENIED = "retry-denied"
    LATE_ANSWER_DROPPED = "late-answer-dropped"
    CROSSED_ANSWER_DROPPED = "crossed-answer-dropped"
    INCOMPLETE_ANSWER = "incomplete-answer"
    # Tickets.
    TICKETS_ISSUED = "tickets-issued"
    TICKET_STARTED = "ticket-started"
    TICKET_KEPT = "ticket-kept"
    TICKET_REPEATED = "ticket-repeated"
    TICKET_BURNT = "ticket-burnt"
    TICKET_FORGOTTEN = "ticket-forgotten"
    TICKETS_HANDED_OVER = "tickets-handed-over"
    TICKETS_TAKEN_OVER = "tickets-taken-over"
    # Admission.
    LEVEL_CHANGED = "level-changed"
    LIMIT_CHANGED = "limit-changed"
    OVERLOAD_STARTED = "overload-started"
    OVERLOAD_ENDED = "overload-ended"
    # Members and links.
    MEMBER_CHANGED = "member-changed"
    INSTANCE_EJECTED = "instance-ejected"
    LINK_UP = "link-up"
    LINK_DOWN = "link-down"
    CLOCK_DRIFT = "clock-drift"
    # The process and its backend server.
    PROCESS_STARTED = "process-started"
    PROCESS_STOPPED = "process-stopped"
    DRAIN_STARTED = "drain-started"
    DRAIN_FINISHED = "drain-finished"
    BACKEND_UP = "backend-up"
    BACKEND_DOWN = "backend-down"
    # Settings and the platform.
    SETTINGS_ADOPTED = "settings-adopted"
    SETTINGS_REFUSED = "settings-refused"
    SETTINGS_WRITTEN = "settings-written"
    PLATFORM_UP = "platform-up"
    PLATFORM_DOWN = "platform-down"
    # Violations of invariants, which indicate a bug.
    VIOLATION = "violation"


# Rare state changes, each of which is also written to the log. Changes of admission
# level and concurrency limit (every second under overload) and of members (a thousand
# times a day in a large fleet) are recorded but not logged.
LOGGED_KINDS = frozenset(
    {
        EventKind.OVERLOAD_STARTED,
        EventKind.OVERLOAD_ENDED,
        EventKind.INSTANCE_EJECTED,
        EventKind.CLOCK_DRIFT,
        EventKind.TICKETS_HANDED_OVER,
        EventKind.TICKETS_TAKEN_OVER,
        EventKind.PROCESS_STARTED,
        EventKind.PROCESS_STOPPED,
        EventKind.DRAIN_STARTED,
        EventKind.DRAIN_FINISHED,
        EventKind.BACKEND_UP,
        EventKind.BACKEND_DOWN,
        EventKind.SETTINGS_ADOPTED,
        EventKind.SETTINGS_REFUSED,
        EventKind.SETTINGS_WRITTEN,
        EventKind.PLATFORM_UP,
        EventKind.PLATFORM_DOWN,
    }
)


@dataclass(frozen=True, slots=True)
class Event:
    """One event of one process.

    Parameters
    ----------
    stamp : int
        Timestamp of the hybrid logical clock; unique within the process.
    process : str
        Name of the process.
    kind : EventKind
        Kind of the event.
    call_id, root_id : str
        The call and its root request; empty if the event belongs to none.
    detail : dict
        Further values by name.
    """

    stamp: Stamp
    process: str
    kind: EventKind
    call_id: str = ""
    root_id: str = ""
    detail: dict[str, Value] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EventPage:
    """One page of events of a ring, in the order of their timestamps.

    Parameters
    ----------
    events : tuple of Event
        The events, oldest first.
    overwritten : bool
        Whether events after the requested timestamp were overwritten by newer ones,
        so that some may be missing from the page.
    more : bool
        Whether further events follow. Request them with the timestamp of the last
        event of this page.
    """

    events: tuple[Event, ...]
    overwritten: bool
    more: bool


class EventRing:
    """A ring buffer of the most recent events of one process.

    Events of calls and events of the process itself have separate buffers. Otherwise
    the events of thousands of calls per second would soon overwrite state changes, such
    as the loss of the platform.

    Parameters
    ----------
    process : str
        Name of the process.
    hlc : HybridClock
        Hybrid logical clock of the process.
    size : int, default=DEFAULT_RING_SIZE
        Number of call events kept; a new one overwrites the oldest. Of other events,
        `STATE_RING_SIZE` or `size` are kept, whichever is less.

    Attributes
    ----------
    counts : dict of EventKind to int
        Number of events recorded so far, including overwritten ones.
    """

    __slots__ = ("_calls", "_hlc", "_states", "counts", "process")

    def __init__(
        self, process: str, hlc: HybridClock, size: int = DEFAULT_RING_SIZE
    ) -> None:
        self.process = process
        self.counts: dict[EventKind, int] = dict.fromkeys(EventKind, 0)
        self._hlc = hlc
        self._calls = _EventBuffer(size)
        self._states = _EventBuffer(min(size, STATE_RING_SIZE))

    def __len__(self) -> int:
        return len(self._calls.rows) + len(self._states.rows)

    def record(
        self, kind: EventKind, call_id: str = "", root_id: str = "", **detail: Value
    ) -> None:
        """Record an event with the current time; log it if in `LOGGED_KINDS`.

        Parameters
        ----------
        kind : EventKind
            Kind of the event.
        call_id : str, default=""
            The call, if the event belongs to one.
        root_id : str, default=""
            The root request, if the event belongs to one.
        **detail : str, int, float or bool
            Further values by name.
        """
        buffer = self._calls if call_id or root_id else self._states
        rows = buffer.rows
        if len(rows) == rows.maxlen:
            buffer.last_overwritten = rows[0][0]
        rows.append((self._hlc.tick(), kind, call_id, root_id, detail))
        self.counts[kind] += 1
        if kind in LOGGED_KINDS:
            _log(kind, detail)

    def since(
        self,
        after: Stamp = 0,
        call: str = "",
        root: str = "",
        limit: int = MAX_EVENTS_PER_PAGE,
    ) -> EventPage:
        """Return the events after a timestamp.

        Parameters
        ----------
        after : int, default=0
            Only events with a higher timestamp are returned.
        call : str, default=""
            If given, only events of this call are returned.
        root : str, default=""
            If given, only events of this root request are returned.
        limit : int, default=MAX_EVENTS_PER_PAGE
            Maximum number of events; the oldest are returned first.

        Returns
        -------
        EventPage
            The events, whether some may be missing and whether more follow.
        """
        limit = max(1, min(limit, MAX_EVENTS_PER_PAGE))
        buffers = [self._calls] if call or root else [self._calls, self._states]
        found = [buffer.matching(after, call, root, limit + 1) for buffer in buffers]
        rows = list(islice(heapq.merge(*found), limit + 1))
        return EventPage(
            events=tuple(Event(r[0], self.process, *r[1:]) for r in rows[:limit]),
            overwritten=any(after < buffer.last_overwritten for buffer in buffers),
            more=len(rows) > limit,
        )


class _EventBuffer:
    """A bounded buffer of events, and the timestamp of the last overwritten one."""

    __slots__ = ("last_overwritten", "rows")

    def __init__(self, size: int) -> None:
        self.rows: deque[_Row] = deque(maxlen=size)
        self.last_overwritten: Stamp = 0

    def matching(
        self, after: Stamp, call: str, root: str, limit: int
    ) -> Iterator[_Row]:
        """Return the first rows after a timestamp, of one call or root if given."""
        start = bisect_right(self.rows, after, key=_stamp_of)
        rows: Iterable[_Row] = islice(self.rows, start, None)
        if call or root:
            rows = (
                row
                for row in rows
                if (not call or row[2] == call) and (not root or row[3] == root)
            )
        return islice(rows, limit)


def _stamp_of(row: _Row) -> Stamp:
    return row[0]


def event_to_dict(event: Event) -> dict[str, object]:
    """Return an event as a dict for JSON; much faster than `dataclasses.asdict`."""
    return {
        "stamp": event.stamp,
        "process": event.process,
        "kind": str(event.kind),
        "call_id": event.call_id,
        "root_id": event.root_id,
        "detail": event.detail,
    }


def _log(kind: EventKind, detail: dict[str, Value]) -> None:
    pairs = " ".join(f"{name}={value}" for name, value in detail.items())
    message = f"{kind} {pairs}".rstrip()
    _logger.info(message, extra={"event": kind.value, "detail": detail})
