"""Fleets of complete nodes of a call graph, each with its backend server.

The nodes run their complete code. Network, platform and backend servers are stand-ins
in the same process. Used by the tests of graceful shutdown and node telemetry.
"""

from __future__ import annotations

import random
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Outcome, Reason, Refused
from fuchsiagap.core.clock import Milliseconds, sleep_ms, trio_clock
from fuchsiagap.core.settings.model import TeamText
from fuchsiagap_node.core.callpath.entry import CallRequest, enter
from fuchsiagap_node.core.callpath.home_tickets import issue_batch
from fuchsiagap_node.core.gossip import wait_until_joined
from fuchsiagap_node.core.node import run_node
from fuchsiagap_standins.answers import CallMark
from fuchsiagap_standins.backend import BackendStandIn
from fuchsiagap_standins.backend_types import BackendSettings
from fuchsiagap_standins.graphs import settings_text
from fuchsiagap_standins.in_process import InProcessBackend, call_out_through
from fuchsiagap_standins.memory_nodes import (
    START_WALL_MS,
    a_node_config,
    memory_ports,
    open_fleet_environment,
    until,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from fuchsiagap_node.core.config import NodeConfig
    from fuchsiagap_node.core.node import NodePorts
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.graphs.model import Graph, GraphRoute
    from fuchsiagap_standins.network import FakeNetwork
    from fuchsiagap_standins.platform import ObjectStore
    from fuchsiagap_standins.run_log import Run

_MAX_RETRIES = 3


@dataclass(slots=True, eq=False)
class NodeFleet:
    """Set of complete nodes that run in one nursery.

    Parameters
    ----------
    graph : Graph
        Call graph with the services.
    rng : random.Random
        Source of all randomness.
    network : FakeNetwork
        Network between the nodes.
    store : ObjectStore
        Object store of the platform.
    nursery : trio.Nursery
        Nursery of the nodes' tasks.
    nodes : dict
        Running nodes by name.
    backends : list of BackendStandIn
        All backend servers, including those of stopped nodes.
    refusals : Counter
        Refusals that `request` retried, by reason.
    ended : dict
        Events that are set when a node has stopped, by node name.
    """

    graph: Graph
    rng: random.Random
    network: FakeNetwork
    store: ObjectStore
    nursery: trio.Nursery
    nodes: dict[str, NodeState] = field(default_factory=dict)
    backends: list[BackendStandIn] = field(default_factory=list)
    refusals: Counter[Reason] = field(default_factory=Counter)
    _placements: dict[str, tuple[str, str]] = field(default_factory=dict)
    ended: dict[str, trio.Event] = field(default_factory=dict)
    _n_started: int = 0

    async def add_all(self) -> None:
        """Start the nodes of all services of the graph, one after another."""
        for service in self.graph.services:
            for i, data_centre in enumerate(self.graph.placement(service)):
                await self.add(f"{service.name}-{i}", service.name, data_centre)

    async def add(self, name: str, service: str, data_centre: str) -> NodeState:
        """Start a node and its backend server, and wait until the node has joined."""
        self._n_started += 1
        self._placements[name] = service, data_centre
        first = [n.cfg.peer_address for n in self.nodes.values()][:3]
        cfg = a_node_config(name, data_centre, first, service)
        server = BackendStandIn(
            BackendSettings(self.graph, service, f"{name}.{self._n_started}"),
            call_out_through(lambda: state, self.graph),
            random.Random(self.rng.getrandbits(64)),
            trio_clock(START_WALL_MS),
        )
        self.backends.append(server)
        ports = memory_ports(
            cfg,
            self.network,
            self.store,
            InProcessBackend(server),
            self.rng,
            1_000 * self._n_started,
        )
        state: NodeState = await self.nursery.start(self._run, cfg, ports)
        text = settings_text(self.graph)
        state.book.adopt(TeamText(self.graph.team, 1, text, False))
        if self.nodes:
            await wait_until_joined(state)
        self.nodes[name] = state
        self.ended[name] = trio.Event()
        return state

    def request_drain(self, name: str) -> trio.Event:
        """Start a graceful shutdown; return the event that is set when it is done."""
        self.nodes[name].request_drain()
        return self.ended[name]

    async def restart(self, name: str) -> None:
        """Shut down a node gracefully and start it again."""
        await self.request_drain(name).wait()
        await self.add(name, *self._placements[name])

    def entry(self, avoid: Iterable[str] = ()) -> NodeState:
        """Return a random running node as the entry point of a caller.

        Parameters
        ----------
        avoid : iterable of str
            Names of nodes that are not returned.
        """
        names = sorted(self.nodes.keys() - set(avoid))
        return self.nodes[self.rng.choice(names)]

    async def request(self, route: GraphRoute, number: int) -> Outcome:
        """Send a request as a caller does, with refusals retried at other nodes.

        Parameters
        ----------
        route : GraphRoute
            Route of the request.
        number : int
            Number of the request, which determines its target and nonce.

        Returns
        -------
        Answered, Refused or Unknown
            The first outcome that is not a refusal, or the refusal of the last retry.
        """
        ticket = None if route.idempotent else self._ticket()
        refused: set[str] = set()
        while True:
            node = self.entry(avoid=refused)
            outcome = await enter(node, self.call(route, number, ticket))
            if not isinstance(outcome, Refused) or len(refused) >= _MAX_RETRIES:
                return outcome
            self.refusals[outcome.reason] += 1
            refused.add(node.name)
            await sleep_ms(outcome.retry_after)

    def runs(self) -> list[Run]:
        """Return the runs of all backend servers, including those of stopped nodes."""
        return [run for server in self.backends for run in server.runs]

    async def until(
        self, condition: Callable[[], bool], limit: Milliseconds = 60_000.0
    ) -> Milliseconds:
        """Wait until a condition holds; see `memory_nodes.until`."""
        return await until(condition, limit)

    def agree(self) -> bool:
        """Whether all members tables list exactly the running nodes."""
        names = set(self.nodes)
        return all(
            {m.node for m in node.membership.members() if not m.gone} == names
            for node in self.nodes.values()
        )

    def _ticket(self) -> str:
        leaving = [name for name, node in self.nodes.items() if node.leaving]
        tickets = issue_batch(self.entry(avoid=leaving), 1)
        assert isinstance(tickets, tuple)
        return str(tickets[0])

    def call(self, route: GraphRoute, number: int, ticket: str | None) -> CallRequest:
        """Return a request as a node receives it from a caller.

        Parameters
        ----------
        route : GraphRoute
            Route of the request.
        number : int
            Number of the request, which determines its target and nonce.
        ticket : str or None
            Ticket of a non-idempotent request; None for an idempotent one.
        """
        control_headers = {}
        if ticket is not None:
            # "0" states that no earlier attempt may have run. This holds, as requests
            # are retried only after a refusal, and a refused request did not run.
            control_headers = {call_headers.TICKET: ticket, call_headers.REPEAT: "0"}
        return CallRequest(
            service=self.graph.service_name(route),
            method=route.method,
            target=route.target(number),
            control_headers=control_headers,
            headers=CallMark(f"request-{number}").headers(),
            body=b"",
        )

    async def _run(
        self,
        cfg: NodeConfig,
        ports: NodePorts,
        task_status: trio.TaskStatus[NodeState] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await run_node(cfg, ports, task_status=task_status)
        del self.nodes[cfg.name]
        self.network.crash(cfg.peer_address)
        self.ended[cfg.name].set()


@asynccontextmanager
async def open_node_fleet(graph: Graph, seed: int) -> AsyncIterator[NodeFleet]:
    """Open a fleet without nodes, and stop all its nodes on exit.

    Parameters
    ----------
    graph : Graph
        Call graph with the services.
    seed : int
        Seed of all randomness.
    """
    async with open_fleet_environment(seed) as env:
        yield NodeFleet(
            graph=graph,
            rng=env.rng,
            network=env.network,
            store=env.store,
            nursery=env.nursery,
        )
