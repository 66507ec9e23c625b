"""Runs a non-idempotent call at most once, at the home of its root request's ticket.

The home is the node that issued the ticket or took its window over; it keeps the
record of each run. A run is a task of the home and not of the caller, so a caller that
disconnects neither stops it nor causes a second one. It ends by the deadline of the
copy that started it, and its outcome is kept for later copies.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING, TypeAlias

import trio

from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap.core.tickets.child_key import fingerprint
from fuchsiagap.core.tickets.records import (
    Burnt,
    Claim,
    Forgotten,
    InProgress,
    KeptOutcome,
    RequestMismatch,
    RunRecord,
    Start,
    WindowFrozen,
)
from fuchsiagap_node.core.callpath.home_lookup import outcome_of_relay
from fuchsiagap_node.core.wire.messages_call import HomeCallMessage, head_to_wire

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.tickets.ticket import Ticket
    from fuchsiagap.core.tickets.window import TicketWindow
    from fuchsiagap_node.core.state import NodeState

# Dispatches one call and returns its outcome.
Run: TypeAlias = "Callable[[], Awaitable[Outcome]]"

_TICKET_HINT = "obtain a ticket with POST /tickets and send it as Idempotency-Key"
_RUN_GRACE_MS = 500.0
_LOG = logging.getLogger(__name__)


async def run(state: NodeState) -> None:
    """Host the tasks of all runs in one nursery, until cancelled.

    Parameters
    ----------
    state : NodeState
        The node.
    """
    tickets = state.tickets
    async with trio.open_nursery() as nursery:
        tickets.runs = nursery
        tickets.ready.set()
        await trio.sleep_forever()


async def at_home(state: NodeState, head: CallHead, body: bytes, run: Run) -> Outcome:
    """Run a non-idempotent call, or return the outcome of its earlier run.

    Parameters
    ----------
    state : NodeState
        The home of the ticket.
    head : CallHead
        Head of the call, with the ticket of its root request.
    body : bytes
        The complete request body.
    run : callable
        Dispatches the call. Called at most once for each (ticket, child key), unless
        it returns `Refused`: then a later copy may run.

    Returns
    -------
    Answered, Refused or Unknown
        The outcome of this run or of an earlier one.
        ``Unknown(TICKET_IN_PROGRESS)`` if the run has not ended by the deadline of the
        call.
    """
    ticket = head.ticket
    if ticket is None:
        return refuse_without_ticket(head)
    window = state.tickets.window_of(ticket)
    if window is None:
        detail = f"{state.node} has no records of the incarnation that issued {ticket}"
        return _forgotten(state, head, detail)
    runs = state.tickets.runs
    if runs is None:
        runs = await _wait_for_nursery(state)
    claim = window.claim(ticket.sequence, head.child_key, fingerprint(head, body))
    # There is no checkpoint between the claim and the start of the task, so a
    # cancellation cannot leave a claim without a run.
    if isinstance(claim, Start):
        record = claim.record
        runs.start_soon(_run_once, state, window, record, head, run)
        return await await_run_end(state, record, head.deadline)
    if isinstance(claim, WindowFrozen):
        return await _forward_to_successor(state, window, head, body)
    return await _handle_copy(state, claim, head)


async def _wait_for_nursery(state: NodeState) -> trio.Nursery:
    await state.tickets.ready.wait()
    assert state.tickets.runs is not None
    return state.tickets.runs


def refuse_without_ticket(head: CallHead) -> Refused:
    """Return the refusal of a non-idempotent call whose root request has no ticket."""
    detail = f"{head.method} of route {head.route} is not idempotent: {_TICKET_HINT}"
    return Refused(Reason.NEEDS_TICKET, allowance=head.allowance, detail=detail)


async def _run_once(
    state: NodeState,
    window: TicketWindow,
    record: RunRecord,
    head: CallHead,
    run: Run,
) -> None:
    assert head.ticket is not None
    started = state.tickets.started
    if not started.start(head.ticket, head.child_key):
        detail = f"{head.ticket} {head.child_key}"
        invariant = Invariant.TICKET_STARTED_TWICE
        state.telemetry.report_violation(invariant, detail, head.call_id, head.root_id)
    record_event = state.telemetry.ring.record
    record_event(EventKind.TICKET_STARTED, head.call_id, head.root_id)
    outcome: Outcome = Unknown(
        Reason.DEADLINE, detail="the deadline of the run expired"
    )
    try:
        # Dispatch enforces the deadline itself and returns a more precise outcome; this
        # scope only ends a run that exceeds it.
        with _scope_until(state, head.deadline + _RUN_GRACE_MS):
            outcome = await run()
    except Exception:
        # A defect of the program; whether the call was run by then is unknown.
        _LOG.exception("run %s failed with an unexpected error", record.key)
        outcome = Unknown(
            Reason.CONNECTION_LOST, detail="internal error at the home of the ticket"
        )
    if isinstance(outcome, Refused):
        started.mark_refused(head.ticket, head.child_key)
    window.finish(record, outcome)
    if record.key in window.records:
        record_event(EventKind.TICKET_KEPT, head.call_id, head.root_id)


async def _handle_copy(state: NodeState, claim: Claim, head: CallHead) -> Outcome:
    state.telemetry.metrics.count(Counter.TICKETS_REPEATED)
    ring = state.telemetry.ring
    ring.record(EventKind.TICKET_REPEATED, head.call_id, head.root_id)
    match claim:
        case InProgress(record):
            outcome = await await_run_end(state, record, head.deadline)
            return as_repeated(outcome, head.allowance)
        case KeptOutcome(outcome):
            return as_repeated(outcome, head.allowance)
        case Burnt():
            if head.ticket is not None:
                check_not_started(state, head.ticket)
            detail = f"ticket {head.ticket} was settled before its request arrived"
            return Refused(Reason.TICKET_BURNT, 0.0, head.allowance, detail=detail)
        case RequestMismatch():
            detail = f"{head.ticket} {head.child_key} was used for a different request"
            return Unknown(Reason.BAD_REQUEST, head.allowance, detail=detail)
        case Forgotten(detail):
            return _forgotten(state, head, detail)
    raise AssertionError(claim)


async def _forward_to_successor(
    state: NodeState, window: TicketWindow, head: CallHead, body: bytes
) -> Outcome:
    """Wait for the hand-over of a window, and forward the call to the successor."""
    with _scope_until(state, head.deadline):
        await window.hand_over_ended.wait()
    if window.handed_to is not None:
        msg = HomeCallMessage(head_to_wire(head, state.clock.now()), body)
        reply = await state.peers.ask(window.handed_to.address, msg)
        return outcome_of_relay(head, reply, first_copy=False)
    detail = f"{state.node} is shutting down, and no node took over its tickets"
    if window.may_have_been_handed_over:
        # The successor may hold the window, and may have run the call.
        return Unknown(Reason.LEAVING, head.allowance, detail=detail)
    return Refused(Reason.LEAVING, allowance=head.allowance, detail=detail)


async def await_run_end(
    state: NodeState, record: RunRecord, deadline: Milliseconds
) -> Outcome:
    """Wait for the end of a run until a deadline, and return its outcome.

    Parameters
    ----------
    state : NodeState
        The home of the ticket.
    record : RunRecord
        Record of the run.
    deadline : float
        Milliseconds on the clock of this process.

    Returns
    -------
    Answered, Refused or Unknown
        ``Unknown(TICKET_IN_PROGRESS)`` if the run is still in progress, with no
        allowance, since the run may still spend it.
    """
    if record.final_outcome is None:
        if record.ended is None:
            record.ended = trio.Event()
        with _scope_until(state, deadline):
            await record.ended.wait()
    if record.final_outcome is None:
        detail = "the request is in progress; repeat it with the same ticket"
        return Unknown(Reason.TICKET_IN_PROGRESS, detail=detail)
    return record.final_outcome


def check_not_started(state: NodeState, ticket: Ticket) -> None:
    """Report a violation if the root request of a burnt ticket was started here.

    The response for a burnt ticket states that its request was not run.

    Parameters
    ----------
    state : NodeState
        The home of the ticket.
    ticket : Ticket
        Ticket of the root request.
    """
    if (ticket, "") in state.tickets.started.runs:
        detail = (
            f"ticket {ticket} is reported as burnt, but its request was started here"
        )
        invariant = Invariant.FALSE_NOT_RUN
        state.telemetry.report_violation(invariant, detail, root_id=str(ticket))


def as_repeated(outcome: Outcome, allowance: int) -> Outcome:
    """Return an earlier run's outcome for a copy, with the copy's unspent allowance."""
    if isinstance(outcome, Answered):
        return replace(outcome, allowance=allowance, load=None, repeated=True)
    return replace(outcome, allowance=allowance, load=None)


def _forgotten(state: NodeState, head: CallHead, detail: str) -> Unknown:
    metrics, ring = state.telemetry.metrics, state.telemetry.ring
    metrics.count(Counter.TICKETS_FORGOTTEN)
    ring.record(EventKind.TICKET_FORGOTTEN, head.call_id, head.root_id, detail=detail)
    return Unknown(Reason.TICKET_FORGOTTEN, head.allowance, detail=detail)


def _scope_until(state: NodeState, deadline: Milliseconds) -> trio.CancelScope:
    """Return a scope that is cancelled at a deadline; cheaper than `move_on_after`."""
    seconds = max(deadline - state.clock.now(), 0.0) / MS_PER_S
    return trio.CancelScope(deadline=trio.current_time() + seconds)
