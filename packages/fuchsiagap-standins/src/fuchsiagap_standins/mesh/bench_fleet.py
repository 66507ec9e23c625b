"""Measures the CPU time of a deployment of many nodes, on loopback in one process.

Run as
``python -m fuchsiagap_standins.mesh.bench_fleet [NODES [REQUESTS_PER_S]] [profile]``;
with ``profile``, it also prints a profile of the load phase. Each request makes two
nested calls one after the other, and each of these four, so that one request causes
eleven arrivals at backend servers. The result includes the test doubles of callers and
backend servers, so it is only meaningful for comparing versions of the software or
numbers of nodes.
"""

from __future__ import annotations

import cProfile
import pstats
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.mesh.stream import BrokenStream
from fuchsiagap_standins.mesh.bench_path import processor_s
from fuchsiagap_standins.mesh.deployment import Deployment, Host, a_deployment, a_route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Services in the order of calls, with their share of the nodes and the number of calls
# that a request of the previous service makes to them.
_SERVICES = (("pages", 0.45, 1), ("orders", 0.4, 2), ("stock", 0.15, 4))
_ARRIVALS_PER_REQUEST = 11
_DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
# Seconds for which requests are sent, and for which the idle nodes are measured.
_LOAD_S = 8.0
_IDLE_S = 4.0
_US_PER_S = 1e6
_MS_PER_S = 1e3
# Number of functions in the printed profile.
_MAX_PROFILE_ROWS = 45


@dataclass(frozen=True, slots=True)
class FleetFigures:
    """Result of a measurement.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    requests, answered : int
        Numbers of requests sent by callers, and of those answered with status 200.
    idle_ms : float
        CPU time per node in milliseconds per second, without any request.
    us_per_arrival : float
        CPU time of the whole process in microseconds per arrival at a backend server.
    """

    nodes: int
    requests: int
    answered: int
    idle_ms: float
    us_per_arrival: float


async def measure(
    nodes: int, request_rate: float, profile: cProfile.Profile | None = None
) -> FleetFigures:
    """Measure a deployment, first idle and then with a constant rate of requests.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    request_rate : float
        Requests per second of callers.
    profile : cProfile.Profile, optional
        Enabled while requests are sent.

    Returns
    -------
    FleetFigures
        Result of the measurement.
    """
    routes = [a_route(name, name, timeout=3_000.0) for name, _, _ in _SERVICES]
    async with a_deployment(*routes) as deployment:
        entry_hosts = _add_hosts(deployment, nodes)
        await trio.sleep(6.0)
        before = processor_s()
        await trio.sleep(_IDLE_S)
        idle_cpu_s = processor_s() - before
        if profile is not None:
            profile.enable()
        before = processor_s()
        answered = await _send_all(entry_hosts, request_rate)
        load_cpu_s = processor_s() - before
        if profile is not None:
            profile.disable()
    requests = int(request_rate * _LOAD_S)
    return FleetFigures(
        nodes,
        requests,
        answered,
        _MS_PER_S * idle_cpu_s / _IDLE_S / nodes,
        _US_PER_S * load_cpu_s / (requests * _ARRIVALS_PER_REQUEST),
    )


def _add_hosts(deployment: Deployment, nodes: int) -> list[Host]:
    """Add the hosts of all services; return those of the first service."""
    hosts: list[list[Host]] = []
    for name, share, _ in _SERVICES:
        hosts.append([])
        for number in range(max(round(nodes * share), 1)):
            data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
            hosts[-1].append(deployment.add(name, data_centre, slots=64))
    for callers, (name, _, times) in zip(hosts[:-1], _SERVICES[1:], strict=True):
        for host in callers:
            host.server.on_run = _make_on_run(host, name, times)
    return hosts[0]


def _make_on_run(
    host: Host, service: str, times: int
) -> Callable[[str], Awaitable[None]]:
    """Return an `on_run` callback that makes `times` calls one after the other."""

    async def run(request_id: str) -> None:
        for number in range(times):
            await host.send(f"/{service}/1", f"{request_id}.{number}")

    return run


async def _send_all(entry_hosts: list[Host], request_rate: float) -> int:
    """Send requests at a constant rate; return how many were answered with 200."""
    answered = 0

    async def send(host: Host, request_id: str) -> None:
        nonlocal answered
        try:
            answer = await host.send("/pages/1", request_id)
        except BrokenStream:
            return
        answered += answer is not None and answer.status == 200

    async with trio.open_nursery() as nursery:
        for number in range(int(request_rate * _LOAD_S)):
            host = entry_hosts[number % len(entry_hosts)]
            nursery.start_soon(send, host, f"r{number}")
            await trio.sleep(1.0 / request_rate)
    return answered


def main() -> None:
    """Measure and print the result; with last argument ``profile``, also a profile."""
    args = sys.argv[1:]
    profile = cProfile.Profile() if args[-1:] == ["profile"] else None
    numbers = [float(arg) for arg in args if arg != "profile"]
    nodes = int(numbers[0]) if numbers else 60
    request_rate = numbers[1] if len(numbers) > 1 else 40.0
    figures = trio.run(measure, nodes, request_rate, profile)
    sys.stdout.write(
        f"{figures.nodes} nodes: {figures.answered} of {figures.requests} answered,"
        f" {figures.idle_ms:.2f} ms of CPU time per second and idle node,"
        f" {figures.us_per_arrival:.0f} us of CPU time per arrival\n"
    )
    if profile is not None:
        pstats.Stats(profile, stream=sys.stdout).sort_stats("tottime").print_stats(
            _MAX_PROFILE_ROWS
        )


if __name__ == "__main__":
    main()
