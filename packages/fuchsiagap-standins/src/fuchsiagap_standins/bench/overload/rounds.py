"""Run the overload bench over seeds, graphs and policies and print a table.

``python -m fuchsiagap_standins.bench.overload.rounds --policies none,full --seeds 5``
"""

from __future__ import annotations

import json
import multiprocessing
import statistics
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from absl import flags

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_standins.bench.overload.policies import POLICIES
from fuchsiagap_standins.bench.overload.run import run_once
from fuchsiagap_standins.bench.overload.scenario import Scenario
from fuchsiagap_standins.graphs import load_graph

_COLUMNS = (
    "goodput_ratio",
    "goodput_all_ratio",
    "recovery_ms",
    "wasted_work_ratio",
    "priority_inversions",
    "attempts_per_request_max",
    "violations",
)


@dataclass(frozen=True, slots=True)
class RunSpec:
    """Parameters of one run.

    Parameters
    ----------
    graph, policy : str
        Names of the service graph and of the policy.
    seed : int
        Random seed.
    changes : tuple of (str, float)
        Names and values of scenario fields that differ from the defaults.
    slow_service : str
        Slow service; empty for the deep service of the graph.
    """

    graph: str
    policy: str
    seed: int
    changes: tuple[tuple[str, float], ...] = ()
    slow_service: str = ""


def execute_run(run: RunSpec) -> dict[str, Any]:
    """Execute one run and return its results with goodput over time."""
    graph = load_graph(run.graph)
    changes: dict[str, Any] = dict(run.changes)
    slow_service = run.slow_service or graph.deep_service
    scenario = Scenario(slow_service=slow_service, **changes)
    result = run_once(graph, scenario, POLICIES[run.policy], run.seed)
    return {
        "graph": run.graph,
        "policy": run.policy,
        "seed": run.seed,
        "slow_service": scenario.slow_service,
        **dict(run.changes),
        **result.figures,
        "goodput_per_s": result.goodput,
    }


def execute_runs(
    runs: list[RunSpec], n_processes: int, out: str = ""
) -> list[dict[str, Any]]:
    """Execute runs in `n_processes` processes and return their results.

    After each run, the results so far are written to the file `out`, if given.
    """
    context = multiprocessing.get_context("spawn")
    with context.Pool(n_processes, maxtasksperchild=1) as pool:
        results = []
        for figures in pool.imap(execute_run, runs):
            print(_format_line(figures), file=sys.stderr, flush=True)
            results.append(figures)
            if out:
                Path(out).write_text(json.dumps(results))
        return results


def format_table(results: list[dict[str, Any]]) -> str:
    """Return a Markdown table of median and worst values by graph and policy."""
    lines = ["| graph | policy | seeds | " + " | ".join(_COLUMNS) + " |"]
    lines.append("|" + "---|" * (3 + len(_COLUMNS)))
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for figures in results:
        key = (figures["graph"], figures["policy"])
        groups.setdefault(key, []).append(figures)
    for (graph, policy), rows in groups.items():
        cells = [
            _format_cell([row[column] for row in rows], column) for column in _COLUMNS
        ]
        lines.append(
            f"| {graph} | {policy} | {len(rows)} | " + " | ".join(cells) + " |"
        )
    return "\n".join(lines)


def _format_cell(values: list[float | None], column: str) -> str:
    """Return the median and, in parentheses, the worst value; None means never."""
    known = [value for value in values if value is not None]
    worst = min if column.startswith("goodput") else max
    if not known:
        return "never"
    worst_text = "never" if len(known) < len(values) else f"{worst(known):g}"
    return f"{statistics.median(known):g} ({worst_text})"


def _format_line(figures: dict[str, Any]) -> str:
    names = ("graph", "policy", "seed", *_COLUMNS)
    return " ".join(str(figures[name]) for name in names)


def main(argv: list[str]) -> int:
    """Execute the selected runs and print their table.

    Parameters
    ----------
    argv : list of str
        Flags.

    Returns
    -------
    int
        Exit status.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    for name, text in (
        ("graphs", "queensland,dakar"),
        ("policies", "full"),
        ("slow_service", ""),
        ("out", ""),
    ):
        flags.DEFINE_string(name, text, name, flag_values=values)
    flags.DEFINE_integer("seeds", 5, "Number of seeds, from 1.", flag_values=values)
    flags.DEFINE_integer(
        "processes", 3, "Number of parallel processes.", flag_values=values
    )
    for name in ("surge", "factor", "slowness", "base_load"):
        flags.DEFINE_float(name, None, name, flag_values=values)
    values(["rounds", *argv])
    changes = []
    for name, scale in (
        ("surge", MS_PER_S),
        ("factor", 1.0),
        ("slowness", 1.0),
        ("base_load", 1.0),
    ):
        value: Any = values[name].value
        if value is not None:
            changes.append((name, value * scale))
    runs = [
        RunSpec(graph, policy, seed, tuple(changes), values.slow_service)
        for graph in values.graphs.split(",")
        for policy in values.policies.split(",")
        for seed in range(1, values.seeds + 1)
    ]
    print(format_table(execute_runs(runs, values.processes, values.out)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
