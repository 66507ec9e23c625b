"""The commands ``settings put`` and ``settings delete``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_ctl.admin_client import NoReply, Reply, merge_failures
from fuchsiagap_ctl.commands.check import read_text, report_faults
from fuchsiagap_ctl.commands.command import (
    argument,
    quote_segment,
    refusal_detail,
    report_failure,
)
from fuchsiagap_ctl.commands.settings import split_version_line
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.fleet import Fleet, find_fleet, request_nodes

if TYPE_CHECKING:
    from fuchsiagap_ctl.admin_client import Answer
    from fuchsiagap_ctl.commands.command import Context

_NO_SETTINGS_YET = 0
_RETRY_PAUSE_S = 1.0
_POLL_S = 0.5
_OUTCOME_PENDING_STATUS = 504
_MAX_LISTED_NODES = 10
_NOT_CHECKED = "any node"


async def put(context: Context) -> ExitCode:
    """Replace the settings of a team by those in a file."""
    team, path = argument(context, -2), argument(context, -1)
    text = read_text(path)
    if text is None:
        context.output.note(f"{path}: can't be read as UTF-8 text")
        return ExitCode.USAGE
    version, body = split_version_line(text)
    invalid = report_faults(context, team, path, text)
    if invalid is not None:
        return invalid
    if context.invocation.version >= 0:
        version = context.invocation.version
    expected = version if version >= 0 else _NO_SETTINGS_YET
    return await _change(context, "PUT", team, {"text": body}, expected)


async def delete(context: Context) -> ExitCode:
    """Delete the settings of a team; calls to its services are then refused."""
    team = argument(context, -1)
    if not context.invocation.yes or context.invocation.version < 0:
        context.output.note(
            f"all calls to the services of {team} will be refused; next: add --yes, and"
            f" --version with the number that `fuchsiagap settings get {team}` shows"
        )
        return ExitCode.USAGE
    return await _change(context, "DELETE", team, {}, context.invocation.version)


@dataclass(slots=True)
class _Change:
    """A change of settings, sent repeatedly until its outcome is known.

    Parameters
    ----------
    method, path : str
        HTTP method and path of the request.
    body : dict
        Body of the request, without `repeat`.
    maybe_applied : bool
        Whether an earlier request with this change id may have taken effect.
    """

    method: str
    path: str
    body: dict[str, Any]
    maybe_applied: bool


async def _change(
    context: Context, method: str, team: str, body: dict[str, Any], expected: int
) -> ExitCode:
    given_id = context.invocation.change_id
    body |= {"expected_version": expected, "change_id": given_id or uuid4().hex}
    path = f"/v1/settings/{quote_segment(team)}"
    change = _Change(method, path, body, maybe_applied=bool(given_id))
    answer = await _retry_until_settled(context, change)
    if isinstance(answer, Reply) and answer.body.get("error") == "conflict":
        return _report_conflict(context, answer)
    if not isinstance(answer, Reply) or not answer.ok:
        if change.maybe_applied:
            return _report_maybe_applied(context, change, answer)
        return report_failure(context, answer, f"change the settings of {team}")
    context.output.note(f"accepted as version {answer.body['version']} of {team}")
    if not context.invocation.wait:
        return _report_in_force(context, answer.body, 0, [])
    return await _wait_until_in_force(context, team, answer.body)


async def _retry_until_settled(context: Context, change: _Change) -> Answer:
    """Send the change, and repeat it while its outcome is unknown.

    A repeat is safe, since the change id prevents that it takes effect twice.
    """
    answer: Answer = NoReply("", True, "no response in time")
    with trio.move_on_after(_retry_time_s(context)) as waiting:
        while True:
            answer = await _send_once(context, change)
            if isinstance(answer, Reply) and answer.status != _OUTCOME_PENDING_STATUS:
                return answer
            if not change.maybe_applied:
                return answer
            context.output.note(
                "outcome not known yet; repeating the request, which is safe"
            )
            await trio.sleep(_RETRY_PAUSE_S)
    if waiting.cancelled_caught:
        # The cancelled request may have reached a node.
        change.maybe_applied = True
    return answer


async def _send_once(context: Context, change: _Change) -> Answer:
    """Send the change to one node after another until one answers.

    After a request that a node may have received, the next one is marked as a repeat.
    """
    failures: list[NoReply] = []
    for node in context.invocation.nodes:
        repeat = {"repeat": True} if change.maybe_applied else {}
        answer = await context.client.request(
            node, change.method, change.path, body=change.body | repeat
        )
        if isinstance(answer, Reply):
            if answer.status == _OUTCOME_PENDING_STATUS:
                _record_unsettled(change, answer)
            return answer
        failures.append(answer)
        change.maybe_applied = change.maybe_applied or answer.maybe_sent
    return merge_failures(failures)


def _record_unsettled(change: _Change, answer: Reply) -> None:
    change.maybe_applied = True
    # The node returns the version that it found. That differs from an expected version
    # of 0 if the settings are deleted: 0 matches them too, although the deletion has a
    # version of its own.
    version = answer.body.get("expected_version")
    if isinstance(version, int):
        change.body["expected_version"] = version


def _retry_time_s(context: Context) -> float:
    """Return how many seconds to retry; at least the timeout of one response."""
    invocation = context.invocation
    return max(invocation.wait, invocation.timeout) / MS_PER_S


def _report_maybe_applied(
    context: Context, change: _Change, answer: Answer
) -> ExitCode:
    detail = refusal_detail(answer) if isinstance(answer, Reply) else answer.detail
    context.output.note(f"the change may have taken effect: {detail}")
    context.output.note(
        "next: repeat the same command with"
        f" --change-id {change.body['change_id']}"
        f" --version {change.body['expected_version']};"
        " it determines the outcome, and can't take effect twice"
    )
    return ExitCode.MAYBE_APPLIED


def _report_conflict(context: Context, answer: Reply) -> ExitCode:
    body = answer.body
    if context.invocation.json:
        context.output.json(body)
        return ExitCode.CONFLICT
    for line in body.get("diff", "").splitlines():
        context.output.line(line)
    context.output.note(
        f"not changed: version {body['version']} of {body['team']} is current, made by"
        f" {body['by'] or 'somebody'}, and the change is based on version"
        f" {body['expected_version']}"
    )
    context.output.note(
        "next: merge the difference shown above, and put the result with"
        f" --version {body['version']}"
    )
    return ExitCode.CONFLICT


async def _wait_until_in_force(
    context: Context, team: str, accepted: dict[str, Any]
) -> ExitCode:
    """Wait until the version, or a later one, is in force on every live node."""
    version = int(accepted["version"])
    lagging: list[str] = [_NOT_CHECKED]
    n_nodes = 0
    with trio.move_on_after(context.invocation.wait / MS_PER_S):
        while lagging:
            fleet = await find_fleet(context.client, context.invocation.nodes)
            if isinstance(fleet, Fleet):
                before = lagging
                lagging = await _lagging_nodes(context, fleet, team, version)
                n_nodes = sum(not node.gone for node in fleet.nodes)
                if lagging != before:
                    n_done = n_nodes - len(lagging)
                    context.output.note(f"in force on {n_done} of {n_nodes} nodes")
            if lagging:
                await trio.sleep(_POLL_S)
    return _report_in_force(context, accepted, n_nodes, lagging)


async def _lagging_nodes(
    context: Context, fleet: Fleet, team: str, version: int
) -> list[str]:
    nodes = [node for node in fleet.nodes if not node.gone]
    answers = await request_nodes(context.client, nodes, "/v1/settings")
    return [
        node.name
        for node, answer in answers
        if not isinstance(answer, Reply) or _version_at(answer, team) < version
    ]


def _version_at(answer: Reply, team: str) -> int:
    teams = answer.body.get("teams", ())
    return next((one["version"] for one in teams if one["team"] == team), -1)


def _report_in_force(
    context: Context, accepted: dict[str, Any], n_nodes: int, lagging: list[str]
) -> ExitCode:
    if context.invocation.json:
        context.output.json({**accepted, "nodes": n_nodes, "lacking": lagging})
    if not lagging:
        return ExitCode.DONE
    listed = ", ".join(lagging[:_MAX_LISTED_NODES])
    more = (
        f" and {len(lagging) - _MAX_LISTED_NODES} more"
        if len(lagging) > _MAX_LISTED_NODES
        else ""
    )
    context.output.note(
        f"accepted, but not seen in force on {listed}{more}; next: see `fuchsiagap"
        " status`; a node applies the change as soon as it reaches another node"
    )
    return ExitCode.INCOMPLETE
