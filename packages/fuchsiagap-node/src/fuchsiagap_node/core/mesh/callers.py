"""The edge towards callers and the backend server on this host: HTTP/1.1."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.routes.model import CallerLimits
from fuchsiagap_node.core.mesh.final import Final
from fuchsiagap_node.core.mesh.http_request import BadRequest, RequestReader
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.entry import Entry
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.stream import Stream
    from fuchsiagap_node.core.mesh.telling import Teller

# Requests of one connection that are worked on at the same time; those behind wait
# unread, which holds the caller back instead of this node's memory.
_PIPELINED = 16
# Milliseconds between two looks for silent callers. One look at all connections costs
# less than a timeout for each read, which takes 14 us (`move_on_after`, timed alone).
_SWEEP_MS = 500.0
_REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def answer_bytes(final: Final, request_id: str, close: bool) -> bytes:
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


def _reason(final: Final) -> bytes:
    return _REASONS.get(final.status, b"Answer")


class CallerEdge:
    """Takes requests from callers and sends their answers back in order.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    entry : Entry
        Answers the requests.
    clock : Clock
        Time in milliseconds.
    teller : Teller
        Logs and counters.

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
        self, cfg: MeshSettings, entry: Entry, clock: Clock, teller: Teller
    ) -> None:
        self._cfg = cfg
        self._entry = entry
        self._clock = clock
        self._tell = teller
        self.limits = CallerLimits()
        self.closing = False
        self.in_progress = 0
        self._open: dict[_Connection, None] = {}

    async def serve(self, stream: Stream) -> None:
        """Serve one connection until it ends."""
        conn = _Connection(self, stream)
        self._open[conn] = None
        try:
            await conn.run()
        except Exception as exc:
            self._tell.fault("caller-connection", exc)
        finally:
            del self._open[conn]
            stream.close()

    def now(self) -> Milliseconds:
        """Return the time."""
        return self._clock.now()

    async def run(self) -> None:
        """Close the connections of silent callers until cancelled."""
        while True:
            await trio.sleep(_SWEEP_MS / MS_PER_S)
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

    async def answer(self, req: Request) -> Final:
        """Return the final answer to a request, whatever happens."""
        try:
            return await self._entry.answer(req)
        except Exception as exc:
            self._tell.fault("entry", exc)
            return Final(502)


class _Connection:
    """One connection of a caller."""

    def __init__(self, edge: CallerEdge, stream: Stream) -> None:
        self.stream = stream
        self._edge = edge
        self._reader = edge.reader()
        self._heard_at = edge.now()
        self._in_progress = 0
        self._room = trio.Event()
        self._last_done = trio.Event()
        self._last_done.set()
        self._ended = False

    def is_idle(self) -> bool:
        return self._in_progress == 0 and not self._reader.midway

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            try:
                await self._read(nursery)
            except BrokenStream:
                nursery.cancel_scope.cancel()
            except BadRequest as exc:
                await self._reject(exc)

    async def _read(self, nursery: trio.Nursery) -> None:
        """Read requests; a caller that closes gives up what it waits for."""
        while not self._ended:
            data = await self.stream.receive()
            self._heard_at = self._edge.now()
            if not data:
                nursery.cancel_scope.cancel()
                return
            for req in self._reader.feed(data):
                self._start(req, nursery)
            if self._reader.wants_continue and self._reader.midway:
                self._reader.wants_continue = False
                await self.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            while self._in_progress >= _PIPELINED:
                self._room = trio.Event()
                await self._room.wait()
        await self._watch_end(nursery)

    async def _watch_end(self, nursery: trio.Nursery) -> None:
        """After the last request, notice only that the caller leaves."""
        while self._in_progress:
            if not await self.stream.receive():
                nursery.cancel_scope.cancel()
                return

    def is_overdue(self, now: Milliseconds) -> bool:
        """Whether the caller has been silent for longer than the limits allow."""
        if self._in_progress:
            return False
        limits = self._edge.limits
        wait = limits.header_timeout if self._reader.midway else limits.idle_timeout
        return now - self._heard_at > wait

    def _start(self, req: Request, nursery: trio.Nursery) -> None:
        if self._ended:
            return
        before, self._last_done = self._last_done, trio.Event()
        self._in_progress += 1
        self._edge.in_progress += 1
        self._ended = not req.keep_alive
        nursery.start_soon(self._answer, req, before, self._last_done, nursery)

    async def _answer(
        self,
        req: Request,
        before: trio.Event,
        done: trio.Event,
        nursery: trio.Nursery,
    ) -> None:
        """Answer one request after those before it."""
        try:
            final = await self._edge.answer(req)
            await before.wait()
            last = self._in_progress == 1 and not self._reader.midway
            close = not req.keep_alive or (self._edge.closing and last)
            data = answer_bytes(final, req.request_id, close)
            if req.method == b"HEAD":
                data = data[: len(data) - len(final.body)]
            await self.stream.send(data)
            if close:
                self._ended = True
                self.stream.close()
        except BrokenStream:
            nursery.cancel_scope.cancel()
        finally:
            self._heard_at = self._edge.now()
            self._in_progress -= 1
            self._edge.in_progress -= 1
            self._room.set()
            done.set()

    async def _reject(self, exc: BadRequest) -> None:
        """Answer what is no request, after the answers that are still to come."""
        await self._last_done.wait()
        try:
            await self.stream.send(answer_bytes(Final(exc.status), "", close=True))
        except BrokenStream:
            return
        self.stream.close()
