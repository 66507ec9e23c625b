"""One link to another node: requests, replies, notifications and cancellations.

One task reads the link. Each request from the other side runs in a task of its own,
which is cancelled by a cancellation frame or by the end of the link.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.calls.outcome import Reason, Refused
from fuchsiagap_node.core.peers.frames import (
    FragmentBuffer,
    Frame,
    FrameKind,
    decode_frame,
    encode_frames,
    fragment_stream,
)
from fuchsiagap_node.core.ports import LinkClosed, LinkLost
from fuchsiagap_node.core.wire.codec import MalformedFrame, from_array, to_array
from fuchsiagap_node.core.wire.messages_call import CallMessage, Hello, HomeCallMessage

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap_node.core.peers.handlers import Handlers
    from fuchsiagap_node.core.ports import Link

_LINK_FULL = Refused(
    Reason.OVERLOAD,
    retry_after=100.0,  # milliseconds
    detail="too many concurrent requests on the link",
)
_LOG = logging.getLogger(__name__)
# Limit on a message in fragments, and on all buffered fragments of a link together.
MAX_MESSAGE_BYTES = 80 * 1024 * 1024
# Maximum number of cancelled requests of a link whose ids are kept, so that a late
# reply can be attributed to its call.
_MAX_ABANDONED = 1_000
_MAX_QUEUED_MESSAGES = 1_024


@dataclass(slots=True)
class _PendingRequest:
    """A request that waits for its reply."""

    msg: object
    done: trio.Event
    reply: object = None


def _ignore_bytes(_n_bytes: int) -> None:
    """Ignore a frame; the default of `count_sent` and `count_received`."""


def _ignore_call(_call_id: str, _root_id: str) -> None:
    """Ignore a call; the default of the callbacks that record one."""


def _ignore_unsolicited(_peer: str, _number: int) -> None:
    """Ignore a reply; the default of `report_unsolicited_reply`."""


@dataclass(frozen=True, slots=True)
class WireContext:
    """State, limits and callbacks shared by all links of a node.

    Parameters
    ----------
    hello : Hello
        Introduction of this node, sent on each link.
    handlers : Handlers
        Handlers of the messages from other nodes.
    stamp : callable
        Returns a hybrid logical clock reading for a frame to send.
    observe : callable
        Takes the clock reading of a received frame.
    max_concurrent_requests : int
        Requests from one link that may run at once; further ones are refused.
    count : callable
        Counts an occurrence by name, for example a dropped late reply.
    count_sent, count_received : callable
        Count a frame and its size in bytes.
    record_late_reply, record_incomplete_reply : callable
        Take the call and root ids of a call whose reply came after its request had
        ended, or whose reply broke off.
    report_unsolicited_reply : callable
        Takes the peer and the number of the first reply on a link that belongs to no
        request of that link.
    max_queued_messages : int
        Messages that may wait to be written to one link. Beyond that, requests fail as
        not sent and notifications are dropped. Replies and cancellations are always
        sent, as the requests bound their number.
    """

    hello: Hello
    handlers: Handlers
    stamp: Callable[[], int]
    observe: Callable[[int], None]
    max_concurrent_requests: int
    count: Callable[[str], None]
    count_sent: Callable[[int], None] = _ignore_bytes
    count_received: Callable[[int], None] = _ignore_bytes
    record_late_reply: Callable[[str, str], None] = _ignore_call
    record_incomplete_reply: Callable[[str, str], None] = _ignore_call
    report_unsolicited_reply: Callable[[str, int], None] = _ignore_unsolicited
    max_queued_messages: int = _MAX_QUEUED_MESSAGES


@dataclass(slots=True, eq=False)
class PeerConn:
    """State of one link to another node.

    Parameters
    ----------
    link : Link
        Carries whole frames in order.
    wire : WireContext
        Shared by all links of the node.
    nursery : trio.Nursery
        Runs the tasks of this link.
    peer : Hello, optional
        Introduction of the other node; None before the handshake.
    closed : bool, default=False
        Whether the link has ended.
    """

    link: Link
    wire: WireContext
    nursery: trio.Nursery
    peer: Hello | None = None
    closed: bool = False
    _next_number: int = 1
    _n_queued: int = 0
    _pending: dict[int, _PendingRequest] = field(default_factory=dict)
    # Call and root ids of recent requests that were cancelled before their reply.
    _abandoned: dict[int, tuple[str, str]] = field(default_factory=dict)
    _has_reported_unsolicited: bool = False
    # Streams of which some fragments have arrived, but not the last one.
    _partial_messages: set[int] = field(default_factory=set)
    _running: dict[int, trio.CancelScope] = field(default_factory=dict)
    _fragments: FragmentBuffer = field(
        default_factory=lambda: FragmentBuffer(MAX_MESSAGE_BYTES)
    )

    async def handshake(self) -> Hello | LinkClosed:
        """Send this node's hello and wait for that of the other side.

        Returns
        -------
        Hello or LinkClosed
            The other side's hello, or the reason why there is none.
        """
        closed = await self._send(FrameKind.NOTIFICATION, 0, self.wire.hello)
        if closed is not None:
            return closed
        data = await self.link.receive()
        if isinstance(data, LinkClosed):
            return data
        frame = decode_frame(data)
        msg = frame if isinstance(frame, MalformedFrame) else from_array(frame.payload)
        if not isinstance(msg, Hello):
            return LinkClosed(f"expected Hello as the first frame, got {msg!r:.80}")
        self.peer = msg
        return msg

    async def ask(self, msg: object) -> object:
        """Send a request and wait for its reply.

        Parameters
        ----------
        msg : object
            Request of a type that has a reply.

        Returns
        -------
        object
            The reply, or `LinkLost`, which says whether the request may have arrived.
        """
        if self.closed:
            return LinkLost(sent=False, detail="the link is closed")
        if self._is_queue_full():
            detail = f"send queue is full: {self._n_queued} messages are waiting"
            return LinkLost(sent=False, detail=detail)
        number = self._allocate_number()
        pending = _PendingRequest(msg, trio.Event())
        self._pending[number] = pending
        try:
            closed = await self._send(FrameKind.REQUEST, number, msg)
            if closed is not None:
                return LinkLost(sent=True, detail=closed.detail)
            await pending.done.wait()
        except trio.Cancelled:
            self._record_abandoned(number, msg)
            self._cancel_remote(number)
            raise
        finally:
            self._pending.pop(number, None)
        return pending.reply

    async def notify(self, msg: object) -> LinkClosed | None:
        """Send a notification; it is dropped if the send queue is full."""
        if self._is_queue_full():
            return None
        return await self._send(FrameKind.NOTIFICATION, self._allocate_number(), msg)

    def has_running_requests(self) -> bool:
        """Return whether a request of the other side runs or is being replied to."""
        return bool(self._running) and not self.closed

    async def run(self) -> None:
        """Read the link until it closes, then end all requests on it."""
        try:
            while True:
                data = await self.link.receive()
                if isinstance(data, LinkClosed):
                    return
                if not await self._take_frame(data):
                    return
        finally:
            self._close_requests()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                await self.link.aclose()

    def _is_queue_full(self) -> bool:
        """Return whether the send queue is full, and count it if so."""
        is_full = self._n_queued >= self.wire.max_queued_messages
        if is_full:
            self.wire.count("send_queue_full")
        return is_full

    def _allocate_number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number

    def _record_abandoned(self, number: int, msg: object) -> None:
        ids = _call_ids(msg)
        if ids is None:
            return
        self._abandoned[number] = ids
        if len(self._abandoned) > _MAX_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    def _cancel_remote(self, number: int) -> None:
        if not self.closed:
            self.nursery.start_soon(self._send, FrameKind.CANCEL, number, None)

    async def _send(
        self, kind: FrameKind, number: int, msg: object | None
    ) -> LinkClosed | None:
        payload = None if msg is None else to_array(msg)
        frame = Frame(kind, number, self.wire.stamp(), payload)
        self._n_queued += 1
        try:
            for data in encode_frames(frame):
                # Other tasks send between fragments: short messages overtake long ones.
                self.wire.count_sent(len(data))
                closed = await self.link.send(data)
                if closed is not None:
                    return closed
        finally:
            self._n_queued -= 1
        return None

    async def _take_frame(self, data: bytes) -> bool:
        """Process a frame; return whether the link stays open."""
        self.wire.count_received(len(data))
        frame: Frame | MalformedFrame | None = decode_frame(data)
        if isinstance(frame, Frame) and frame.kind in (
            FrameKind.FRAGMENT,
            FrameKind.LAST_FRAGMENT,
        ):
            self._track_fragment(frame)
            frame = self._fragments.add(frame)
        if frame is None:
            return True
        if isinstance(frame, MalformedFrame):
            return self._reject_frame(frame)
        self.wire.observe(frame.time)
        if frame.kind is FrameKind.CANCEL:
            self._take_cancel(frame.number)
            return True
        msg = None if frame.payload is None else from_array(frame.payload)
        if isinstance(msg, MalformedFrame):
            return self._reject_frame(msg)
        if frame.kind is FrameKind.REPLY:
            self._take_reply(frame.number, msg)
        elif frame.kind is FrameKind.REQUEST:
            await self._take_request(frame.number, msg)
        else:
            self._take_notification(msg)
        return True

    def _track_fragment(self, frame: Frame) -> None:
        if frame.kind is FrameKind.FRAGMENT:
            self._partial_messages.add(frame.number)
        else:
            self._partial_messages.discard(frame.number)

    def _reject_frame(self, fault: MalformedFrame) -> bool:
        """Record a malformed frame; return False, which closes the link."""
        self.wire.count("malformed_frame")
        _LOG.warning("link to %s closed: %s", self._peer_name(), fault.detail)
        return False

    def _take_reply(self, number: int, msg: object) -> None:
        # Removed, so that a second reply cannot replace the first.
        pending = self._pending.pop(number, None)
        if pending is None:
            self._drop_reply(number)
            return
        pending.reply = LinkLost(sent=True, detail="no reply") if msg is None else msg
        pending.done.set()

    def _drop_reply(self, number: int) -> None:
        if not 0 < number < self._next_number:
            self.wire.count("crossed_reply_dropped")
            if not self._has_reported_unsolicited:
                self._has_reported_unsolicited = True
                self.wire.report_unsolicited_reply(self._peer_name(), number)
            return
        self.wire.count("late_reply_dropped")
        ids = self._abandoned.pop(number, None)
        if ids is not None:
            self.wire.record_late_reply(*ids)

    async def _take_request(self, number: int, msg: object) -> None:
        if len(self._running) >= self.wire.max_concurrent_requests:
            # Waiting here would delay the replies and cancellations that follow.
            self.wire.count("link_full")
            await self._send(FrameKind.REPLY, number, _LINK_FULL)
            return
        scope = trio.CancelScope()
        self._running[number] = scope
        self.nursery.start_soon(self._reply, number, msg, scope)

    def _take_cancel(self, number: int) -> None:
        self._fragments.drop(number)
        self._partial_messages.discard(fragment_stream(number, is_reply=False))
        scope = self._running.get(number)
        if scope is not None:
            scope.cancel()

    def _take_notification(self, msg: object) -> None:
        handler = self.wire.handlers.notification_handlers.get(type(msg))
        if handler is None:
            self.wire.count("unexpected_notice")
            return
        self.nursery.start_soon(self._run_notification, handler, msg)

    async def _run_notification(self, handler: Any, msg: object) -> None:
        try:
            await handler(self._peer_name(), msg)
        except Exception:
            self.wire.count("handler_failed")
            _LOG.exception("handler of notification %s failed", type(msg).__name__)

    async def _reply(self, number: int, msg: object, scope: trio.CancelScope) -> None:
        try:
            with scope:
                reply = await self._handle(msg)
            if not scope.cancelled_caught and not self.closed:
                await self._send(FrameKind.REPLY, number, reply)
        finally:
            self._running.pop(number, None)

    async def _handle(self, msg: object) -> object | None:
        """Return the handler's reply; None if there is no handler or it failed."""
        handler = self.wire.handlers.request_handlers.get(type(msg))
        if handler is None:
            self.wire.count("unexpected_ask")
            return None
        try:
            return await handler(self._peer_name(), msg)
        except Exception:
            self.wire.count("handler_failed")
            _LOG.exception("handler of request %s failed", type(msg).__name__)
            return None

    def _peer_name(self) -> str:
        return self.peer.node if self.peer is not None else ""

    def _record_incomplete(self, msg: object) -> None:
        ids = _call_ids(msg)
        if ids is not None:
            self.wire.record_incomplete_reply(*ids)

    def _close_requests(self) -> None:
        self.closed = True
        for number, pending in self._pending.items():
            if fragment_stream(number, is_reply=True) in self._partial_messages:
                self._record_incomplete(pending.msg)
            pending.reply = LinkLost(sent=True, detail="the link closed")
            pending.done.set()
        for scope in self._running.values():
            scope.cancel()


def _call_ids(msg: object) -> tuple[str, str] | None:
    """Return the call and root ids of a message; None if it carries no call."""
    if isinstance(msg, CallMessage | HomeCallMessage):
        return msg.head.call_id, msg.head.root_id
    return None
