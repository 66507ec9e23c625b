"""Measure the cost of the operator commands against many nodes.

Examples
--------
``python -m fuchsiagap_standins.bench operators --nodes 100,400 --json``
"""

from __future__ import annotations

import json
import resource
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from absl import flags

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.main import run_line
from fuchsiagap_ctl.output import Output
from fuchsiagap_standins.command_line import new_flags, parse_flags
from fuchsiagap_standins.processes import process_group

if TYPE_CHECKING:
    from collections.abc import Sequence

_COMMANDS = (("status",), ("timeline", "--call=0000000000000001", "--json"))
_KIB_PER_MIB = 1024

_FLAGS = new_flags()
_NODES = flags.DEFINE_list(
    "nodes", ["100", "400"], "Numbers of nodes.", flag_values=_FLAGS
)
_EVENTS = flags.DEFINE_integer("events", 200, "Events per node.", flag_values=_FLAGS)
_JSON = flags.DEFINE_bool(
    "json", False, "Print one JSON object per line.", flag_values=_FLAGS
)


@dataclass(frozen=True, slots=True)
class CommandCost:
    """The cost of one command.

    Parameters
    ----------
    command : str
        First word of the command.
    nodes, events : int
        Number of nodes queried, and of events that each returned; `events` is 0 for
        ``status``.
    seconds, cpu_seconds : float
        Elapsed time and CPU time of the command, in seconds.
    cpu_ms_per_node : float
        CPU time per node, in milliseconds.
    peak_mb : float
        Peak resident memory of the bench process so far, in MiB.
    """

    command: str
    nodes: int
    events: int
    seconds: float
    cpu_seconds: float
    cpu_ms_per_node: float
    peak_mb: float


async def measure(n_nodes: int, n_events: int, folder: Path) -> list[CommandCost]:
    """Run each command once against simulated admin endpoints.

    Parameters
    ----------
    n_nodes : int
        Number of nodes.
    n_events : int
        Number of events per node.
    folder : Path
        Directory for the output of the simulated nodes.

    Returns
    -------
    list of CommandCost
        Costs in the order of the commands.
    """
    async with process_group(folder) as group:
        sizes = (f"--nodes={n_nodes}", f"--events={n_events}")
        address = await group.start_standin("admin", "admin_app", *sizes)
        return [
            await _measure_command(c, address, n_nodes, n_events) for c in _COMMANDS
        ]


async def _measure_command(
    command: tuple[str, ...], address: str, n_nodes: int, n_events: int
) -> CommandCost:
    argv = ["fuchsiagap", *command, f"--node={address}", "--timeout=60s"]
    output = Output(line=lambda _: None, note=lambda _: None)
    started_s, cpu_started_s = time.perf_counter(), time.process_time()
    code = await run_line(argv, output)
    cpu_s = time.process_time() - cpu_started_s
    elapsed_s = time.perf_counter() - started_s
    if code is not ExitCode.DONE:
        raise RuntimeError(f"{' '.join(command)} exited with {code!r}")
    return CommandCost(
        command=command[0],
        nodes=n_nodes,
        events=n_events if command[0] == "timeline" else 0,
        seconds=round(elapsed_s, 3),
        cpu_seconds=round(cpu_s, 3),
        cpu_ms_per_node=round(cpu_s * MS_PER_S / n_nodes, 3),
        peak_mb=round(
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KIB_PER_MIB, 1
        ),
    )


def main(argv: Sequence[str]) -> int:
    """Measure and print the costs; ``--json`` prints one JSON object per line."""
    parse_flags(_FLAGS, ["operators", *argv], "Cost of the operator commands.")
    with tempfile.TemporaryDirectory(prefix="fuchsiagap-bench-") as name:
        for n_nodes in map(int, _NODES.value):
            run = partial(measure, n_nodes, _EVENTS.value, Path(name))
            for cost in trio.run(run):
                fields = asdict(cost)
                print(json.dumps(fields) if _JSON.value else fields, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
