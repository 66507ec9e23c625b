"""Links between nodes over websockets.

The sans-I/O protocol of `websockets` runs directly on trio streams, without a task of
its own. This halves the CPU time of a round trip compared with the trio interface of
the library, where every message passes through two more tasks (docs/design/path.md).
"""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake, InvalidMessage
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from fuchsiagap_node.core.ports import DialFailed, LinkClosed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from websockets.protocol import Protocol

    from fuchsiagap_node.core.ports import Dial, Link

# Larger than any valid frame, since `peers.frames` splits messages into frames of
# 64 KiB.
MAX_FRAME_BYTES = 128 * 1024
_READ_BYTES = 64 * 1024
_HANDSHAKE_TIMEOUT_S = 5.0
# Time in which a partly written frame is completed even if its sender is cancelled.
_FINISH_TIMEOUT_S = 5.0
_SWITCHING_PROTOCOLS = 101
_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


def _library_logger() -> logging.Logger:
    logger = logging.getLogger("websockets")
    # Otherwise the library logs each open and close of a link, which the event ring
    # already records.
    logger.setLevel(logging.CRITICAL)
    return logger


@dataclass(slots=True, eq=False)
class WebsocketLink:
    """A link over one websocket connection; implements `Link`.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    protocol : Protocol
        Websocket protocol state, after the handshake.
    """

    stream: trio.SocketStream
    protocol: Protocol
    _received_frames: deque[bytes] = field(default_factory=deque)
    _send_lock: trio.Lock = field(default_factory=trio.Lock)
    _close_reason: str = ""

    async def send(self, frame: bytes) -> LinkClosed | None:
        """Write a frame to the connection, completely or not at all."""
        if self._close_reason or self.protocol.state is not State.OPEN:
            return LinkClosed(self._close_reason or "the link is closing")
        self.protocol.send_binary(frame)
        return await self._flush()

    async def receive(self) -> bytes | LinkClosed:
        """Wait for the next frame.

        The link ends on any message other than an unfragmented binary one.
        """
        # Frames can arrive together with the handshake.
        self._collect_frames()
        while not self._received_frames:
            if self._close_reason:
                return LinkClosed(self._close_reason)
            try:
                data = await self.stream.receive_some(_READ_BYTES)
            except _CONNECTION_ERRORS as exc:
                self._close_reason = f"connection failed: {exc}"
                continue
            self._feed(data)
            closed = await self._flush()
            if closed is not None:
                return closed
        return self._received_frames.popleft()

    async def aclose(self) -> None:
        """Send a close frame if the link is open, and close the connection."""
        if not self._close_reason and self.protocol.state is State.OPEN:
            self.protocol.send_close()
            with trio.move_on_after(_FINISH_TIMEOUT_S):
                await self._flush()
        self._close_reason = self._close_reason or "the link was closed"
        await trio.aclose_forcefully(self.stream)

    def _feed(self, data: bytes) -> None:
        if not data:
            self._close_reason = "the peer closed the connection"
            return
        self.protocol.receive_data(data)
        self._collect_frames()
        if self.protocol.parser_exc is not None:
            self._close_reason = (
                f"malformed websocket frame: {self.protocol.parser_exc}"
            )

    def _collect_frames(self) -> None:
        for event in self.protocol.events_received():
            assert isinstance(event, Frame)
            if event.opcode is Opcode.BINARY and event.fin:
                self._received_frames.append(bytes(event.data))
            elif event.opcode is Opcode.CLOSE:
                self._close_reason = "the peer closed the link"
            elif event.opcode in (Opcode.TEXT, Opcode.BINARY, Opcode.CONT):
                self._close_reason = (
                    f"expected unfragmented binary messages, got {event.opcode.name}"
                )

    async def _flush(self) -> LinkClosed | None:
        data = b"".join(self.protocol.data_to_send())
        if not data:
            return None
        try:
            self._send_lock.acquire_nowait()
        except trio.WouldBlock:
            await self._send_lock.acquire()
        try:
            await _send_whole_frame(self.stream, data)
        except _CONNECTION_ERRORS as exc:
            self._close_reason = f"connection failed: {exc}"
            return LinkClosed(self._close_reason)
        finally:
            self._send_lock.release()
        return None


async def _send_whole_frame(stream: trio.SocketStream, data: bytes) -> None:
    """Send all of the data, or nothing if cancelled before the first byte.

    Parameters
    ----------
    stream : trio.SocketStream
        Connection to the peer.
    data : bytes
        One complete frame.

    Raises
    ------
    trio.BrokenResourceError, OSError
        If the connection failed, or the remaining data was not sent in time.
    """
    n_sent = await stream.socket.send(data)
    if n_sent == len(data):
        return
    with trio.CancelScope(shield=True, deadline=_finish_deadline()) as scope:
        await stream.send_all(memoryview(data)[n_sent:])
    if scope.cancelled_caught:
        await trio.aclose_forcefully(stream)
        raise trio.BrokenResourceError("the peer does not read from the link")


def _finish_deadline() -> float:
    return trio.current_time() + _FINISH_TIMEOUT_S


def websocket_dial(_nursery: trio.Nursery) -> Dial:
    """Return a function that opens links over websockets.

    Parameters
    ----------
    _nursery : trio.Nursery
        Not used, since a link needs no task; required by `NodePorts.dial`.

    Returns
    -------
    callable
        `Dial` function that opens a link to ``IP:PORT``.
    """

    async def dial(address: str) -> WebsocketLink | DialFailed:
        host, _, port = address.rpartition(":")
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, ValueError) as exc:
            return DialFailed(address, str(exc))
        try:
            return await _client_handshake(stream, address)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise

    return dial


async def _client_handshake(
    stream: trio.SocketStream, address: str
) -> WebsocketLink | DialFailed:
    protocol = ClientProtocol(
        parse_uri(f"ws://{address}/"),
        max_size=MAX_FRAME_BYTES,
        logger=_library_logger(),
    )
    protocol.send_request(protocol.connect())
    try:
        await stream.send_all(b"".join(protocol.data_to_send()))
        response = await _first_event(stream, protocol)
    except _CONNECTION_ERRORS as exc:
        response = str(exc)
    if not isinstance(response, Response) or protocol.state is not State.OPEN:
        await trio.aclose_forcefully(stream)
        detail = f"websocket handshake failed: {protocol.handshake_exc or response}"
        return DialFailed(address, detail)
    return WebsocketLink(stream, protocol)


async def _first_event(stream: trio.SocketStream, protocol: Protocol) -> object | str:
    """Return the handshake request or response, or the reason why there is none."""
    while True:
        data = await stream.receive_some(_READ_BYTES)
        if not data:
            return "connection closed"
        protocol.receive_data(data)
        events = protocol.events_received()
        if events:
            # Events after the handshake stay queued in the protocol.
            protocol.events.extend(events[1:])
            return events[0]
        if protocol.parser_exc is not None or protocol.handshake_exc is not None:
            return str(protocol.parser_exc or protocol.handshake_exc)


async def serve_links(
    listeners: list[trio.SocketListener],
    serve_link: Callable[[Link], Awaitable[None]],
    task_status: trio.TaskStatus[list[trio.SocketListener]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept links from other nodes until cancelled.

    Parameters
    ----------
    listeners : list of trio.SocketListener
        Listening sockets for other nodes.
    serve_link : callable
        Serves one link until it closes.
    task_status : trio.TaskStatus
        Reports the start once links are accepted.
    """

    async def handle(stream: trio.SocketStream) -> None:
        link = await _server_handshake(stream)
        if link is None:
            await trio.aclose_forcefully(stream)
            return
        try:
            await serve_link(link)
        finally:
            await trio.aclose_forcefully(stream)

    await trio.serve_listeners(handle, listeners, task_status=task_status)


async def _server_handshake(stream: trio.SocketStream) -> WebsocketLink | None:
    """Complete the handshake; return None if it fails or times out."""
    protocol = ServerProtocol(max_size=MAX_FRAME_BYTES, logger=_library_logger())
    with trio.move_on_after(_HANDSHAKE_TIMEOUT_S):
        try:
            request = await _first_event(stream, protocol)
            if not isinstance(request, Request):
                return None
            response = protocol.accept(request)
            protocol.send_response(response)
            await stream.send_all(b"".join(protocol.data_to_send()))
        except (*_CONNECTION_ERRORS, InvalidHandshake, InvalidMessage):
            return None
        if response.status_code == _SWITCHING_PROTOCOLS:
            return WebsocketLink(stream, protocol)
    return None
