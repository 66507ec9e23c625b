"""Path of one request over the nodes, and the likely cause of its outcome."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap_ctl.explain.log_lines import LogLine

# Milliseconds before the first and after the last line of a request in which state
# changes are considered: more than the longest silence after which a link is closed.
_STATE_CHANGE_MARGIN_MS = 4_000.0
# Maximum number of state changes listed in a likely cause.
_MAX_LISTED_CHANGES = 4
# Log events at which an entry node begins or ends to refuse requests of a route.
_ADMISSION_EVENTS = frozenset({"admission-changed", "rate-admission-changed"})
_COVERAGE_EVENT = "coverage-changed"
# Log events of state changes that may determine the outcome of a request.
_STATE_EVENTS = frozenset(
    {
        "admission-changed",
        "backend-changed",
        "backend-crashed",
        "backend-unreachable",
        "config-adopted",
        "coverage-changed",
        "departure-recorded",
        "departure-restored",
        "departure-revoked",
        "ending",
        "fault",
        "link-down",
        "link-failed",
        "link-silent",
        "rate-admission-changed",
        "node-gone",
        "node-suspected",
        "server-notice",
        "started",
        "stopping",
        "store-lost",
        "workspace-shares-changed",
    }
)


@dataclass(frozen=True, slots=True)
class Diagnosis:
    """What is known of a request from log lines.

    Parameters
    ----------
    request_lines : tuple of LogLine
        Lines of the request itself.
    call_lines : tuple of LogLine
        Lines of its nested calls.
    state_changes : tuple of LogLine
        State changes on the nodes involved at about the same time.
    cause : str
        The likely cause of the outcome, in words.
    """

    request_lines: tuple[LogLine, ...]
    call_lines: tuple[LogLine, ...]
    state_changes: tuple[LogLine, ...]
    cause: str


def diagnose(lines: Sequence[LogLine], request: str) -> Diagnosis | None:
    """Return the diagnosis of a request; None if no line concerns it."""
    request_lines = [line for line in lines if line.request == request]
    call_lines = [line for line in lines if line.request.startswith(f"{request}.")]
    if not request_lines and not call_lines:
        return None
    state_changes = _state_changes_near(lines, request_lines + call_lines)
    quarantine_cause = _quarantine_cause(lines, request_lines + call_lines)
    cause = quarantine_cause or _event_cause(request_lines, call_lines, state_changes)
    return Diagnosis(
        _sorted(request_lines), _sorted(call_lines), _sorted(state_changes), cause
    )


def _quarantine_cause(lines: Sequence[LogLine], related: Sequence[LogLine]) -> str:
    """Return the cause if the request was quarantined; empty if it was not."""
    refused = [line for line in related if line.event == "quarantine-refused"]
    if not refused:
        return ""
    fingerprint = refused[-1].fields.get("fingerprint")
    hold_events = [
        line
        for line in _sorted(lines)
        if line.event == "quarantine-held"
        and line.fields.get("fingerprint") == fingerprint
    ]
    explanation = (
        f"not sent: requests like it crash servers (fingerprint {fingerprint})"
    )
    return f"{explanation}; {hold_events[-1].text()}" if hold_events else explanation


def _sorted(lines: Sequence[LogLine]) -> tuple[LogLine, ...]:
    return tuple(sorted(lines, key=lambda line: (line.wall, line.monotonic)))


def _state_changes_near(
    lines: Sequence[LogLine], related: Sequence[LogLine]
) -> list[LogLine]:
    nodes = {line.node for line in related}
    first = min(line.wall for line in related) - _STATE_CHANGE_MARGIN_MS
    last = max(line.wall for line in related) + _STATE_CHANGE_MARGIN_MS
    return [
        line
        for line in lines
        if line.node in nodes
        and line.event in _STATE_EVENTS
        and first <= line.wall <= last
    ]


def _event_cause(
    request_lines: list[LogLine],
    call_lines: list[LogLine],
    state_changes: list[LogLine],
) -> str:
    for line in request_lines:
        if line.event == "refused":
            return _admission_cause(line, state_changes)
        if line.event == "key-refused":
            return _api_key_cause(line)
        if line.event == "quota-refused":
            return _quota_cause(line)
    given_up = [line for line in request_lines if line.event == "given-up"]
    if given_up:
        return _failure_cause(given_up[-1], call_lines, state_changes)
    failed = [line for line in call_lines if line.event == "given-up"]
    if failed:
        return f"a nested call ended without an answer: {failed[-1].text()}"
    repeats = [
        line
        for line in request_lines + call_lines
        if line.fields.get("arrivals", 1) != 1
    ]
    if repeats:
        return f"it was retried: {repeats[-1].text()}"
    return "it was answered at the first attempt; its time was spent at backend servers"


_API_KEY_CAUSES = {
    "no-key": "401, not sent: it had no API key, or more than one",
    "unknown-key": "401, not sent: no workspace in the configuration has its API key",
    "knowledge-too-old": (
        "503, not sent: the node's configuration was too old to exclude that the API"
        " key had been revoked"
    ),
}


def _api_key_cause(line: LogLine) -> str:
    cause = str(line.fields.get("cause"))
    explanation = _API_KEY_CAUSES.get(cause, cause)
    age = line.fields.get("age")
    if cause == "knowledge-too-old" and age is not None:
        return f"{explanation}; it was last confirmed {age} ms before"
    return explanation


def _quota_cause(line: LogLine) -> str:
    workspace = line.fields.get("workspace")
    if line.fields.get("cause") == "over":
        explanation = (
            f"429, not sent: workspace {workspace} had reached its quota over all nodes"
        )
    else:
        explanation = (
            f"503, not sent: the owner of the quota of {workspace} did not answer"
        )
    return f"{explanation}; told to retry after {line.fields.get('retry_after')} ms"


def _admission_cause(line: LogLine, state_changes: list[LogLine]) -> str:
    route = str(line.fields.get("route"))
    share = line.fields.get("share")
    if line.fields.get("cause") == "retry-budget":
        events = frozenset({_COVERAGE_EVENT})
        explanation = (
            "refused at the entry: servers of a service that it needs refused or failed"
            " many requests, and the retry budget covered only a share of"
            f" {share} of the requests of its kind"
        )
    else:
        events = _ADMISSION_EVENTS
        explanation = (
            f"refused at the entry: a share of {share} of its rank was admitted"
        )
    level_changes = [
        change
        for change in state_changes
        if change.event in events
        # In coverage-changed, the route is followed by the rank.
        and str(change.fields.get("route")).partition(" at ")[0]
        == route.partition(" at ")[0]
        and change.wall <= line.wall
    ]
    if _is_over_its_share(line):
        explanation += (
            f"; workspace {line.fields['workspace']} was over its share, and"
            f" {line.fields['workspace_share']} of its requests were admitted"
        )
    if "retry_after" in line.fields:
        explanation += f", told to retry after {line.fields['retry_after']} ms"
    if level_changes:
        return f"{explanation}; since {level_changes[-1].text()}"
    names = " or ".join(sorted(events))
    return f"{explanation}; the refusals began earlier (see {names} of {route})"


def _is_over_its_share(line: LogLine) -> bool:
    """Whether less was admitted of the workspace than of all requests of the kind."""
    own, share = line.fields.get("workspace_share"), line.fields.get("share")
    return isinstance(own, float) and isinstance(share, float) and own < share


_FAILURE_CAUSES = {
    "link lost": "the link to the node of its backend server was lost",
    "deadline passed": "no answer arrived before the timeout of its route",
    "no backend server": "no backend server of its service was reachable",
    "leaving": "the backend server it was sent to was draining, and there was no other",
    "limit named by the server": (
        "the backend servers that had room named limits of requests per second, which"
        " were used up"
    ),
    "queue full": "the backend server's queue was full, and so were the others'",
}


def _failure_cause(
    line: LogLine, call_lines: list[LogLine], state_changes: list[LogLine]
) -> str:
    cause = str(line.fields.get("cause"))
    explanation = _FAILURE_CAUSES.get(cause, cause)
    ran = "may have run" if line.fields.get("ran") else "did not run"
    parts = [f"{explanation}; it {ran}"]
    failed = [call for call in call_lines if call.event == "given-up"]
    if failed:
        parts.append(f"a nested call had ended without an answer: {failed[0].text()}")
    parts += [
        f"before it: {change.text()}"
        for change in _latest_changes_before(line, state_changes)
    ]
    return "; ".join(parts)


def _latest_changes_before(
    line: LogLine, state_changes: list[LogLine]
) -> list[LogLine]:
    """Return the latest state changes before a line, one for each event and subject.

    The subject is the node that an event names, if any. A later change cannot be a
    cause. Lines of the same node are compared by its monotonic clock, since the time of
    day may jump.
    """
    before = [
        change
        for change in state_changes
        if change.event not in {*_ADMISSION_EVENTS, _COVERAGE_EVENT}
        and (change.monotonic <= line.monotonic if change.node == line.node else True)
        and (change.wall <= line.wall or change.node == line.node)
    ]
    latest: dict[tuple[str, str], LogLine] = {}
    for change in sorted(before, key=lambda change: change.wall):
        subject = str(change.fields.get("to", change.fields.get("node", "")))
        latest.pop((change.event, subject), None)
        latest[change.event, subject] = change
    return list(latest.values())[-_MAX_LISTED_CHANGES:]
