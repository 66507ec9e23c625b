"""Measure how long nodes take from their start until they are ready.

``tools/measure_start.py --deps DIR [--deps DIR]`` starts nodes of one or more builds
at the same time each, in turn and for several rounds, with a stand-in of the platform's
store, and prints a table: milliseconds from the start of the process until its
readiness check succeeds, and processor time until then.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from absl import flags

from fuchsiagap_node.core.mesh.http_client import CallFailed, HttpClient
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_platform.settings import SETTINGS_VARIABLE
from fuchsiagap_platform.tests.builders import SETTINGS, make_config_spec
from fuchsiagap_platform.tests.object_store import ObjectStore
from fuchsiagap_standins.command_line import new_flags, parse_flags

if TYPE_CHECKING:
    from collections.abc import Sequence

_READY_TARGET = "/v1/readiness"
_CHECK_TIMEOUT_MS = 1_000.0
_CHECK_INTERVAL_S = 0.01
# Seconds after which a node that is not ready yet counts as failed.
_MAX_START_S = 60.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_NETWORK = "127.31"
_STORE_ADDRESS = f"{_NETWORK}.0.250:8309"


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a node.

    Parameters
    ----------
    ready_ms : float
        Milliseconds until it was ready; infinity if it never was.
    cpu_ms : float
        Processor time in milliseconds until then.
    """

    ready_ms: float
    cpu_ms: float


def _cpu_ms(pid: int) -> float:
    """Return the processor time of a process in milliseconds; NaN if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return float("nan")
    return (int(fields[11]) + int(fields[12])) * 1_000.0 / _TICKS_PER_S


async def _is_ready(ip: str) -> bool:
    client = HttpClient(f"{ip}:8302", HeaderNames())
    try:
        response = await client.call("GET", _READY_TARGET, b"", _CHECK_TIMEOUT_MS)
    except CallFailed:
        return False
    finally:
        client.close()
    return response.status == 200


async def _measure(deps: Path, folder: Path, number: int, starts: list[Start]) -> None:
    """Start one node, wait until it is ready, and end it."""
    ip = f"{_NETWORK}.{1 + number // 200}.{1 + number % 200}"
    settings = SETTINGS.replace("127.0.0.1:8309", _STORE_ADDRESS)
    settings = settings.replace("127.0.0.1", ip).replace("-a-1", f"-a-{number}")
    path = folder / f"{number}.toml"
    path.write_text(settings)
    environment = {
        "PATH": os.environ["PATH"],
        "HOME": os.environ.get("HOME", "/"),
        "PYTHONPATH": str(deps),
        SETTINGS_VARIABLE: str(path),
    }
    started_at = trio.current_time()
    process = await trio.lowlevel.open_process(
        ["python3", "-m", "fuchsiagap_platform.main"],
        cwd=folder,
        env=environment,
        stdout=subprocess.DEVNULL,
    )
    ready_ms = float("inf")
    try:
        while trio.current_time() - started_at < _MAX_START_S:
            if await _is_ready(ip):
                ready_ms = (trio.current_time() - started_at) * 1_000.0
                break
            if process.poll() is not None:
                break
            await trio.sleep(_CHECK_INTERVAL_S)
        starts.append(Start(ready_ms, _cpu_ms(process.pid)))
    finally:
        process.kill()
        await process.wait()


async def _measure_all(deps: Path, n_nodes: int) -> list[Start]:
    """Start some nodes of a build at the same time; return their starts."""
    store = ObjectStore(_STORE_ADDRESS)
    store.put("config", "main", make_config_spec())
    starts: list[Start] = []
    with tempfile.TemporaryDirectory(prefix="fuchsiagap-start-") as folder:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            async with trio.open_nursery() as measurements:
                for number in range(n_nodes):
                    measurements.start_soon(
                        _measure, deps, Path(folder), number, starts
                    )
            nursery.cancel_scope.cancel()
    return starts


def main(argv: Sequence[str]) -> int:
    options = new_flags()
    flags.DEFINE_multi_string(
        "deps", ["target/deps"], "Folder of a build.", flag_values=options
    )
    for name, default, doc in (
        ("nodes", 1, "Number of nodes that start at the same time."),
        ("rounds", 3, "Number of rounds; each starts the nodes of all builds."),
    ):
        flags.DEFINE_integer(name, default, doc, lower_bound=1, flag_values=options)
    parse_flags(options, argv, __doc__ or "")
    builds = [Path(name).absolute() for name in options["deps"].value]
    starts: dict[Path, list[Start]] = {deps: [] for deps in builds}
    for _ in range(options["rounds"].value):
        for deps in builds:
            starts[deps] += trio.run(_measure_all, deps, options["nodes"].value)
    print("| build | starts | ready ms: median | most | CPU ms: median | not ready |")
    print("|---|---|---|---|---|---|")
    for deps, measured in starts.items():
        ready = [start.ready_ms for start in measured]
        cpu = statistics.median(start.cpu_ms for start in measured)
        n_failed = ready.count(float("inf"))
        cells = f"{statistics.median(ready):.0f} | {max(ready):.0f} | {cpu:.0f}"
        print(f"| {deps.parent.parent.name} | {len(ready)} | {cells} | {n_failed} |")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
