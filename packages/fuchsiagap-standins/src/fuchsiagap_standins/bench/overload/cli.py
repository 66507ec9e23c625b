"""Command line of the overload bench."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

from absl import flags

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_standins.bench.overload.policies import POLICIES
from fuchsiagap_standins.bench.overload.run import RunResult, run_once
from fuchsiagap_standins.bench.overload.scenario import Scenario
from fuchsiagap_standins.graphs import GRAPHS, load_graph

_TRACE_INTERVAL_MS = 500.0


def main(argv: list[str]) -> int:
    """Run the overload bench once and print its results.

    Parameters
    ----------
    argv : list of str
        Flags without the program name.

    Returns
    -------
    int
        0 for a run without violations, 1 with violations, 2 for invalid flags.
    """
    values = _define_flags()
    try:
        rest = values(["overload", *argv])
    except flags.Error as exc:
        print(f"{exc}\n{values.get_help()}", file=sys.stderr)
        return 2
    if len(rest) > 1:
        print(f"unexpected arguments: {' '.join(rest[1:])}", file=sys.stderr)
        return 2
    graph = load_graph(values.graph)
    scenario = Scenario(
        surge=values.surge * MS_PER_S,
        after=values.after * MS_PER_S,
        factor=values.factor,
        slow_service=values.slow_service or graph.deep_service,
        slowness=values.slowness,
        caller_retries=values.retries,
        base_load=values.base_load,
        reports=values.reports,
    )
    started = time.monotonic()
    trace_ms = _TRACE_INTERVAL_MS if values.trace else 0.0
    result = run_once(graph, scenario, POLICIES[values.policy], values.seed, trace_ms)
    elapsed_s = time.monotonic() - started
    _print_result(values, result, elapsed_s)
    return 1 if result.figures["violations"] else 0


def _define_flags() -> Any:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    for name, default, choices, doc in (
        ("graph", "queensland", list(GRAPHS), "Service graph."),
        ("policy", "full", sorted(POLICIES), "Policy of the nodes."),
        (
            "reports",
            "honest",
            ["honest", "high", "low"],
            "Slots that backend servers report.",
        ),
    ):
        flags.DEFINE_enum(name, default, choices, doc, flag_values=values)
    for name, number, doc in (
        ("surge", 30.0, "Duration of the surge in seconds."),
        ("after", 10.0, "Seconds to run after the surge."),
        ("factor", 3.0, "Demand in the surge, as a multiple of the capacity."),
        ("slowness", 5.0, "Slowdown factor of the slow service."),
        ("base_load", 0.7, "Demand outside the surge, as a share of the capacity."),
    ):
        flags.DEFINE_float(name, number, doc, flag_values=values)
    flags.DEFINE_integer("seed", 1, "Random seed.", flag_values=values)
    flags.DEFINE_integer("retries", 4, "Retries per request.", flag_values=values)
    flags.DEFINE_string(
        "slow_service",
        "",
        "Slow service; by default the deep service of the graph.",
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "Print one line of JSON.", flag_values=values)
    flags.DEFINE_bool(
        "trace",
        False,
        "Print the state of each admission gate over time.",
        flag_values=values,
    )
    flags.DEFINE_bool("series", False, "Print goodput over time.", flag_values=values)
    return values


def _print_result(values: Any, result: RunResult, elapsed_s: float) -> None:
    for line in result.trace:
        print(line, file=sys.stderr)
    output = {
        "graph": values.graph,
        "policy": values.policy,
        "seed": values.seed,
        **result.figures,
    }
    if values.series:
        output["goodput_per_s"] = result.goodput
    if values.json:
        print(json.dumps(output))
    else:
        for key, value in output.items():
            print(f"{key:28} {value}")
    print(f"run finished in {elapsed_s:.1f} s", file=sys.stderr)
