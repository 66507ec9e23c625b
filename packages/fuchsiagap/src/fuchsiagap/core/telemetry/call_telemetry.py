"""Recording of each step of a call as event, counter and histogram value together.

The call path calls one function for each step, so that the event timeline, the
counters and the histograms agree.
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
    """Record that this node received a call from a caller or a backend server."""
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
    """Record that a call is sent to the backend server after `queueing_delay` ms.

    The queueing delay is recorded under the outcome ``answered``, whatever the outcome
    of the call will be.
    """
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
    """Record that a call is dropped before its start because of its deadline."""
    telemetry.metrics.count(Counter.CALLS_EXPIRED, head.route)
    telemetry.ring.record(EventKind.CALL_EXPIRED, head.call_id, head.root_id)


def record_late_answer(telemetry: Telemetry, call_id: str, root_id: str) -> None:
    """Record that an answer arrived after its call had ended at this node.

    Records the event only; the link counts late answers itself.
    """
    telemetry.ring.record(EventKind.LATE_ANSWER_DROPPED, call_id, root_id)


def record_incomplete_answer(
    telemetry: Telemetry, call_id: str, root_id: str, source: str
) -> None:
    """Record that the body of an answer ended early, so that the call fails.

    Parameters
    ----------
    telemetry : Telemetry
        Telemetry of the node.
    call_id : str
        Identifier of the call.
    root_id : str
        Identifier of its root request.
    source : str
        ``node`` or ``backend server``, whichever sent the answer.
    """
    telemetry.metrics.count(Counter.INCOMPLETE_ANSWERS)
    telemetry.ring.record(EventKind.INCOMPLETE_ANSWER, call_id, root_id, source=source)


def record_ended(
    telemetry: Telemetry, head: CallHead, outcome: Outcome | None, latency: Milliseconds
) -> None:
    """Record the outcome of a call at the node that called `record_received`.

    Parameters
    ----------
    telemetry : Telemetry
        Telemetry of the node.
    head : CallHead
        The call.
    outcome : Outcome or None
        None if the caller abandoned the call.
    latency : float
        Milliseconds since the call was received.
    """
    name = _record_outcome(telemetry, head, outcome, at="entry")
    telemetry.metrics.observe(Measure.LATENCY, head.route, name, latency)
    if outcome is None:
        telemetry.metrics.count(Counter.CALLS_CANCELLED, head.route)
    else:
        count_outcome(telemetry, outcome)


def count_outcome(telemetry: Telemetry, outcome: Outcome) -> None:
    """Count a refusal or an unknown outcome that is returned to a caller.

    For requests that are rejected before they become a call, for example because no
    route matches, this is the only record.
    """
    if isinstance(outcome, Refused):
        telemetry.metrics.count(Counter.REFUSALS, outcome.reason.value)
    elif not isinstance(outcome, Answered):
        telemetry.metrics.count(Counter.UNKNOWNS, outcome.reason.value)


def record_served(
    telemetry: Telemetry, head: CallHead, outcome: Outcome | None, added: Milliseconds
) -> None:
    """Record the outcome of a call at the node of the backend server that runs it.

    Parameters
    ----------
    telemetry : Telemetry
        Telemetry of the node.
    head : CallHead
        The call.
    outcome : Outcome or None
        None if the call was cancelled.
    added : float
        Milliseconds that the call spent at this node outside the backend server,
        including the wait for admission.
    """
    name = _record_outcome(telemetry, head, outcome, at="backend")
    telemetry.metrics.observe(Measure.ADDED_TIME, head.route, name, added)


def _record_outcome(
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
