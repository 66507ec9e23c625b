"""HTTP/1.1 client for the backend server, on `h11` and `trio` alone.

`h11` is the protocol engine under `httpcore`, whose connection pool costs more time
than a node may add to a call (docs/design/path.md). Connections are kept alive, and the
most recently used one is taken first, so that surplus connections stay idle until the
server closes them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

import h11
import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.tcp import wait_acknowledged

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.edges.http_server import RawHeaders

_READ_BYTES = 64 * 1024
_CONNECT_TIMEOUT_S = 1.0
# Maximum number of informational responses (1xx) ahead of a final one.
_MAX_INFORMATIONAL = 32
# `h11` accepts any version of two digits.
_VERSIONS = (b"1.0", b"1.1")
# Largest HTTP status (RFC 9110, 15); `h11` accepts any of three digits.
_MAX_STATUS = 599


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A complete response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Names in lower case and values.
    body : bytes
        The complete body.
    """

    status: int
    headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was available; no byte of the request was written.

    Parameters
    ----------
    detail : str
        Reason, for error messages.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """The request is not valid HTTP; no byte of it was written.

    Parameters
    ----------
    detail : str
        What is invalid.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The request was at least partly written, without a complete response.

    Parameters
    ----------
    detail : str
        Reason, for error messages.
    response_started : bool
        Whether the head of a response was received before the connection failed.
    """

    detail: str
    response_started: bool = False


@dataclass(frozen=True, slots=True)
class ResponseTooLarge:
    """The response body exceeds the limit.

    Parameters
    ----------
    limit : int
        Maximum size of the body in bytes.
    """

    limit: int


ExchangeResult: TypeAlias = (
    ClientResponse | NotSent | InvalidRequest | NoResponse | ResponseTooLarge
)


@dataclass(slots=True, eq=False)
class _Conn:
    """A connection to the server with the protocol state of one exchange."""

    stream: trio.SocketStream
    http: h11.Connection
    response_started: bool = False


@dataclass(slots=True, eq=False)
class HttpPool:
    """Pool of connections to one server.

    Parameters
    ----------
    address : str
        Address of the server as ``IP:PORT``.
    connections : int
        Maximum number of connections in use; further requests wait for one.
    body_bytes : int
        Maximum size of a response body in bytes.
    """

    address: str
    connections: int
    body_bytes: int
    _idle: deque[_Conn] = field(default_factory=deque)
    _limiter: trio.CapacityLimiter = field(init=False)

    def __post_init__(self) -> None:
        self._limiter = trio.CapacityLimiter(self.connections)

    async def exchange(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        body: bytes,
        wait: Milliseconds,
    ) -> ExchangeResult:
        """Send a request and wait for the complete response.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path with query.
        headers : list of (bytes, bytes)
            Headers with ``host`` and, for a body, ``content-length``.
        body : bytes
            The complete body.
        wait : float
            Maximum time to wait for a free connection, in milliseconds.

        Returns
        -------
        ClientResponse, NotSent, InvalidRequest, NoResponse or ResponseTooLarge
            `NotSent` and `InvalidRequest` only if no byte was written. Cancelling
            closes the connection, so that the server can abort the request.
        """
        http = h11.Connection(h11.CLIENT)
        try:
            data = _request_bytes(http, method, target, headers, body)
        except h11.LocalProtocolError as exc:
            return InvalidRequest(str(exc))
        borrower = object()
        if not await self._acquire(borrower, wait):
            return NotSent(f"all {self.connections} connections are in use")
        try:
            stream = await self._get_stream()
            if isinstance(stream, NotSent):
                return stream
            return await self._send_and_receive(_Conn(stream, http), data)
        finally:
            self._limiter.release_on_behalf_of(borrower)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await trio.aclose_forcefully(self._idle.pop().stream)

    async def _acquire(self, borrower: object, wait: Milliseconds) -> bool:
        try:
            self._limiter.acquire_on_behalf_of_nowait(borrower)
        except trio.WouldBlock:
            with trio.move_on_after(wait / MS_PER_S):
                await self._limiter.acquire_on_behalf_of(borrower)
                return True
            return False
        return True

    async def _get_stream(self) -> trio.SocketStream | NotSent:
        while self._idle:
            stream = self._idle.pop().stream
            # An idle connection is readable if the server closed it or sent unexpected
            # data. In both cases it cannot be used again.
            if not stream.socket.is_readable():
                return stream
            await trio.aclose_forcefully(stream)
        host, _, port = self.address.rpartition(":")
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                return await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError) as exc:
            return NotSent(f"no connection to {self.address}: {exc}")

    async def _send_and_receive(self, conn: _Conn, data: bytes) -> ExchangeResult:
        reusable = False
        try:
            await conn.stream.send_all(data)
            response = await self._read_response(conn)
            reusable = (
                isinstance(response, ClientResponse)
                and conn.http.our_state is h11.DONE
                and conn.http.their_state is h11.DONE
                and not conn.http.trailing_data[0]
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError) as exc:
            return NoResponse(f"connection failed: {exc}", conn.response_started)
        except h11.RemoteProtocolError as exc:
            return NoResponse(
                f"incomplete or malformed HTTP response: {exc}", conn.response_started
            )
        finally:
            if reusable:
                self._idle.append(conn)
            else:
                await trio.aclose_forcefully(conn.stream)
        return response

    async def _read_response(self, conn: _Conn) -> ExchangeResult:
        head: h11.Response | None = None
        body = bytearray()
        n_informational = 0
        while True:
            event = conn.http.next_event()
            if event is h11.NEED_DATA:
                data = await conn.stream.receive_some(_READ_BYTES)
                if not data:
                    # Not all of the request may have arrived before the connection
                    # ended, which does not complete a response without a length.
                    await wait_acknowledged(conn.stream.socket)
                conn.http.receive_data(data)
            elif isinstance(event, h11.Data):
                if len(body) + len(event.data) > self.body_bytes:
                    return ResponseTooLarge(self.body_bytes)
                body += event.data
            elif isinstance(event, h11.Response):
                if event.http_version not in _VERSIONS:
                    version = event.http_version.decode("latin-1")
                    return NoResponse(f"response of HTTP/{version}")
                if event.status_code > _MAX_STATUS:
                    return NoResponse(f"response with status {event.status_code}")
                head = event
                conn.response_started = True
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return ClientResponse(head.status_code, list(head.headers), bytes(body))
            elif isinstance(event, h11.InformationalResponse):
                n_informational += 1
                if n_informational > _MAX_INFORMATIONAL:
                    return NoResponse("too many informational responses")
            else:
                return NoResponse("connection closed before the response")


def _request_bytes(
    http: h11.Connection, method: str, target: str, headers: RawHeaders, body: bytes
) -> bytes:
    request = h11.Request(method=method, target=target, headers=headers)
    data = http.send(request) or b""
    if body:
        data += http.send(h11.Data(data=body)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")
