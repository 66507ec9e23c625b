"""Checks of the invariants that must hold after a run under any faults."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.outcome import Answered, Refused
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap.core.settings.record import parse_stored_text
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap_standins.answers import ROOT_PLACE
from fuchsiagap_standins.bench.faults.plan import FaultKind
from fuchsiagap_standins.bench.faults.topology import ALLOWANCE, ROUTES, n_calls
from fuchsiagap_standins.run_log import double_runs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.settings.record import StoredText
    from fuchsiagap_standins.bench.faults.evidence import Evidence, RequestRecord
    from fuchsiagap_standins.bench.faults.fleet import Fleet, NodeProcess
    from fuchsiagap_standins.bench.faults.operators import Changes
    from fuchsiagap_standins.bench.faults.plan import Fault

DOUBLE_RUNS = "double_runs"
FALSE_NOT_RUN = "false_not_run"
WRONG_ANSWERS = "wrong_answers"
CUT_BY_PLANNED_STOP = "cut_by_planned_stop"
REVERTED_SETTINGS = "reverted_settings"
WORK_AFTER_LEAVING = "work_after_leaving"
ATTEMPTS_ABOVE_BOUND = "attempts_above_bound"
SETTINGS_NOT_IN_FORCE = "settings_not_in_force"
VIEWS_DIFFER = "views_differ"
# Invariant violations that the nodes detected and reported themselves.
INSIDE = "inside"
# Load or faults that did not end in time.
NOT_AT_REST = "not_at_rest"
_OK = 200

# Kinds of faults that may delay the drain notice, and calls, for their whole duration.
_DELAYS_NOTICE = frozenset(
    {
        FaultKind.PARTITION,
        FaultKind.PAUSE,
        FaultKind.LAPSED_WHILE_PAUSED,
        FaultKind.FRAMES_DELAYED,
        FaultKind.LINKS_LOST,
    }
)


@dataclass(slots=True)
class Findings:
    """Results of the checks of a run.

    Parameters
    ----------
    checked : int
        Number of items checked.
    violations : dict
        Descriptions of the violations, by check.
    """

    checked: int = 0
    violations: dict[str, list[str]] = field(default_factory=dict)

    def add_result(self, check: str, found: list[str], checked: int) -> None:
        """Add the violations that a check found and the number of items checked."""
        self.checked += checked
        if found:
            self.violations.setdefault(check, []).extend(found)

    def count(self, check: str) -> int:
        """Return the number of violations that a check found."""
        return len(self.violations.get(check, ()))


def check_run(
    fleet: Fleet, evidence: Evidence, changes: Changes, faults: tuple[Fault, ...]
) -> Findings:
    """Check all invariants on the data collected in a run.

    Parameters
    ----------
    fleet : Fleet
        The nodes, after load and faults have ended.
    evidence : Evidence
        Logs of the backend servers and outcomes of the requests.
    changes : Changes
        Settings changes of the operators and their results.
    faults : tuple of Fault
        Faults that were injected.

    Returns
    -------
    Findings
        Violations by check.
    """
    findings = Findings()
    non_idempotent = [run for run in evidence.runs if not run.idempotent]
    double_run_marks = [" ".join(mark) for mark in double_runs(evidence.runs)]
    findings.add_result(DOUBLE_RUNS, double_run_marks, len(non_idempotent))
    _check_refusals(findings, evidence)
    findings.add_result(WRONG_ANSWERS, evidence.wrong_answers, evidence.answers)
    _check_descendants_ran(findings, evidence)
    stops = sum(process.stop_requested for process in fleet.all_processes)
    findings.add_result(CUT_BY_PLANNED_STOP, evidence.interrupted, stops)
    findings.add_result(WORK_AFTER_LEAVING, evidence.late_runs, stops)
    if not any(fault.kind in _DELAYS_NOTICE for fault in faults):
        findings.add_result(WORK_AFTER_LEAVING, evidence.late_calls, stops)
    above_bound = [
        record for record in evidence.requests if _is_above_bound(evidence, record)
    ]
    shown = [
        f"{record.nonce}: {evidence.attempts[record.nonce]} attempts"
        for record in above_bound
    ]
    findings.add_result(ATTEMPTS_ABOVE_BOUND, shown, len(evidence.requests))
    _check_settings(findings, fleet, changes)
    _check_internal_violations(findings, fleet)
    return findings


def _check_refusals(findings: Findings, evidence: Evidence) -> None:
    """Check that no request and no downstream call refused as not run has run."""
    runs_with_effect = {
        (run.nonce, run.place) for run in evidence.runs if run.had_effect
    }
    refused = [
        record for record in evidence.requests if isinstance(record.outcome, Refused)
    ]
    false_refusals = [
        f"{record.nonce} {record.route}: {record.outcome}"
        for record in refused
        if _has_run(evidence, record, runs_with_effect)
    ]
    findings.add_result(FALSE_NOT_RUN, false_refusals, len(refused))
    places = Counter((run.nonce, run.place) for run in evidence.runs)
    # With several runs of the parent, another run may have started the child.
    false_refusals = [
        f"child {nonce} {place} {route}"
        for nonce, place, route in evidence.refused_children
        if (nonce, place) in runs_with_effect
        and places[nonce, place.rpartition(".")[0]] == 1
    ]
    findings.add_result(FALSE_NOT_RUN, false_refusals, len(evidence.refused_children))


def _has_run(
    evidence: Evidence, record: RequestRecord, runs_with_effect: set[tuple[str, str]]
) -> bool:
    """Whether a refused request has run.

    All copies of a non-idempotent request share a ticket and count as one request, and
    so do the attempts of the client library. Without the library, each copy of an
    idempotent request counts on its own.
    """
    if record.aggressive and ROUTES[record.route].idempotent:
        return (record.nonce, record.copies) in evidence.copies_started
    return (record.nonce, ROOT_PLACE) in runs_with_effect


def _check_descendants_ran(findings: Findings, evidence: Evidence) -> None:
    """Check that each answered request and all its downstream calls have run."""
    runs_with_effect = {
        (run.nonce, run.place) for run in evidence.runs if run.had_effect
    }
    answered = [
        record
        for record in evidence.requests
        if isinstance(record.outcome, Answered) and record.outcome.status == _OK
    ]
    missing = [
        f"{record.nonce} {record.route} was answered, {place} has not run"
        for record in answered
        for place in _expected_places(record.route, ROOT_PLACE)
        if (record.nonce, place) not in runs_with_effect
    ]
    findings.add_result(WRONG_ANSWERS, missing, len(answered))


def _expected_places(route: str, place: str) -> Iterator[str]:
    yield place
    for index, child in enumerate(ROUTES[route].calls):
        yield from _expected_places(child, f"{place}.{index}")


def _is_above_bound(evidence: Evidence, record: RequestRecord) -> bool:
    # Each copy sent without the library carries its own retry allowance.
    bound = record.copies * (n_calls(record.route) + ALLOWANCE)
    return evidence.attempts[record.nonce] > bound


def _check_settings(findings: Findings, fleet: Fleet, changes: Changes) -> None:
    stored_change_ids: set[str] = set()
    for team, values in fleet.written.items():
        texts = {v: parse_stored_text(value.decode()) for v, value in values.items()}
        stored_change_ids |= {
            text.records[0].change_id for text in texts.values() if text.records
        }
        overwritten = [f"{team}: {text}" for text in _find_overwritten_versions(texts)]
        findings.add_result(REVERTED_SETTINGS, overwritten, len(texts))
    accepted, denied = changes.accepted(), changes.denied()
    lost_changes = [
        f"accepted but lost: {c}"
        for c in accepted
        if c.change_id not in stored_change_ids
    ]
    findings.add_result(REVERTED_SETTINGS, lost_changes, len(accepted))
    stored_denials = [
        f"denied but stored: {c}" for c in denied if c.change_id in stored_change_ids
    ]
    findings.add_result(REVERTED_SETTINGS, stored_denials, len(denied))
    for process in fleet.all_processes:
        findings.add_result(
            REVERTED_SETTINGS, _find_version_regressions(process), len(process.adopted)
        )


def _find_overwritten_versions(texts: dict[int, StoredText]) -> Iterator[str]:
    """Describe each version that replaced another version than its record names."""
    previous_version = 0
    for version, text in texts.items():
        recorded_version = (
            text.records[0].replaced if text.records else previous_version
        )
        if recorded_version != previous_version:
            yield (
                f"version {version} replaced {previous_version}, "
                f"but records {recorded_version} as replaced"
            )
        previous_version = version


def _find_version_regressions(process: NodeProcess) -> list[str]:
    newest: dict[str, int] = {}
    found = []
    for team, version in process.adopted:
        if version < newest.get(team, 0):
            found.append(f"{process.name}: {team} {version} after {newest[team]}")
        newest[team] = version
    return found


def _check_internal_violations(findings: Findings, fleet: Fleet) -> None:
    for process in fleet.all_processes:
        if process.state is None:
            continue
        events = process.state.telemetry.ring.since().events
        found = [
            f"{event.process}: {event.detail}"
            for event in events
            if event.kind is EventKind.VIOLATION
        ]
        findings.add_result(INSIDE, found, 1)


def check_convergence(fleet: Fleet) -> dict[str, list[str]]:
    """Return the differences between nodes in settings and views of the members.

    Parameters
    ----------
    fleet : Fleet
        The nodes.

    Returns
    -------
    dict
        Descriptions by check; empty if all running nodes agree.
    """
    live = [process for process in fleet.processes.values() if not process.exited]
    names = {process.name for process in live}
    stale_settings, differing_views = [], []
    for process in live:
        if process.state is None:
            differing_views.append(f"{process.name} does not take calls yet")
            continue
        adopted_versions = dict(process.state.book.vector())
        for team, versions in fleet.written.items():
            newest = max(versions, default=0)
            if adopted_versions.get(team, 0) != newest:
                stale_settings.append(
                    f"{process.name}: {team} {adopted_versions.get(team)} of {newest}"
                )
        members = process.state.membership.members()
        seen = {m.node for m in members if m.state is MemberState.ALIVE}
        if seen | {process.name} != names:
            differing_views.append(f"{process.name} sees {sorted(seen)}")
    found = {SETTINGS_NOT_IN_FORCE: stale_settings, VIEWS_DIFFER: differing_views}
    return {check: differences for check, differences in found.items() if differences}
