"""The cost of the path: direct calls, and calls through one and two nodes.

Over real sockets, with the same client, in one run: rounds of the three ways take
turns, so that what else the machine does meets all of them alike.
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
_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PathFigures:
    """What the bench prints; milliseconds unless the name says otherwise.

    Parameters
    ----------
    direct_p50_ms, direct_p99_ms : float
        Round trip from the client to the backend server.
    one_node_p50_ms, one_node_p99_ms, two_nodes_p50_ms, two_nodes_p99_ms : float
        Round trip through one and two nodes.
    added_p50_ms, added_p99_ms : float
        Two nodes less direct, at the same quantile.
    added_one_p50_ms, added_one_p99_ms : float
        One node less direct.
    floor_added_p50_ms, floor_added_p99_ms : float
        Two bare relays of bytes less direct: what sockets and scheduling take of it.
    node_cpu_ms_per_call : float
        CPU of both nodes per call through two nodes at the set rate, less what they
        use without calls.
    floor_cpu_ms_per_call : float
        CPU of both bare relays per call.
    ratio_p50 : float
        Two nodes over direct.
    calls_per_s_per_core : float
        1000 over `node_cpu_ms_per_call`.
    calls : int
        Calls measured for each way.
    failed : int
        Calls of all ways that were not answered; their times count all the same.
    rate_per_s : float
        Rate at which CPU was measured.
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
class _Way:
    """One way to the backend server."""

    pool: HttpPool
    target: str
    times: list[Milliseconds]
    failed: list[str]


@dataclass(frozen=True, slots=True)
class _Fleet:
    """The processes of the bench."""

    backend: str
    near: str
    far: str
    relays: str
    pids: tuple[int, ...]
    relay_pids: tuple[int, ...]


async def _start(group: ProcessGroup) -> _Fleet:
    backend = await group.start_standin("backend", "echo_server")
    platform = await group.start_standin("platform", "platform_app")
    async with httpx.AsyncClient(trust_env=False) as client:
        url = f"http://{platform}/objects/settings/{_TEAM}"
        (await client.put(url, content=_SETTINGS)).raise_for_status()
    inner = await group.start_standin("relay-1", "byte_relay", f"--to={backend}")
    relays = await group.start_standin("relay-2", "byte_relay", f"--to={inner}")
    held = reserve_addresses(_IP, 6)
    near, far = held.addresses[:3], held.addresses[3:]
    pids = []
    for name, service, mine in (("near", "echo", near), ("far", "other", far)):
        ini = node_ini(
            HostSpec(name, service, "hall-a", *mine),
            team=_TEAM,
            backend=backend,
            platform=platform,
            first=[near[1]],
            slots=256,
        )
        pids.append((await group.start_node(name, ini, mine[0])).pid)
    held.close()
    await trio.sleep(_SETTLE_S)
    relay_pids = tuple(group.running[name].pid for name in ("relay-1", "relay-2"))
    return _Fleet(backend, near[0], far[0], relays, tuple(pids), relay_pids)


async def _call(way: _Way) -> Milliseconds:
    headers = [(b"host", way.pool.address.encode())]
    started = time.perf_counter()
    got = await way.pool.exchange("GET", way.target, headers, b"", 5_000.0)
    taken = (time.perf_counter() - started) * MS_PER_S
    if not isinstance(got, ClientResponse) or got.status != _OK:
        way.failed.append(str(got))
    return taken


async def _measure_times(ways: Sequence[_Way], rounds: int, per_round: int) -> None:
    for number in range(rounds + 1):
        for way in ways:
            times = [await _call(way) for _ in range(per_round)]
            if number > 0:
                way.times.extend(times)


async def _measure_cpu(
    way: _Way, pids: Sequence[int], rate: float, seconds: float
) -> Milliseconds:
    """Return CPU milliseconds of the processes per call at a rate."""
    idle_before = sum(map(cpu_ms, pids))
    await trio.sleep(seconds / 2)
    idle = (sum(map(cpu_ms, pids)) - idle_before) * 2
    before = sum(map(cpu_ms, pids))
    n_calls = int(rate * seconds)
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(n_calls):
            await trio.sleep_until(start + number / rate)
            nursery.start_soon(_call, way)
    return (sum(map(cpu_ms, pids)) - before - idle) / n_calls


def _quantile(times: Sequence[Milliseconds], share: float) -> Milliseconds:
    return sorted(times)[min(int(len(times) * share), len(times) - 1)]


async def run_path(rounds: int, per_round: int, rate: float) -> PathFigures:
    """Measure on real processes; see `PathFigures`."""
    with tempfile.TemporaryDirectory() as folder:
        async with process_group(Path(folder)) as group:
            fleet = await _start(group)
            via = f"/{_TEAM}/echo/hello"
            direct = _Way(HttpPool(fleet.backend, 64, _BODY_BYTES), "/hello", [], [])
            one = _Way(HttpPool(fleet.near, 64, _BODY_BYTES), via, [], [])
            two = _Way(HttpPool(fleet.far, 64, _BODY_BYTES), via, [], [])
            bare = _Way(HttpPool(fleet.relays, 64, _BODY_BYTES), "/hello", [], [])
            await _measure_times((direct, one, two, bare), rounds, per_round)
            cpu = await _measure_cpu(two, fleet.pids, rate, _CPU_SECONDS)
            floor = await _measure_cpu(bare, fleet.relay_pids, rate, _CPU_SECONDS)
    return _figures((direct, one, two, bare), cpu, floor, rate)


def _figures(
    ways: tuple[_Way, _Way, _Way, _Way],
    cpu: Milliseconds,
    floor_cpu: Milliseconds,
    rate: float,
) -> PathFigures:
    direct, one, two, bare = ways
    d50, d99 = _quantile(direct.times, 0.5), _quantile(direct.times, 0.99)
    o50, o99 = _quantile(one.times, 0.5), _quantile(one.times, 0.99)
    b50, b99 = _quantile(bare.times, 0.5), _quantile(bare.times, 0.99)
    t50, t99 = _quantile(two.times, 0.5), _quantile(two.times, 0.99)
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
        failed=len(direct.failed) + len(one.failed) + len(two.failed),
        rate_per_s=rate,
    )


def main(argv: Sequence[str]) -> int:
    """Run the bench; ``--json`` prints one line of JSON."""
    own = new_flags()
    flags.DEFINE_bool("json", False, "print one line of JSON", flag_values=own)
    flags.DEFINE_integer("rounds", 20, "rounds of the three ways", flag_values=own)
    flags.DEFINE_integer("calls", 100, "calls in a round", flag_values=own)
    flags.DEFINE_float("rate", 266.0, "calls a second for CPU", flag_values=own)
    parse_flags(own, ["path", *argv], __doc__ or "")
    given = own.flag_values_dict()
    figures = trio.run(run_path, given["rounds"], given["calls"], given["rate"])
    shown = {name: round(value, 3) for name, value in asdict(figures).items()}
    if own["json"].value:
        print(json.dumps(shown))
        return 0
    for name, value in shown.items():
        print(f"{name:24} {value}")
    return 0
