"""Meaning of each event kind and invariant, for the operators' documentation."""

from __future__ import annotations

from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.violations import Invariant

EVENTS: dict[EventKind, str] = {
    EventKind.CALL_RECEIVED: (
        "The node received a call from a caller or a backend server."
    ),
    EventKind.CALL_RELAYED: "The call was forwarded to the home node of its ticket.",
    EventKind.CALL_ADMITTED: (
        "The call was sent to the backend server after `queued_ms` in the queue."
    ),
    EventKind.CALL_ANSWERED: (
        "A complete answer was received; `at=entry` at the node that received the call,"
        " `at=backend` at the node of the backend server."
    ),
    EventKind.CALL_REFUSED: "The call was certainly not executed; `reason` says why.",
    EventKind.CALL_UNKNOWN: (
        "The call may have been executed; `reason` says why this is unknown."
    ),
    EventKind.CALL_CANCELLED: (
        "The caller abandoned the call, and the work was cancelled."
    ),
    EventKind.CALL_EXPIRED: (
        "The call was dropped before its start: the deadline had passed or was too"
        " close."
    ),
    EventKind.CALL_RETRIED: (
        "Another attempt was made; `after` is the reason why the previous one failed."
    ),
    EventKind.RETRY_DENIED: (
        "No other attempt was made; `by` says whether because of the deadline, the"
        " allowance, the admission level, the retry budget or the lack of an instance."
    ),
    EventKind.LATE_ANSWER_DROPPED: (
        "An answer arrived after its call had ended, and was dropped."
    ),
    EventKind.CROSSED_ANSWER_DROPPED: (
        "An answer to a call that was never sent on the link was dropped; recorded for"
        " the first one on a link."
    ),
    EventKind.INCOMPLETE_ANSWER: (
        "The body of an answer ended early, so the call failed; `source` says who sent"
        " it."
    ),
    EventKind.TICKETS_ISSUED: (
        "A batch of `count` tickets was issued; the root of the event is the first one."
    ),
    EventKind.TICKET_STARTED: "The request of a ticket was started.",
    EventKind.TICKET_KEPT: "The outcome of the request is kept for repeats.",
    EventKind.TICKET_REPEATED: (
        "A repeated request was recognised by its ticket and not executed again."
    ),
    EventKind.TICKET_BURNT: (
        "The ticket was revoked; its request will never be started."
    ),
    EventKind.TICKET_FORGOTTEN: (
        "The outcome is unknown, since the state of the ticket is no longer kept."
    ),
    EventKind.TICKETS_HANDED_OVER: "Another node took over the tickets of this node.",
    EventKind.TICKETS_TAKEN_OVER: "This node took over the tickets of a leaving node.",
    EventKind.LEVEL_CHANGED: "The strictest admission level of all routes changed.",
    EventKind.LIMIT_CHANGED: "The concurrency limit changed by 10 % or more.",
    EventKind.OVERLOAD_STARTED: "The node began to refuse calls because of overload.",
    EventKind.OVERLOAD_ENDED: "All calls have been admitted for 5 s.",
    EventKind.MEMBER_CHANGED: (
        "The state of another node changed, as seen by this node."
    ),
    EventKind.INSTANCE_EJECTED: (
        "An instance failed too often and gets no calls from this node for some"
        " seconds."
    ),
    EventKind.LINK_UP: "A link to another node was opened.",
    EventKind.LINK_DOWN: "A link to another node was closed or lost.",
    EventKind.CLOCK_DRIFT: (
        "The clock of another host is further ahead than allowed, by default 5 minutes;"
        " synchronise the clocks."
    ),
    EventKind.PROCESS_STARTED: "The node accepts calls.",
    EventKind.PROCESS_STOPPED: "The node has left the cluster and its process ends.",
    EventKind.DRAIN_STARTED: (
        "The node refuses new calls and completes those in progress."
    ),
    EventKind.DRAIN_FINISHED: (
        "The node has completed its calls and has left the cluster."
    ),
    EventKind.BACKEND_UP: "The backend server reports that it is healthy.",
    EventKind.BACKEND_DOWN: "The backend server is unhealthy or does not respond.",
    EventKind.SETTINGS_ADOPTED: (
        "A version of a team's settings took effect at this node."
    ),
    EventKind.SETTINGS_REFUSED: (
        "Invalid settings, written without the API, were not put into effect."
    ),
    EventKind.SETTINGS_WRITTEN: (
        "A settings change made through this node was accepted."
    ),
    EventKind.PLATFORM_UP: "The platform responds again.",
    EventKind.PLATFORM_DOWN: (
        "The platform does not respond; calls continue with the last known data."
    ),
    EventKind.VIOLATION: "An invariant was violated; report this as a bug.",
}

INVARIANTS: dict[Invariant, str] = {
    Invariant.TICKET_STARTED_TWICE: (
        "The request of a ticket was started again although it was not refused."
    ),
    Invariant.ATTEMPTS_ABOVE_BOUND: (
        "A root request made more attempts than its allowance."
    ),
    Invariant.WRONG_ANSWER: "A caller would have received the answer to another call.",
    Invariant.VERSION_WENT_BACK: (
        "Settings would have been replaced by an older version."
    ),
    Invariant.WORK_AFTER_LEAVING: (
        "A call was sent to a backend server that is leaving."
    ),
    Invariant.FALSE_NOT_RUN: (
        "A call that was reported as not executed had been executed."
    ),
    Invariant.PLANNED_STOP_CUT: "A planned stop interrupted a call in progress.",
    Invariant.PRIORITY_INVERSION: (
        "A call was refused while one of lower priority was admitted; checked by the"
        " overload experiment, not by a node."
    ),
}
