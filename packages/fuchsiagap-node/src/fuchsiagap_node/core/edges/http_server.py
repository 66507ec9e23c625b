"""HTTP/1.1 server for callers, on `h11` and `trio` alone.

`h11` is the protocol engine under `hypercorn`. `hypercorn` itself takes more time than
a node may add to a call in total (docs/design/path.md), so this module drives the
engine directly, with two tasks per connection. One reads a request, runs it and writes
the response. The other reads ahead, so that the disconnect of a caller is detected
while its request runs.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeAlias

import h11
import trio

RawHeaders: TypeAlias = list[tuple[bytes, bytes]]

_LOG = logging.getLogger(__name__)
_READ_BYTES = 64 * 1024
# Amount of unparsed data at which reading from the connection pauses.
_READ_AHEAD_BYTES = 256 * 1024
# Limits each wait for more data of a request head, and the sending of a response.
_IDLE_TIMEOUT_S = 75.0
# Limits the time from the first byte of a request head to its end.
_HEAD_TIMEOUT_S = 30.0
# Limits each wait for more data of a body.
_BODY_IDLE_TIMEOUT_S = 20.0
# Limits the wait for a caller to close its end after the last response.
_CLOSE_TIMEOUT_S = 5.0
# Limits the time for a whole body, unless its request has a later deadline.
BODY_TIMEOUT_S = 300.0
_VERSIONS = (b"1.0", b"1.1")
_CONTENT_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_VERSION_NOT_SUPPORTED = 505
_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path with query, as sent by the caller.
    headers : list of (bytes, bytes)
        Names in lower case and values.
    body : bytes
        The complete body.
    """

    method: str
    target: str
    headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Names and values without ``content-length``, which the server sets.
    body : bytes
        The complete body.
    close : bool
        Whether the server closes the connection after this response.
    """

    status: int
    headers: RawHeaders
    body: bytes = b""
    close: bool = False


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that is malformed or exceeds a limit.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    detail : str
        What is wrong and what is expected.
    """

    status: int
    detail: str


def _default_body_timeout(_: RawHeaders) -> float:
    return BODY_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class HttpServerSettings:
    """Limits of the server and functions that track open requests.

    Parameters
    ----------
    header_bytes : int
        Maximum size of the request line and all headers, in bytes.
    body_bytes : int
        Maximum size of a request body, in bytes.
    reserve : callable
        Reserves memory for a number of body bytes, or releases it if the number is
        negative. Returns False if the limit over all requests would be exceeded.
    add_open_requests : callable
        Called with 1 once the head of a request is read and with -1 once its response
        is written, so that a graceful shutdown can wait for open requests.
    body_timeout : callable, optional
        Returns the seconds within which a body must be complete, given the headers; by
        default `BODY_TIMEOUT_S`.
    """

    header_bytes: int
    body_bytes: int
    reserve: Callable[[int], bool]
    add_open_requests: Callable[[int], None]
    body_timeout: Callable[[RawHeaders], float] = _default_body_timeout


Handler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]
ErrorHandler: TypeAlias = Callable[[BadRequest], HttpResponse]


@dataclass(frozen=True, slots=True)
class _ConnectionEnded:
    """The caller disconnected, or sent nothing within the time limit."""


@dataclass(slots=True, eq=False)
class _Connection:
    """State of one connection, shared by its two tasks.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.
    cfg : HttpServerSettings
        Limits.
    http : h11.Connection
        Protocol state.
    data_received : trio.Event
        Set when data or the end of the input was passed to `http`.
    buffer_drained : trio.Event
        Set when all data passed to `http` has been parsed.
    input_ended : bool
        Whether the caller closed the connection or sent data that `http` rejected.
    handler_scope : trio.CancelScope or None
        Cancels the running handler; None while none runs.
    """

    stream: trio.SocketStream
    cfg: HttpServerSettings
    http: h11.Connection
    data_received: trio.Event = field(default_factory=trio.Event)
    buffer_drained: trio.Event = field(default_factory=trio.Event)
    input_ended: bool = False
    handler_scope: trio.CancelScope | None = None

    async def read_ahead(self) -> None:
        """Pass received data to `http`; cancel the handler when the input ends."""
        while not self.input_ended:
            try:
                data = await self.stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            self.input_ended = not data
            try:
                self.http.receive_data(data)
            except h11.RemoteProtocolError:
                self.input_ended = True
            if self.handler_scope is not None and self.input_ended:
                self.handler_scope.cancel()
            self.data_received.set()
            if len(self.http.trailing_data[0]) > _READ_AHEAD_BYTES:
                self.buffer_drained = trio.Event()
                await self.buffer_drained.wait()

    async def close(self) -> None:
        """Send an end of stream, and wait for that of the caller.

        Input at a closed socket resets the connection, on which the caller may lose
        the last response. It is therefore read and discarded meanwhile.
        """
        if self.input_ended:
            return
        self.cfg.add_open_requests(1)
        try:
            with trio.move_on_after(_CLOSE_TIMEOUT_S):
                await self.stream.send_eof()
                while await self.stream.receive_some(_READ_BYTES):
                    pass
        finally:
            self.cfg.add_open_requests(-1)

    async def next_event(
        self,
        timeout: float,
        ends_at: float = float("inf"),
        begun_timeout: float = float("inf"),
    ) -> object:
        """Return the next event of `http`.

        Returns `_ConnectionEnded` if the input ended, if no data was received for
        `timeout` seconds, at the time `ends_at`, or `begun_timeout` seconds after a
        part of the event was received.
        """
        has_begun = False
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.buffer_drained.set()
            if self.input_ended:
                return _ConnectionEnded()
            if self.http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self.stream.send_all(self.http.send(continue_response) or b"")
            now = trio.current_time()
            if self.http.trailing_data[0] and not has_begun:
                has_begun = True
                ends_at = min(ends_at, now + begun_timeout)
            self.data_received = trio.Event()
            with trio.move_on_at(min(now + timeout, ends_at)) as scope:
                await self.data_received.wait()
            if scope.cancelled_caught:
                return _ConnectionEnded()


async def serve_http(
    listener: trio.SocketListener,
    cfg: HttpServerSettings,
    handle: Handler,
    handle_error: ErrorHandler,
    task_status: trio.TaskStatus[list[trio.SocketListener]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP/1.1 until cancelled.

    Parameters
    ----------
    listener : trio.SocketListener
        Listening socket for callers.
    cfg : HttpServerSettings
        Limits of each connection.
    handle : callable
        Runs a request; cancelled if the caller disconnects.
    handle_error : callable
        Returns the response to a malformed or too large request.
    task_status : trio.TaskStatus
        Reports the start once connections are accepted.
    """

    async def handle_connection(stream: trio.SocketStream) -> None:
        await _serve_connection(stream, cfg, handle, handle_error)

    await trio.serve_listeners(handle_connection, [listener], task_status=task_status)


async def _serve_connection(
    stream: trio.SocketStream,
    cfg: HttpServerSettings,
    handle: Handler,
    handle_error: ErrorHandler,
) -> None:
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=cfg.header_bytes)
    conn = _Connection(stream, cfg, http)
    try:
        async with stream:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(conn.read_ahead)
                while await _serve_request(conn, handle, handle_error):
                    pass
                nursery.cancel_scope.cancel()
            await conn.close()
    except* (trio.BrokenResourceError, trio.ClosedResourceError):
        # The caller disconnected, so no response can be sent.
        pass
    except* Exception:
        # An unexpected exception must not cancel the requests of other connections.
        _LOG.exception("unhandled exception on a caller's connection")


async def _serve_request(
    conn: _Connection, handle: Handler, handle_error: ErrorHandler
) -> bool:
    """Serve one request; return whether the connection may serve another."""
    head = await _read_head(conn)
    if isinstance(head, _ConnectionEnded):
        return False
    conn.cfg.add_open_requests(1)
    try:
        return await _read_and_respond(conn, head, handle, handle_error)
    finally:
        conn.cfg.add_open_requests(-1)


async def _read_and_respond(
    conn: _Connection,
    head: h11.Request | BadRequest,
    handle: Handler,
    handle_error: ErrorHandler,
) -> bool:
    if isinstance(head, BadRequest):
        await _send_response(conn, handle_error(head), is_head=False, close=True)
        return False
    body = await _read_body(conn, head)
    if isinstance(body, _ConnectionEnded):
        return False
    if isinstance(body, BadRequest):
        await _send_response(conn, handle_error(body), is_head=False, close=True)
        return False
    method = head.method.decode("ascii")
    target = head.target.decode("latin-1")
    req = HttpRequest(method, target, list(head.headers), body)
    try:
        response = await _run_handler(conn, req, handle)
    finally:
        conn.cfg.reserve(-len(body))
    if response is None:
        return False
    await _send_response(conn, response, is_head=method == "HEAD", close=response.close)
    if conn.http.our_state is not h11.DONE or conn.http.their_state is not h11.DONE:
        return False
    conn.http.start_next_cycle()
    return True


async def _run_handler(
    conn: _Connection, req: HttpRequest, handle: Handler
) -> HttpResponse | None:
    """Run a request; return None if the caller disconnected meanwhile."""
    response: HttpResponse | None = None
    with trio.CancelScope() as scope:
        conn.handler_scope = scope
        if conn.input_ended:
            scope.cancel()
        response = await handle(req)
    conn.handler_scope = None
    return response


async def _read_head(conn: _Connection) -> h11.Request | BadRequest | _ConnectionEnded:
    try:
        event = await conn.next_event(_IDLE_TIMEOUT_S, begun_timeout=_HEAD_TIMEOUT_S)
    except h11.RemoteProtocolError as exc:
        return _malformed_request(exc)
    if not isinstance(event, h11.Request):
        return _ConnectionEnded()
    if event.http_version not in _VERSIONS:
        version = event.http_version.decode("latin-1")
        detail = f"HTTP version {version}: expected 1.0 or 1.1"
        return BadRequest(_VERSION_NOT_SUPPORTED, detail)
    # `h11` limits only the size of data that it has not parsed yet.
    n_bytes = sum(len(name) + len(value) for name, value in event.headers)
    if n_bytes + len(event.target) > conn.cfg.header_bytes:
        detail = f"request line and headers exceed {conn.cfg.header_bytes} bytes"
        return BadRequest(_HEADERS_TOO_LARGE, detail)
    return event


def _declared_length(head: h11.Request) -> int:
    """Return the declared length of the body; 0 if none is declared."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


async def _read_body(
    conn: _Connection, head: h11.Request
) -> bytes | BadRequest | _ConnectionEnded:
    """Return the complete body, with memory reserved for it."""
    if _declared_length(head) > conn.cfg.body_bytes:
        return _body_too_large(conn)
    parts: list[bytes] = []
    n_bytes = 0
    error: BadRequest | _ConnectionEnded = _ConnectionEnded()
    ends_at = trio.current_time() + conn.cfg.body_timeout(list(head.headers))
    try:
        while True:
            event = await conn.next_event(_BODY_IDLE_TIMEOUT_S, ends_at)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                break
            if n_bytes + len(event.data) > conn.cfg.body_bytes:
                error = _body_too_large(conn)
                break
            if not conn.cfg.reserve(len(event.data)):
                detail = (
                    "the bodies of all open calls exceed the memory limit of this node"
                )
                error = BadRequest(_UNAVAILABLE, detail)
                break
            n_bytes += len(event.data)
            parts.append(bytes(event.data))
    except h11.RemoteProtocolError as exc:
        error = _malformed_request(exc)
    conn.cfg.reserve(-n_bytes)
    return error


def _body_too_large(conn: _Connection) -> BadRequest:
    return BadRequest(
        _CONTENT_TOO_LARGE, f"the body exceeds {conn.cfg.body_bytes} bytes"
    )


def _malformed_request(exc: h11.RemoteProtocolError) -> BadRequest:
    return BadRequest(exc.error_status_hint, f"malformed HTTP request: {exc}")


async def _send_response(
    conn: _Connection, response: HttpResponse, *, is_head: bool, close: bool
) -> None:
    http = conn.http
    headers = list(response.headers)
    if response.status not in (204, 304):
        headers.append((b"content-length", b"%d" % len(response.body)))
    if close:
        headers.append((b"connection", b"close"))
    head = h11.Response(status_code=response.status, headers=headers)
    try:
        data = http.send(head) or b""
        if response.body and not is_head and response.status not in (204, 304):
            data += http.send(h11.Data(data=response.body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
    except h11.LocalProtocolError:
        # `h11` is in an error state for this connection; no response can be sent.
        return
    with trio.move_on_after(_IDLE_TIMEOUT_S):
        await conn.stream.send_all(data)
