"""The edge towards callers and the backend server on this host: HTTP/1.1."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap.core.shedding.fair_admission import CallerCredit
from fuchsiagap_node.core.mesh.final_response import (
    DEFAULT_RETRY_AFTER_MS,
    FinalResponse,
)
from fuchsiagap_node.core.mesh.http_request import BadRequest, RequestReader
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.entry import Cancellable, Entry
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.placement import OnFinalResponse
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.stream import Stream

# Requests of one connection that are worked on at the same time; those behind wait
# unread, which holds the caller back instead of this node's memory.
_PIPELINED = 16
# Milliseconds between two looks for silent callers. One look at all connections costs
# less than a timeout for each read, which takes 14 us (`move_on_after`, timed alone).
SWEEP_MS = 500.0
# Milliseconds after a suspension in which requests may have waited unread for all of
# it.
_UNREAD_MS = 250.0
_REASONS = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_response(final: FinalResponse, close: bool) -> bytes:
    """Return an answer as it goes to the caller."""
    parts = [b"HTTP/1.1 %d %s\r\n" % (final.status, final.reason or _reason(final))]
    if final.headers:
        parts.append(final.headers)
    if final.retry_after > 0.0:
        parts.append(b"Retry-After: %.3f\r\n" % (final.retry_after / MS_PER_S))
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"Content-Length: %d\r\n\r\n" % len(final.body))
    parts.append(final.body)
    return b"".join(parts)


def _reason(final: FinalResponse) -> bytes:
    return _REASONS.get(final.status, b"Answer")


class CallerListener:
    """Takes requests from callers and sends their answers back in order.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    entry : Entry
        Answers the requests.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs and counters.
    poller : Poller
        Watches the connections.

    Attributes
    ----------
    limits : CallerLimits
        Limits of the configuration in force.
    closing : bool
        Whether connections are closed after their next answer.
    in_progress : int
        Requests without their whole answer.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        entry: Entry,
        clock: Clock,
        event_log: EventLog,
        poller: Poller,
    ) -> None:
        self._poller = poller
        self._cfg = cfg
        self._entry = entry
        self._clock = clock
        self._event_log = event_log
        self.limits = CallerLimits()
        self.closing = False
        self.in_progress = 0
        self._open: dict[_Connection, None] = {}
        self._nursery: trio.Nursery | None = None
        self._suspended: Milliseconds = 0.0
        self._unread_until: Milliseconds = float("-inf")

    def serve(self, stream: Stream) -> None:
        """Serve one connection until it ends."""
        conn = _Connection(self, stream)
        self._open[conn] = None
        stream.start_reading(self._poller, conn.take, conn.end)

    def forget(self, conn: _Connection) -> None:
        """Forget a connection that has ended."""
        self._open.pop(conn, None)

    def log_exception(self, exc: Exception) -> None:
        """Take an exception of one connection that nobody expected."""
        self._event_log.log_exception("caller-connection", exc)

    def now(self) -> Milliseconds:
        """Return the time."""
        return self._clock.now()

    async def run(self) -> None:
        """Hold the tasks that send to slow callers until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                await trio.sleep_forever()
        finally:
            for conn in list(self._open):
                conn.stream.close()

    def close_silent(self) -> None:
        """Close the connections of callers that are silent for too long."""
        now = self._clock.now()
        for conn in [c for c in self._open if c.is_overdue(now)]:
            conn.stream.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for conn in list(self._open):
            if conn.is_idle():
                conn.stream.close()

    def reader(self) -> RequestReader:
        """Return a reader under the limits in force."""
        return RequestReader(self._cfg.names, self.limits)

    def record_suspension(self, suspended: Milliseconds) -> None:
        """Take in that the host was suspended, with requests that nobody has read."""
        self._suspended = suspended
        self._unread_until = self._clock.now() + _UNREAD_MS

    def _age_unread(self, req: Request) -> Request:
        """Return a request with the time that its caller is sure to wait from now."""
        if req.wait is None or self._clock.now() >= self._unread_until:
            return req
        return req._replace(wait=max(req.wait - self._suspended, 0.0))

    def begin(
        self, req: Request, done: OnFinalResponse, turn: CallerCredit
    ) -> Cancellable | None:
        """Begin to answer a request; a fault in it is answered, too."""
        req = self._age_unread(req)
        if req.wait is not None and req.wait <= 0.0:
            done(FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS))
            return None
        try:
            return self._entry.begin(req, done, turn)
        except Exception as exc:
            self._event_log.log_exception("entry", exc)
            done(FinalResponse(502))
            return None

    def send_later(self, work: Callable[[], Awaitable[None]]) -> None:
        """Send the rest of an answer while its connection goes on reading."""
        if self._nursery is not None:
            self._nursery.start_soon(work)


class _Exchange:
    """A request of a connection, and its final answer once there is one."""

    __slots__ = ("closes", "final", "is_head", "placement")

    def __init__(self, req: Request | None = None) -> None:
        self.is_head = req is not None and req.method == b"HEAD"
        self.closes = req is None or not req.keep_alive
        self.placement: Cancellable | None = None
        self.final: FinalResponse | None = None


class _Connection:
    """One connection of a caller.

    It reads when the poller calls it; answers are sent, in the order of their requests,
    by whoever brings them (see `placement`).
    """

    def __init__(self, edge: CallerListener, stream: Stream) -> None:
        self.stream = stream
        self._edge = edge
        self._reader = edge.reader()
        self._heard_at = edge.now()
        self._open: deque[_Exchange] = deque()
        self._turn = CallerCredit()
        self._rest = b""
        self._is_paused = False
        self._ended = False

    def is_idle(self) -> bool:
        return not self._open and not self._reader.in_message

    def is_overdue(self, now: Milliseconds) -> bool:
        """Whether the caller has been silent for longer than the limits allow."""
        if self._open:
            return False
        limits = self._edge.limits
        wait = limits.header_timeout if self._reader.in_message else limits.idle_timeout
        return now - self._heard_at > wait

    def take(self, data: bytes) -> None:
        """Take in what the caller has sent."""
        self._heard_at = self._edge.now()
        if self._ended:
            return
        try:
            self._take(data)
        except Exception as exc:
            self._edge.log_exception(exc)
            self._leave()

    def end(self, _: BrokenStream) -> None:
        """Give up what a caller waits for that has closed the connection."""
        self._leave()
        self._edge.forget(self)

    def _take(self, data: bytes) -> None:
        try:
            requests = self._reader.feed(data)
        except BadRequest as exc:
            self._reject(exc)
            return
        for req in requests:
            if not self._ended:
                self._start(req)
        if self._reader.wants_continue and self._reader.in_message and not self._open:
            # Not amid the answers to requests before it, which may be sent in parts.
            self._reader.wants_continue = False
            self._send_continue()
        if len(self._open) >= _PIPELINED:
            self._is_paused = True
            self.stream.pause()

    def _send_continue(self) -> None:
        """Ask for the body; a caller with a full window has not read for long."""
        try:
            rest = self.stream.send_some(b"HTTP/1.1 100 Continue\r\n\r\n")
        except BrokenStream:
            self._leave()
            return
        if rest:
            self._leave()

    def _make_room(self) -> None:
        """Read on where requests waited unread."""
        if self._is_paused and len(self._open) < _PIPELINED:
            self._is_paused = False
            self.stream.resume()

    def _start(self, req: Request) -> None:
        exchange = self._queue(req)
        self._ended = exchange.closes

        def done(final: FinalResponse) -> None:
            exchange.final = final
            self._flush()

        exchange.placement = self._edge.begin(req, done, self._turn)

    def _queue(self, req: Request | None) -> _Exchange:
        exchange = _Exchange(req)
        self._open.append(exchange)
        self._edge.in_progress += 1
        return exchange

    def _reject(self, exc: BadRequest) -> None:
        """Answer what is no request, after the answers that are still to come."""
        self._ended = True
        self._queue(None).final = FinalResponse(exc.status)
        self._flush()

    def _flush(self) -> None:
        """Send the answers whose turn it is."""
        while self._open and self._open[0].final is not None and not self._rest:
            exchange = self._open[0]
            last = len(self._open) == 1 and not self._reader.in_message
            exchange.closes = exchange.closes or (self._edge.closing and last)
            try:
                self._rest = self.stream.send_some(_bytes_of(exchange))
            except BrokenStream:
                self._leave()
                return
            if self._rest:
                self._edge.send_later(self._send_rest)
                return
            self._sent()

    async def _send_rest(self) -> None:
        """Send the rest of an answer to a caller that reads slowly."""
        try:
            await self.stream.send(self._rest)
        except BrokenStream:
            self._leave()
            return
        self._rest = b""
        if self._open:
            self._sent()
            self._flush()

    def _sent(self) -> None:
        """Go on after a whole answer."""
        exchange = self._open.popleft()
        self._edge.in_progress -= 1
        self._heard_at = self._edge.now()
        self._make_room()
        if exchange.closes:
            self._ended = True
            self._leave()

    def _leave(self) -> None:
        """Close the connection and give up what is still in progress on it."""
        self.stream.close()
        left, self._open = self._open, deque()
        self._edge.in_progress -= len(left)
        for exchange in left:
            if exchange.placement is not None and exchange.final is None:
                exchange.placement.cancel()


def _bytes_of(exchange: _Exchange) -> bytes:
    """Return the answer of an exchange as it goes to the caller."""
    final = exchange.final
    assert final is not None
    data = encode_response(final, exchange.closes)
    return data[: len(data) - len(final.body)] if exchange.is_head else data
