"""Cost of real links: opening one, sending on it and keeping it open."""

from __future__ import annotations

import time
import tracemalloc
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.edges.peer_websocket import serve_links, websocket_dial
from fuchsiagap_node.core.peers.handlers import Handlers
from fuchsiagap_node.core.peers.links import LinkPeers, LinkSettings
from fuchsiagap_node.core.wire.messages_call import Hello
from fuchsiagap_node.core.wire.messages_gossip import Ack, Heartbeat, Ping
from fuchsiagap_standins.memory_nodes import uninstrumented_wire

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_node.core.peers.conn import WireContext
    from fuchsiagap_node.core.ports import Dial

_N_DIALS = 100
_N_MESSAGES = 2_000
_SEND_INTERVAL_S = 0.002
_US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class LinkFigures:
    """CPU time and memory of links over loopback.

    Both ends are in one process, and each CPU time is the sum of both.

    Parameters
    ----------
    open_us : float
        CPU microseconds for dialling, handshake and closing of a link.
    heartbeat_us : float
        CPU microseconds for a heartbeat on an open link.
    ping_us : float
        CPU microseconds for a probe with its reply on an open link.
    link_bytes : float
        Bytes of memory of one end of an open link, as traced by Python.
    """

    open_us: float
    heartbeat_us: float
    ping_us: float
    link_bytes: float


def measure_links() -> LinkFigures:
    """Measure links over the loopback interface.

    Returns
    -------
    LinkFigures
        CPU time and memory.
    """
    return trio.run(_measure)


async def _measure() -> LinkFigures:
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        server_peers = _make_peers(address, websocket_dial(nursery), nursery)
        client_peers = _make_peers("127.0.0.1:1", websocket_dial(nursery), nursery)
        await nursery.start(serve_links, [listener], server_peers.serve_link)

        async def reopen() -> None:
            client_peers.drop(address)
            while client_peers.linked():
                await trio.sleep(0)
            await client_peers.notify(address, Heartbeat(0))

        async def send_heartbeat() -> None:
            await client_peers.notify(address, Heartbeat(1 << 60))
            await trio.sleep(_SEND_INTERVAL_S)

        async def ping() -> None:
            await client_peers.ask(address, Ping("certs-1"))
            await trio.sleep(_SEND_INTERVAL_S)

        async def wait_only() -> None:
            await trio.sleep(_SEND_INTERVAL_S)

        await client_peers.notify(address, Heartbeat(0))
        open_us = await _measure_cpu_us(reopen, _N_DIALS)
        idle_us = await _measure_cpu_us(wait_only, _N_MESSAGES)
        heartbeat_us = await _measure_cpu_us(send_heartbeat, _N_MESSAGES) - idle_us
        ping_us = await _measure_cpu_us(ping, _N_MESSAGES) - idle_us
        link_bytes = await _measure_link_memory(address, server_peers.wire, nursery)
        nursery.cancel_scope.cancel()
    return LinkFigures(open_us, heartbeat_us, ping_us, link_bytes)


def _make_peers(address: str, dial: Dial, nursery: trio.Nursery) -> LinkPeers:
    handlers = Handlers()

    async def on_heartbeat(_peer: str, _msg: Heartbeat) -> None:
        """Ignore the heartbeat."""

    async def on_ping(_peer: str, msg: Ping) -> Ack:
        return Ack(msg.target, 1 << 60)

    handlers.on_notification(Heartbeat, on_heartbeat)
    handlers.on_request(Ping, on_ping)
    hello = Hello(address, 1, "hall-a", address)
    wire = uninstrumented_wire(hello, handlers, stamp=1 << 60)
    return LinkPeers(LinkSettings(), wire, dial, nursery)


async def _measure_cpu_us(action: Callable[[], Awaitable[None]], count: int) -> float:
    """Return the mean CPU time of an action in microseconds, after one warm-up."""
    await action()
    started = time.process_time()
    for _ in range(count):
        await action()
    return (time.process_time() - started) * _US_PER_S / count


async def _measure_link_memory(
    address: str, wire: WireContext, nursery: trio.Nursery
) -> float:
    """Return the bytes of one end of a link; both ends are in this process."""
    n_links = 50
    dial = websocket_dial(nursery)
    tracemalloc.start()
    try:
        others = [
            LinkPeers(LinkSettings(), _with_address(wire, i), dial, nursery)
            for i in range(n_links)
        ]
        before = tracemalloc.get_traced_memory()[0]
        for other in others:
            await other.notify(address, Heartbeat(0))
        await trio.sleep(0.2)
        return (tracemalloc.get_traced_memory()[0] - before) / n_links / 2
    finally:
        tracemalloc.stop()


def _with_address(wire: WireContext, number: int) -> WireContext:
    name = f"127.0.0.1:{number + 2}"
    return replace(wire, hello=Hello(name, 1, "hall-a", name))
