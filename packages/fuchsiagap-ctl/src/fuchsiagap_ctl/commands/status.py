"""The command ``status``, which shows every node and its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fuchsiagap_ctl.admin_client import Reply
from fuchsiagap_ctl.commands.command import report_failure
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.fleet import Fleet, find_fleet, request_nodes
from fuchsiagap_ctl.output import table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap_ctl.admin_client import Answer
    from fuchsiagap_ctl.commands.command import Context
    from fuchsiagap_ctl.fleet import FleetNode

# Priority and cohort of the admission level that admits all calls.
_ALL_ADMITTED = (9, 127)
_HEADER = (
    "data centre",
    "service",
    "node",
    "state",
    "in flight",
    "limit",
    "queued",
    "admitted",
    "settings",
)
_UNKNOWN = "?"


async def status(context: Context) -> ExitCode:
    """Write the state of every node; works while the platform is unavailable."""
    fleet = await find_fleet(context.client, context.invocation.nodes)
    if not isinstance(fleet, Fleet):
        return report_failure(context, fleet, "read the status")
    nodes = filter_nodes(context, fleet)
    answers = await request_nodes(
        context.client, nodes, "/v1/status", {"members": "no"}, context.output.note
    )
    unresponsive = [node for node, answer in answers if not _answered(answer)]
    if context.invocation.json:
        context.output.json(_as_json(fleet, answers))
    else:
        for line in _lines(fleet, answers):
            context.output.line(line)
    failed_nodes = [node for node in unresponsive if not node.gone]
    return ExitCode.INCOMPLETE if failed_nodes or fleet.unresponsive else ExitCode.DONE


def filter_nodes(context: Context, fleet: Fleet) -> list[FleetNode]:
    """Return the nodes selected by the flags for the team and the data centre."""
    team, data_centre = context.invocation.team, context.invocation.data_centre
    return [
        node
        for node in fleet.nodes
        if data_centre in ("", node.data_centre)
        and (not team or any(name.split("/")[0] == team for name in node.services))
    ]


def admission_level(levels: Sequence[dict[str, Any]]) -> str:
    """Describe the strictest admission level of a node's routes."""
    strictest = min(
        ((one["level_priority"], one["level_cohort"]) for one in levels),
        default=_ALL_ADMITTED,
    )
    if strictest >= _ALL_ADMITTED:
        return "all"
    return f"priority {strictest[0]}, cohort {strictest[1]}"


def _answered(answer: Answer) -> bool:
    return isinstance(answer, Reply) and answer.ok


def _as_json(fleet: Fleet, answers: list[tuple[FleetNode, Answer]]) -> dict[str, Any]:
    return {
        "nodes": [
            {
                "node": node.name,
                "data_centre": node.data_centre,
                "services": node.services,
                "state": node.state,
                "admin_address": node.address,
                "status": answer.body
                if isinstance(answer, Reply) and answer.ok
                else None,
                "detail": "" if isinstance(answer, Reply) else answer.detail,
            }
            for node, answer in answers
        ],
        "unreachable_data_centres": fleet.unreachable,
        "silent": [
            {"node": one.node, "detail": one.detail} for one in fleet.unresponsive
        ],
    }


def _lines(fleet: Fleet, answers: list[tuple[FleetNode, Answer]]) -> list[str]:
    replies = [answer for _, answer in answers if isinstance(answer, Reply)]
    lines = [_platform_summary(replies)]
    lines += [f"cut off from some nodes: {name}" for name in fleet.unreachable]
    lines += [f"no answer from {one.node}: {one.detail}" for one in fleet.unresponsive]
    lines += _refused_settings(replies)
    lines.append("")
    lines += table(_HEADER, [_row(node, answer) for node, answer in answers])
    notes = [_failure_note(node, answer) for node, answer in answers]
    lines += [note for note in notes if note]
    return lines


def _platform_summary(replies: list[Reply]) -> str:
    platform_states = [
        reply.body.get("platform", {}).get("up") for reply in replies if reply.ok
    ]
    summary = f"platform: up for {platform_states.count(True)} nodes"
    if platform_states.count(None):
        summary += f", not contacted by {platform_states.count(None)}"
    if platform_states.count(False):
        summary += f", down for {platform_states.count(False)}; they go on without it"
    return summary


def _refused_settings(replies: list[Reply]) -> list[str]:
    refused = {
        (one["team"], one["version"], one["faults"][0]["message"])
        for reply in replies
        for one in reply.body.get("settings", {}).get("refused", ())
    }
    return [
        f"settings of {team}, version {version}, are not in force: {message}"
        for team, version, message in sorted(refused)
    ]


def _row(node: FleetNode, answer: Answer) -> tuple[object, ...]:
    services = ",".join(node.services)
    place = (node.data_centre, services, node.name)
    if not isinstance(answer, Reply) or not answer.ok:
        return (*place, node.state, *[_UNKNOWN] * 5)
    body = answer.body
    backend = body["backend"]
    state = "draining" if body["node"]["draining"] else node.state
    return (
        *place,
        state,
        backend["in_flight"],
        backend["limit"],
        backend["queued"],
        admission_level(body["levels"]),
        " ".join(f"{t['team']}:{t['version']}" for t in body["settings"]["teams"]),
    )


def _failure_note(node: FleetNode, answer: Answer) -> str:
    if node.gone:
        return ""
    if not isinstance(answer, Reply):
        return f"{node.name} ({node.address}) did not answer: {answer.detail}"
    if not answer.ok:
        return f"{node.name} ({node.address}) answered with status {answer.status}"
    return ""
