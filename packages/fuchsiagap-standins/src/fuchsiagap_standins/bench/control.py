"""Measure the cost of the control plane of node processes by number of nodes.

Each size runs three phases: no changes, changes of the team's settings, and restarts
of a killed node. Lines over the sizes are fitted by least squares.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import fmean
from typing import TYPE_CHECKING

import httpx
import trio
from absl import flags

from fuchsiagap.core.clock import MS_PER_S, Milliseconds
from fuchsiagap_standins.command_line import new_flags, parse_flags
from fuchsiagap_standins.node_ini import HostSpec, node_ini
from fuchsiagap_standins.processes import (
    cpu_ms,
    memory_bytes,
    process_group,
    reserve_addresses,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap_standins.processes import ProcessGroup

_TEAM = "bench"
_DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
_MAX_CONCURRENT_STARTS = 6
_SETTLE_TIMEOUT_S = 90.0
_N_SEED_PEERS = 6
# Units of a hybrid logical clock stamp per millisecond.
_STAMP_UNITS_PER_MS = 65_536.0
_BYTES_PER_MB = 1e6
_BYTES_PER_KB = 1e3


@dataclass(frozen=True, slots=True)
class ControlFigures:
    """Cost of the control plane in one phase.

    CPU time and memory are means over all nodes, and the data sent is the mean over a
    sample of at least ten nodes, or over all if there are fewer.

    Parameters
    ----------
    nodes : int
        Number of node processes.
    phase : str
        ``idle``, ``settings`` or ``membership``.
    cpu_percent : float
        CPU time of a node, as a percentage of one core.
    memory_mb : float
        Resident memory of a node in MB, including interpreter and libraries.
    sent_kb_per_s : float
        Data that a node sends to other nodes, in kB per second.
    platform_calls_per_s : float
        Calls to the platform per second, summed over the nodes.
    in_force_ms : float
        Longest time in milliseconds from the platform's response to a settings change
        until the last node has adopted it; 1e9 if a node has not adopted it. 0 in
        the other phases.
    changes : int
        Number of changes made in the phase.
    """

    nodes: int
    phase: str
    cpu_percent: float
    memory_mb: float
    sent_kb_per_s: float
    platform_calls_per_s: float
    in_force_ms: float
    changes: int


@dataclass(frozen=True, slots=True)
class _Totals:
    """Cumulative counters at one point in time, in milliseconds and bytes.

    `cpu` is the mean over all nodes, `sent` the mean over a sample of nodes.
    """

    at: Milliseconds
    cpu: Milliseconds
    sent: float
    platform_calls: int


@dataclass(slots=True)
class _Fleet:
    """Running nodes and the addresses of their platform and backend server."""

    group: ProcessGroup
    client: httpx.AsyncClient
    hosts: tuple[HostSpec, ...]
    platform: str
    backend: str
    version: int = 0

    def ini(self, host: HostSpec) -> str:
        return node_ini(
            host,
            team=_TEAM,
            backend=self.backend,
            platform=self.platform,
            first=[h.peers for h in self.hosts[:_N_SEED_PEERS]],
        )

    async def start(self, host: HostSpec) -> None:
        await self.group.start_node(host.node, self.ini(host), host.callers)

    async def start_all(self) -> None:
        limiter = trio.CapacityLimiter(_MAX_CONCURRENT_STARTS)

        async def start(host: HostSpec) -> None:
            async with limiter:
                await self.start(host)

        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(start, host)

    async def wait_until_settled(self) -> None:
        """Wait until each node sees all nodes as alive."""
        with trio.fail_after(_SETTLE_TIMEOUT_S):
            for host in self.hosts:
                while await self._n_alive(host) < len(self.hosts):
                    await trio.sleep(0.5)

    async def _n_alive(self, host: HostSpec) -> int:
        url = f"http://{host.admin}/v1/status?members=no"
        try:
            status = (await self.client.get(url)).json()
        except httpx.TransportError:
            return 0
        return int(status["member_counts"].get("alive", 0))

    async def put_settings(self) -> tuple[int, Milliseconds]:
        """Write new settings; return their version and the time of the response."""
        self.version += 1
        text = (
            f"[team]\n[echo]\n[echo/read]\nmatch = GET /*\npriority = 5\n"
            f"idempotent = yes\ntimeout = {1000 + self.version}ms\n"
        )
        url = f"http://{self.platform}/objects/settings/{_TEAM}"
        response = (await self.client.put(url, content=text)).raise_for_status()
        return int(response.headers["etag"].strip('"')), _wall_clock_ms()

    async def adopted_at(self, host: HostSpec, version: int) -> Milliseconds | None:
        """Return the wall-clock time at which a node adopted `version` or later.

        None if the node has not adopted it.
        """
        url = f"http://{host.admin}/v1/events?limit=10000"
        events = (await self.client.get(url)).json()["events"]
        times = [
            event["stamp"] / _STAMP_UNITS_PER_MS
            for event in events
            if event["kind"] == "settings-adopted"
            and event["detail"].get("version", 0) >= version
        ]
        return min(times, default=None)

    async def read_totals(self) -> _Totals:
        pids = [p.pid for n, p in self.group.running.items() if n.startswith("node")]
        control = (await self.client.get(f"http://{self.platform}/control")).json()
        counts = control["counts"]
        calls = counts["reads"] + counts["writes"] + counts["watches"]
        sent = 0.0
        for host in self.hosts[:: max(len(self.hosts) // 10, 1)]:
            sent += await self._sent_bytes(host)
        n_read = len(self.hosts[:: max(len(self.hosts) // 10, 1)])
        cpu = sum(map(cpu_ms, pids)) / len(pids)
        now = trio.current_time() * MS_PER_S
        return _Totals(now, cpu, sent / n_read, calls)

    async def _sent_bytes(self, host: HostSpec) -> float:
        text = (await self.client.get(f"http://{host.admin}/v1/metrics")).text
        for line in text.splitlines():
            if line.startswith("fuchsiagap_bytes_sent"):
                return float(line.rpartition(" ")[2])
        return 0.0

    def mean_memory_mb(self) -> float:
        running = self.group.running
        pids = [p.pid for n, p in running.items() if n.startswith("node")]
        return fmean(map(memory_bytes, pids)) / _BYTES_PER_MB


def _wall_clock_ms() -> Milliseconds:
    return time.time() * MS_PER_S


async def _measure_idle(fleet: _Fleet, seconds: float) -> ControlFigures:
    before = await fleet.read_totals()
    await trio.sleep(seconds)
    return _make_figures(fleet, "idle", before, await fleet.read_totals(), 0.0, 0)


async def _measure_settings(fleet: _Fleet, seconds: float) -> ControlFigures:
    before = await fleet.read_totals()
    changes = []
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        changes.append(await fleet.put_settings())
        await trio.sleep(1.0)
    after = await fleet.read_totals()
    await trio.sleep(3.0)
    worst = 0.0
    for host in fleet.hosts:
        for version, at in changes:
            adopted = await fleet.adopted_at(host, version)
            worst = max(worst, 1e9 if adopted is None else adopted - at)
    return _make_figures(fleet, "settings", before, after, worst, len(changes))


async def _measure_membership(fleet: _Fleet, seconds: float) -> ControlFigures:
    """Kill and restart a node every three seconds.

    Its first restart happens before the measurement starts.
    """
    n_changes = 0
    restarted_hosts = fleet.hosts[-1:]
    for host in restarted_hosts:
        fleet.group.kill(host.node)
        await fleet.start(host)
    before = await fleet.read_totals()
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        for host in restarted_hosts:
            fleet.group.kill(host.node)
            await trio.sleep(2.0)
            await fleet.start(host)
            await trio.sleep(1.0)
            n_changes += 2
    return _make_figures(
        fleet, "membership", before, await fleet.read_totals(), 0.0, n_changes
    )


def _make_figures(
    fleet: _Fleet,
    phase: str,
    before: _Totals,
    after: _Totals,
    in_force: Milliseconds,
    changes: int,
) -> ControlFigures:
    seconds = (after.at - before.at) / MS_PER_S
    return ControlFigures(
        nodes=len(fleet.hosts),
        phase=phase,
        cpu_percent=100.0 * (after.cpu - before.cpu) / MS_PER_S / seconds,
        memory_mb=fleet.mean_memory_mb(),
        sent_kb_per_s=(after.sent - before.sent) / seconds / _BYTES_PER_KB,
        platform_calls_per_s=(after.platform_calls - before.platform_calls) / seconds,
        in_force_ms=in_force,
        changes=changes,
    )


async def run_size(n_nodes: int, seconds: float) -> list[ControlFigures]:
    """Measure all three phases with `n_nodes` nodes, each for `seconds` seconds."""
    with tempfile.TemporaryDirectory() as folder:
        async with (
            process_group(Path(folder), stop_timeout=20_000.0) as group,
            httpx.AsyncClient(trust_env=False, timeout=30.0) as client,
        ):
            backend = await group.start_standin("backend", "echo_server")
            platform = await group.start_standin("platform", "platform_app")
            reservations = [reserve_addresses("127.0.0.1", 3) for _ in range(n_nodes)]
            hosts = tuple(
                HostSpec(
                    f"node-{i}",
                    "echo",
                    _DATA_CENTRES[i % len(_DATA_CENTRES)],
                    *reservations[i].addresses,
                )
                for i in range(n_nodes)
            )
            fleet = _Fleet(group, client, hosts, platform, backend)
            await fleet.put_settings()
            await fleet.start_all()
            await fleet.wait_until_settled()
            await trio.sleep(3.0)
            figures = [
                await _measure_idle(fleet, seconds),
                await _measure_settings(fleet, seconds),
                await _measure_membership(fleet, seconds),
            ]
            for reservation in reservations:
                reservation.close()
    return figures


def fit_slope(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through the points."""
    mean_x, mean_y = fmean(xs), fmean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    if spread == 0.0:
        return 0.0, mean_y
    pairs = zip(xs, ys, strict=True)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return slope, mean_y - slope * mean_x


_FITTED_FIELDS = ("cpu_percent", "memory_mb", "sent_kb_per_s", "platform_calls_per_s")


def _fit_by_phase(figures: Sequence[ControlFigures]) -> dict[str, dict[str, float]]:
    slopes: dict[str, dict[str, float]] = {}
    for phase in ("idle", "settings", "membership"):
        phase_figures = [f for f in figures if f.phase == phase]
        xs = [float(f.nodes) for f in phase_figures]
        for name in _FITTED_FIELDS:
            slope, intercept = fit_slope(
                xs, [float(getattr(f, name)) for f in phase_figures]
            )
            slopes[f"{phase}.{name}"] = {"per_node": slope, "at_zero": intercept}
    return slopes


async def _run(sizes: Sequence[int], seconds: float) -> list[ControlFigures]:
    figures: list[ControlFigures] = []
    for size in sizes:
        measured = await run_size(size, seconds)
        for f in measured:
            print(_format_line(f), file=sys.stderr, flush=True)
        figures += measured
    return figures


def _format_line(f: ControlFigures) -> str:
    return (
        f"{f.nodes:4} nodes {f.phase:10} {f.cpu_percent:6.2f} % CPU"
        f" {f.memory_mb:6.1f} MB {f.sent_kb_per_s:7.2f} kB/s sent"
        f" {f.platform_calls_per_s:6.2f} platform calls/s"
        f" {f.in_force_ms:7.0f} ms in force, {f.changes} changes"
    )


def main(argv: Sequence[str]) -> int:
    """Run the bench and print the fitted lines, or all figures with ``--json``."""
    flag_values = new_flags()
    flags.DEFINE_bool("json", False, "print one line of JSON", flag_values=flag_values)
    flags.DEFINE_list(
        "nodes",
        ["10", "20", "40"],
        "numbers of nodes to run with",
        flag_values=flag_values,
    )
    flags.DEFINE_float("seconds", 10.0, "seconds per phase", flag_values=flag_values)
    parse_flags(flag_values, ["control", *argv], __doc__ or "")
    values = flag_values.flag_values_dict()
    sizes = [int(size) for size in values["nodes"]]
    figures = trio.run(_run, sizes, values["seconds"])
    output = {
        "figures": [asdict(f) for f in figures],
        "slopes": _fit_by_phase(figures),
    }
    if values["json"]:
        print(json.dumps(output))
        return 0
    for name, line in _fit_by_phase(figures).items():
        print(f"{name:36} {line['at_zero']:10.4f} + {line['per_node']:10.6f} a node")
    return 0
