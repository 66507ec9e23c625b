"""Issues tickets, and settles the outcome of the request sent with a ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.calls.outcome import Outcome, Reason, Refused, Unknown
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap.core.tickets.records import (
    Burnt,
    Forgotten,
    InProgress,
    KeptOutcome,
    NotIssued,
)
from fuchsiagap_node.core.callpath.home import (
    as_repeated,
    await_run_end,
    check_not_started,
)
from fuchsiagap_node.core.callpath.home_lookup import (
    LocalHome,
    UnknownHome,
    find_home,
    outcome_of_reply,
)
from fuchsiagap_node.core.wire.messages_ticket import SettleMessage

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.tickets.ticket import Ticket
    from fuchsiagap_node.core.state import NodeState

_LEAVING_RETRY_AFTER_MS = 100.0
# Allowed for the round trip to the home, on top of the wait for a run.
_ROUND_TRIP_MS = 500.0


def register(state: NodeState) -> None:
    """Register the handler of settlement requests from other nodes."""

    async def on_settle(_peer: str, msg: SettleMessage) -> Outcome:
        return await _settle_here(state, msg.ticket, msg.remaining)

    state.handlers.on_request(SettleMessage, on_settle)


def issue_batch(state: NodeState, count: int) -> tuple[Ticket, ...] | NotIssued:
    """Issue tickets whose home is this node.

    Parameters
    ----------
    state : NodeState
        The node.
    count : int
        Number of tickets requested; fewer may be issued.

    Returns
    -------
    tuple of Ticket or NotIssued
        The tickets, or the time after which to retry. A node issues none while it is
        leaving or before other nodes know it.
    """
    window = state.tickets.own
    if state.leaving or window.frozen or not state.tickets.issuing:
        return NotIssued(_LEAVING_RETRY_AFTER_MS)
    issued = window.issue(count)
    if not isinstance(issued, NotIssued):
        state.telemetry.metrics.count(Counter.TICKETS_ISSUED, amount=len(issued))
        # The root id puts the event into the buffer of call events. Batches may be as
        # frequent as calls and would displace the events of the node itself.
        state.telemetry.ring.record(
            EventKind.TICKETS_ISSUED, root_id=str(issued[0]), count=len(issued)
        )
    return issued


def issue_private_ticket(state: NodeState) -> Ticket | None:
    """Issue a ticket for an idempotent root request that was sent without one.

    It makes this node the home of the request's non-idempotent nested calls, so that
    they run at most once although nodes may repeat their parent calls. It does not
    detect a repetition of the root request by the caller.

    Parameters
    ----------
    state : NodeState
        The entry node.

    Returns
    -------
    Ticket or None
        None if no ticket can be issued now; the non-idempotent nested calls are then
        refused.
    """
    issued = state.tickets.own.issue(1)
    return None if isinstance(issued, NotIssued) else issued[0]


async def settle(
    state: NodeState, ticket: Ticket, method: str, path: str, remaining: Milliseconds
) -> Outcome:
    """Return the outcome of a request, and burn its ticket if it was not started.

    Parameters
    ----------
    state : NodeState
        The node that received the settlement request.
    ticket : Ticket
        The request's ticket.
    method : str
        The request's method.
    path : str
        The request's path ``/TEAM/SERVICE/...`` with query.
    remaining : float
        Milliseconds to wait for a run in progress.

    Returns
    -------
    Answered, Refused or Unknown
        `Refused` only if the request was not run and never will be.
    """
    team, _, rest = path.removeprefix("/").partition("/")
    name, _, target = rest.partition("/")
    route = state.book.route_for(ServiceName(team, name), method, f"/{target}")
    if route is None or route.idempotent:
        detail = "only tickets of requests of non-idempotent routes can be settled"
        return Unknown(Reason.BAD_REQUEST, detail=detail)
    return await settle_ticket(state, ticket, remaining)


async def settle_ticket(
    state: NodeState, ticket: Ticket, remaining: Milliseconds
) -> Outcome:
    """Return the outcome of the non-idempotent request that was sent with a ticket.

    An unused ticket is burnt: a request with it is refused from now on.

    Parameters
    ----------
    state : NodeState
        The node that received the settlement request.
    ticket : Ticket
        The request's ticket.
    remaining : float
        Milliseconds to wait for a run in progress.

    Returns
    -------
    Answered, Refused or Unknown
        `Refused` only if the request was not run and never will be.
    """
    home = find_home(state, ticket)
    if isinstance(home, LocalHome):
        return await _settle_here(state, ticket, remaining)
    if isinstance(home, UnknownHome):
        return Unknown(
            home.reason, detail=f"no known node is the home of ticket {ticket}"
        )
    return await _settle_at(state, home.address, ticket, remaining)


async def _settle_at(
    state: NodeState, address: str, ticket: Ticket, remaining: Milliseconds
) -> Outcome:
    detail = f"no reply from {address}"
    outcome: Outcome = Unknown(Reason.TICKET_IN_PROGRESS, detail=detail)
    with trio.move_on_after((remaining + _ROUND_TRIP_MS) / MS_PER_S):
        reply = await state.peers.ask(address, SettleMessage(ticket, remaining))
        outcome = outcome_of_reply(reply)
    return outcome


async def _settle_here(
    state: NodeState, ticket: Ticket, remaining: Milliseconds
) -> Outcome:
    window = state.tickets.window_of(ticket)
    if window is None:
        detail = f"{state.node} has no records of the incarnation that issued {ticket}"
        return Unknown(Reason.TICKET_FORGOTTEN, detail=detail)
    deadline = state.clock.now() + remaining
    match window.settle(ticket.sequence):
        case InProgress(record):
            outcome = as_repeated(await await_run_end(state, record, deadline), 0)
            # The ticket is settled now, so a refused run must not be started again.
            return (
                _burnt_refusal(state, ticket)
                if isinstance(outcome, Refused)
                else outcome
            )
        case KeptOutcome(outcome):
            return as_repeated(outcome, 0)
        case Burnt():
            return _burnt_refusal(state, ticket)
        case Forgotten(detail):
            return Unknown(Reason.TICKET_FORGOTTEN, detail=detail)
    # The hand-over of the window has begun or is complete.
    with trio.move_on_after(remaining / MS_PER_S):
        await window.hand_over_ended.wait()
    if window.handed_to is None:
        return Unknown(Reason.LEAVING, detail=f"{state.node} is shutting down")
    return await _settle_at(state, window.handed_to.address, ticket, remaining)


def _burnt_refusal(state: NodeState, ticket: Ticket) -> Refused:
    check_not_started(state, ticket)
    state.telemetry.ring.record(EventKind.TICKET_BURNT, root_id=str(ticket))
    state.telemetry.metrics.count(Counter.TICKETS_BURNT)
    detail = f"the request with ticket {ticket} was not run and never will be"
    return Refused(Reason.TICKET_BURNT, detail=detail)
