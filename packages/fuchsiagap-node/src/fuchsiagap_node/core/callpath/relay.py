"""The way of a non-idempotent call to the home of its ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.calls.outcome import Outcome, Reason, Refused, Unknown
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap_node.core.callpath.attempts import is_repeat
from fuchsiagap_node.core.callpath.dispatch import dispatch
from fuchsiagap_node.core.callpath.home import at_home, needs_ticket
from fuchsiagap_node.core.callpath.home_of import HomeGone, HomeHere, home_of, relayed
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
    """Take non-idempotent calls whose ticket this node has issued or taken over."""

    async def on_call(_peer: str, msg: HomeCallMessage) -> Outcome:
        head = head_from_wire(msg.head, state.clock.now())
        run = _run_of(state, head, msg.body)
        return await at_home(state, head, msg.body, run)

    state.handlers.on_request(HomeCallMessage, on_call)


async def send_home(
    state: NodeState, head: CallHead, body: bytes, first_copy: bool = False
) -> Outcome:
    """Have the home of a call's ticket run it at most once.

    Parameters
    ----------
    state : NodeState
        The node.
    head : CallHead
        A non-idempotent call.
    body : bytes
        The whole body.
    first_copy : bool, default=False
        Whether the caller says that it sent no copy of the request before.

    Returns
    -------
    Answered, Refused or Unknown
        `Refused` only if the home has surely not started it.
    """
    ticket = head.ticket
    if ticket is None:
        return needs_ticket(head)
    home = home_of(state, ticket)
    if isinstance(home, HomeGone):
        detail = f"no node is known that answers for ticket {ticket}"
        return Unknown(home.reason, head.allowance, detail=detail)
    if isinstance(home, HomeHere):
        return await at_home(state, head, body, _run_of(state, head, body))
    state.telemetry.metrics.count(Counter.CALLS_RELAYED, str(head.service))
    state.telemetry.ring.record(
        EventKind.CALL_RELAYED,
        call_id=head.call_id,
        root_id=head.root_id,
        to=home.address,
    )
    msg = HomeCallMessage(head_to_wire(head, state.clock.now()), body)
    reply = await state.peers.ask(home.address, msg)
    return relayed(head, reply, first_copy=first_copy)


def _run_of(state: NodeState, head: CallHead, body: bytes) -> Run:
    async def run() -> Outcome:
        if not _is_started_again(state, head):
            return await dispatch(state, head, body)
        if head.allowance < 1:
            detail = "the request's allowance of extra attempts is used up"
            return Refused(Reason.OVERLOAD, detail=detail)
        return await dispatch(state, head.with_allowance(head.allowance - 1), body)

    return run


def _is_started_again(state: NodeState, head: CallHead) -> bool:
    """Return whether a child was refused before and comes again by a repeat above.

    A successor was not told which children were refused, so there a repeat counts.
    """
    tickets, ticket = state.tickets, head.ticket
    if ticket is None or not head.child_key:
        return False
    if tickets.started.was_refused(ticket, head.child_key):
        return True
    return ticket.life != tickets.own.life and is_repeat(head.parent_id)
