"""Backend server whose behaviour tests can set for each request."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_request import RequestReader
from fuchsiagap_node.core.mesh.stream import BrokenStream, accept_all, listen
from fuchsiagap_standins.mesh.serving import serve_requests

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.stream import Stream

_STANDARD_NAMES = HeaderNames()
# Path of the health check of each server.
HEALTH_PATH = "/health"
# Responses without end, by the part that has none: what precedes it, after the line
# with the identifier, and what it repeats.
ENDLESS_RESPONSES = {
    "headers": (b"", b"a: b\r\n"),
    "header value": (b"A: ", b"x"),
    "body": (b"\r\n", b"x"),
    "small chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "trailers": (b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
    "informational responses": (b"\r\n", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "other responses": (
        b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    ),
}
_ENDLESS_BLOCK_BYTES = 65_536


class CallFailed(Exception):
    """A nested call failed, so the request is answered with status 500."""


class ResponseMode(Enum):
    """How the server responds to a request.

    Attributes
    ----------
    ANSWER
        Sends the response.
    REFUSE
        Responds with the error status, by default 503, and the header that says that
        the request was not run.
    CUT
        Closes the connection without a response.
    SHORT
        Closes the connection two bytes before the end of the response.
    GARBLE
        Sends bytes that are not HTTP.
    MUTE
        Sends nothing and keeps the connection open.
    LATE_EXTRA
        Sends the response, and a second one that nobody requested.
    UNFRAMED
        Sends the response without a length and closes the connection.
    ENDLESS
        Sends a response of which a part has no end, until the connection is closed.
    CRASH
        Crashes, which closes all connections.
    CRASH_SILENTLY
        Crashes, and keeps all connections open.
    """

    ANSWER = "answer"
    REFUSE = "refuse"
    CUT = "cut"
    SHORT = "short"
    GARBLE = "garble"
    MUTE = "mute"
    LATE_EXTRA = "late extra"
    UNFRAMED = "unframed"
    ENDLESS = "endless"
    CRASH = "crash"
    CRASH_SILENTLY = "crash silently"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How the server handles one request.

    Parameters
    ----------
    mode : ResponseMode, default=ANSWER
        How it responds.
    work : float, default=0.0
        Milliseconds that the request runs before the response.
    status : int, default=200
        Status of the response.
    body : bytes, default=b"whole"
        Body of the response.
    headers : tuple of bytes, optional
        Further header lines of the response.
    late_copies : int, default=0
        Number of copies of the response sent ahead of the next one on the connection.
    echoes_id : bool, default=True
        Whether the response has the identifier of the request.
    copies_id : bool, default=True
        Whether the late copies have the identifier that the response has.
    copied_share : float, default=1.0
        Share of the bytes of each late copy that is sent.
    endless : str, default="headers"
        Part without end in `ResponseMode.ENDLESS`; see `ENDLESS_RESPONSES`.
    """

    mode: ResponseMode = ResponseMode.ANSWER
    work: float = 0.0
    status: int = 200
    body: bytes = b"whole"
    headers: tuple[bytes, ...] = ()
    late_copies: int = 0
    echoes_id: bool = True
    copies_id: bool = True
    copied_share: float = 1.0
    endless: str = "headers"


class BackendServer:
    """Serves requests on loopback and records which ones ran.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    instance : str
        Incarnation of the server; requests for another one are answered with 421.
    names : HeaderNames, optional
        Header names of requests and responses.

    Attributes
    ----------
    runs : Counter
        Number of runs by identifier of the request.
    heads : list of Request
        All requests in order of arrival.
    cancelled : list of str
        Identifiers of requests whose connection was closed while they ran.
    connections : int
        Number of accepted connections.
    n_endless : int
        Number of responses without end in progress.
    behave : callable
        Returns the `Behaviour` for a request.
    handle_conn : callable or None
        Serves a whole connection in place of this server, for responses that
        `Behaviour` cannot express.
    health_headers : callable
        Returns further header lines of the response to a health check.
    n_health_checks : int
        Number of health checks.
    speed : callable or None
        Returns the time that work takes now, in percent of the usual. If set, `work`
        takes that much longer, and each response states the load and the speed.
    slots : int
        Number of slots that it states with the load.
    on_run : callable or None
        Called with the identifier of each request that runs and awaited before the
        response, to make nested calls. It may raise `CallFailed`.
    is_up : bool
        Whether the server is up, that is, has not crashed.
    on_crash : callable or None
        Called after a request has crashed the server.
    """

    def __init__(
        self, address: str, instance: str, names: HeaderNames = _STANDARD_NAMES
    ) -> None:
        self.address = address
        self.instance = instance
        self._names = names
        self.runs: Counter[str] = Counter()
        self.heads: list[Request] = []
        self.cancelled: list[str] = []
        self._late_copies: dict[Stream, bytes] = {}
        self.connections = 0
        self.n_endless = 0
        self.behave: Callable[[Request], Behaviour] = lambda _: Behaviour()
        self.handle_conn: Callable[[Stream], Awaitable[None]] | None = None
        self.health_headers: Callable[[], tuple[bytes, ...]] = tuple
        self.n_health_checks = 0
        self.speed: Callable[[], int] | None = None
        self.slots = 8
        self._n_running = 0
        self.on_run: Callable[[str], Awaitable[None]] | None = None
        self.on_crash: Callable[[], None] | None = None
        self.is_up = True
        self._is_silent = False
        self._serve_scope = trio.CancelScope()
        self._started = trio.Event()

    async def run(self) -> None:
        """Serve until cancelled, except between a crash and the restart."""
        while True:
            with trio.CancelScope() as self._serve_scope:
                async with trio.open_nursery() as nursery:
                    await accept_all(listen(self.address), self._serve, nursery)
            await self._started.wait()

    def crash(self, silently: bool = False) -> None:
        """Stop responding; unless `silently`, also close all connections."""
        self.is_up = False
        self._started = trio.Event()
        self._is_silent = silently
        if not silently:
            self._serve_scope.cancel()

    def start_new_incarnation(self, instance: str) -> None:
        """Restart as a new incarnation after a crash."""
        self.instance = instance
        self.is_up = True
        if self._is_silent:
            self._is_silent = False
            self._serve_scope.cancel()
        self._started.set()

    async def _serve(self, stream: Stream) -> None:
        self.connections += 1
        if self.handle_conn is not None:
            try:
                await self.handle_conn(stream)
            except BrokenStream:
                pass
            finally:
                stream.close()
            return
        # These names match no header, so the reader passes all headers through as the
        # node sent them and tests can check them.
        plain = HeaderNames(
            deadline=b"-", target=b"-", caller=b"-", key=b"-", workspace=b"-"
        )
        reader = RequestReader(plain, CallerLimits())
        await serve_requests(stream, reader, self._answer)

    async def _answer(self, stream: Stream, req: Request) -> None:
        if self._is_silent:
            await trio.sleep_forever()
        names = self._names
        if req.target == HEALTH_PATH.encode():
            self.n_health_checks += 1
            headers = self.health_headers()
            await stream.send(self._framed_response(200, "", b"", headers=headers))
            return
        self.heads.append(req)
        request_id = _header(req, names.request_id)
        if _header(req, names.target) != self.instance:
            await stream.send(self._framed_response(421, request_id, b"", not_run=True))
            return
        behaviour = self.behave(req)
        if stream in self._late_copies:
            await stream.send(self._late_copies.pop(stream))
        if behaviour.mode is ResponseMode.REFUSE:
            status = behaviour.status if behaviour.status >= 400 else 503
            behaviour = replace(behaviour, status=status, body=b"")
            await self._respond(stream, request_id, behaviour, not_run=True)
            return
        self.runs[request_id] += 1
        if not await self._work(stream, behaviour.work):
            self.cancelled.append(request_id)
            raise BrokenStream("the caller closed the connection")
        if (
            behaviour.mode in (ResponseMode.CRASH, ResponseMode.CRASH_SILENTLY)
            and self.is_up
        ):
            self.crash(silently=behaviour.mode is ResponseMode.CRASH_SILENTLY)
            if self.on_crash is not None:
                self.on_crash()
        if self._is_silent:
            await trio.sleep_forever()
        if self.on_run is not None:
            try:
                await self.on_run(request_id)
            except CallFailed:
                behaviour = Behaviour(status=500)
        await self._send(stream, request_id, behaviour)

    async def _work(self, stream: Stream, work: float) -> bool:
        """Wait `work` milliseconds; return False if the connection closes first.

        Bytes that arrive meanwhile count as a close, as a node sends one request at a
        time on a connection.
        """
        is_closed = False
        if self.speed is not None:
            work *= self.speed() / 100.0
        if work:
            self._n_running += 1
            with trio.move_on_after(work / MS_PER_S):
                await stream.receive()
                is_closed = True
            self._n_running -= 1
        return not is_closed

    async def _send(self, stream: Stream, request_id: str, b: Behaviour) -> None:
        response = self._framed_response(
            b.status, request_id, b.body, headers=b.headers
        )
        match b.mode:
            case ResponseMode.ANSWER:
                await self._respond(stream, request_id, b)
            case ResponseMode.LATE_EXTRA:
                await stream.send(response)
                await trio.sleep(0.005)
                await stream.send(self._framed_response(200, request_id, b"extra"))
            case ResponseMode.SHORT:
                await stream.send(response[: len(response) - 2])
                raise BrokenStream("the response is truncated on purpose")
            case ResponseMode.GARBLE:
                await stream.send(b"\x00\x01 no answer\r\n\r\n")
            case ResponseMode.UNFRAMED:
                id_line = self._names.request_id + b": " + request_id.encode()
                head = b"HTTP/1.1 %d X\r\n%s\r\n\r\n" % (b.status, id_line)
                await stream.send(head + b.body)
                raise BrokenStream("the end of the connection ends the response")
            case ResponseMode.ENDLESS:
                self.n_endless += 1
                try:
                    await self._send_without_end(stream, request_id, b.endless)
                finally:
                    self.n_endless -= 1
            case ResponseMode.MUTE:
                await trio.sleep_forever()
            case _:
                raise BrokenStream("the connection is closed on purpose")

    async def _send_without_end(
        self, stream: Stream, request_id: str, name: str
    ) -> None:
        """Send a response without end until the connection is closed."""
        prefix, unit = ENDLESS_RESPONSES[name]
        status = 100 if name == "informational responses" else 200
        own_id = "-" if name == "other responses" else request_id
        id_line = self._names.request_id + b": " + own_id.encode()
        await stream.send(b"HTTP/1.1 %d X\r\n%s\r\n%s" % (status, id_line, prefix))
        block = unit * (_ENDLESS_BLOCK_BYTES // len(unit))
        while True:
            await stream.send(block)

    async def _respond(
        self, stream: Stream, request_id: str, b: Behaviour, not_run: bool = False
    ) -> None:
        """Send a complete response, and keep its late copies for the next one."""
        echoed_id = request_id if b.echoes_id else ""
        response = self._framed_response(
            b.status, echoed_id, b.body, not_run, b.headers
        )
        if b.late_copies:
            copy = response if b.copies_id else _without_id(response, self._names)
            copy = copy[: math.ceil(b.copied_share * len(copy))]
            self._late_copies[stream] = copy * b.late_copies
        await stream.send(response)

    def _framed_response(
        self,
        status: int,
        request_id: str,
        body: bytes,
        not_run: bool = False,
        headers: tuple[bytes, ...] = (),
    ) -> bytes:
        """Return an encoded response with a ``Content-Length``."""
        names = self._names
        lines = [
            b"HTTP/1.1 %d X" % status,
            *([names.request_id + b": " + request_id.encode()] if request_id else []),
            names.signature + b": " + self.instance.encode(),
            names.instance + b": " + self.instance.encode(),
            *headers,
        ]
        if self.speed is not None:
            figures = (self._n_running, 0, self.slots, self.speed())
            lines.append(names.load + b": %d, %d, %d, %d" % figures)
        if not_run:
            lines.append(names.not_run + b": 1")
        lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _without_id(response: bytes, names: HeaderNames) -> bytes:
    """Return a response without the identifier of its request."""
    head, _, body = response.partition(b"\r\n\r\n")
    lines = [x for x in head.split(b"\r\n") if not x.startswith(names.request_id)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _header(req: Request, name: bytes) -> str:
    for line in req.headers.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key == name:
            return value.decode()
    return ""
