"""The command ``explain``, which diagnoses a request from log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_ctl.commands.check import read_text
from fuchsiagap_ctl.commands.command import argument
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.explain.diagnosis import diagnose
from fuchsiagap_ctl.explain.log_lines import parse_log

if TYPE_CHECKING:
    from fuchsiagap_ctl.commands.command import Context
    from fuchsiagap_ctl.explain.diagnosis import Diagnosis
    from fuchsiagap_ctl.explain.log_lines import LogLine, ParsedLog


async def explain(context: Context) -> ExitCode:
    """Write the path of a request and the likely cause of its outcome."""
    request, path = argument(context, -2), argument(context, -1)
    text = read_text(path)
    if text is None:
        context.output.note(f"{path}: can't be read as UTF-8 text")
        return ExitCode.USAGE
    parsed = parse_log(text.splitlines())
    diagnosis = diagnose(parsed.lines, request)
    if diagnosis is None:
        context.output.note(
            f"none of {len(parsed.lines)} lines concerns request {request}; requests"
            " answered at the first attempt are sampled, all others are logged unless"
            " dropped"
        )
        _report_skipped_lines(context, parsed)
        return ExitCode.NOT_FOUND
    if context.invocation.json:
        context.output.json(_as_json(diagnosis))
    else:
        _write(context, diagnosis)
    _report_skipped_lines(context, parsed)
    return ExitCode.DONE


def _write(context: Context, diagnosis: Diagnosis) -> None:
    for title, lines in (
        ("the request", diagnosis.request_lines),
        ("nested calls", diagnosis.call_lines),
        ("state changes at about the same time", diagnosis.state_changes),
    ):
        if lines:
            context.output.line(f"{title}:")
        for line in lines:
            context.output.line(f"  {line.text()}")
    context.output.line(f"likely cause: {diagnosis.cause}")


def _as_json(diagnosis: Diagnosis) -> dict[str, object]:
    return {
        "request": [_line_json(line) for line in diagnosis.request_lines],
        "calls": [_line_json(line) for line in diagnosis.call_lines],
        "around": [_line_json(line) for line in diagnosis.state_changes],
        "cause": diagnosis.cause,
    }


def _line_json(line: LogLine) -> dict[str, object]:
    return {
        "wall": line.wall,
        "node": line.node,
        "event": line.event,
        "request": line.request,
        **line.fields,
    }


def _report_skipped_lines(context: Context, parsed: ParsedLog) -> None:
    if parsed.n_unparsed:
        context.output.note(f"{parsed.n_unparsed} lines are not log lines of a node")
    if parsed.n_dropped:
        context.output.note(f"nodes dropped {parsed.n_dropped} lines")
