"""Handing out tickets, and telling what became of one."""

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
    Kept,
    NotIssued,
)
from fuchsiagap_node.core.callpath.home import as_repeat, await_end, check_not_run
from fuchsiagap_node.core.callpath.home_of import HomeGone, HomeHere, home_of, lost
from fuchsiagap_node.core.wire.messages_ticket import SettleMessage

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.tickets.ticket import Ticket
    from fuchsiagap_node.core.state import NodeState

_LEAVING_RETRY_AFTER_MS = 100.0
# On top of the wait for a run: the way to the home and back.
_TRIP_MS = 500.0


def register(state: NodeState) -> None:
    """Take questions of other nodes about tickets whose home is here."""

    async def on_settle(_peer: str, msg: SettleMessage) -> Outcome:
        return await _settle_here(state, msg.ticket, msg.remaining)

    state.handlers.on_request(SettleMessage, on_settle)


def issue_batch(state: NodeState, count: int) -> tuple[Ticket, ...] | NotIssued:
    """Hand out tickets whose home is this node.

    Parameters
    ----------
    state : NodeState
        The node.
    count : int
        How many are wanted; fewer may be given.

    Returns
    -------
    tuple of Ticket or NotIssued
        The tickets, or when to come back. A node that leaves, or that others do not
        know yet, gives none.
    """
    window = state.tickets.own
    if state.leaving or window.frozen or not state.tickets.issuing:
        return NotIssued(_LEAVING_RETRY_AFTER_MS)
    issued = window.issue(count)
    if not isinstance(issued, NotIssued):
        state.telemetry.metrics.count(Counter.TICKETS_ISSUED, amount=len(issued))
        # Under the first ticket's root, since batches are as many as calls.
        state.telemetry.ring.record(
            EventKind.TICKETS_ISSUED, root_id=str(issued[0]), count=len(issued)
        )
    return issued


def private_ticket(state: NodeState) -> Ticket | None:
    """Return a ticket for an idempotent root request that came without one.

    It makes this node the home of the chain's non-idempotent calls, so that they run
    once although nodes may repeat what is above them. It says nothing about another
    request of the caller.

    Parameters
    ----------
    state : NodeState
        The entry node.

    Returns
    -------
    Ticket or None
        None if no ticket can be issued now; then those calls are refused.
    """
    issued = state.tickets.own.issue(1)
    return None if isinstance(issued, NotIssued) else issued[0]


async def settle(
    state: NodeState, ticket: Ticket, method: str, path: str, remaining: Milliseconds
) -> Outcome:
    """Tell what became of a request; one that was not started never will be.

    Parameters
    ----------
    state : NodeState
        The node that was asked.
    ticket : Ticket
        The request's ticket.
    method, path : str
        The request's method, and its path ``/TEAM/SERVICE/...`` with query.
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
        detail = "only the ticket of a request that may run once can be settled"
        return Unknown(Reason.BAD_REQUEST, detail=detail)
    return await settle_ticket(state, ticket, remaining)


async def settle_ticket(
    state: NodeState, ticket: Ticket, remaining: Milliseconds
) -> Outcome:
    """Tell what became of the non-idempotent request that a ticket was sent with.

    Parameters
    ----------
    state : NodeState
        The node that was asked.
    ticket : Ticket
        The request's ticket.
    remaining : float
        Milliseconds to wait for a run in progress.

    Returns
    -------
    Answered, Refused or Unknown
        `Refused` only if the request was not run and never will be.
    """
    home = home_of(state, ticket)
    if isinstance(home, HomeHere):
        return await _settle_here(state, ticket, remaining)
    if isinstance(home, HomeGone):
        return Unknown(home.reason, detail=f"nobody answers for ticket {ticket}")
    return await _ask(state, home.address, ticket, remaining)


async def _ask(
    state: NodeState, address: str, ticket: Ticket, remaining: Milliseconds
) -> Outcome:
    detail = f"no reply from {address}"
    outcome: Outcome = Unknown(Reason.TICKET_IN_PROGRESS, detail=detail)
    with trio.move_on_after((remaining + _TRIP_MS) / MS_PER_S):
        reply = await state.peers.ask(address, SettleMessage(ticket, remaining))
        outcome = lost(reply)
    return outcome


async def _settle_here(
    state: NodeState, ticket: Ticket, remaining: Milliseconds
) -> Outcome:
    window = state.tickets.window_of(ticket)
    if window is None:
        detail = f"{state.node} does not know the life that issued {ticket}"
        return Unknown(Reason.TICKET_FORGOTTEN, detail=detail)
    deadline = state.clock.now() + remaining
    match window.settle(ticket.sequence):
        case InProgress(record):
            outcome = as_repeat(await await_end(state, record, deadline), 0)
            # Since it was asked about, a run that was refused is not started again.
            return _burnt(state, ticket) if isinstance(outcome, Refused) else outcome
        case Kept(outcome):
            return as_repeat(outcome, 0)
        case Burnt():
            return _burnt(state, ticket)
        case Forgotten(detail):
            return Unknown(Reason.TICKET_FORGOTTEN, detail=detail)
    # The window is handed over, or was.
    with trio.move_on_after(remaining / MS_PER_S):
        await window.hand_over_ended.wait()
    if window.handed_to is None:
        return Unknown(Reason.LEAVING, detail=f"{state.node} is leaving")
    return await _ask(state, window.handed_to.address, ticket, remaining)


def _burnt(state: NodeState, ticket: Ticket) -> Refused:
    check_not_run(state, ticket)
    state.telemetry.ring.record(EventKind.TICKET_BURNT, root_id=str(ticket))
    state.telemetry.metrics.count(Counter.TICKETS_BURNT)
    detail = f"the request with ticket {ticket} was not run and never will be"
    return Refused(Reason.TICKET_BURNT, detail=detail)
