"""Measure the overhead of nodes: direct calls, and calls through one and two nodes.

All calls use real sockets and the same client. Rounds of calls alternate between the
paths, so that other load on the machine affects all of them equally.
"""

from __future__ import annotations

import json
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import httpx
import trio
from absl import flags

from fuchsiagap.core.clock import MS_PER_S, Milliseconds
from fuchsiagap_node.core.edges.http_client import ClientResponse, HttpPool
from fuchsiagap_standins.command_line import new_flags, parse_flags
from fuchsiagap_standins.node_ini import HostSpec, node_ini
from fuchsiagap_standins.processes import cpu_ms, process_group, reserve_addresses

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap_standins.processes import ProcessGroup

_SETTINGS = """\
[team]
[echo]
[echo/read]
match = GET /*
priority = 5
idempotent = yes
timeout = 5s
"""
_IP = "127.0.0.1"
_TEAM = "bench"
_SETTLE_S = 3.0
_CPU_SECONDS = 6.0
_OK = 200
_MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PathFigures:
    """Results of the bench; times in milliseconds.

    Parameters
    ----------
    direct_p50_ms, direct_p99_ms : float
        Round trip from the client to the backend server.
    one_node_p50_ms, one_node_p99_ms, two_nodes_p50_ms, two_nodes_p99_ms : float
        Round trip through one and two nodes.
    added_p50_ms, added_p99_ms : float
        Difference between two nodes and direct, at the same quantile.
    added_one_p50_ms, added_one_p99_ms : float
        Difference between one node and direct, at the same quantile.
    floor_added_p50_ms, floor_added_p99_ms : float
        Difference between two byte relays and direct: the part of the overhead that
        sockets and scheduling cause.
    node_cpu_ms_per_call : float
        CPU time of both nodes per call at `rate_per_s`, without the CPU time they use
        when idle.
    floor_cpu_ms_per_call : float
        CPU time of both byte relays per call, measured in the same way.
    ratio_p50 : float
        Ratio of the medians of two nodes and direct.
    calls_per_s_per_core : float
        1000 divided by `node_cpu_ms_per_call`.
    calls : int
        Number of timed calls per path.
    failed : int
        Calls without a status of 200, direct and through nodes, including warm-up and
        CPU measurement. Their times are included above.
    rate_per_s : float
        Calls per second during the CPU measurement.
    """

    direct_p50_ms: float
    direct_p99_ms: float
    one_node_p50_ms: float
    one_node_p99_ms: float
    two_nodes_p50_ms: float
    two_nodes_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    added_one_p50_ms: float
    added_one_p99_ms: float
    floor_added_p50_ms: float
    floor_added_p99_ms: float
    node_cpu_ms_per_call: float
    floor_cpu_ms_per_call: float
    ratio_p50: float
    calls_per_s_per_core: float
    calls: int
    failed: int
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class _PathUnderTest:
    """One path to the backend server, with the times and failures of its calls.

    `times` holds the round trips in milliseconds without the warm-up, `failed` the
    text of each response without a status of 200.
    """

    pool: HttpPool
    target: str
    times: list[Milliseconds]
    failed: list[str]


@dataclass(frozen=True, slots=True)
class _Fleet:
    """Addresses and process ids of the processes under test.

    `near` is the node of the backend server, `far` a node that reaches it over `near`.
    `relays` is the address of two byte relays in series in front of the backend server.
    """

    backend: str
    near: str
    far: str
    relays: str
    pids: tuple[int, ...]
    relay_pids: tuple[int, ...]


async def _start_fleet(group: ProcessGroup) -> _Fleet:
    backend = await group.start_standin("backend", "echo_server")
    platform = await group.start_standin("platform", "platform_app")
    async with httpx.AsyncClient(trust_env=False) as client:
        url = f"http://{platform}/objects/settings/{_TEAM}"
        (await client.put(url, content=_SETTINGS)).raise_for_status()
    inner_relay = await group.start_standin("relay-1", "byte_relay", f"--to={backend}")
    relays = await group.start_standin("relay-2", "byte_relay", f"--to={inner_relay}")
    reservation = reserve_addresses(_IP, 6)
    near, far = reservation.addresses[:3], reservation.addresses[3:]
    pids = []
    for name, service, addresses in (("near", "echo", near), ("far", "other", far)):
        ini = node_ini(
            HostSpec(name, service, "hall-a", *addresses),
            team=_TEAM,
            backend=backend,
            platform=platform,
            first=[near[1]],
            slots=256,
        )
        pids.append((await group.start_node(name, ini, addresses[0])).pid)
    reservation.close()
    await trio.sleep(_SETTLE_S)
    relay_pids = tuple(group.running[name].pid for name in ("relay-1", "relay-2"))
    return _Fleet(backend, near[0], far[0], relays, tuple(pids), relay_pids)


async def _time_call(path: _PathUnderTest) -> Milliseconds:
    headers = [(b"host", path.pool.address.encode())]
    started = time.perf_counter()
    response = await path.pool.exchange("GET", path.target, headers, b"", 5_000.0)
    elapsed = (time.perf_counter() - started) * MS_PER_S
    if not isinstance(response, ClientResponse) or response.status != _OK:
        path.failed.append(str(response))
    return elapsed


async def _measure_times(
    paths: Sequence[_PathUnderTest], rounds: int, calls_per_round: int
) -> None:
    for number in range(rounds + 1):
        for path in paths:
            times = [await _time_call(path) for _ in range(calls_per_round)]
            # The first round is the warm-up.
            if number > 0:
                path.times.extend(times)


async def _measure_cpu(
    path: _PathUnderTest, pids: Sequence[int], rate: float, seconds: float
) -> Milliseconds:
    """Return the CPU time of the processes per call at a rate, in milliseconds.

    Their CPU time without calls is measured first and subtracted.
    """
    idle_before = sum(map(cpu_ms, pids))
    await trio.sleep(seconds / 2)
    idle = (sum(map(cpu_ms, pids)) - idle_before) * 2
    before = sum(map(cpu_ms, pids))
    n_calls = int(rate * seconds)
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(n_calls):
            await trio.sleep_until(start + number / rate)
            nursery.start_soon(_time_call, path)
    return (sum(map(cpu_ms, pids)) - before - idle) / n_calls


def _quantile(times: Sequence[Milliseconds], share: float) -> Milliseconds:
    return sorted(times)[min(int(len(times) * share), len(times) - 1)]


async def run_path(rounds: int, calls_per_round: int, rate: float) -> PathFigures:
    """Start the processes and measure; `rate` is in calls per second."""
    with tempfile.TemporaryDirectory() as folder:
        async with process_group(Path(folder)) as group:
            fleet = await _start_fleet(group)
            node_target = f"/{_TEAM}/echo/hello"
            direct = _PathUnderTest(
                HttpPool(fleet.backend, 64, _MAX_BODY_BYTES), "/hello", [], []
            )
            via_one = _PathUnderTest(
                HttpPool(fleet.near, 64, _MAX_BODY_BYTES), node_target, [], []
            )
            via_two = _PathUnderTest(
                HttpPool(fleet.far, 64, _MAX_BODY_BYTES), node_target, [], []
            )
            relayed = _PathUnderTest(
                HttpPool(fleet.relays, 64, _MAX_BODY_BYTES), "/hello", [], []
            )
            await _measure_times(
                (direct, via_one, via_two, relayed), rounds, calls_per_round
            )
            cpu = await _measure_cpu(via_two, fleet.pids, rate, _CPU_SECONDS)
            floor_cpu = await _measure_cpu(
                relayed, fleet.relay_pids, rate, _CPU_SECONDS
            )
    return _figures((direct, via_one, via_two, relayed), cpu, floor_cpu, rate)


def _figures(
    paths: tuple[_PathUnderTest, _PathUnderTest, _PathUnderTest, _PathUnderTest],
    cpu: Milliseconds,
    floor_cpu: Milliseconds,
    rate: float,
) -> PathFigures:
    direct, via_one, via_two, relayed = paths
    d50, d99 = _quantile(direct.times, 0.5), _quantile(direct.times, 0.99)
    o50, o99 = _quantile(via_one.times, 0.5), _quantile(via_one.times, 0.99)
    b50, b99 = _quantile(relayed.times, 0.5), _quantile(relayed.times, 0.99)
    t50, t99 = _quantile(via_two.times, 0.5), _quantile(via_two.times, 0.99)
    return PathFigures(
        direct_p50_ms=d50,
        direct_p99_ms=d99,
        one_node_p50_ms=o50,
        one_node_p99_ms=o99,
        two_nodes_p50_ms=t50,
        two_nodes_p99_ms=t99,
        added_p50_ms=t50 - d50,
        added_p99_ms=t99 - d99,
        added_one_p50_ms=o50 - d50,
        added_one_p99_ms=o99 - d99,
        floor_added_p50_ms=b50 - d50,
        floor_added_p99_ms=b99 - d99,
        node_cpu_ms_per_call=cpu,
        floor_cpu_ms_per_call=floor_cpu,
        ratio_p50=t50 / d50,
        calls_per_s_per_core=MS_PER_S / cpu,
        calls=len(direct.times),
        failed=len(direct.failed) + len(via_one.failed) + len(via_two.failed),
        rate_per_s=rate,
    )


def main(argv: Sequence[str]) -> int:
    """Run the bench; ``--json`` prints one line of JSON."""
    flag_values = new_flags()
    flags.DEFINE_bool("json", False, "print one line of JSON", flag_values=flag_values)
    flags.DEFINE_integer("rounds", 20, "rounds over all paths", flag_values=flag_values)
    flags.DEFINE_integer(
        "calls", 100, "calls per path and round", flag_values=flag_values
    )
    flags.DEFINE_float(
        "rate",
        266.0,
        "calls per second of the CPU measurement",
        flag_values=flag_values,
    )
    parse_flags(flag_values, ["path", *argv], __doc__ or "")
    values = flag_values.flag_values_dict()
    figures = trio.run(run_path, values["rounds"], values["calls"], values["rate"])
    output = {name: round(value, 3) for name, value in asdict(figures).items()}
    if flag_values["json"].value:
        print(json.dumps(output))
        return 0
    for name, value in output.items():
        print(f"{name:24} {value}")
    return 0
