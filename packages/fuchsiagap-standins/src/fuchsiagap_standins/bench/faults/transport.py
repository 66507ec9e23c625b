"""In-memory HTTP transport from callers to the request handlers of real nodes."""

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

    from fuchsiagap_standins.bench.faults.fleet import Fleet, NodeProcess

_NETWORK_DELAY_MS = (0.5, 6.0)
_POLL_INTERVAL_MS = 20.0
_CONNECT_TIMEOUT_MS = 300.0
# Share of cancelled requests whose disconnect the node does not notice, as in a
# partition.
_UNNOTICED_DISCONNECT_SHARE = 0.3


@dataclass(slots=True, eq=False)
class _Exchange:
    """A request in progress at a node; its response is set when the node responds."""

    done: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    response: HttpResponse | None = None


@dataclass(frozen=True, slots=True)
class _Body(httpx.AsyncByteStream):
    """A streamed response body, so that httpx counts its bytes."""

    content: bytes

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield self.content


class MemoryTransport(httpx.AsyncBaseTransport):
    """An httpx transport that delivers the requests of a caller to a fleet.

    Parameters
    ----------
    fleet : Fleet
        The nodes.
    data_centre : str
        Data centre of the caller, which partitions isolate together with its nodes.
    rng : random.Random
        Source of network delays and unnoticed disconnects.
    """

    def __init__(self, fleet: Fleet, data_centre: str, rng: random.Random) -> None:
        self._fleet = fleet
        self._data_centre = data_centre
        self._rng = rng

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request to the node named by the host of its URL.

        Parameters
        ----------
        request : httpx.Request
            Request to send.

        Raises
        ------
        httpx.ConnectError
            If no process of the node takes requests.
        httpx.ConnectTimeout
            If the node cannot be reached.
        httpx.ReadError
            If the connection ends without a response.
        """
        name = request.url.host
        await self._sleep_network_delay()
        process = self._fleet.processes.get(name)
        if (
            process is None
            or process.exited
            or process.request_nursery is None
            or process.state is None
        ):
            raise httpx.ConnectError("connection refused")
        if not self._is_reachable(process):
            await sleep_ms(_CONNECT_TIMEOUT_MS)
            raise httpx.ConnectTimeout("connection attempt timed out")
        exchange = _Exchange()
        delay = self._rng.random() * self._fleet.max_request_delay_ms
        req = _to_node_request(request)
        process.request_nursery.start_soon(
            _deliver, self._fleet, process, req, exchange, delay
        )
        try:
            await exchange.done.wait()
            await self._sleep_network_delay(self._fleet.max_answer_delay_ms)
            while not self._is_reachable(process):
                await sleep_ms(_POLL_INTERVAL_MS)
        except trio.Cancelled:
            if self._rng.random() > _UNNOTICED_DISCONNECT_SHARE:
                exchange.scope.cancel()
            raise
        if exchange.response is None:
            raise httpx.ReadError("connection lost")
        return _to_client_response(exchange.response)

    def _is_reachable(self, process: NodeProcess) -> bool:
        node_data_centre = process.cfg.data_centre
        paused = process.name in self._fleet.paused
        return not paused and self._fleet.reachable(self._data_centre, node_data_centre)

    async def _sleep_network_delay(self, max_extra_ms: float = 0.0) -> None:
        await sleep_ms(
            self._rng.uniform(*_NETWORK_DELAY_MS) + self._rng.random() * max_extra_ms
        )


async def _deliver(
    fleet: Fleet,
    process: NodeProcess,
    req: HttpRequest,
    exchange: _Exchange,
    delay: float,
) -> None:
    """Serve a request after a delay, unless the node notices a disconnect before."""
    try:
        with exchange.scope:
            await sleep_ms(delay)
            await _serve(fleet, process, req, exchange)
    finally:
        exchange.done.set()


async def _serve(
    fleet: Fleet, process: NodeProcess, req: HttpRequest, exchange: _Exchange
) -> None:
    assert process.state is not None
    calls = process.state.calls
    calls.n_responding += 1
    try:
        exchange.response = await callers._handle_request(process.state, req)
    except trio.Cancelled:
        caller_cancelled = exchange.scope.cancel_called
        if process.stop_requested and not process.exited and not caller_cancelled:
            fleet.evidence.interrupted.append(
                f"{req.method} {req.target} at {process.name}"
            )
        raise
    finally:
        calls.n_responding -= 1
        calls.notify_if_idle()


def _to_node_request(request: httpx.Request) -> HttpRequest:
    headers = [(name.lower(), value) for name, value in request.headers.raw]
    target = request.url.raw_path.decode("ascii")
    return HttpRequest(request.method, target, headers, request.read())


def _to_client_response(response: HttpResponse) -> httpx.Response:
    length = (b"content-length", str(len(response.body)).encode())
    headers = [*response.headers, length]
    stream = _Body(response.body)
    return httpx.Response(response.status, headers=headers, stream=stream)
