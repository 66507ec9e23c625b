"""Note the steps of a call once: as event, counter and histogram value together.

The call path calls one function for each step, so that the time line, the counters
and the histograms always agree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.calls.outcome import Answered, Refused
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter, Measure

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.telemetry.telemetry import Telemetry

ANSWERED = "answered"
REFUSED = "refused"
UNKNOWN = "unknown"
CANCELLED = "cancelled"


def record_received(telemetry: Telemetry, head: CallHead) -> None:
    """Note that a caller or a backend server handed in a call at this node."""
    telemetry.metrics.count(Counter.CALLS, head.route)
    telemetry.ring.record(
        EventKind.CALL_RECEIVED,
        head.call_id,
        head.root_id,
        route=head.route,
        parent=head.parent_id,
        priority=head.priority,
        allowance=head.allowance,
    )


def record_admitted(
    telemetry: Telemetry, head: CallHead, queueing_delay: Milliseconds
) -> None:
    """Note that a call is handed to the backend server after a wait."""
    telemetry.metrics.observe(
        Measure.QUEUEING_DELAY, head.route, ANSWERED, queueing_delay
    )
    telemetry.ring.record(
        EventKind.CALL_ADMITTED,
        head.call_id,
        head.root_id,
        queued_ms=round(queueing_delay, 3),
    )


def record_expired(telemetry: Telemetry, head: CallHead) -> None:
    """Note that a call is dropped here, before it was started, for its deadline."""
    telemetry.metrics.count(Counter.CALLS_EXPIRED, head.route)
    telemetry.ring.record(EventKind.CALL_EXPIRED, head.call_id, head.root_id)


def record_late_answer(telemetry: Telemetry, call_id: str, root_id: str) -> None:
    """Record that an answer came after its call had ended here."""
    telemetry.ring.record(EventKind.LATE_ANSWER_DROPPED, call_id, root_id)


def record_incomplete_answer(
    telemetry: Telemetry, call_id: str, root_id: str, source: str
) -> None:
    """Note that the body of an answer broke off, and so became an error.

    Parameters
    ----------
    telemetry : Telemetry
        Of the node.
    call_id, root_id : str
        The call.
    source : str
        Node or backend server whose answer it was.
    """
    telemetry.metrics.count(Counter.INCOMPLETE_ANSWERS)
    telemetry.ring.record(EventKind.INCOMPLETE_ANSWER, call_id, root_id, source=source)


def record_ended(
    telemetry: Telemetry, head: CallHead, outcome: Outcome | None, latency: Milliseconds
) -> None:
    """Note the outcome at the node where the call was handed in.

    Parameters
    ----------
    telemetry : Telemetry
        Of the node.
    head : CallHead
        The call.
    outcome : Outcome or None
        None if its caller left.
    latency : float
        Milliseconds since the call was received.
    """
    name = _note_outcome(telemetry, head, outcome, at="entry")
    telemetry.metrics.observe(Measure.LATENCY, head.route, name, latency)
    if outcome is None:
        telemetry.metrics.count(Counter.CALLS_CANCELLED, head.route)
    else:
        count_outcome(telemetry, outcome)


def count_outcome(telemetry: Telemetry, outcome: Outcome) -> None:
    """Count a refusal or an unknown outcome that a caller gets.

    Requests that never became a call, for example for want of a route, are counted
    by this alone.
    """
    if isinstance(outcome, Refused):
        telemetry.metrics.count(Counter.REFUSALS, outcome.reason.value)
    elif not isinstance(outcome, Answered):
        telemetry.metrics.count(Counter.UNKNOWNS, outcome.reason.value)


def record_served(
    telemetry: Telemetry, head: CallHead, outcome: Outcome | None, added: Milliseconds
) -> None:
    """Note the outcome at the node beside the backend server.

    Parameters
    ----------
    telemetry : Telemetry
        Of the node.
    head : CallHead
        The call.
    outcome : Outcome or None
        None if the call was cancelled.
    added : float
        Milliseconds that the call spent at this node and not at its backend server,
        the wait for admission included.
    """
    name = _note_outcome(telemetry, head, outcome, at="backend")
    telemetry.metrics.observe(Measure.ADDED_TIME, head.route, name, added)


def _note_outcome(
    telemetry: Telemetry, head: CallHead, outcome: Outcome | None, at: str
) -> str:
    record = telemetry.ring.record
    if outcome is None:
        record(EventKind.CALL_CANCELLED, head.call_id, head.root_id, at=at)
        return CANCELLED
    if isinstance(outcome, Answered):
        record(
            EventKind.CALL_ANSWERED,
            head.call_id,
            head.root_id,
            at=at,
            status=outcome.status,
            repeated=outcome.repeated,
        )
        return ANSWERED
    refused = isinstance(outcome, Refused)
    kind = EventKind.CALL_REFUSED if refused else EventKind.CALL_UNKNOWN
    record(
        kind,
        head.call_id,
        head.root_id,
        at=at,
        reason=outcome.reason.value,
        detail=outcome.detail,
    )
    return REFUSED if refused else UNKNOWN
