"""A non-idempotent call at the home of its root's ticket: at most one run.

A run is a task of the home and not of the caller: a caller who leaves neither stops
it nor makes it start again. It ends by the deadline of the copy that started it, and
its outcome is kept.
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
    Kept,
    Moving,
    OtherRequest,
    RunRecord,
    Start,
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

Run: TypeAlias = "Callable[[], Awaitable[Outcome]]"

_TICKET_HINT = "get tickets with POST /tickets and send one as Idempotency-Key"
_RUN_GRACE_MS = 500.0
_LOG = logging.getLogger(__name__)


async def run(state: NodeState) -> None:
    """Be the parent of all runs, until cancelled.

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
    """Run a non-idempotent call, unless it was started before.

    Parameters
    ----------
    state : NodeState
        The node that answers for the ticket.
    head : CallHead
        The call, with the ticket of its root.
    body : bytes
        The whole body.
    run : callable
        Dispatches the call; called at most once for each (ticket, child key), but
        again after it returned `Refused`.

    Returns
    -------
    Answered, Refused or Unknown
        The outcome of this run or of the earlier one, within the deadline.
    """
    ticket = head.ticket
    if ticket is None:
        return refuse_without_ticket(head)
    window = state.tickets.window_of(ticket)
    if window is None:
        detail = f"{state.node} does not know the life that issued {ticket}"
        return _forgotten(state, head, detail)
    runs = state.tickets.runs
    if runs is None:
        runs = await _wait_for_nursery(state)
    claim = window.claim(ticket.sequence, head.child_key, fingerprint(head, body))
    # From the claim to the start of the task nothing waits, so no run gets lost.
    if isinstance(claim, Start):
        record = claim.record
        runs.start_soon(_run_once, state, window, record, head, run)
        return await await_run_end(state, record, head.deadline)
    if isinstance(claim, Moving):
        return await _forward_to_successor(state, window, head, body)
    return await _handle_copy(state, claim, head)


async def _wait_for_nursery(state: NodeState) -> trio.Nursery:
    await state.tickets.ready.wait()
    assert state.tickets.runs is not None
    return state.tickets.runs


def refuse_without_ticket(head: CallHead) -> Refused:
    """Return the refusal of a non-idempotent call whose root has no ticket."""
    detail = f"{head.method} of route {head.route} may run once only: {_TICKET_HINT}"
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
        state.telemetry.violation(invariant, detail, head.call_id, head.root_id)
    record_event = state.telemetry.ring.record
    record_event(EventKind.TICKET_STARTED, head.call_id, head.root_id)
    outcome: Outcome = Unknown(Reason.DEADLINE, detail="the deadline passed")
    try:
        # The dispatch keeps the deadline and says more truly what came of it.
        with _scope_until(state, head.deadline + _RUN_GRACE_MS):
            outcome = await run()
    except Exception:
        # A fault of the program: what it had done by then is not known.
        _LOG.exception("run of %s failed", record.key)
        outcome = Unknown(Reason.CONNECTION_LOST, detail="the home failed")
    if isinstance(outcome, Refused):
        started.take_back(head.ticket, head.child_key)
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
        case Kept(outcome):
            return as_repeated(outcome, head.allowance)
        case Burnt():
            if head.ticket is not None:
                check_not_started(state, head.ticket)
            detail = f"ticket {head.ticket} was asked about before it came"
            return Refused(Reason.TICKET_BURNT, 0.0, head.allowance, detail=detail)
        case OtherRequest():
            detail = f"{head.ticket} {head.child_key} was used for another request"
            return Unknown(Reason.BAD_REQUEST, head.allowance, detail=detail)
        case Forgotten(detail):
            return _forgotten(state, head, detail)
    raise AssertionError(claim)


async def _forward_to_successor(
    state: NodeState, window: TicketWindow, head: CallHead, body: bytes
) -> Outcome:
    """Send a call that was not started here after the window it belongs to."""
    with _scope_until(state, head.deadline):
        await window.hand_over_ended.wait()
    if window.handed_to is not None:
        msg = HomeCallMessage(head_to_wire(head, state.clock.now()), body)
        reply = await state.peers.ask(window.handed_to.address, msg)
        return outcome_of_relay(head, reply, first_copy=False)
    detail = f"{state.node} is leaving, and its tickets found no other home"
    if window.maybe_handed:
        return Unknown(Reason.LEAVING, head.allowance, detail=detail)
    return Refused(Reason.LEAVING, allowance=head.allowance, detail=detail)


async def await_run_end(
    state: NodeState, record: RunRecord, deadline: Milliseconds
) -> Outcome:
    """Wait for the end of a run, until a deadline.

    Parameters
    ----------
    state : NodeState
        The home.
    record : RunRecord
        The run.
    deadline : float
        Milliseconds on the clock of this process.

    Returns
    -------
    Answered, Refused or Unknown
        With no allowance if the run goes on: it may still spend it.
    """
    if record.last is None:
        if record.ended is None:
            record.ended = trio.Event()
        with _scope_until(state, deadline):
            await record.ended.wait()
    if record.last is None:
        detail = "it runs; the same ticket gets its outcome"
        return Unknown(Reason.TICKET_IN_PROGRESS, detail=detail)
    return record.last


def check_not_started(state: NodeState, ticket: Ticket) -> None:
    """Report a ticket that is about to be called not run, though it was started.

    Parameters
    ----------
    state : NodeState
        The home.
    ticket : Ticket
        The root's ticket.
    """
    if (ticket, "") in state.tickets.started.runs:
        detail = f"ticket {ticket} is called burnt, but its request was started here"
        invariant = Invariant.FALSE_NOT_RUN
        state.telemetry.violation(invariant, detail, root_id=str(ticket))


def as_repeated(outcome: Outcome, allowance: int) -> Outcome:
    """Return the outcome for a copy that spent nothing of its own allowance."""
    if isinstance(outcome, Answered):
        return replace(outcome, allowance=allowance, load=None, repeated=True)
    return replace(outcome, allowance=allowance, load=None)


def _forgotten(state: NodeState, head: CallHead, detail: str) -> Unknown:
    metrics, ring = state.telemetry.metrics, state.telemetry.ring
    metrics.count(Counter.TICKETS_FORGOTTEN)
    ring.record(EventKind.TICKET_FORGOTTEN, head.call_id, head.root_id, detail=detail)
    return Unknown(Reason.TICKET_FORGOTTEN, head.allowance, detail=detail)


def _scope_until(state: NodeState, deadline: Milliseconds) -> trio.CancelScope:
    """Return a scope that is cancelled at a deadline; quicker than `move_on_after`."""
    seconds = max(deadline - state.clock.now(), 0.0) / MS_PER_S
    return trio.CancelScope(deadline=trio.current_time() + seconds)
