"""Run a fleet and its callers once on a virtual clock."""

from __future__ import annotations

import gc
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.clock import MS_PER_S, Clock
from fuchsiagap_standins.bench.overload.callers import make_caller_context, run_callers
from fuchsiagap_standins.bench.overload.fleet import open_fleet
from fuchsiagap_standins.bench.overload.measure import figures, goodput_over_time
from fuchsiagap_standins.bench.overload.records import Records
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from fuchsiagap_standins.bench.overload.policies import BenchPolicy
    from fuchsiagap_standins.bench.overload.scenario import Scenario
    from fuchsiagap_standins.graphs import Graph

_WALL_CLOCK_TIMEOUT_S = 900.0
_GOODPUT_BIN_MS = 500.0
_CLOCK_STEPS_PER_MS = 1024
# High threshold for fewer collections, since a run creates hardly any reference cycles.
_GC_THRESHOLD = 200_000


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run.

    Parameters
    ----------
    figures : dict
        Results by JSON key.
    goodput : list of float
        Goodput per second in bins of 500 ms.
    trace : list of dict
        State of each admission gate over time; empty without a trace interval.
    """

    figures: dict[str, Any]
    goodput: list[float]
    trace: list[dict[str, Any]]


def run_once(
    graph: Graph,
    scenario: Scenario,
    policy: BenchPolicy,
    seed: int,
    trace_ms: float = 0.0,
) -> RunResult:
    """Run a scenario once on a virtual clock.

    Parameters
    ----------
    graph : Graph
        Service graph.
    scenario : Scenario
        Demand and slowdown over time.
    policy : BenchPolicy
        Policy of the nodes and servers.
    seed : int
        Random seed; the same seed gives the same results.
    trace_ms : float
        Interval of the trace in ms; 0 disables the trace.

    Returns
    -------
    RunResult
        Results of the run.
    """
    records = Records()
    trace: list[dict[str, Any]] = []

    async def main() -> None:
        clock = _exact_clock()
        async with trio.open_nursery() as nursery:
            fleet = await open_fleet(
                graph, scenario, policy, records, clock, seed, nursery
            )
            caller_context = make_caller_context(
                graph, scenario, policy, fleet, records, clock, seed
            )
            if trace_ms > 0.0:
                nursery.start_soon(_record_trace, fleet, clock, trace_ms, trace)
            await run_callers(caller_context)
            nursery.cancel_scope.cancel()
        for node in fleet.nodes:
            _collect_violations(node, records)

    gc.set_threshold(_GC_THRESHOLD)
    run_virtual(main, seed=seed, real_limit_s=_WALL_CLOCK_TIMEOUT_S)
    return RunResult(
        figures(graph, scenario, records),
        goodput_over_time(records.requests, scenario.end, _GOODPUT_BIN_MS),
        trace,
    )


def _exact_clock() -> Clock:
    """Return a clock whose readings are multiples of 1/1024 ms, a power of two.

    Sums and differences of such readings are exact, so that after waiting until a time
    the clock never reads less because of rounding.
    """

    def now() -> float:
        return (
            round(trio.current_time() * MS_PER_S * _CLOCK_STEPS_PER_MS)
            / _CLOCK_STEPS_PER_MS
        )

    return Clock(now=now, wall=now)


def _collect_violations(node: Any, records: Records) -> None:
    """Do nothing; placeholder for violations that a node counts itself."""


async def _record_trace(
    fleet: Any, clock: Any, interval: float, trace: list[dict[str, Any]]
) -> None:
    """Append the state of every admission gate to `trace` at an interval in ms."""
    while True:
        await trio.sleep(interval / 1000.0)
        for node in fleet.nodes:
            report = node.gate.report("")
            trace.append(
                {
                    "at": clock.now(),
                    "node": node.name,
                    "in_flight": report.in_flight,
                    "limit": report.limit,
                    "queued": report.queued,
                    "level": (report.level_priority, report.level_cohort),
                }
            )
