"""The bounded ring of events of one process."""

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
# Events that belong to no call are rare, so a small ring keeps them far longer.
STATE_RING_SIZE = 2_000
MAX_EVENTS_PER_PAGE = 10_000

Value: TypeAlias = str | int | float | bool
_Row: TypeAlias = "tuple[Stamp, EventKind, str, str, dict[str, Value]]"


class EventKind(StrEnum):
    """What an event says; the value is its name on the wire and on the screen."""

    # The way of a call.
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
    # Never in a healthy run.
    VIOLATION = "violation"


# Changes of state, which are rare; each of these gets a line in the log. Level and
# limit change each second under overload, and members a thousand times a day in a
# large fleet, so they are only recorded.
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
        Stamp of the hybrid logical clock; unique within the process.
    process : str
        Name of the process.
    kind : EventKind
        What happened.
    call_id, root_id : str
        The call and the root request it belongs to; empty if none.
    detail : dict
        Names and values that say more.
    """

    stamp: Stamp
    process: str
    kind: EventKind
    call_id: str = ""
    root_id: str = ""
    detail: dict[str, Value] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EventPage:
    """A part of a ring, in the order of the stamps.

    Parameters
    ----------
    events : tuple of Event
        The events, oldest first.
    overwritten : bool
        Whether events after the asked stamp were overwritten by newer ones, so that
        the page may lack some.
    more : bool
        Whether the limit cut the page; ask again after the last event's stamp.
    """

    events: tuple[Event, ...]
    overwritten: bool
    more: bool


class EventRing:
    """The latest events of one process.

    Events of calls and events of the process itself are kept apart, so that calls,
    thousands a second, do not push out when the platform went away.

    Parameters
    ----------
    process : str
        Name of the process.
    hlc : HybridClock
        Clock of the process, which its links keep up to date.
    size : int, default=DEFAULT_RING_SIZE
        How many events of calls are kept; a new one overwrites the oldest. Of the
        others `STATE_RING_SIZE`, or `size` if that is less.
    """

    __slots__ = ("_calls", "_hlc", "_states", "counts", "process")

    def __init__(
        self, process: str, hlc: HybridClock, size: int = DEFAULT_RING_SIZE
    ) -> None:
        self.process = process
        self.counts: dict[EventKind, int] = dict.fromkeys(EventKind, 0)
        self._hlc = hlc
        self._calls = _Rows(size)
        self._states = _Rows(min(size, STATE_RING_SIZE))

    def __len__(self) -> int:
        return len(self._calls.rows) + len(self._states.rows)

    def record(
        self, kind: EventKind, call_id: str = "", root_id: str = "", **detail: Value
    ) -> None:
        """Record an event now; a change of state gets a line in the log too.

        Parameters
        ----------
        kind : EventKind
            What happened.
        call_id, root_id : str, default=""
            The call and its root request, if the event belongs to one.
        **detail : str, int, float or bool
            Names and values that say more.
        """
        kept = self._calls if call_id or root_id else self._states
        rows = kept.rows
        if len(rows) == rows.maxlen:
            kept.overwritten_to = rows[0][0]
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
        """Return the events after a stamp.

        Parameters
        ----------
        after : int, default=0
            Only events with a higher stamp.
        call, root : str, default=""
            If given, only events of this call or of this root request.
        limit : int, default=MAX_EVENTS_PER_PAGE
            At most so many events, the oldest first.

        Returns
        -------
        EventPage
            The events, and whether some are missing.
        """
        limit = max(1, min(limit, MAX_EVENTS_PER_PAGE))
        searched = [self._calls] if call or root else [self._calls, self._states]
        found = [kept.matching(after, call, root, limit + 1) for kept in searched]
        rows = list(islice(heapq.merge(*found), limit + 1))
        return EventPage(
            events=tuple(Event(r[0], self.process, *r[1:]) for r in rows[:limit]),
            overwritten=any(after < kept.overwritten_to for kept in searched),
            more=len(rows) > limit,
        )


class _Rows:
    """A bounded number of rows, and the stamp of the last one that was overwritten."""

    __slots__ = ("overwritten_to", "rows")

    def __init__(self, size: int) -> None:
        self.rows: deque[_Row] = deque(maxlen=size)
        self.overwritten_to: Stamp = 0

    def matching(
        self, after: Stamp, call: str, root: str, limit: int
    ) -> Iterator[_Row]:
        """Return the first rows after a stamp, of a call or root request if given."""
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
    """Return an event as plain values for JSON; far cheaper than `asdict`."""
    return {
        "stamp": event.stamp,
        "process": event.process,
        "kind": str(event.kind),
        "call_id": event.call_id,
        "root_id": event.root_id,
        "detail": event.detail,
    }


def _log(kind: EventKind, detail: dict[str, Value]) -> None:
    said = " ".join(f"{name}={value}" for name, value in detail.items())
    message = f"{kind} {said}".rstrip()
    _logger.info(message, extra={"event": kind.value, "detail": detail})
