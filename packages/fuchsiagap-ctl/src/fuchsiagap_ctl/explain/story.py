"""The way of one request over the nodes, and the likely cause of its end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap_ctl.explain.lines import Line

# Milliseconds before and after a request's own lines in which changes of state are
# looked at: the longest time until a silent link is given up, and some.
_AROUND_MS = 4_000.0
# Changes that are named as likely causes at most.
_MOST_CHANGES = 4
# Changes of state that may decide what becomes of a request.
_STATE_EVENTS = frozenset(
    {
        "admission-changed",
        "backend-changed",
        "backend-crashed",
        "backend-unreachable",
        "config-adopted",
        "ending",
        "fault",
        "link-down",
        "link-failed",
        "link-silent",
        "node-gone",
        "node-suspected",
        "started",
        "stopping",
        "store-lost",
    }
)


@dataclass(frozen=True, slots=True)
class Story:
    """What the lines tell of a request.

    Parameters
    ----------
    own : tuple of Line
        Lines of the request.
    calls : tuple of Line
        Lines of the calls made for it.
    around : tuple of Line
        Changes of state at the same time on the nodes concerned.
    cause : str
        The likely cause, for people.
    """

    own: tuple[Line, ...]
    calls: tuple[Line, ...]
    around: tuple[Line, ...]
    cause: str


def tell(lines: Sequence[Line], request: str) -> Story | None:
    """Return what the lines tell of a request; None if none names it."""
    own = [line for line in lines if line.request == request]
    calls = [line for line in lines if line.request.startswith(f"{request}.")]
    if not own and not calls:
        return None
    around = _around(lines, own + calls)
    held = _held(lines, own + calls)
    cause = held or _cause(own, calls, around)
    return Story(_sorted(own), _sorted(calls), _sorted(around), cause)


def _held(lines: Sequence[Line], told: Sequence[Line]) -> str:
    """Return the cause of a request that no server may run; empty if it is another."""
    refused = [line for line in told if line.event == "quarantine-refused"]
    if not refused:
        return ""
    fingerprint = refused[-1].fields.get("fingerprint")
    holds = [
        line
        for line in _sorted(lines)
        if line.event == "quarantine-held"
        and line.fields.get("fingerprint") == fingerprint
    ]
    why = f"not sent: requests like it crash servers (fingerprint {fingerprint})"
    return f"{why}; {holds[-1].text()}" if holds else why


def _sorted(lines: Sequence[Line]) -> tuple[Line, ...]:
    return tuple(sorted(lines, key=lambda line: (line.wall, line.at)))


def _around(lines: Sequence[Line], told: Sequence[Line]) -> list[Line]:
    nodes = {line.node for line in told}
    first = min(line.wall for line in told) - _AROUND_MS
    last = max(line.wall for line in told) + _AROUND_MS
    return [
        line
        for line in lines
        if line.node in nodes
        and line.event in _STATE_EVENTS
        and first <= line.wall <= last
    ]


def _cause(own: list[Line], calls: list[Line], around: list[Line]) -> str:
    for line in own:
        if line.event == "refused":
            return _refused(line, around)
        if line.event == "key-refused":
            return _key_refused(line)
        if line.event == "quota-refused":
            return _quota_refused(line)
    given_up = [line for line in own if line.event == "given-up"]
    if given_up:
        return _given_up(given_up[-1], calls, around)
    failed = [line for line in calls if line.event == "given-up"]
    if failed:
        return f"a call made for it ended without an answer: {failed[-1].text()}"
    repeats = [line for line in own + calls if line.fields.get("arrivals", 1) != 1]
    if repeats:
        return f"it was repeated on its way: {repeats[-1].text()}"
    return "it was answered at the first try; its time was spent at backend servers"


_KEY_CAUSES = {
    "no-key": "401, not sent: it carried no API key, or more than one",
    "unknown-key": "401, not sent: no workspace of the configuration holds its API key",
    "knowledge-too-old": (
        "503, not sent: the node could not know any more which API keys had been"
        " taken away"
    ),
}


def _key_refused(line: Line) -> str:
    cause = str(line.fields.get("cause"))
    why = _KEY_CAUSES.get(cause, cause)
    age = line.fields.get("age")
    if cause == "knowledge-too-old" and age is not None:
        return f"{why}: it last heard {age} ms before"
    return why


def _quota_refused(line: Line) -> str:
    workspace = line.fields.get("workspace")
    if line.fields.get("cause") == "over":
        why = f"429, not sent: workspace {workspace} was at its limit over all nodes"
    else:
        why = f"503, not sent: the owner of the quota of {workspace} did not answer"
    return f"{why}; told to come back after {line.fields.get('retry_after')} ms"


def _refused(line: Line, around: list[Line]) -> str:
    route = line.fields.get("route")
    begun = [
        change
        for change in around
        if change.event == "admission-changed"
        and change.fields.get("route") == route
        and change.wall <= line.wall
    ]
    why = f"refused at the entry: {line.fields.get('share')} of its rank was let in"
    if "retry_after" in line.fields:
        why += f", told to come back after {line.fields['retry_after']} ms"
    if begun:
        return f"{why}; since {begun[-1].text()}"
    return f"{why}; the refusals had begun earlier (admission-changed of {route})"


_CAUSES = {
    "link lost": "the link to the node of its backend server ended",
    "deadline passed": "no answer came before the timeout of its route",
    "no backend server": "no backend server of its service could be reached",
    "leaving": "the backend server it was sent to was leaving, and no other was left",
    "queue full": "the backend server's queue was full, and so were the others'",
}


def _given_up(line: Line, calls: list[Line], around: list[Line]) -> str:
    cause = str(line.fields.get("cause"))
    why = _CAUSES.get(cause, cause)
    ran = "may have run" if line.fields.get("ran") else "did not run"
    words = [f"{why}; it {ran}"]
    failed = [call for call in calls if call.event == "given-up"]
    if failed:
        words.append(f"a call made for it ended before: {failed[0].text()}")
    words += [f"before it: {change.text()}" for change in _last_before(line, around)]
    return "; ".join(words)


def _last_before(line: Line, around: list[Line]) -> list[Line]:
    """Return what last changed before a line, once for each thing that changed.

    What a node wrote later cannot be a cause; its own clock decides, since the time of
    day may jump.
    """
    before = [
        change
        for change in around
        if change.event != "admission-changed"
        and (change.at <= line.at if change.node == line.node else True)
        and (change.wall <= line.wall or change.node == line.node)
    ]
    latest: dict[tuple[str, str], Line] = {}
    for change in sorted(before, key=lambda change: change.wall):
        about = str(change.fields.get("to", change.fields.get("node", "")))
        latest.pop((change.event, about), None)
        latest[change.event, about] = change
    return list(latest.values())[-_MOST_CHANGES:]
