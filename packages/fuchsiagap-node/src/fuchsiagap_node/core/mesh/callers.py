"""HTTP/1.1 server for callers and for nested calls of the local backend server."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap.core.shedding.fair_admission import CallerCredit
from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.final_response import (
    DEFAULT_RETRY_AFTER_MS,
    FinalResponse,
)
from fuchsiagap_node.core.mesh.graceful_close import GracefulClose
from fuchsiagap_node.core.mesh.http_request import BadRequest, RequestReader
from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES
from fuchsiagap_node.core.mesh.reading_speed import ReadingSpeed
from fuchsiagap_node.core.mesh.response_encoding import encode_head
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.entry import Entry
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.placement import OnFinalResponse
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.quota_admission import Cancellable
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.stream import Buffer, Stream

# Maximum number of pipelined requests of one connection that are processed at the same
# time. Further requests remain unread in the socket, so that TCP flow control slows the
# caller down and this node does not buffer them.
_MAX_PIPELINED = 16
# Bytes of a response that a slow caller has to read within the idle timeout.
_PROGRESS_BYTES = 65_536
# Milliseconds between two checks for timed-out connections. One pass over all
# connections costs less than a `move_on_after` for each read, which takes 14 us.
IDLE_CHECK_INTERVAL_MS = 500.0
# Milliseconds after a suspension of the host during which a request that is read may
# have waited in the socket for the whole suspension. The length of the suspension is
# deducted from the time limit of such a request.
_SUSPENSION_BACKLOG_MS = 250.0
# Maximum bytes of responses that the kernel holds back for a caller, besides those that
# fit in its receive window.
_MAX_HELD_BACK_BYTES = 32_768
# Share of the time until the exit in which a caller has to be able to read all pending
# responses. Its speed may vary.
_READING_TIME_SHARE = 0.5


class CallerListener:
    """Reads requests from callers and sends the responses back in order.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    entry : Entry
        Handles the requests.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log and counters.
    poller : Poller
        Reports readable connections.
    memory : BodyMemory, optional
        Memory for bodies; by default unlimited.

    Attributes
    ----------
    limits : CallerLimits
        Limits of the active configuration.
    stopping : bool
        Whether the process stops, so that each connection has at most one request in
        progress.
    closing : bool
        Whether connections are closed after their last pending response.
    ending : bool
        Whether the process is about to exit, so that no further request is handled.
    in_progress : int
        Requests whose response has not been sent completely.
    memory : BodyMemory
        Memory for bodies.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        entry: Entry,
        clock: Clock,
        event_log: EventLog,
        poller: Poller,
        memory: BodyMemory | None = None,
    ) -> None:
        self._poller = poller
        self.memory = memory or BodyMemory()
        self._cfg = cfg
        self._entry = entry
        self._clock = clock
        self._event_log = event_log
        self.limits = CallerLimits()
        self.stopping = False
        self.closing = False
        self.ending = False
        self.in_progress = 0
        self._connections: dict[_Connection, None] = {}
        self._nursery: trio.Nursery | None = None
        self._suspension_ms: Milliseconds = 0.0
        self._backlog_until: Milliseconds = float("-inf")

    def serve(self, stream: Stream) -> None:
        """Start serving a connection; it is served by callbacks until it ends."""
        stream.limit_unsent(_MAX_HELD_BACK_BYTES)
        conn = _Connection(self, stream)
        self._connections[conn] = None
        stream.start_reading(self._poller, conn.on_data, conn.on_end)

    def remove(self, conn: _Connection) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(conn, None)

    def log_exception(self, exc: Exception) -> None:
        """Log an unexpected exception of one connection."""
        self._event_log.log_exception("caller-connection", exc)

    def now(self) -> Milliseconds:
        """Return the current time in milliseconds."""
        return self._clock.now()

    async def run(self) -> None:
        """Run the tasks that send to slow callers, until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                try:
                    await trio.sleep_forever()
                finally:
                    # Calls that the exit breaks off are still answered, but a closed
                    # nursery accepts no tasks.
                    self._nursery = None
        finally:
            for conn in list(self._connections):
                conn.close_at_exit()

    def close_timed_out(self) -> None:
        """Close connections whose idle or header timeout has passed."""
        now = self._clock.now()
        for conn in [c for c in self._connections if c.is_timed_out(now)]:
            conn.close_timed_out()

    def finish_connections(self) -> None:
        """Close all connections after the responses that are pending on them."""
        for conn in list(self._connections):
            conn.finish()

    def finish_slow_connections(self, time_to_exit: Milliseconds) -> None:
        """Close connections whose callers read too slowly to read much more in time.

        Like `finish_connections`, it lets pending responses through first.

        Parameters
        ----------
        time_to_exit : float
            Milliseconds until the exit of the process.
        """
        now = self._clock.now()
        for conn in list(self._connections):
            if conn.time_to_read(now) > _READING_TIME_SHARE * time_to_exit:
                conn.finish()

    def delays_exit(self) -> bool:
        """Whether callers may lose responses if the process exits now."""
        now = self._clock.now()
        return any(conn.delays_exit(now) for conn in self._connections)

    def count_unacknowledged(self) -> int:
        """Return the number of connections with unacknowledged responses."""
        return sum(1 for conn in self._connections if conn.n_unacknowledged())

    def record_cut(self, cause: str, n_bytes: int, n_pending: int) -> None:
        """Record that a connection ends with unacknowledged responses.

        Parameters
        ----------
        cause : str
            ``"caller"`` if the caller has ended it; ``"timeout"``, ``"exit"`` or
            ``"exception"`` if this node has.
        n_bytes : int
            Bytes that the caller has not acknowledged.
        n_pending : int
            Requests whose response was not sent completely.
        """
        self._event_log.counts["caller_connections_cut", cause] += 1
        if cause != "caller":
            self._event_log.event(
                "caller-connection-cut", cause=cause, bytes=n_bytes, pending=n_pending
            )

    def reader(self) -> RequestReader:
        """Return a request reader with the active limits."""
        return RequestReader(
            self._cfg.names, self.limits, self.memory, self._entry.rank_of
        )

    def record_suspension(self, suspended: Milliseconds) -> None:
        """Record a suspension of the host, in ms; requests may have queued up."""
        self._suspension_ms = suspended
        self._backlog_until = self._clock.now() + _SUSPENSION_BACKLOG_MS

    def _deduct_suspension(self, req: Request) -> Request:
        """Return the request with the suspension deducted from its time limit."""
        if req.wait is None or self._clock.now() >= self._backlog_until:
            return req
        return req._replace(wait=max(req.wait - self._suspension_ms, 0.0))

    def begin(
        self, req: Request, done: OnFinalResponse, caller_credit: CallerCredit
    ) -> Cancellable | None:
        """Start handling a request; an unexpected exception is answered with 502."""
        if req.is_refused:
            done(self._entry.refuse_without_memory(req))
            return None
        req = self._deduct_suspension(req)
        if req.wait is not None and req.wait <= 0.0:
            done(FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS))
            return None
        try:
            return self._entry.begin(req, done, caller_credit)
        except Exception as exc:
            self._event_log.log_exception("entry", exc)
            done(FinalResponse(502))
            return None

    def send_later(self, work: Callable[[], Awaitable[None]]) -> None:
        """Send the rest of a response in a task while the connection keeps reading."""
        if self._nursery is not None:
            self._nursery.start_soon(work)


class _Exchange:
    """A request of a connection and, once available, its final response."""

    __slots__ = ("closes_connection", "final", "is_head", "n_held", "placement")

    def __init__(self, req: Request | None = None) -> None:
        self.is_head = req is not None and req.method == b"HEAD"
        self.closes_connection = req is None or not req.keep_alive
        self.placement: Cancellable | None = None
        self.final: FinalResponse | None = None
        # Bytes of the request, then of the response, counted in the memory for bodies.
        self.n_held = 0 if req is None else req.n_held


class _Connection:
    """One connection of a caller.

    The poller calls it when there is data to read. Responses are sent in the order of
    their requests, each in the call that delivers it or, if an earlier one is pending,
    right after that one. While a response does not fit in the socket, further requests
    wait, so that a caller that reads slowly has few responses pending.
    """

    def __init__(self, listener: CallerListener, stream: Stream) -> None:
        self.stream = stream
        self._listener = listener
        self._reader = listener.reader()
        self._last_active_at = listener.now()
        self._exchanges: deque[_Exchange] = deque()
        # Requests that have not been started, each with the time of its arrival.
        self._waiting: deque[tuple[Request, Milliseconds]] = deque()
        self._caller_credit = CallerCredit()
        self._unsent: list[Buffer] = []
        self._is_paused = False
        self._ignores_input = False
        self._graceful_close: GracefulClose | None = None
        self._reading_speed = ReadingSpeed()
        # Bytes of all responses so far, and of the last one.
        self._n_encoded = 0
        self._n_last_response = 0

    def n_unacknowledged(self) -> int:
        """Return the bytes of responses that the caller has not acknowledged."""
        if self._graceful_close is not None:
            return self._graceful_close.n_unacknowledged()
        n_unsent = sum(len(part) for part in self._unsent)
        return self.stream.count_unacknowledged() + n_unsent

    def time_to_read(self, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds that the caller needs to read pending responses.

        A response that does not exist yet is taken to be as large as the last one. The
        speed of the caller is observed from call to call; 0 while it is unknown.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        """
        n_waiting = self.n_unacknowledged()
        self._reading_speed.observe(now, self._n_encoded, n_waiting)
        n_expected = len(self._exchanges) * self._n_last_response
        return self._reading_speed.time_to_read(n_waiting + n_expected)

    def delays_exit(self, now: Milliseconds) -> bool:
        """Whether the connection is being closed and its caller may still read."""
        closing = self._graceful_close
        return closing is not None and closing.delays_exit(now)

    def is_timed_out(self, now: Milliseconds) -> bool:
        """Whether the idle timeout or the header timeout has passed.

        While a response is sent, the idle timeout applies to the reading of the caller.
        """
        limits = self._listener.limits
        if self._graceful_close is not None:
            return self._graceful_close.is_timed_out(now, limits.idle_timeout)
        if self._unsent:
            return now - self._last_active_at > limits.idle_timeout
        if self._exchanges:
            return False
        wait = limits.header_timeout if self._reader.in_message else limits.idle_timeout
        return now - self._last_active_at > wait

    def on_data(self, data: bytes) -> None:
        """Process data from the caller; an exception closes the connection."""
        if self._graceful_close is not None:
            return
        self._last_active_at = self._listener.now()
        if self._ignores_input or self._listener.ending:
            return
        try:
            self._handle_data(data)
        except Exception as exc:
            self._listener.log_exception(exc)
            self._ignores_input = True
            # The first response may be partly sent.
            self._cancel_requests(n_kept=1 if self._unsent else 0)
            if self._exchanges:
                return
            if self._unsent:
                self._abort("exception")
            else:
                self.close_gracefully()

    def on_end(self, _: BrokenStream) -> None:
        """Cancel the requests in progress after the connection has ended."""
        self._abort("caller")
        self._listener.remove(self)
        if self._graceful_close is None:
            self._reader.close()

    def _handle_data(self, data: bytes) -> None:
        try:
            requests = self._reader.feed(data)
        except BadRequest as exc:
            self._reject(exc)
            return
        for req in requests:
            if self._ignores_input:
                self._listener.memory.release(req.n_held)
            elif self._waiting or self._must_wait():
                self._waiting.append((req, self._listener.now()))
            else:
                self._start(req)
        if self._reader.rejected is not None and not self._ignores_input:
            self._reject(self._reader.rejected)
            return
        if (
            self._reader.wants_continue
            and self._reader.in_message
            and not self._exchanges
            and not self._ignores_input
        ):
            # Not sent while an earlier response is pending, which may be partly sent.
            self._reader.wants_continue = False
            self._send_continue()
        if self._is_full():
            self._is_paused = True
            self.stream.pause()

    def _send_continue(self) -> None:
        """Send ``100 Continue``, after earlier responses that wait to be sent."""
        try:
            rest = self.stream.send_some(b"HTTP/1.1 100 Continue\r\n\r\n")
        except BrokenStream:
            self._abort("caller")
            return
        if rest:
            self._unsent = [rest]
            self._listener.send_later(self._send_rest_of_continue)

    def _resume_reading(self) -> None:
        """Resume reading once input is ignored or further requests can be kept."""
        if self._is_paused and (self._ignores_input or not self._is_full()):
            self._is_paused = False
            self.stream.resume()

    def _is_full(self) -> bool:
        """Whether the maximum of pipelined requests has been read."""
        return len(self._exchanges) + len(self._waiting) >= _MAX_PIPELINED

    def _must_wait(self) -> bool:
        """Whether a further request waits until earlier responses are sent."""
        is_behind = self._listener.stopping and bool(self._exchanges)
        return bool(self._unsent) or is_behind

    def _start_waiting(self, is_forced: bool = False) -> None:
        """Start waiting requests, all of them if forced, until one must wait on."""
        while self._waiting and not self._ignores_input:
            if self._must_wait() and not is_forced:
                return
            req, received_at = self._waiting.popleft()
            if req.wait is not None:
                waited = self._listener.now() - received_at
                req = req._replace(wait=max(req.wait - waited, 0.0))
            self._start(req)
        self._drop_waiting()

    def _drop_waiting(self) -> None:
        """Drop the waiting requests; their caller may send them again."""
        for req, _ in self._waiting:
            self._listener.memory.release(req.n_held)
        self._waiting.clear()

    def _start(self, req: Request) -> None:
        exchange = self._add_exchange(req)
        self._ignores_input = exchange.closes_connection

        def done(final: FinalResponse) -> None:
            exchange.final = final
            exchange.placement = None
            self._listener.memory.release(exchange.n_held)
            exchange.n_held = len(final.body)
            self._listener.memory.hold(exchange.n_held)
            self._flush()

        placement = self._listener.begin(req, done, self._caller_credit)
        if exchange.final is None:
            exchange.placement = placement

    def _add_exchange(self, req: Request | None) -> _Exchange:
        exchange = _Exchange(req)
        self._exchanges.append(exchange)
        self._listener.in_progress += 1
        return exchange

    def _reject(self, exc: BadRequest) -> None:
        """Answer a malformed request after all pending responses, then close."""
        self._start_waiting(is_forced=True)
        if self._ignores_input:
            return
        self._ignores_input = True
        self._add_exchange(None).final = FinalResponse(exc.status)
        self._flush()

    def _flush(self) -> None:
        """Send the final responses at the head of the queue."""
        while (
            self._exchanges
            and self._exchanges[0].final is not None
            and not self._unsent
        ):
            exchange = self._exchanges[0]
            last = (
                len(self._exchanges) == 1
                and not self._waiting
                and not self._reader.in_message
            )
            exchange.closes_connection = exchange.closes_connection or (
                self._listener.closing and last
            )
            if exchange.closes_connection:
                # The response may not fit in the socket at once. Requests that arrive
                # until the rest is sent could not be answered.
                self._ignores_input = True
            parts = _encode_exchange(exchange)
            self._n_last_response = sum(len(part) for part in parts)
            self._n_encoded += self._n_last_response
            try:
                self._unsent = self.stream.send_parts(parts)
            except BrokenStream:
                self._abort("caller")
                return
            if self._unsent:
                self._listener.send_later(self._send_rest)
                return
            self._sent()
        self._start_waiting()

    async def _send_rest(self) -> None:
        """Send the rest of a response to a caller that reads slowly."""
        if await self._send_unsent() and self._exchanges:
            self._sent()
            self._flush()

    async def _send_rest_of_continue(self) -> None:
        """Send the rest of ``100 Continue``, then the responses that wait for it."""
        if await self._send_unsent():
            self._flush()

    async def _send_unsent(self) -> bool:
        """Send what did not fit in the socket; return whether it was sent."""
        try:
            for part in self._unsent:
                for start in range(0, len(part), _PROGRESS_BYTES):
                    view = memoryview(part)[start : start + _PROGRESS_BYTES]
                    await self.stream.send(view)
                    self._last_active_at = self._listener.now()
        except BrokenStream:
            self._abort("caller")
            return False
        self._unsent = []
        return True

    def _sent(self) -> None:
        """Remove the exchange whose response was sent completely."""
        exchange = self._exchanges.popleft()
        self._listener.memory.release(exchange.n_held)
        self._listener.in_progress -= 1
        self._last_active_at = self._listener.now()
        self._resume_reading()
        if exchange.closes_connection or (self._ignores_input and not self._exchanges):
            self.close_gracefully()

    def finish(self) -> None:
        """Read no more requests, and close the connection after pending responses.

        A request that is being received is still answered if it is the only one.
        """
        if self._exchanges:
            self._ignores_input = True
            self._drop_waiting()
            self._resume_reading()
            is_partly_sent = len(self._exchanges) == 1 and bool(self._unsent)
            if not is_partly_sent:
                self._exchanges[-1].closes_connection = True
        elif not self._reader.in_message and not self._unsent:
            self.close_gracefully()

    def close_timed_out(self) -> None:
        """Close the connection after a timeout; reset it if its caller reads nothing.

        A caller that has sent no request, or a part of one, may still read responses.
        """
        if self._graceful_close is None and not self._unsent:
            self.close_gracefully()
            return
        self._close("timeout")

    def close_at_exit(self) -> None:
        """Close the connection at once, as the process exits."""
        self._close("exit")

    def close_gracefully(self) -> None:
        """Close the connection once the caller has read all responses and closed it."""
        if self._graceful_close is not None:
            return
        self._ignores_input = True
        self._drop_waiting()
        try:
            self.stream.finish_sending()
        except BrokenStream:
            self._abort("caller")
            return
        self._reader.close()
        self._graceful_close = GracefulClose(
            self.stream, self._listener.now(), self._last_active_at
        )

    def _close(self, cause: str) -> None:
        """Close the connection; see `CallerListener.record_cut` for the causes."""
        n_unacknowledged = self.n_unacknowledged()
        if n_unacknowledged and not self.stream.closed:
            self._listener.record_cut(cause, n_unacknowledged, len(self._exchanges))
        self.stream.close()

    def _abort(self, cause: str) -> None:
        """Close the connection and cancel the requests in progress on it."""
        self._close(cause)
        self._cancel_requests()

    def _cancel_requests(self, n_kept: int = 0) -> None:
        """Cancel all requests in progress but the first ones, and drop waiting ones."""
        self._drop_waiting()
        cancelled = [
            self._exchanges.pop() for _ in range(len(self._exchanges) - n_kept)
        ]
        self._listener.in_progress -= len(cancelled)
        for exchange in cancelled:
            self._listener.memory.release(exchange.n_held)
            exchange.n_held = 0
            placement, exchange.placement = exchange.placement, None
            if placement is not None:
                placement.cancel()


def _encode_exchange(exchange: _Exchange) -> list[bytes]:
    """Encode the response of an exchange, without its body for HEAD.

    A large body is a part by itself, so that it is not copied.
    """
    final = exchange.final
    assert final is not None
    head = encode_head(final, exchange.closes_connection)
    if exchange.is_head:
        return [head]
    is_large = len(final.body) >= LARGE_BODY_BYTES
    return [head, final.body] if is_large else [head + final.body]
