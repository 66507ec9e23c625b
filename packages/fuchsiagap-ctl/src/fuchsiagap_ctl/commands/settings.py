"""The commands ``settings get``, ``settings diff`` and ``settings history``."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from fuchsiagap_ctl.admin_client import Reply
from fuchsiagap_ctl.commands.check import read_text
from fuchsiagap_ctl.commands.command import argument, quote_segment, report_failure
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.output import table

if TYPE_CHECKING:
    from fuchsiagap_ctl.admin_client import Answer
    from fuchsiagap_ctl.commands.command import Context

_VERSION_LINE_FORMAT = (
    "# {team}, version {version}; the next `settings put` needs this line\n"
)
_VERSION_LINE = re.compile(r"# (\S+), version (\d+); the next `settings put`[^\n]*\n")


def add_version_line(team: str, version: int, text: str) -> str:
    """Prepend a comment line with the version to the text of settings."""
    return _VERSION_LINE_FORMAT.format(team=team, version=version) + text


def split_version_line(text: str) -> tuple[int, str]:
    """Return the version in the first line, or -1 without one, and the other lines."""
    found = _VERSION_LINE.match(text)
    if found is None:
        return -1, text
    return int(found[2]), text[found.end() :]


async def get(context: Context) -> ExitCode:
    """Write a team's settings, with their version in the first line."""
    team = argument(context, -1)
    answer = await _read(context, team, "")
    if not isinstance(answer, Reply) or not answer.ok:
        return report_failure(context, answer, f"read the settings of {team}")
    if context.invocation.json:
        context.output.json(answer.body)
        return ExitCode.DONE
    if answer.body["deleted"]:
        version = answer.body["version"]
        context.output.note(f"the settings of {team} were deleted, version {version}")
        return ExitCode.NOT_FOUND
    text = add_version_line(team, answer.body["version"], answer.body["text"])
    context.output.line(text.removesuffix("\n"))
    return ExitCode.DONE


async def diff(context: Context) -> ExitCode:
    """Write the difference between a file and a team's settings."""
    team, path = argument(context, -2), argument(context, -1)
    text = read_text(path)
    if text is None:
        context.output.note(f"{path}: can't be read as UTF-8 text")
        return ExitCode.USAGE
    answer = await context.client.request_any(
        context.invocation.nodes,
        "POST",
        f"/v1/settings/{quote_segment(team)}/diff",
        params={"source": context.invocation.source},
        body={"text": split_version_line(text)[1]},
    )
    if not isinstance(answer, Reply) or not answer.ok:
        return report_failure(context, answer, f"compare with the settings of {team}")
    if context.invocation.json:
        context.output.json(answer.body)
    else:
        _write_diff(context, answer, team, path)
    return ExitCode.DONE if answer.body["valid"] else ExitCode.INVALID_SETTINGS


async def history(context: Context) -> ExitCode:
    """Write the latest changes of a team's settings, newest first."""
    team = argument(context, -1)
    answer = await _read(context, team, "/history")
    if not isinstance(answer, Reply) or not answer.ok:
        return report_failure(context, answer, f"read the history of {team}")
    if context.invocation.json:
        context.output.json(answer.body)
        return ExitCode.DONE
    names = ("version", "at", "action", "by", "replaced", "change_id")
    rows = [[change[name] for name in names] for change in answer.body["changes"]]
    for line in table(names, rows):
        context.output.line(line)
    return ExitCode.DONE


async def _read(context: Context, team: str, subpath: str) -> Answer:
    return await context.client.request_any(
        context.invocation.nodes,
        "GET",
        f"/v1/settings/{quote_segment(team)}{subpath}",
        params={"source": context.invocation.source},
    )


def _write_diff(context: Context, answer: Reply, team: str, path: str) -> None:
    version, changes = answer.body["version"], answer.body["diff"]
    for line in changes.splitlines():
        context.output.line(line)
    if not changes:
        context.output.note(f"{path} is the same as {team} version {version}")
    for fault in answer.body["faults"]:
        context.output.note(fault["message"])
