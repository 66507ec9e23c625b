"""``explain``: what became of a request, from collected log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_ctl.commands.check import read_text
from fuchsiagap_ctl.commands.command import argument
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.explain.lines import read_lines
from fuchsiagap_ctl.explain.story import tell

if TYPE_CHECKING:
    from fuchsiagap_ctl.commands.command import Context
    from fuchsiagap_ctl.explain.lines import Line, Read
    from fuchsiagap_ctl.explain.story import Story


async def explain(context: Context) -> ExitCode:
    """Write the way of a request and the likely cause of its end; offline."""
    request, path = argument(context, -2), argument(context, -1)
    text = read_text(path)
    if text is None:
        context.output.note(f"{path}: can't be read as UTF-8 text")
        return ExitCode.USAGE
    read = read_lines(text.splitlines())
    story = tell(read.lines, request)
    if story is None:
        context.output.note(
            f"no line of {len(read.lines)} names {request}; answers at the first try"
            " are sampled, the others are all written unless dropped"
        )
        _note_gaps(context, read)
        return ExitCode.NOT_FOUND
    if context.invocation.json:
        context.output.json(_as_json(story))
    else:
        _write(context, story)
    _note_gaps(context, read)
    return ExitCode.DONE


def _write(context: Context, story: Story) -> None:
    for title, lines in (
        ("the request", story.own),
        ("calls made for it", story.calls),
        ("changes at the same time", story.around),
    ):
        if lines:
            context.output.line(f"{title}:")
        for line in lines:
            context.output.line(f"  {line.text()}")
    context.output.line(f"likely cause: {story.cause}")


def _as_json(story: Story) -> dict[str, object]:
    return {
        "request": [_line_json(line) for line in story.own],
        "calls": [_line_json(line) for line in story.calls],
        "around": [_line_json(line) for line in story.around],
        "cause": story.cause,
    }


def _line_json(line: Line) -> dict[str, object]:
    return {
        "wall": line.wall,
        "node": line.node,
        "event": line.event,
        "request": line.request,
        **line.fields,
    }


def _note_gaps(context: Context, read: Read) -> None:
    if read.unread:
        context.output.note(f"{read.unread} lines are no lines of a node")
    if read.dropped:
        context.output.note(f"nodes dropped {read.dropped} lines")
