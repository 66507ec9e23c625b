"""The command ``top``, which shows the busiest backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio
from prometheus_client.parser import text_string_to_metric_families

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap_ctl.admin_client import Reply
from fuchsiagap_ctl.commands.command import report_failure
from fuchsiagap_ctl.commands.status import admission_level, filter_nodes
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.fleet import Fleet, find_fleet, request_nodes
from fuchsiagap_ctl.output import table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap_ctl.admin_client import Answer
    from fuchsiagap_ctl.commands.command import Context
    from fuchsiagap_ctl.fleet import FleetNode

_MAX_ROWS = 40
_EVENTS = "fuchsiagap_events"
_RATE_KINDS = (
    EventKind.CALL_RECEIVED,
    EventKind.CALL_ADMITTED,
    EventKind.CALL_REFUSED,
    EventKind.CALL_UNKNOWN,
)
_HEADER = (
    "data centre",
    "service",
    "node",
    "received/s",
    "admitted/s",
    "refused/s",
    "unknown/s",
    "in flight",
    "limit",
    "queued",
    "admitted",
)
_CLEAR_SCREEN = "\033[2J\033[H"


@dataclass(frozen=True, slots=True)
class _Sample:
    """Event counters of one node at one time."""

    at_s: float
    totals: dict[EventKind, float]


@dataclass(frozen=True, slots=True)
class _Row:
    """One node in the output."""

    node: FleetNode
    backend: dict[str, Any]
    admitted: str
    rates: dict[EventKind, float]

    @property
    def load(self) -> tuple[float, float]:
        share = self.backend["in_flight"] / max(self.backend["limit"], 1)
        return float(self.backend["queued"]), share


async def top(context: Context) -> ExitCode:
    """Write the busiest backend servers at an interval, `count` times."""
    invocation = context.invocation
    samples: dict[str, _Sample] = {}
    n_refreshes = 0
    while True:
        fleet = await find_fleet(context.client, invocation.nodes)
        if not isinstance(fleet, Fleet):
            return report_failure(context, fleet, "read the status")
        nodes = [node for node in filter_nodes(context, fleet) if not node.gone]
        rows, unresponsive = await _collect_rows(context, nodes, samples)
        _write(context, rows, unresponsive)
        n_refreshes += 1
        if n_refreshes == invocation.count:
            return (
                ExitCode.INCOMPLETE
                if unresponsive or fleet.unresponsive
                else ExitCode.DONE
            )
        await trio.sleep(invocation.interval / MS_PER_S)


async def _collect_rows(
    context: Context, nodes: Sequence[FleetNode], samples: dict[str, _Sample]
) -> tuple[list[_Row], list[str]]:
    """Query all nodes; return rows, the busiest first, and unresponsive nodes."""
    params = {"members": "no"}
    statuses = await request_nodes(context.client, nodes, "/v1/status", params)
    metrics = await request_nodes(context.client, nodes, "/v1/metrics")
    rows: list[_Row] = []
    unresponsive: list[str] = []
    for (node, status), (_, page) in zip(statuses, metrics, strict=True):
        if not _ok(status) or not _ok(page):
            unresponsive.append(node.name)
            continue
        assert isinstance(status, Reply) and isinstance(page, Reply)
        sample = _Sample(trio.current_time(), _event_totals(page.body["text"]))
        rates = _rates(samples.get(node.name), sample)
        samples[node.name] = sample
        level_text = admission_level(status.body["levels"])
        rows.append(_Row(node, status.body["backend"], level_text, rates))
    rows.sort(key=lambda row: row.load, reverse=True)
    return rows, unresponsive


def _ok(answer: Answer) -> bool:
    return isinstance(answer, Reply) and answer.ok


def _event_totals(text: str) -> dict[EventKind, float]:
    """Return the total of each shown kind of event from a metrics page."""
    totals = dict.fromkeys(_RATE_KINDS, 0.0)
    for family in text_string_to_metric_families(text):
        if family.name != _EVENTS:
            continue
        for sample in family.samples:
            kind = sample.labels["kind"]
            if kind in totals:
                totals[EventKind(kind)] = sample.value
    return totals


def _rates(before: _Sample | None, now: _Sample) -> dict[EventKind, float]:
    """Return the events per second since the sample before; empty if there is none."""
    if before is None or now.at_s <= before.at_s:
        return {}
    elapsed_s = now.at_s - before.at_s
    # A counter decreases when the process has restarted.
    return {
        kind: max(now.totals[kind] - before.totals[kind], 0.0) / elapsed_s
        for kind in _RATE_KINDS
    }


def _write(context: Context, rows: list[_Row], unresponsive: list[str]) -> None:
    if context.invocation.json:
        context.output.json(
            {"nodes": [_as_json(row) for row in rows], "silent": unresponsive}
        )
        return
    if context.invocation.count != 1:
        context.output.line(_CLEAR_SCREEN)
    for line in table(_HEADER, [_cells(row) for row in rows[:_MAX_ROWS]]):
        context.output.line(line)
    if len(rows) > _MAX_ROWS:
        n_more = len(rows) - _MAX_ROWS
        context.output.line(f"{n_more} less busy nodes not shown; narrow with --team")
    if unresponsive:
        context.output.line(f"no answer from {', '.join(unresponsive)}")


def _cells(row: _Row) -> tuple[object, ...]:
    rates = [round(row.rates[kind], 1) if row.rates else "-" for kind in _RATE_KINDS]
    return (
        row.node.data_centre,
        ",".join(row.node.services),
        row.node.name,
        *rates,
        row.backend["in_flight"],
        row.backend["limit"],
        row.backend["queued"],
        row.admitted,
    )


def _as_json(row: _Row) -> dict[str, Any]:
    return {
        "node": row.node.name,
        "data_centre": row.node.data_centre,
        "services": row.node.services,
        "backend": row.backend,
        "admitted": row.admitted,
        "per_second": {kind.value: rate for kind, rate in row.rates.items()},
    }
