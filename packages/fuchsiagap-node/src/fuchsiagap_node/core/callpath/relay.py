"""Relays a non-idempotent call to the home of its ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.calls.outcome import Outcome, Reason, Refused, Unknown
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap_node.core.callpath.attempts import is_repeat
from fuchsiagap_node.core.callpath.dispatch import dispatch
from fuchsiagap_node.core.callpath.home import at_home, refuse_without_ticket
from fuchsiagap_node.core.callpath.home_lookup import (
    LocalHome,
    UnknownHome,
    find_home,
    outcome_of_relay,
)
from fuchsiagap_node.core.wire.messages_call import (
    HomeCallMessage,
    head_from_wire,
    head_to_wire,
)

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap_node.core.callpath.home import Run
    from fuchsiagap_node.core.state import NodeState


def register(state: NodeState) -> None:
    """Register the handler of non-idempotent calls whose home is this node."""

    async def on_call(_peer: str, msg: HomeCallMessage) -> Outcome:
        head = head_from_wire(msg.head, state.clock.now())
        run = _make_run(state, head, msg.body)
        return await at_home(state, head, msg.body, run)

    state.handlers.on_request(HomeCallMessage, on_call)


async def relay_to_home(
    state: NodeState, head: CallHead, body: bytes, first_copy: bool = False
) -> Outcome:
    """Send a call to the home of its ticket, which runs it at most once.

    Parameters
    ----------
    state : NodeState
        The node.
    head : CallHead
        Head of a non-idempotent call.
    body : bytes
        The complete request body.
    first_copy : bool, default=False
        Whether the caller marked the request as its first copy.

    Returns
    -------
    Answered, Refused or Unknown
        `Refused` only if the home certainly did not run the call.
    """
    ticket = head.ticket
    if ticket is None:
        return refuse_without_ticket(head)
    home = find_home(state, ticket)
    if isinstance(home, UnknownHome):
        detail = f"no known node is the home of ticket {ticket}"
        return Unknown(home.reason, head.allowance, detail=detail)
    if isinstance(home, LocalHome):
        return await at_home(state, head, body, _make_run(state, head, body))
    state.telemetry.metrics.count(Counter.CALLS_RELAYED, str(head.service))
    state.telemetry.ring.record(
        EventKind.CALL_RELAYED,
        call_id=head.call_id,
        root_id=head.root_id,
        to=home.address,
    )
    msg = HomeCallMessage(head_to_wire(head, state.clock.now()), body)
    reply = await state.peers.ask(home.address, msg)
    return outcome_of_relay(head, reply, first_copy=first_copy)


def _make_run(state: NodeState, head: CallHead, body: bytes) -> Run:
    async def run() -> Outcome:
        if not _is_rerun(state, head):
            return await dispatch(state, head, body)
        if head.allowance < 1:
            detail = "the request has no extra attempts left"
            return Refused(Reason.OVERLOAD, detail=detail)
        return await dispatch(state, head.with_allowance(head.allowance - 1), body)

    return run


def _is_rerun(state: NodeState, head: CallHead) -> bool:
    """Return whether a refused child is run again because its parent is repeated.

    A hand-over does not include which children were refused, so the successor treats
    every child of a repeated parent as run again.
    """
    tickets, ticket = state.tickets, head.ticket
    if ticket is None or not head.child_key:
        return False
    if tickets.started.was_refused(ticket, head.child_key):
        return True
    return ticket.life != tickets.own.life and is_repeat(head.parent_id)
