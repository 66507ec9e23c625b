"""A small deployment of real processes: platform, nodes and backend servers."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
import trio

from fuchsiagap.core.settings.model import settings_path
from fuchsiagap_standins.graphs import settings_text
from fuchsiagap_standins.node_ini import Place, node_ini
from fuchsiagap_standins.processes import AddressReservation, reserve_addresses
from fuchsiagap_standins.run_log import Run, run_from_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fuchsiagap_standins.graphs.model import Graph
    from fuchsiagap_standins.processes import ProcessGroup

OPERATOR_TOKEN = "operator-of-the-stand-ins"
_FIRST_IP = 11
_N_FIRST_PEERS = 3


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """What is started.

    Parameters
    ----------
    graph : Graph
        Its services; data centre number `i` has the address 127.0.0.(11 + i).
    graph_file : str
        Name or path of the graph, for the backend servers.
    instances : int
        Instances of each service at most.
    time_scale : float
        Factor on all service times.
    seed : int
        Seed of the stand-ins.
    """

    graph: Graph
    graph_file: str
    instances: int = 2
    time_scale: float = 1.0
    seed: int = 1


@dataclass(slots=True)
class Deployment:
    """What runs.

    Parameters
    ----------
    cfg : DeploymentSettings
        What was asked for.
    group : ProcessGroup
        The processes.
    places : tuple of Place
        The hosts.
    platform : str
        ``IP:PORT`` of the platform.
    backends : dict
        ``IP:PORT`` of the backend server by node.
    """

    cfg: DeploymentSettings
    group: ProcessGroup
    places: tuple[Place, ...]
    platform: str
    backends: dict[str, str]

    @property
    def caller_addresses(self) -> tuple[str, ...]:
        """Where the nodes that run listen for callers."""
        running = self.group.running
        return tuple(place.callers for place in self.places if place.node in running)

    async def stop_nodes(self) -> dict[str, int]:
        """Shut all nodes down gracefully, while their backend servers run on.

        Returns
        -------
        dict
            Exit code by node.
        """
        codes: dict[str, int] = {}

        async def stop(node: str) -> None:
            codes[node] = await self.group.stop(node)

        async with trio.open_nursery() as nursery:
            for place in self.places:
                if place.node in self.group.running:
                    nursery.start_soon(stop, place.node)
        return codes


@asynccontextmanager
async def run_deployment(
    group: ProcessGroup, cfg: DeploymentSettings
) -> AsyncIterator[Deployment]:
    """Start platform, backend servers and nodes, with the settings of the team.

    Parameters
    ----------
    group : ProcessGroup
        Ends the processes.
    cfg : DeploymentSettings
        What to start.

    Yields
    ------
    Deployment
        All processes listen; nodes may not all know each other yet.
    """
    reservations: list[AddressReservation] = []
    try:
        places = _places(cfg, reservations)
        platform = await group.start_standin(
            "platform", "platform_app", f"--seed={cfg.seed}"
        )
        await put_settings(platform, cfg.graph)
        deployment = Deployment(cfg, group, places, platform, {})
        async with trio.open_nursery() as nursery:
            for place in places:
                nursery.start_soon(_start_place, deployment, place)
        yield deployment
    finally:
        for reservation in reservations:
            reservation.close()


async def put_settings(platform: str, graph: Graph) -> None:
    """Put the settings of the graph's team on the platform."""
    url = f"http://{platform}/objects{settings_path(graph.team)}"
    async with httpx.AsyncClient(trust_env=False) as client:
        response = await client.put(url, content=settings_text(graph))
        response.raise_for_status()


async def start_node(deployment: Deployment, place: Place) -> None:
    """Start the node of a place, for the first time or again."""
    ini = _ini(deployment, place)
    await deployment.group.start_node(place.node, ini, place.callers)


async def read_runs(deployment: Deployment) -> tuple[list[Run], int]:
    """Return what ran on the backend servers, and how many wrong answers they got."""
    runs: list[Run] = []
    wrong = 0
    async with httpx.AsyncClient(trust_env=False) as client:
        for address in deployment.backends.values():
            response = await client.get(f"http://{address}/-/runs", timeout=10)
            shown = response.raise_for_status().json()
            runs += map(run_from_json, shown["runs"])
            wrong += len(shown["wrong_answers"])
    return runs, wrong


def _ini(deployment: Deployment, place: Place) -> str:
    cfg = deployment.cfg
    service = cfg.graph.service(place.service)
    return node_ini(
        place,
        team=cfg.graph.team,
        backend=deployment.backends[place.node],
        platform=deployment.platform,
        first=_first_peers(deployment),
        operators_token=OPERATOR_TOKEN,
        slots=service.slots,
        connections=service.connections,
    )


def _places(
    cfg: DeploymentSettings, reservations: list[AddressReservation]
) -> tuple[Place, ...]:
    graph = cfg.graph
    places: list[Place] = []
    for service in graph.services:
        centres = graph.placement(service)[: cfg.instances]
        for index, centre in enumerate(centres, start=1):
            ip = f"127.0.0.{_FIRST_IP + graph.data_centres.index(centre)}"
            reservation = reserve_addresses(ip, 3)
            reservations.append(reservation)
            node = f"{service.name}-{index}"
            places.append(Place(node, service.name, centre, *reservation.addresses))
    return tuple(places)


def _first_peers(deployment: Deployment) -> list[str]:
    """Return one node of each data centre."""
    found: dict[str, str] = {}
    for place in deployment.places:
        found.setdefault(place.data_centre, place.peers)
    return list(found.values())[:_N_FIRST_PEERS]


async def _start_place(deployment: Deployment, place: Place) -> None:
    cfg = deployment.cfg
    ip = place.callers.rpartition(":")[0]
    deployment.backends[place.node] = await deployment.group.start_standin(
        place.backend,
        "backend_app",
        f"--graph={cfg.graph_file}",
        f"--service={place.service}",
        f"--name={place.node}",
        f"--bind={ip}:0",
        f"--node={place.callers}",
        f"--seed={cfg.seed}",
        f"--time_scale={cfg.time_scale}",
    )
    await start_node(deployment, place)
