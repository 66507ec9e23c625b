"""Run platform, nodes and backend servers as processes on this machine."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
import trio

from fuchsiagap.core.settings.model import settings_path
from fuchsiagap_standins.graphs import settings_text
from fuchsiagap_standins.node_ini import HostSpec, node_ini
from fuchsiagap_standins.processes import AddressReservation, reserve_addresses
from fuchsiagap_standins.run_log import Run, run_from_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fuchsiagap_standins.graphs.model import Graph
    from fuchsiagap_standins.processes import ProcessGroup

OPERATOR_TOKEN = "operator-of-the-stand-ins"
# Last octet of the IP address of the hosts of the first data centre.
_MIN_LAST_OCTET = 11
_MAX_FIRST_PEERS = 3


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """Settings of a deployment.

    Parameters
    ----------
    graph : Graph
        Call graph with the services to run. Hosts of data centre number `i`, from 0,
        have the address 127.0.0.(11 + i).
    graph_file : str
        Name or INI file of the call graph, passed to the backend servers.
    instances : int
        Maximum number of instances of each service.
    time_scale : float
        Factor applied to all service times.
    seed : int
        Seed of the stand-ins' random choices.
    """

    graph: Graph
    graph_file: str
    instances: int = 2
    time_scale: float = 1.0
    seed: int = 1


@dataclass(slots=True)
class Deployment:
    """Running processes and their addresses.

    Parameters
    ----------
    cfg : DeploymentSettings
        The deployment's settings.
    group : ProcessGroup
        The processes.
    host_specs : tuple of HostSpec
        The hosts, each with a node and its backend server.
    platform : str
        ``IP:PORT`` of the platform.
    backends : dict
        ``IP:PORT`` of each node's backend server, by node name.
    """

    cfg: DeploymentSettings
    group: ProcessGroup
    host_specs: tuple[HostSpec, ...]
    platform: str
    backends: dict[str, str]

    @property
    def caller_addresses(self) -> tuple[str, ...]:
        """Addresses at which running nodes listen for callers."""
        running = self.group.running
        return tuple(
            host_spec.callers
            for host_spec in self.host_specs
            if host_spec.node in running
        )

    async def stop_nodes(self) -> dict[str, int]:
        """Shut down all nodes gracefully; their backend servers keep running.

        Returns
        -------
        dict
            Exit code by node name.
        """
        exit_codes: dict[str, int] = {}

        async def stop(node: str) -> None:
            exit_codes[node] = await self.group.stop(node)

        async with trio.open_nursery() as nursery:
            for host_spec in self.host_specs:
                if host_spec.node in self.group.running:
                    nursery.start_soon(stop, host_spec.node)
        return exit_codes


@asynccontextmanager
async def run_deployment(
    group: ProcessGroup, cfg: DeploymentSettings
) -> AsyncIterator[Deployment]:
    """Start platform, backend servers and nodes, with the team's settings stored.

    Parameters
    ----------
    group : ProcessGroup
        Runs the processes, and stops them when it is closed.
    cfg : DeploymentSettings
        Settings of the deployment.

    Yields
    ------
    Deployment
        The deployment once all processes listen. Nodes may not have discovered all
        other nodes yet.
    """
    reservations: list[AddressReservation] = []
    try:
        host_specs = _reserve_hosts(cfg, reservations)
        platform = await group.start_standin(
            "platform", "platform_app", f"--seed={cfg.seed}"
        )
        await put_settings(platform, cfg.graph)
        deployment = Deployment(cfg, group, host_specs, platform, {})
        async with trio.open_nursery() as nursery:
            for host_spec in host_specs:
                nursery.start_soon(_start_host, deployment, host_spec)
        yield deployment
    finally:
        for reservation in reservations:
            reservation.close()


async def put_settings(platform: str, graph: Graph) -> None:
    """Store the settings of the graph's team on the platform."""
    url = f"http://{platform}/objects{settings_path(graph.team)}"
    async with httpx.AsyncClient(trust_env=False) as client:
        response = await client.put(url, content=settings_text(graph))
        response.raise_for_status()


async def start_node(deployment: Deployment, host_spec: HostSpec) -> None:
    """Start or restart the node of a host."""
    ini = _host_ini(deployment, host_spec)
    await deployment.group.start_node(host_spec.node, ini, host_spec.callers)


async def read_runs(deployment: Deployment) -> tuple[list[Run], int]:
    """Read the run logs of all backend servers.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose run logs are read.

    Returns
    -------
    tuple
        All runs, and the number of wrong answers that backend servers received from
        called services.
    """
    runs: list[Run] = []
    wrong = 0
    async with httpx.AsyncClient(trust_env=False) as client:
        for address in deployment.backends.values():
            response = await client.get(f"http://{address}/-/runs", timeout=10)
            data = response.raise_for_status().json()
            runs += map(run_from_json, data["runs"])
            wrong += len(data["wrong_answers"])
    return runs, wrong


def _host_ini(deployment: Deployment, host_spec: HostSpec) -> str:
    cfg = deployment.cfg
    service = cfg.graph.service(host_spec.service)
    return node_ini(
        host_spec,
        team=cfg.graph.team,
        backend=deployment.backends[host_spec.node],
        platform=deployment.platform,
        first=_first_peers(deployment),
        operators_token=OPERATOR_TOKEN,
        slots=service.slots,
        connections=service.connections,
    )


def _reserve_hosts(
    cfg: DeploymentSettings, reservations: list[AddressReservation]
) -> tuple[HostSpec, ...]:
    graph = cfg.graph
    host_specs: list[HostSpec] = []
    for service in graph.services:
        data_centres = graph.placement(service)[: cfg.instances]
        for index, data_centre in enumerate(data_centres, start=1):
            ip = f"127.0.0.{_MIN_LAST_OCTET + graph.data_centres.index(data_centre)}"
            reservation = reserve_addresses(ip, 3)
            reservations.append(reservation)
            node = f"{service.name}-{index}"
            host_specs.append(
                HostSpec(node, service.name, data_centre, *reservation.addresses)
            )
    return tuple(host_specs)


def _first_peers(deployment: Deployment) -> list[str]:
    """Return peer addresses, one per data centre and at most `_MAX_FIRST_PEERS`."""
    peer_by_data_centre: dict[str, str] = {}
    for host_spec in deployment.host_specs:
        peer_by_data_centre.setdefault(host_spec.data_centre, host_spec.peers)
    return list(peer_by_data_centre.values())[:_MAX_FIRST_PEERS]


async def _start_host(deployment: Deployment, host_spec: HostSpec) -> None:
    cfg = deployment.cfg
    ip = host_spec.callers.rpartition(":")[0]
    deployment.backends[host_spec.node] = await deployment.group.start_standin(
        host_spec.backend,
        "backend_app",
        f"--graph={cfg.graph_file}",
        f"--service={host_spec.service}",
        f"--name={host_spec.node}",
        f"--bind={ip}:0",
        f"--node={host_spec.callers}",
        f"--seed={cfg.seed}",
        f"--time_scale={cfg.time_scale}",
    )
    await start_node(deployment, host_spec)
