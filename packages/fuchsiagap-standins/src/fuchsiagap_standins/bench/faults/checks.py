"""What must hold after a run, whatever faults came."""

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
from fuchsiagap_standins.bench.faults.shape import ALLOWANCE, ROUTES, n_calls
from fuchsiagap_standins.run_log import double_runs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.settings.record import StoredText
    from fuchsiagap_standins.bench.faults.evidence import Evidence, Told
    from fuchsiagap_standins.bench.faults.fleet import Fleet, Life
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
INSIDE = "inside"
NOT_AT_REST = "not_at_rest"
_OK = 200

# While these last, a notice may be held back as long as they do, and a call too.
_HIDES_NOTICE = frozenset(
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
    """What the checks of a run found.

    Parameters
    ----------
    checked : int
        Single checks made.
    violations : dict
        What was found, by check.
    """

    checked: int = 0
    violations: dict[str, list[str]] = field(default_factory=dict)

    def judge(self, check: str, found: list[str], checked: int) -> None:
        """Take the result of one check over."""
        self.checked += checked
        if found:
            self.violations.setdefault(check, []).extend(found)

    def count(self, check: str) -> int:
        """Return how many violations a check found."""
        return len(self.violations.get(check, ()))


def check_run(
    fleet: Fleet, evidence: Evidence, changes: Changes, faults: tuple[Fault, ...]
) -> Findings:
    """Check all that a run left behind.

    Parameters
    ----------
    fleet : Fleet
        The nodes, at rest.
    evidence : Evidence
        Run logs and what callers hold.
    changes : Changes
        What operators were told.
    faults : tuple of Fault
        What went wrong.
    """
    findings = Findings()
    once = [run for run in evidence.runs if not run.idempotent]
    doubled = [" ".join(mark) for mark in double_runs(evidence.runs)]
    findings.judge(DOUBLE_RUNS, doubled, len(once))
    _check_refusals(findings, evidence)
    findings.judge(WRONG_ANSWERS, evidence.wrong_answers, evidence.answers)
    _check_whole(findings, evidence)
    stops = sum(life.planned for life in fleet.past)
    findings.judge(CUT_BY_PLANNED_STOP, evidence.cut, stops)
    findings.judge(WORK_AFTER_LEAVING, evidence.late_work, stops)
    if not any(fault.kind in _HIDES_NOTICE for fault in faults):
        findings.judge(WORK_AFTER_LEAVING, evidence.late_calls, stops)
    above = [told for told in evidence.told if _is_above_bound(evidence, told)]
    shown = [f"{t.nonce}: {evidence.attempts[t.nonce]} attempts" for t in above]
    findings.judge(ATTEMPTS_ABOVE_BOUND, shown, len(evidence.told))
    _check_settings(findings, fleet, changes)
    _check_inside(findings, fleet)
    return findings


def _check_refusals(findings: Findings, evidence: Evidence) -> None:
    ran = {(run.nonce, run.place) for run in evidence.runs if run.had_effect}
    refused = [told for told in evidence.told if isinstance(told.outcome, Refused)]
    false = [
        f"{told.nonce} {told.route}: {told.outcome}"
        for told in refused
        if _has_run(evidence, told, ran)
    ]
    findings.judge(FALSE_NOT_RUN, false, len(refused))
    places = Counter((run.nonce, run.place) for run in evidence.runs)
    # Another run of the parent may have asked for the child again.
    false = [
        f"child {nonce} {place} {route}"
        for nonce, place, route in evidence.refused_children
        if (nonce, place) in ran and places[nonce, place.rpartition(".")[0]] == 1
    ]
    findings.judge(FALSE_NOT_RUN, false, len(evidence.refused_children))


def _has_run(evidence: Evidence, told: Told, ran: set[tuple[str, str]]) -> bool:
    """Whether what a refusal was about has run.

    A non-idempotent request is all its copies, which bear one ticket. An idempotent
    one is so for the library only; for other callers each copy is a request.
    """
    if told.hard and ROUTES[told.route].idempotent:
        return (told.nonce, told.copies) in evidence.copies_run
    return (told.nonce, ROOT_PLACE) in ran


def _check_whole(findings: Findings, evidence: Evidence) -> None:
    """An answered request has run, and so has all that it needs below."""
    ran = {(run.nonce, run.place) for run in evidence.runs if run.had_effect}
    answered = [
        told
        for told in evidence.told
        if isinstance(told.outcome, Answered) and told.outcome.status == _OK
    ]
    lacking = [
        f"{told.nonce} {told.route} was answered, {place} has not run"
        for told in answered
        for place in _places(told.route, ROOT_PLACE)
        if (told.nonce, place) not in ran
    ]
    findings.judge(WRONG_ANSWERS, lacking, len(answered))


def _places(route: str, place: str) -> Iterator[str]:
    yield place
    for index, child in enumerate(ROUTES[route].calls):
        yield from _places(child, f"{place}.{index}")


def _is_above_bound(evidence: Evidence, told: Told) -> bool:
    # Each copy of a caller without the library brings an allowance of its own.
    bound = told.copies * (n_calls(told.route) + ALLOWANCE)
    return evidence.attempts[told.nonce] > bound


def _check_settings(findings: Findings, fleet: Fleet, changes: Changes) -> None:
    stands: set[str] = set()
    for team, values in fleet.written.items():
        texts = {v: parse_stored_text(value.decode()) for v, value in values.items()}
        stands |= {text.records[0].change_id for text in texts.values() if text.records}
        overwritten = [f"{team}: {fault}" for fault in _overwritten(texts)]
        findings.judge(REVERTED_SETTINGS, overwritten, len(texts))
    accepted, denied = changes.accepted(), changes.denied()
    lost = [f"accepted, lost: {c}" for c in accepted if c.change_id not in stands]
    findings.judge(REVERTED_SETTINGS, lost, len(accepted))
    kept = [f"denied, stands: {c}" for c in denied if c.change_id in stands]
    findings.judge(REVERTED_SETTINGS, kept, len(denied))
    for life in fleet.past:
        findings.judge(REVERTED_SETTINGS, _steps_back(life), len(life.adopted))


def _overwritten(texts: dict[int, StoredText]) -> Iterator[str]:
    """Yield versions that replaced another one than their records say."""
    before = 0
    for version, text in texts.items():
        said = text.records[0].replaced if text.records else before
        if said != before:
            yield f"version {version} replaced {before} and says {said}"
        before = version


def _steps_back(life: Life) -> list[str]:
    newest: dict[str, int] = {}
    found = []
    for team, version in life.adopted:
        if version < newest.get(team, 0):
            found.append(f"{life.name}: {team} {version} after {newest[team]}")
        newest[team] = version
    return found


def _check_inside(findings: Findings, fleet: Fleet) -> None:
    for life in fleet.past:
        if life.state is None:
            continue
        events = life.state.telemetry.ring.since().events
        found = [
            f"{event.process}: {event.detail}"
            for event in events
            if event.kind is EventKind.VIOLATION
        ]
        findings.judge(INSIDE, found, 1)


def check_rest(fleet: Fleet) -> dict[str, list[str]]:
    """Return where nodes still differ after everything has healed; empty at best.

    Parameters
    ----------
    fleet : Fleet
        The nodes.
    """
    live = [life for life in fleet.lives.values() if not life.ended]
    names = {life.name for life in live}
    behind, differ = [], []
    for life in live:
        if life.state is None:
            differ.append(f"{life.name} has not started")
            continue
        has = dict(life.state.book.vector())
        for team, versions in fleet.written.items():
            newest = max(versions, default=0)
            if has.get(team, 0) != newest:
                behind.append(f"{life.name}: {team} {has.get(team)} of {newest}")
        members = life.state.membership.members()
        seen = {m.node for m in members if m.state is MemberState.ALIVE}
        if seen | {life.name} != names:
            differ.append(f"{life.name} sees {sorted(seen)}")
    found = {SETTINGS_NOT_IN_FORCE: behind, VIEWS_DIFFER: differ}
    return {check: names for check, names in found.items() if names}
