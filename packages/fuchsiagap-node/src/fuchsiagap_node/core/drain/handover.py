"""Hands the ticket windows of a stopping node over to a successor.

Each window is frozen first, permanently: no run of its tickets starts here any more,
even if the hand-over fails. The successor becomes the home only once it has received
the whole window. So two nodes can never both start runs of the same window.

See Also
--------
fuchsiagap_node.core.drain.takeover : The receiving end.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Answered, Refused
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.tickets.records import Successor
from fuchsiagap.core.tickets.snapshot import bitmap_pages, copy_record, record_copies
from fuchsiagap_node.core.ports import LinkLost
from fuchsiagap_node.core.wire.messages_ticket import (
    HandOverBegin,
    HandOverEnd,
    HandOverPart,
    HandOverReply,
    LateOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.tickets.records import RunRecord
    from fuchsiagap.core.tickets.snapshot import RecordCopy
    from fuchsiagap.core.tickets.window import TicketWindow
    from fuchsiagap_node.core.state import NodeState

_PAGES_PER_PART = 64
_REPLY_TIMEOUT_MS = 3000.0
_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HandOverCompleted:
    """The successor is now the home of all windows.

    Parameters
    ----------
    successor : str
        Name of the node that took over the tickets issued by this node.
    n_windows : int
        Number of windows handed over: the node's own and those adopted earlier.
    """

    successor: str
    n_windows: int


@dataclass(frozen=True, slots=True)
class HandOverFailed:
    """The hand-over of at least one window failed, or its result is unknown.

    Parameters
    ----------
    detail : str
        Description of the failure for logs.
    may_try_another : bool
        Whether another peer may be tried. False once the last message of a window may
        have arrived, since that peer may now be its home.
    """

    detail: str
    may_try_another: bool


async def hand_over(
    state: NodeState, peer_address: str
) -> HandOverCompleted | HandOverFailed:
    """Hand all windows over to a peer, and send the outcomes of runs in progress.

    Parameters
    ----------
    state : NodeState
        The stopping node. Its windows stay frozen even after a failure.
    peer_address : str
        ``IP:PORT`` of the successor.

    Returns
    -------
    HandOverCompleted or HandOverFailed
        The result. It is returned when the runs in progress of the windows handed over
        have ended and their outcomes have been sent.
    """
    windows = state.tickets.windows()
    for window in windows:
        window.freeze()
    failed: HandOverFailed | None = None
    for window in windows:
        if failed is None:
            failed = await _hand_over_window(state, window, peer_address)
        window.hand_over_ended.set()
    await _send_late_outcomes(state, windows)
    if failed is not None:
        _LOG.warning(
            "hand-over of tickets to %s failed: %s", peer_address, failed.detail
        )
        return failed
    successor = state.tickets.own.handed_to
    assert successor is not None
    ring = state.telemetry.ring
    ring.record(EventKind.TICKETS_HANDED_OVER, to=successor.node, windows=len(windows))
    return HandOverCompleted(successor.node, len(windows))


async def _hand_over_window(
    state: NodeState, window: TicketWindow, address: str
) -> HandOverFailed | None:
    if window.handed_to is not None:
        return None
    if window.may_have_been_handed_over:
        detail = "an earlier hand-over of the window may have succeeded"
        return HandOverFailed(detail, may_try_another=False)
    reply = await _send_message(
        state, address, HandOverBegin(window.life, window.low, window.next)
    )
    n_parts = 0
    for part in _parts(window, state.tickets.cfg.chunk_bytes):
        if not isinstance(reply, HandOverReply) or not reply.accepted:
            break
        reply = await _send_message(state, address, part)
        n_parts += 1
    if isinstance(reply, HandOverReply) and reply.accepted:
        window.may_have_been_handed_over = True
        reply = await _send_message(state, address, HandOverEnd(window.life, n_parts))
        if _is_certainly_rejected(reply):
            window.may_have_been_handed_over = False
    if not isinstance(reply, HandOverReply) or not reply.accepted:
        return HandOverFailed(
            reply.detail, may_try_another=not window.may_have_been_handed_over
        )
    window.handed_to = Successor(reply.node, address)
    return None


async def _send_message(
    state: NodeState, address: str, msg: object
) -> HandOverReply | LinkLost | Refused:
    reply: object = LinkLost(sent=True, detail=f"no reply from {address}")
    with trio.move_on_after(_REPLY_TIMEOUT_MS / MS_PER_S):
        reply = await state.peers.ask(address, msg)
    if isinstance(reply, (HandOverReply, LinkLost, Refused)):
        return reply
    return LinkLost(sent=True, detail=f"{address} replied {reply!r:.60}")


def _is_certainly_rejected(reply: HandOverReply | LinkLost | Refused) -> bool:
    if isinstance(reply, HandOverReply):
        return not reply.accepted
    return isinstance(reply, Refused) or not reply.sent


def _parts(window: TicketWindow, chunk_bytes: int) -> Iterator[HandOverPart]:
    number = 0
    pages = bitmap_pages(window)
    while batch := tuple(islice(pages, _PAGES_PER_PART)):
        yield HandOverPart(window.life, number, batch, ())
        number += 1
    for records in _chunks(record_copies(window), chunk_bytes):
        yield HandOverPart(window.life, number, (), records)
        number += 1


def _chunks(
    records: Iterator[RecordCopy], chunk_bytes: int
) -> Iterator[tuple[RecordCopy, ...]]:
    chunk: list[RecordCopy] = []
    n_bytes = 0
    for record in records:
        size = _estimate_size(record)
        if chunk and n_bytes + size > chunk_bytes:
            yield tuple(chunk)
            chunk, n_bytes = [], 0
        chunk.append(record)
        n_bytes += size
    if chunk:
        yield tuple(chunk)


def _estimate_size(record: RecordCopy) -> int:
    # 100 bytes are assumed for the fixed fields.
    size = 100 + len(record.child_key)
    if isinstance(record.outcome, Answered):
        size += len(record.outcome.body)
        size += sum(len(name) + len(value) for name, value in record.outcome.headers)
    return size


async def _send_late_outcomes(
    state: NodeState, windows: tuple[TicketWindow, ...]
) -> None:
    """Send the outcomes of the runs that were in progress at the hand-over."""
    async with trio.open_nursery() as nursery:
        for window in windows:
            if window.handed_to is None:
                continue
            for record in window.frozen_runs:
                # The outcome of an adopted run still in progress at the node that
                # started it arrives at `takeover.take_late_outcome`, which forwards it.
                if record.final_outcome is not None or not record.is_remote:
                    nursery.start_soon(_send_late_outcome, state, window, record)


async def _send_late_outcome(
    state: NodeState, window: TicketWindow, record: RunRecord
) -> None:
    assert window.handed_to is not None
    if record.final_outcome is None:
        if record.ended is None:
            record.ended = trio.Event()
        await record.ended.wait()
    assert record.final_outcome is not None
    copy = copy_record(record)
    msg = LateOutcome(
        window.life, copy.sequence, copy.child_key, record.burn, record.final_outcome
    )
    await _send_message(state, window.handed_to.address, msg)
