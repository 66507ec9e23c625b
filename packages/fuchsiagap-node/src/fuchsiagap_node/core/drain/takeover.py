"""Takes over the ticket windows of a stopping node.

`begin`, `add_part`, `end` and `take_late_outcome` each handle one message of a
hand-over, and return an error text or an empty string on success.

See Also
--------
fuchsiagap_node.core.drain.handover : The sending end.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.tickets.records import run_key
from fuchsiagap.core.tickets.snapshot import put_page, put_record
from fuchsiagap.core.tickets.tickets import IncomingWindow
from fuchsiagap.core.tickets.window import TicketWindow
from fuchsiagap_node.core.wire.messages_ticket import (
    HandOverBegin,
    HandOverEnd,
    HandOverPart,
    HandOverReply,
    LateOutcome,
)

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState

_MAX_INCOMING_WINDOWS = 4
_LOG = logging.getLogger(__name__)


def register(state: NodeState) -> None:
    """Register the handlers of the messages of a hand-over."""

    async def on_begin(_peer: str, msg: HandOverBegin) -> HandOverReply:
        return _reply(state, begin(state, msg))

    async def on_part(_peer: str, msg: HandOverPart) -> HandOverReply:
        return _reply(state, add_part(state, msg))

    async def on_end(peer: str, msg: HandOverEnd) -> HandOverReply:
        return _reply(state, end(state, peer, msg))

    async def on_late(_peer: str, msg: LateOutcome) -> HandOverReply:
        return _reply(state, await take_late_outcome(state, msg))

    state.handlers.on_request(HandOverBegin, on_begin)
    state.handlers.on_request(HandOverPart, on_part)
    state.handlers.on_request(HandOverEnd, on_end)
    state.handlers.on_request(LateOutcome, on_late)


def _reply(state: NodeState, error: str) -> HandOverReply:
    return HandOverReply(accepted=not error, detail=error, node=state.node)


def begin(state: NodeState, msg: HandOverBegin) -> str:
    """Begin to receive a window; drop the oldest incoming one if there are too many."""
    tickets = state.tickets
    if state.leaving:
        return f"{state.node} is shutting down too"
    if tickets.ever_owned(msg.life):
        return f"{state.node} was the home of {msg.life} before"
    tickets.incoming.pop(msg.life, None)
    while len(tickets.incoming) >= _MAX_INCOMING_WINDOWS:
        del tickets.incoming[next(iter(tickets.incoming))]
    life = msg.life
    cfg = replace(tickets.cfg, kept_bytes=tickets.cfg.adopted_bytes)
    window = TicketWindow(cfg, life.node, life.incarnation, state.clock)
    window.low = msg.low
    window.next = msg.next
    tickets.incoming[life] = IncomingWindow(window)
    return ""


def add_part(state: NodeState, msg: HandOverPart) -> str:
    """Add a part to an incoming window; an error aborts the hand-over."""
    incoming = state.tickets.incoming.get(msg.life)
    if incoming is None:
        return f"no hand-over of {msg.life} is in progress"
    if msg.number != incoming.n_parts:
        del state.tickets.incoming[msg.life]
        return f"expected part {incoming.n_parts}, got {msg.number}"
    for page in msg.pages:
        if not put_page(incoming.window, page):
            del state.tickets.incoming[msg.life]
            return f"page {page.number} has an invalid size: {len(page.bits)} bytes"
    for record in msg.records:
        put_record(incoming.window, record)
    incoming.n_parts += 1
    return ""


def end(state: NodeState, peer: str, msg: HandOverEnd) -> str:
    """Become the home of the window's tickets, if all parts were received."""
    incoming = state.tickets.incoming.pop(msg.life, None)
    if incoming is None:
        return f"no hand-over of {msg.life} is in progress"
    if incoming.n_parts != msg.n_parts:
        return f"received {incoming.n_parts} of {msg.n_parts} parts"
    if state.leaving or not state.tickets.adopt(incoming.window):
        return f"{state.node} cannot take over {msg.life} now"
    ring = state.telemetry.ring
    ring.record(EventKind.TICKETS_TAKEN_OVER, of=msg.life.node, peer=peer)
    _LOG.info("took over the tickets of %s", msg.life)
    return ""


async def take_late_outcome(state: NodeState, msg: LateOutcome) -> str:
    """Record the outcome of a run that was in progress at the hand-over.

    It is forwarded if this node has handed the window over in turn.
    """
    window = state.tickets.adopted.get(msg.life)
    if window is None:
        return f"{state.node} is not the home of {msg.life}"
    record = window.records.get(run_key(msg.sequence, msg.child_key))
    if record is None or not record.is_remote or record.outcome is not None:
        # No such run is known, it was started here, or its outcome is already recorded.
        return "no handed-over run with this key is in progress"
    record.burn |= msg.burn
    window.finish(record, msg.outcome)
    if window.handed_to is not None:
        await state.peers.ask(window.handed_to.address, msg)
    return ""
