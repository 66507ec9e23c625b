"""Create the nodes of a service graph with simulated links and backend servers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from fuchsiagap.core.admission.reported_levels import ReportedLevels
from fuchsiagap.core.membership.member import Member
from fuchsiagap.core.settings.model import TeamText
from fuchsiagap.core.telemetry.telemetry import TelemetrySettings
from fuchsiagap_node.core.callpath import home, home_tickets, relay, serve
from fuchsiagap_node.core.config import (
    AdminConfig,
    BackendConfig,
    LimitsConfig,
    ListenConfig,
    NodeConfig,
    PeersConfig,
    PlatformConfig,
)
from fuchsiagap_node.core.node import NodePorts, make_state
from fuchsiagap_standins.bench.overload.backends import SimulatedBackend
from fuchsiagap_standins.bench.overload.metered_gate import MeteredGate
from fuchsiagap_standins.bench.overload.tick_scheduler import TickScheduler
from fuchsiagap_standins.graphs import settings_text

if TYPE_CHECKING:
    import trio

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.ports import Dial, Platform
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.bench.overload.policies import BenchPolicy
    from fuchsiagap_standins.bench.overload.records import Records
    from fuchsiagap_standins.bench.overload.scenario import Scenario
    from fuchsiagap_standins.graphs import Graph, GraphService

_REPORT_INTERVAL_MS = 500.0
_INCARNATION = 1
_RING_SIZE = 256


@dataclass(slots=True, eq=False)
class Fleet:
    """Nodes of a run.

    Parameters
    ----------
    tick_scheduler : TickScheduler
        Scheduler for all sleeps of the run.
    nodes : list of NodeState
        Nodes in the order of the graph's services.
    by_address : dict
        Nodes by peer address.
    """

    tick_scheduler: TickScheduler
    nodes: list[NodeState] = field(default_factory=list)
    by_address: dict[str, NodeState] = field(default_factory=dict)


class SimulatedPeers:
    """Delivers messages directly to other nodes.

    Messages between data centres take `delay` ms in each direction, messages within a
    data centre take no time.
    """

    def __init__(self, fleet: Fleet, cfg: NodeConfig, delay: Milliseconds) -> None:
        self._fleet = fleet
        self._cfg = cfg
        self._delay = delay

    def drop(self, address: str) -> None:
        """Do nothing; there are no links."""

    def linked(self) -> tuple[str, ...]:
        """Return an empty tuple; there are no links."""
        return ()

    async def notify_linked(self, message: object) -> None:
        """Discard a notification; the bench does not use notifications."""

    async def ask(self, address: str, message: object) -> object:
        """Let another node handle a message and return its reply."""
        node = self._fleet.by_address[address]
        is_far = node.cfg.data_centre != self._cfg.data_centre
        if is_far:
            await self._fleet.tick_scheduler.sleep(self._delay)
        reply = await node.handlers.request_handlers[type(message)](
            self._cfg.name, message
        )
        if is_far:
            await self._fleet.tick_scheduler.sleep(self._delay)
        return reply

    async def notify(self, address: str, message: object) -> None:
        """Discard a notification; the bench does not use notifications."""


async def open_fleet(
    graph: Graph,
    scenario: Scenario,
    policy: BenchPolicy,
    records: Records,
    clock: Clock,
    seed: int,
    nursery: trio.Nursery,
) -> Fleet:
    """Create the nodes and start their tasks.

    Parameters
    ----------
    graph : Graph
        Services, their instances and data centres.
    scenario : Scenario
        Slowdown of the backend servers over time.
    policy : BenchPolicy
        Settings of the nodes.
    records : Records
        Records of the run.
    clock : Clock
        Clock of the run.
    seed : int
        Random seed.
    nursery : trio.Nursery
        Runs the tasks of the nodes.

    Returns
    -------
    Fleet
        Nodes that know all members and have adopted the team's settings.
    """
    fleet = Fleet(TickScheduler(clock))
    nursery.start_soon(fleet.tick_scheduler.run)
    for service in graph.services:
        for index, data_centre in enumerate(graph.placement(service)):
            number = len(fleet.nodes)
            cfg = _make_config(graph, service, index, data_centre, number, policy)
            rng = random.Random(f"{seed}/{cfg.name}")
            backend = SimulatedBackend(
                graph,
                service,
                scenario,
                policy,
                records,
                fleet.tick_scheduler,
                rng,
                nursery,
            )
            node = _make_node(cfg, backend, policy, records, clock, rng, nursery)
            node.peers = SimulatedPeers(fleet, cfg, graph.between_data_centres)
            backend.node = node
            fleet.nodes.append(node)
            fleet.by_address[cfg.peer_address] = node
    text = settings_text(graph)
    if not policy.at_most_once:
        text = text.replace("idempotent = no", "idempotent = yes")
    for node in fleet.nodes:
        node.book.adopt(TeamText(graph.team, 1, text, False))
        team = node.book.team(graph.team)
        assert team is not None
        node.gate.set_weight(team.weight)
        for other in fleet.nodes:
            if other is not node:
                node.membership.apply(_make_member(other.cfg))
        node.router.update(node.membership.instances())
        nursery.start_soon(home.run, node)
        nursery.start_soon(_run_gate_steps, node, fleet.tick_scheduler)
        nursery.start_soon(_run_load_reports, node, fleet.tick_scheduler)
    return fleet


def _make_node(
    cfg: NodeConfig,
    backend: SimulatedBackend,
    policy: BenchPolicy,
    records: Records,
    clock: Clock,
    rng: random.Random,
    nursery: trio.Nursery,
) -> NodeState:
    ports = NodePorts(
        clock=clock,
        rng=rng,
        incarnation=_INCARNATION,
        dial=_no_dial,
        listen=_no_listen,
        backend=backend,
        platform=cast("Platform", None),
    )
    node = make_state(cfg, ports, nursery)
    node.gate = MeteredGate(policy.gate, clock, rng, records)
    node.levels = ReportedLevels(clock, policy.levels)
    for part in (serve, relay, home_tickets):
        part.register(node)
    return node


def _no_dial(nursery: trio.Nursery) -> Dial:
    """Return a placeholder; the simulated peers open no links."""
    return cast("Dial", None)


async def _no_listen(take: object) -> None:
    """Do nothing; the nodes accept no links."""


async def _run_gate_steps(node: NodeState, tick_scheduler: TickScheduler) -> None:
    """Run the gate's periodic step, with a random phase per node."""
    step = node.cfg.gate.step_ms
    await tick_scheduler.sleep(node.rng.random() * step)
    while True:
        node.gate.step()
        await tick_scheduler.sleep(step)


async def _run_load_reports(node: NodeState, tick_scheduler: TickScheduler) -> None:
    while True:
        load = await node.backend.load()
        if load is not None:
            node.gate.apply_report(load.slots, load.in_flight)
        await tick_scheduler.sleep(_REPORT_INTERVAL_MS)


def _make_member(cfg: NodeConfig) -> Member:
    return Member(
        node=cfg.name,
        incarnation=_INCARNATION,
        address=cfg.peer_address,
        data_centre=cfg.data_centre,
        services=(cfg.service,),
    )


def _make_config(
    graph: Graph,
    service: GraphService,
    index: int,
    data_centre: str,
    number: int,
    policy: BenchPolicy,
) -> NodeConfig:
    name = f"{service.name}-{index + 1}"
    ip = f"10.0.0.{number + 1}"
    return NodeConfig(
        name=name,
        host=name,
        data_centre=data_centre,
        listen=ListenConfig(f"{ip}:80", f"{ip}:81", f"{ip}:82"),
        backend=BackendConfig(
            team=graph.team,
            service=service.name,
            address=f"{ip}:83",
            slots=service.slots,
            connections=service.connections,
        ),
        platform=PlatformConfig("http://10.0.1.1:80", 2_000.0, 30_000.0),
        peers=PeersConfig(()),
        limits=LimitsConfig(1 << 14, 1 << 20, 1 << 20, 1 << 30, 1 << 20, 1 << 20),
        admin=AdminConfig(""),
        telemetry=TelemetrySettings(ring_size=_RING_SIZE),
        gate=policy.gate,
        routing=policy.routing,
        retries=policy.retries,
    )
