"""HTTP between callers and nodes in memory: the real edge, without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httpx
import trio

from fuchsiagap.core.clock import sleep_ms
from fuchsiagap_node.core.edges import callers
from fuchsiagap_node.core.edges.http_server import HttpRequest, HttpResponse

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from fuchsiagap_standins.bench.faults.fleet import Fleet, Life

_DELAY_MS = (0.5, 6.0)
_POLL_MS = 20.0
_CONNECT_MS = 300.0
# Share of callers who leave without the node noticing, as in a partition.
_UNNOTICED_SHARE = 0.3


@dataclass(slots=True, eq=False)
class _Exchange:
    """A request at a node, and its response once there is one."""

    done: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    response: HttpResponse | None = None


@dataclass(frozen=True, slots=True)
class _Body(httpx.AsyncByteStream):
    """A body that is read from the connection, so that its bytes are counted."""

    content: bytes

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield self.content


class MemoryTransport(httpx.AsyncBaseTransport):
    """Carries a caller's requests to the nodes of a fleet.

    Parameters
    ----------
    fleet : Fleet
        The nodes.
    data_centre : str
        Where the caller is; a partition cuts it off as it does the nodes there.
    rng : random.Random
        Source of delays.
    """

    def __init__(self, fleet: Fleet, data_centre: str, rng: random.Random) -> None:
        self._fleet = fleet
        self._data_centre = data_centre
        self._rng = rng

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request to the node its URL names; see `httpx`."""
        name = request.url.host
        await self._travel()
        life = self._fleet.lives.get(name)
        if life is None or life.ended or life.edge is None or life.state is None:
            raise httpx.ConnectError("connection refused")
        if not self._reaches(life):
            await sleep_ms(_CONNECT_MS)
            raise httpx.ConnectTimeout("no answer")
        exchange = _Exchange()
        delay = self._rng.random() * self._fleet.request_delay
        req = _read(request)
        life.edge.start_soon(_arrive, self._fleet, life, req, exchange, delay)
        try:
            await exchange.done.wait()
            await self._travel(self._fleet.answer_delay)
            while not self._reaches(life):
                await sleep_ms(_POLL_MS)
        except trio.Cancelled:
            if self._rng.random() > _UNNOTICED_SHARE:
                exchange.scope.cancel()
            raise
        if exchange.response is None:
            raise httpx.ReadError("connection lost")
        return _write(exchange.response)

    def _reaches(self, life: Life) -> bool:
        there = life.cfg.data_centre
        paused = life.name in self._fleet.paused
        return not paused and self._fleet.reachable(self._data_centre, there)

    async def _travel(self, more: float = 0.0) -> None:
        await sleep_ms(self._rng.uniform(*_DELAY_MS) + self._rng.random() * more)


async def _arrive(
    fleet: Fleet, life: Life, req: HttpRequest, exchange: _Exchange, delay: float
) -> None:
    """Serve a request after its time on the way; its caller may be gone by then."""
    try:
        with exchange.scope:
            await sleep_ms(delay)
            await _serve(fleet, life, req, exchange)
    finally:
        exchange.done.set()


async def _serve(
    fleet: Fleet, life: Life, req: HttpRequest, exchange: _Exchange
) -> None:
    assert life.state is not None
    calls = life.state.calls
    calls.n_responding += 1
    try:
        exchange.response = await callers._handle_request(life.state, req)
    except trio.Cancelled:
        given_up = exchange.scope.cancel_called
        if life.planned and not life.ended and not given_up:
            fleet.evidence.cut.append(f"{req.method} {req.target} at {life.name}")
        raise
    finally:
        calls.n_responding -= 1
        calls.notify_if_idle()


def _read(request: httpx.Request) -> HttpRequest:
    headers = [(name.lower(), value) for name, value in request.headers.raw]
    target = request.url.raw_path.decode("ascii")
    return HttpRequest(request.method, target, headers, request.read())


def _write(response: HttpResponse) -> httpx.Response:
    length = (b"content-length", str(len(response.body)).encode())
    headers = [*response.headers, length]
    stream = _Body(response.body)
    return httpx.Response(response.status, headers=headers, stream=stream)
