"""Execution of a randomised run from its seed to the findings of its checks."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.settings.model import settings_path
from fuchsiagap.core.settings.record import (
    Action,
    ChangeRecord,
    format_stored_text,
    text_digest,
)
from fuchsiagap_standins.bench.faults.breaks import planted
from fuchsiagap_standins.bench.faults.callers import run_library_callers
from fuchsiagap_standins.bench.faults.checks import (
    NOT_AT_REST,
    Findings,
    check_convergence,
    check_run,
)
from fuchsiagap_standins.bench.faults.conditions import Conditions, draw_conditions
from fuchsiagap_standins.bench.faults.evidence import Evidence
from fuchsiagap_standins.bench.faults.fleet import Fleet, open_fleet
from fuchsiagap_standins.bench.faults.inject import inject
from fuchsiagap_standins.bench.faults.operators import Changes, run_operator
from fuchsiagap_standins.bench.faults.plan import Fault, draw_faults
from fuchsiagap_standins.bench.faults.timeline import merged_events
from fuchsiagap_standins.bench.faults.topology import NODES, TEAM, team_text
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from collections.abc import Iterable

_N_LIBRARY_CALLERS = 6
_START_S = 2.0
# After the last fault, nodes agree on members within 5 s and on settings within 9 s.
_CONVERGENCE_TIMEOUT_S = 9.0
_LOAD_DEADLINE_S = 40.0
_REAL_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run.

    Parameters
    ----------
    seed : int
        Seed that reproduces the run.
    faults : tuple of Fault
        Faults that were injected.
    requests : int
        Number of client requests that ended.
    findings : Findings
        Results of the checks.
    outcomes : Counter
        Number of client requests by type of outcome.
    timeline : tuple of str
        Events of all processes in order; empty without a violation.
    """

    seed: int
    faults: tuple[Fault, ...]
    requests: int
    findings: Findings
    outcomes: Counter[str] = field(default_factory=Counter)
    timeline: tuple[str, ...] = ()


def run_once(
    seed: int,
    bug: str = "",
    faults: Iterable[Fault] | None = None,
    conditions: Conditions | None = None,
) -> RunResult:
    """Run nodes, callers and operators under faults, and check the invariants.

    Parameters
    ----------
    seed : int
        Seed of all random numbers.
    bug : str
        Bug to plant, a key of `breaks.BREAKS`; empty for none.
    faults : iterable of Fault, optional
        Faults to inject instead of those drawn from the seed.
    conditions : Conditions, optional
        Conditions to use instead of those drawn from the seed.

    Returns
    -------
    RunResult
        Equal for equal arguments.
    """
    rng = random.Random(seed)
    drawn_conditions = draw_conditions(rng)
    drawn_faults = draw_faults(rng)
    chosen_faults = drawn_faults if faults is None else tuple(faults)
    run_conditions = conditions or drawn_conditions
    with planted(bug):
        return run_virtual(
            _run,
            seed,
            rng,
            run_conditions,
            chosen_faults,
            seed=seed,
            real_limit_s=_REAL_LIMIT_S,
        )


async def _run(
    seed: int, rng: random.Random, conditions: Conditions, faults: tuple[Fault, ...]
) -> RunResult:
    evidence, changes = Evidence(), Changes()
    overruns: list[str] = []
    async with trio.open_nursery() as nursery:
        fleet = open_fleet(rng, conditions, evidence, nursery)
        write_initial_settings(fleet)
        for name, _ in NODES:
            fleet.start(name)
        await trio.sleep(_START_S)
        with trio.move_on_at(_LOAD_DEADLINE_S) as scope:
            async with trio.open_nursery() as load:
                load.start_soon(run_library_callers, fleet, _N_LIBRARY_CALLERS)
                end_time = conditions.load_s
                load.start_soon(run_operator, fleet, changes, "operator", end_time)
                for fault in faults:
                    load.start_soon(inject, fleet, changes, fault)
        if scope.cancelled_caught:
            overruns.append(f"load or faults still active at {_LOAD_DEADLINE_S:.0f} s")
        unconverged = await _wait_for_convergence(fleet)
        findings = check_run(fleet, evidence, changes, faults)
        findings.add_result(NOT_AT_REST, overruns, 1)
        for check, found in unconverged.items():
            findings.add_result(check, found, len(NODES))
        timeline = merged_events(fleet) if findings.violations else ()
        nursery.cancel_scope.cancel()
    outcomes = Counter(type(record.outcome).__name__ for record in evidence.requests)
    return RunResult(seed, faults, len(evidence.requests), findings, outcomes, timeline)


def write_initial_settings(fleet: Fleet) -> None:
    """Store the settings of `TEAM` on the platform before the nodes start."""
    text = team_text(0)
    at = "2026-01-01T00:00:00Z"
    record = ChangeRecord("first", Action.PUT, "operators", at, 0, text_digest(text))
    fleet.write(settings_path(TEAM), format_stored_text(record, (), text).encode())


async def _wait_for_convergence(fleet: Fleet) -> dict[str, list[str]]:
    """Wait until all nodes agree; return the differences left after the time-out."""
    end_time = trio.current_time() + _CONVERGENCE_TIMEOUT_S
    while check_convergence(fleet) and trio.current_time() < end_time:
        await trio.sleep(0.1)
    return check_convergence(fleet)
