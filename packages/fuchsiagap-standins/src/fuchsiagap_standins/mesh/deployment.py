"""Deployments of several nodes with backend servers in one process, on loopback."""

from __future__ import annotations

import itertools
import os
import random
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.backend_queue.incarnation import BackendReport, BackendState
from fuchsiagap.core.routes.model import (
    CallerLimits,
    Route,
    RouteConfig,
    Service,
    ServiceShare,
)
from fuchsiagap.core.workspaces.keys import key_digest
from fuchsiagap.core.workspaces.model import Workspace
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_response import Response, ResponseReader
from fuchsiagap_node.core.mesh.malformed_input import MalformedInput
from fuchsiagap_node.core.mesh.node import Node
from fuchsiagap_node.core.mesh.settings import Addresses, Bounds, MeshSettings
from fuchsiagap_node.core.mesh.stream import BrokenStream, dial
from fuchsiagap_standins.mesh.backend_server import BackendServer
from fuchsiagap_standins.mesh.memory_store import MemoryStore, SharedState

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping, Sequence

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.retries.backend_budget import ServiceRetryLimits
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.stream import Stream


_STANDARD_NAMES = HeaderNames()
# Seconds between the end of a node and its restart.
_RESTART_S = 0.1
# Range of listener ports, below the kernel's ephemeral ports for outgoing connections.
# Each process starts at a different offset, as two processes that search for free ports
# at the same time would otherwise choose the same ones.
_FIRST_PORT, _N_PORTS, _PORT_STRIDE = 21_000, 10_000, 977
_PORT_NUMBERS = itertools.count()


def free_address() -> str:
    """Return an unused address ``127.0.0.1:PORT``."""
    for number in _PORT_NUMBERS:
        port = _FIRST_PORT + (number + _PORT_STRIDE * os.getpid()) % _N_PORTS
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise AssertionError("unreachable: the sequence of port numbers does not end")


def a_route(name: str, service: str = "certs", **changes: object) -> Route:
    """Return a route with the prefix ``/NAME/`` of the host ``api.example``.

    Parameters
    ----------
    name : str
        Name of the route.
    service : str, default="certs"
        The only service of the route.
    **changes : object
        Other fields of `Route`, replacing the defaults of this function.
    """
    fields: dict[str, object] = {
        "name": name,
        "host": "api.example",
        "prefix": f"/{name}/",
        "shares": (ServiceShare(service),),
        "idempotent": True,
        "timeout": 1_000.0,
        "objective": 500.0,
        "priority": 0,
        "max_attempts": 2,
    }
    fields.update(changes)
    return Route(**fields)  # type: ignore[arg-type]


def a_workspace(name: str, *keys: str, **changes: object) -> Workspace:
    """Return a workspace with the given API keys, by default without a rate limit.

    Parameters
    ----------
    name : str
        Name of the workspace.
    *keys : str
        Its API keys.
    **changes : object
        Other fields of `Workspace`.
    """
    digests = tuple(key_digest(key.encode()) for key in keys)
    fields: dict[str, object] = {"name": name, "key_digests": digests}
    fields.update(changes)
    return Workspace(**fields)  # type: ignore[arg-type]


@dataclass
class Host:
    """A node and the backend server on the same host.

    Attributes
    ----------
    node : Node
        The node.
    server : BackendServer
        Its backend server.
    store : MemoryStore
        The node's client of the store.
    slots : int
        Concurrency limit that the server reports.
    scope : trio.CancelScope
        Cancels the node and the reports of its server.
    sequence : int
        Number of the last report.
    departed : str
        Incarnation that has announced its departure and reports no more.
    born : int or None
        Start time of the server in its reports.
    """

    node: Node
    server: BackendServer
    store: MemoryStore
    slots: int = 8
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    sequence: int = 0
    departed: str = ""
    born: int | None = None

    def report(self, state: BackendState = BackendState.READY) -> None:
        """Send a report of the backend server's state to the node."""
        self.departed = "" if state is BackendState.READY else self.server.instance
        self.node.backend_queue.handle_report(self.next_report(state))

    def next_report(self, state: BackendState = BackendState.READY) -> BackendReport:
        """Return the next report of the backend server without sending it."""
        self.sequence += 1
        return BackendReport(
            self.server.instance,
            state,
            self.sequence,
            self.server.address,
            self.slots,
            0.0,
            self.node.cfg.service,
            self.born,
        )

    def kill(self) -> None:
        """Stop the node at once without sending anything, like a killed process."""
        self.node.close_links()
        self.scope.cancel()

    async def send(
        self,
        path: str,
        request_id: str,
        wait: float = 2_000.0,
        method: str = "GET",
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Response | None:
        """Send a request as a caller on a new connection.

        Parameters
        ----------
        path : str
            Path of the request.
        request_id : str
            Value of the ``Call-Id`` header.
        wait : float, default=2000.0
            Milliseconds that the caller still waits, sent as ``Time-Left``.
        method : str, default="GET"
            Method of the request.
        body : bytes, optional
            Body of the request.
        headers : mapping of str to str, optional
            Further headers.

        Returns
        -------
        Response or None
            The response; None if the connection ends without one.
        """
        stream = await dial(self.node.cfg.addresses.callers, 500.0)
        data = request_bytes(path, request_id, wait, method, body, headers)
        try:
            await stream.send(data)
            return await read_answer(stream)
        finally:
            stream.close()


def request_bytes(
    path: str,
    request_id: str,
    wait: float = 2_000.0,
    method: str = "GET",
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> bytes:
    """Return an encoded HTTP request; see `Host.send` for the parameters."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: api.example\r\n"
        f"Call-Id: {request_id}\r\nTime-Left: {wait:.0f}\r\n"
    )
    for name, value in (headers or {}).items():
        head += f"{name}: {value}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def read_answer(stream: Stream) -> Response | None:
    """Return the next response on a connection; None if the connection ends first."""
    reader = ResponseReader(HeaderNames())
    try:
        while data := await stream.receive():
            if answers := reader.feed(data):
                return answers[0]
    except BrokenStream:
        return None
    return None


@dataclass
class Deployment:
    """Hosts that share one store.

    Attributes
    ----------
    nursery : trio.Nursery
        Runs the nodes and servers.
    state : SharedState
        Contents of the store.
    known : dict of int to RouteConfig
        Configurations by version.
    hosts : list of Host
        All hosts in order of start; a restarted node is a further entry.
    expects_faults : bool
        Whether the test provokes unexpected exceptions in nodes. If not, a ``fault``
        event in the log of any node fails the test.
    first_seed : int
        Random seed of the first node; each further node has the next one.
    make_store : callable
        Returns a store client for one node; by default, a `MemoryStore` on `state`.
    """

    nursery: trio.Nursery
    state: SharedState
    known: dict[int, RouteConfig]
    hosts: list[Host] = field(default_factory=list)
    expects_faults: bool = False
    first_seed: int = 0
    make_store: Callable[[], Any] = field(init=False)

    def __post_init__(self) -> None:
        self.make_store = lambda: MemoryStore(self.state, self.known)

    def put_config(
        self,
        *routes: Route,
        limits: CallerLimits | None = None,
        workspaces: Sequence[Workspace] | None = None,
        services: Sequence[Service] = (),
    ) -> None:
        """Store the next version of the configuration."""
        limits = limits or CallerLimits()
        declared = None if workspaces is None else tuple(workspaces)
        config = RouteConfig(
            len(self.known) + 1,
            routes,
            {service.name: service for service in services},
            limits=limits,
            workspaces=declared,
        )
        self.known[config.version] = config
        self.state.put_config(config)

    def add(
        self,
        service: str = "certs",
        data_centre: str = "hall-a",
        budget: ServiceRetryLimits | None = None,
        slots: int = 8,
        names: HeaderNames = _STANDARD_NAMES,
        clock: Clock | None = None,
        revocation: Milliseconds | None = None,
        first_start: bool = False,
    ) -> Host:
        """Start a host with a node and a backend server.

        Parameters
        ----------
        service : str, default="certs"
            Service of the backend server.
        data_centre : str, default="hall-a"
            Data centre of the host.
        budget : ServiceRetryLimits, optional
            Retry limits of the node.
        slots : int, default=8
            Concurrency limit that the server reports.
        names : HeaderNames, optional
            Header names of the node and the server.
        clock : Clock, optional
            Clock of the node.
        revocation : float, optional
            Bound in milliseconds for the revocation of API keys; see `Bounds`.
        first_start : bool, default=False
            Whether the whole system starts for the first time; see `MeshSettings`.
        """
        name = f"{service}-{len(self.hosts)}"
        cfg = MeshSettings(
            name,
            data_centre,
            service,
            "127.0.0.1",
            free_address(),
            Addresses(*(free_address() for _ in range(5))),
            "",
            bounds=Bounds(revocation=revocation),
            names=names,
            first_start=first_start,
        )
        if budget is not None:
            cfg = replace(cfg, budget=budget)
        store = self.make_store()
        server = BackendServer(cfg.backend, f"i-{name}", names)
        rng = random.Random(self.first_seed + len(self.hosts))
        node = Node(cfg, store, _no_reports, clock, rng=rng)
        host = Host(node, server, store, slots)
        self.hosts.append(host)
        self.nursery.start_soon(server.run)
        self.nursery.start_soon(_run, host)
        return host

    def restart(self, host: Host, uptime: Milliseconds = 0.0) -> Host:
        """Kill a node and restart it with the same addresses and backend server.

        Parameters
        ----------
        host : Host
            Host of the node.
        uptime : float, default=0
            Milliseconds for which the new process has been starting until now.
        """
        host.kill()
        rng = random.Random(self.first_seed + len(self.hosts))
        node = Node(host.node.cfg, host.store, _no_reports, rng=rng, uptime=uptime)
        restarted = Host(
            node,
            host.server,
            host.store,
            host.slots,
            sequence=host.sequence,
            departed=host.departed,
            born=host.born,
        )
        self.hosts.append(restarted)
        self.nursery.start_soon(_run_after_restart, restarted)
        return restarted

    def check_logs(self) -> None:
        """Raise `AssertionError` if a node logged a fault and none is expected."""
        if self.expects_faults:
            return
        for host in self.hosts:
            n_faults = host.node.event_log.counts["events", "fault"]
            assert not n_faults, f"{host.node.cfg.node}: {n_faults} faults in its log"

    async def settle(self) -> None:
        """Wait until all nodes know each other and the configuration (3 s)."""
        await trio.sleep(3.0)


def _no_reports(req: Request) -> MalformedInput:
    """Reject a report over HTTP: servers here report by `Host.report` instead."""
    return MalformedInput(
        req.target.decode("latin-1"), "this node accepts no reports over HTTP"
    )


async def _run(host: Host) -> None:
    """Run a node and the reports of its server until the host's scope is cancelled."""
    with host.scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(host.node.serve)
            nursery.start_soon(_report, host)


async def _run_after_restart(host: Host) -> None:
    """Run a restarted node, once the previous one has released its addresses."""
    await trio.sleep(_RESTART_S)
    await _run(host)


async def _report(host: Host) -> None:
    """Send a report once a second while the server is up.

    A server that has reported its departure sends none until its next incarnation.
    """
    while True:
        if host.server.is_up and host.departed != host.server.instance:
            host.report()
        await trio.sleep(1.0)


@asynccontextmanager
async def a_deployment(*routes: Route) -> AsyncIterator[Deployment]:
    """Run hosts on loopback until the block ends.

    Parameters
    ----------
    *routes : Route
        Routes of the first configuration; without routes, the store has no
        configuration.

    Yields
    ------
    Deployment
        The deployment, without hosts yet.
    """
    async with trio.open_nursery() as nursery:
        deployment = Deployment(nursery, SharedState(), {})
        if routes:
            deployment.put_config(*routes)
        yield deployment
        nursery.cancel_scope.cancel()
    deployment.check_logs()
