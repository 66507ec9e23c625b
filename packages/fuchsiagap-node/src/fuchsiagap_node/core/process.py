"""Run a node as a process with real sockets, HTTP servers and clients."""

from __future__ import annotations

import logging
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import trio
from hypercorn.config import Config as HypercornConfig
from hypercorn.trio import serve

from fuchsiagap.core.build_info import build_info
from fuchsiagap.core.clock import trio_clock
from fuchsiagap.core.membership.member import first_incarnation
from fuchsiagap_node.core.edges.admin import admin_app
from fuchsiagap_node.core.edges.backend_http import http_backend
from fuchsiagap_node.core.edges.callers import serve_callers
from fuchsiagap_node.core.edges.peer_websocket import serve_links, websocket_dial
from fuchsiagap_node.core.edges.platform_http import PlatformHttpSettings, open_platform
from fuchsiagap_node.core.node import NodePorts, run_node

if TYPE_CHECKING:
    import random

    from fuchsiagap_node.core.config import NodeConfig
    from fuchsiagap_node.core.node import ServeLink
    from fuchsiagap_node.core.state import NodeState

_LOG = logging.getLogger(__name__)
_BACKLOG = 1024
_KEEP_ALIVE_TIMEOUT_S = 75.0
# Long enough that a graceful shutdown ends when the requests in progress have ended,
# not at this timeout.
_GRACEFUL_TIMEOUT_S = 3600.0


@dataclass(frozen=True, slots=True)
class CannotListen:
    """An address is in use or does not belong to this host.

    Parameters
    ----------
    detail : str
        The address and the error of the operating system.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class _Sockets:
    """Listening sockets of a node, bound before any task starts."""

    callers: socket.socket
    peers: socket.socket
    admin: socket.socket


async def run_process(
    cfg: NodeConfig, rng: random.Random, stop: trio.Event
) -> CannotListen | None:
    """Run a node with real transports until its graceful shutdown is complete.

    Parameters
    ----------
    cfg : NodeConfig
        Settings of the node.
    rng : random.Random
        Source of all random choices.
    stop : trio.Event
        Set by a signal handler to start the graceful shutdown.

    Returns
    -------
    CannotListen or None
        None after a graceful shutdown.
    """
    sockets = _bind_sockets(cfg)
    if isinstance(sockets, CannotListen):
        return sockets
    bound_sockets = (sockets.callers, sockets.peers, sockets.admin)
    cfg = cfg.with_addresses(*map(_format_address, bound_sockets))
    _LOG.info("node %s runs %s", cfg.name, build_info())
    _LOG.info(
        "node %s listens on %s for callers, %s for peers, %s for operators",
        cfg.name,
        cfg.listen.callers,
        cfg.listen.peers,
        cfg.listen.admin,
    )
    backend = http_backend(
        cfg.backend.address, cfg.backend.connections, cfg.limits.body_bytes
    )

    async def listen(serve_link: ServeLink) -> None:
        await serve_links([_make_listener(sockets.peers)], serve_link)

    async def edges(state: NodeState) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_callers, state, _make_listener(sockets.callers))
            nursery.start_soon(_serve_admin, state, sockets.admin)

    platform_cfg = PlatformHttpSettings(
        cfg.platform.url, cfg.platform.timeout, cfg.platform.watch_wait
    )
    clock = trio_clock()
    async with open_platform(platform_cfg) as platform:
        ports = NodePorts(
            clock=clock,
            rng=rng,
            incarnation=first_incarnation(clock, rng),
            dial=websocket_dial,
            listen=listen,
            backend=backend,
            platform=platform,
        )
        async with trio.open_nursery() as nursery:
            state: NodeState = await nursery.start(run_node, cfg, ports, edges)
            await _wait_for_drain_request(state, stop)
    return None


async def _wait_for_drain_request(state: NodeState, stop: trio.Event) -> None:
    async with trio.open_nursery() as nursery:

        async def forward_signal() -> None:
            await stop.wait()
            state.request_drain()

        nursery.start_soon(forward_signal)
        await state.drain_requested.wait()
        nursery.cancel_scope.cancel()


async def _serve_admin(state: NodeState, sock: socket.socket) -> None:
    await serve(cast("Any", admin_app(state)), _hypercorn_config(sock), mode="asgi")


def _hypercorn_config(sock: socket.socket) -> HypercornConfig:
    config = HypercornConfig()
    config.bind = [f"fd://{sock.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = _GRACEFUL_TIMEOUT_S
    config.backlog = _BACKLOG
    return config


def _bind_sockets(cfg: NodeConfig) -> _Sockets | CannotListen:
    bound_sockets: list[socket.socket] = []
    for address in (cfg.listen.callers, cfg.peer_address, cfg.listen.admin):
        host, _, port = address.rpartition(":")
        try:
            bound_sockets.append(
                socket.create_server((host, int(port)), backlog=_BACKLOG)
            )
        except OSError as exc:
            for sock in bound_sockets:
                sock.close()
            return CannotListen(f"cannot listen on {address}: {exc}")
    return _Sockets(*bound_sockets)


def _make_listener(sock: socket.socket) -> trio.SocketListener:
    sock.setblocking(False)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


def _format_address(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"
