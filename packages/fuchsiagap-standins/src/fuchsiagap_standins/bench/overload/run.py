"""One run: a fleet, its callers, a virtual clock."""

from __future__ import annotations

import gc
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.clock import MS_PER_S, Clock
from fuchsiagap_standins.bench.overload.callers import call_until_end, make_callers
from fuchsiagap_standins.bench.overload.fleet import open_fleet
from fuchsiagap_standins.bench.overload.measure import figures, goodput_over_time
from fuchsiagap_standins.bench.overload.records import Records
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from fuchsiagap_standins.bench.overload.policies import BenchPolicy
    from fuchsiagap_standins.bench.overload.scenario import Scenario
    from fuchsiagap_standins.graphs import Graph

_REAL_LIMIT_S = 900.0
_BIN_MS = 500.0
_GRAIN = 1024
# Fewer collections: almost nothing in a run is garbage in cycles.
_GC_THRESHOLD = 200_000


@dataclass(frozen=True, slots=True)
class RunResult:
    """What one run gave.

    Parameters
    ----------
    figures : dict
        Figures by the names of the JSON keys.
    goodput : list of float
        Goodput a second in bins of 500 ms.
    trace : list of dict
        State of each gate over time, if it was asked for.
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
    """Run the scenario once under a virtual clock.

    Parameters
    ----------
    graph : Graph
        Services and calls.
    scenario : Scenario
        Demand and slowness.
    policy : BenchPolicy
        How nodes decide.
    seed : int
        The same seed gives the same figures.
    trace_ms : float
        If positive, the interval of the trace.

    Returns
    -------
    RunResult
        Figures, and goodput over time.
    """
    records = Records()
    trace: list[dict[str, Any]] = []

    async def main() -> None:
        clock = _exact_clock()
        async with trio.open_nursery() as nursery:
            fleet = await open_fleet(
                graph, scenario, policy, records, clock, seed, nursery
            )
            callers = make_callers(graph, scenario, policy, fleet, records, clock, seed)
            if trace_ms > 0.0:
                nursery.start_soon(_trace, fleet, clock, trace_ms, trace)
            await call_until_end(callers)
            nursery.cancel_scope.cancel()
        for node in fleet.nodes:
            _record_violations(node, records)

    gc.set_threshold(_GC_THRESHOLD)
    run_virtual(main, seed=seed, real_limit_s=_REAL_LIMIT_S)
    return RunResult(
        figures(graph, scenario, records),
        goodput_over_time(records.requests, scenario.end, _BIN_MS),
        trace,
    )


def _exact_clock() -> Clock:
    """Return a clock whose readings are exact in binary.

    So a time that has been waited for has come, whatever was added and taken away.
    """

    def now() -> float:
        return round(trio.current_time() * MS_PER_S * _GRAIN) / _GRAIN

    return Clock(now=now, wall=now)


def _record_violations(node: Any, records: Records) -> None:
    """Add the violations that a node has counted itself."""


async def _trace(
    fleet: Any, clock: Any, interval: float, trace: list[dict[str, Any]]
) -> None:
    """Note the state of every gate at an interval."""
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
