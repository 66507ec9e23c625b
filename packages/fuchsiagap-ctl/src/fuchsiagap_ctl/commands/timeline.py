"""The command ``timeline``, which merges the events of all processes."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S, Milliseconds
from fuchsiagap.core.telemetry.hlc import stamp_at
from fuchsiagap_ctl.commands.command import report_failure
from fuchsiagap_ctl.commands.status import filter_nodes
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.fleet import Fleet, find_fleet
from fuchsiagap_ctl.timeline.fetch import EventFilter, fetch
from fuchsiagap_ctl.timeline.picture import TooLarge, render_html, render_svg
from fuchsiagap_ctl.timeline.text import gap_lines, json_lines, text_lines

if TYPE_CHECKING:
    from fuchsiagap_ctl.commands.command import Context
    from fuchsiagap_ctl.timeline.merge import Timeline

_DEFAULT_SINCE_MS = 30_000.0
# Resolution of the HTTP ``Date`` header.
_DATE_RESOLUTION_MS = 1_000.0


async def timeline(context: Context) -> ExitCode:
    """Fetch the events of all nodes, merge and write them."""
    invocation = context.invocation
    fleet = await find_fleet(context.client, invocation.nodes)
    if not isinstance(fleet, Fleet):
        return report_failure(context, fleet, "find the nodes")
    for name in fleet.unreachable:
        context.output.note(
            f"data centre {name} is cut off from some nodes; next: add --node with the"
            " admin address of a node there, so that all of its nodes are queried"
        )
    event_filter = EventFilter(
        _earliest_stamp(context, fleet), invocation.call, invocation.root
    )
    nodes = filter_nodes(context, fleet)
    merged = await fetch(context.client, nodes, event_filter, context.output.note)
    code = _write(context, merged)
    if code is not ExitCode.DONE:
        return code
    if not merged.events and (invocation.call or invocation.root):
        context.output.note(
            "no process has an event of this call or root request; next: check the id"
            " (the root is the ticket that the caller sent as Idempotency-Key), and run"
            " the command sooner: old events are overwritten"
        )
        return ExitCode.NOT_FOUND
    return (
        ExitCode.DONE
        if merged.complete and not fleet.unresponsive
        else ExitCode.INCOMPLETE
    )


def _earliest_stamp(context: Context, fleet: Fleet) -> int:
    """Return the stamp after which events are fetched, by the clock of a node."""
    invocation = context.invocation
    since = invocation.since
    if not since:
        if invocation.call or invocation.root:
            return 0
        since = _DEFAULT_SINCE_MS
    return stamp_at(_now(fleet) - since)


def _now(fleet: Fleet) -> Milliseconds:
    """Return the current Unix time of the nodes in milliseconds.

    The ``Date`` header of a node has a resolution of one second. The local time, which
    is more precise, is returned if it differs from the header by less than two seconds.
    """
    local_now = time.time() * MS_PER_S
    if (
        not fleet.server_time
        or abs(local_now - fleet.server_time) < 2 * _DATE_RESOLUTION_MS
    ):
        return local_now
    return fleet.server_time


def _write(context: Context, merged: Timeline) -> ExitCode:
    if context.invocation.format in ("svg", "html"):
        return _write_picture(context, merged)
    write = json_lines if context.invocation.format == "json" else text_lines
    if context.invocation.out:
        return _write_file(context, "\n".join(write(merged)) + "\n", merged)
    for line in write(merged):
        context.output.line(line)
    return ExitCode.DONE


def _write_picture(context: Context, merged: Timeline) -> ExitCode:
    render = render_svg if context.invocation.format == "svg" else render_html
    picture = render(merged, _title(context))
    if isinstance(picture, TooLarge):
        context.output.note(str(picture))
        return ExitCode.USAGE
    if context.invocation.out:
        return _write_file(context, picture, merged)
    context.output.line(picture)
    return ExitCode.DONE


def _write_file(context: Context, text: str, merged: Timeline) -> ExitCode:
    path = context.invocation.out
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as exc:
        context.output.note(f"--out {path}: can't be written: {exc}")
        return ExitCode.USAGE
    for line in gap_lines(merged):
        context.output.note(line)
    n_processes = len(merged.processes)
    context.output.note(
        f"{path}: {len(merged.events)} events, {n_processes} processes answered"
    )
    return ExitCode.DONE


def _title(context: Context) -> str:
    invocation = context.invocation
    if invocation.call:
        return f"call {invocation.call}"
    if invocation.root:
        return f"root request {invocation.root}"
    since = invocation.since or _DEFAULT_SINCE_MS
    return f"the last {since / MS_PER_S:g} s"
