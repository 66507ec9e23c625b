"""Show real calls crossing real processes: ``python -m fuchsiagap_standins.demo``.

Starts the platform stand-in, three data centres with a few nodes and their backend
servers, drives calls for about ten seconds and checks what became of each.
"""

from __future__ import annotations

import json
import logging
import random
import signal
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import httpx
import trio
from absl import flags

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_client import ClientSettings, open_client
from fuchsiagap_standins.answers import CallMark
from fuchsiagap_standins.caller import CallerReport, CallerSettings, run_callers
from fuchsiagap_standins.calling import (
    ClientRequest,
    Ending,
    client_sender,
    http_sender,
    no_ticket,
)
from fuchsiagap_standins.demo_faults import FAULTS, bring_about
from fuchsiagap_standins.deployment import (
    Deployment,
    DeploymentSettings,
    read_runs,
    run_deployment,
)
from fuchsiagap_standins.graphs import load_graph_or_file
from fuchsiagap_standins.processes import ProcessFailed, process_group
from fuchsiagap_standins.programs import EXIT_USAGE, new_flags, parse_flags
from fuchsiagap_standins.violations import Violations, find_violations

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap_standins.processes import ProcessGroup

EXIT_VIOLATION = 1
EXIT_NO_ANSWER = 2
EXIT_PROCESS_ENDED = 3
EXIT_STOPPED = 130
_READY_LIMIT_S = 30.0
_PROBE_PAUSE_S = 0.1
_PROBE_TIMEOUT_MS = 5_000.0
_REQUEST_TIMEOUT_MS = 10_000.0

_FLAGS = new_flags()
_GRAPH = flags.DEFINE_string(
    "graph", "queensland", "Name or INI file of the graph.", flag_values=_FLAGS
)
_SECONDS = flags.DEFINE_float(
    "seconds", 10.0, "How long to send requests.", flag_values=_FLAGS
)
_RATE = flags.DEFINE_float("rate", 40.0, "Requests a second.", flag_values=_FLAGS)
_INSTANCES = flags.DEFINE_integer(
    "instances", 2, "Instances of a service at most.", flag_values=_FLAGS
)
_SCALE = flags.DEFINE_float(
    "time_scale", 0.25, "Factor on all service times.", flag_values=_FLAGS
)
_SEED = flags.DEFINE_integer(
    "seed", 1, "Seed of arrivals and service times.", flag_values=_FLAGS
)
_FAULTS = flags.DEFINE_list(
    "faults",
    [],
    f"Faults to bring about on the way: {', '.join(FAULTS)}.",
    flag_values=_FLAGS,
)
_KEEP = flags.DEFINE_string(
    "keep", "", "Folder to keep settings and logs in.", flag_values=_FLAGS
)


async def _demo(folder: Path) -> int:
    graph_file = _GRAPH.value
    graph = load_graph_or_file(graph_file)
    cfg = DeploymentSettings(
        graph, graph_file, _INSTANCES.value, _SCALE.value, _SEED.value
    )
    _say(f"starting {graph.name}: platform, nodes and backend servers ...")
    async with process_group(folder) as group, run_deployment(group, cfg) as running:
        for line in _describe(running):
            _say(line)
        rng = random.Random(_SEED.value)
        if not await _until_ready(running, rng):
            _say("no answer: the nodes did not get ready")
            return _name_ended(group) or EXIT_NO_ANSWER
        report = await _drive(running, rng)
        if ended := _name_ended(group):
            return ended
        runs, wrong_below = await read_runs(running)
        violations = find_violations(report, runs, wrong_below)
        codes = await running.stop_nodes()
    return _conclude(report, violations, codes)


def _name_ended(group: ProcessGroup) -> int:
    """Name the processes that ended unasked; return the exit code for it, or 0."""
    ended = group.ended()
    for process in ended:
        _say(f"{process.name} ended with {process.exit_code}:\n{process.log_tail()}")
    return EXIT_PROCESS_ENDED if ended else 0


def _describe(running: Deployment) -> list[str]:
    lines = [f"  platform     http://{running.platform}"]
    for centre in running.cfg.graph.data_centres:
        here = [place for place in running.places if place.data_centre == centre]
        nodes = ", ".join(f"{place.node} {place.callers}" for place in here)
        lines.append(f"  {centre:<12} {nodes}")
    return lines


async def _until_ready(running: Deployment, rng: random.Random) -> bool:
    """Wait until every node gets an answer from every service, by way of routes
    that may be repeated.
    """
    with trio.move_on_after(_READY_LIMIT_S):
        async with httpx.AsyncClient(trust_env=False) as client:
            for node in running.caller_addresses:
                await _until_node_ready(client, running, node, rng)
        return not running.group.ended()
    return False


async def _until_node_ready(
    client: httpx.AsyncClient, running: Deployment, node: str, rng: random.Random
) -> None:
    graph = running.cfg.graph
    send = http_sender(client, graph, (node,), _PROBE_TIMEOUT_MS, rng)
    for number, route in enumerate(route for route in graph.routes if route.idempotent):
        mark = CallMark(f"probe-{node}-{number}")
        request = ClientRequest(route, mark, route.target(number), "")
        while (await send(request)).ending is not Ending.ANSWERED:
            if running.group.ended():
                return
            await trio.sleep(_PROBE_PAUSE_S)


async def _drive(running: Deployment, rng: random.Random) -> CallerReport:
    """Send requests by the callers' library and return what became of them."""
    graph = running.cfg.graph
    nodes = running.caller_addresses
    cfg = CallerSettings(graph, _RATE.value, _SECONDS.value * MS_PER_S)
    client_cfg = ClientSettings(nodes, timeout=_REQUEST_TIMEOUT_MS)
    report = CallerReport()
    _say(f"sending {cfg.rate:g} requests a second for {_SECONDS.value:g} s ...")
    async with open_client(client_cfg, rng=rng) as client, trio.open_nursery() as extra:
        extra.start_soon(_show_progress, report)
        extra.start_soon(bring_about, _FAULTS.value, running, _SECONDS.value, _say)
        send = client_sender(client, graph)
        await run_callers(cfg, send, no_ticket, rng, report)
        extra.cancel_scope.cancel()
    return report


async def _show_progress(report: CallerReport) -> None:
    began = trio.current_time()
    while True:
        await trio.sleep(1.0)
        shown = ", ".join(
            f"{report.total(ending)} {ending.value}"
            for ending in (Ending.ANSWERED, Ending.REFUSED, Ending.UNKNOWN)
        )
        elapsed = trio.current_time() - began
        waiting = report.sent - report.ended
        _say(f"  {elapsed:4.0f} s: {report.sent} sent, {shown}, {waiting} in progress")


def _conclude(
    report: CallerReport, violations: Violations, codes: dict[str, int]
) -> int:
    for line in _table(report):
        _say(line)
    for reason, count in sorted(report.reasons.items()):
        _say(f"  {count} requests without an answer: {reason}")
    for node, code in sorted(codes.items()):
        if code != 0:
            _say(f"  {node} ended with {code} when asked to stop")
    if violations.total:
        _say(f"  violations: {violations}")
    answered = report.total(Ending.ANSWERED)
    last = {
        "sent": report.sent,
        "answered": answered,
        "refused": report.total(Ending.REFUSED),
        "unknown": report.total(Ending.UNKNOWN),
        "violations": violations.total,
    }
    _say(json.dumps(last))
    if violations.total:
        return EXIT_VIOLATION
    return 0 if answered else EXIT_NO_ANSWER


def _table(report: CallerReport) -> list[str]:
    columns = ("sent", "answered", "refused", "unknown", "p50 ms", "p99 ms")
    lines = [f"{'request class':<26}" + "".join(f"{name:>10}" for name in columns)]
    for name, row in sorted(report.routes.items()):
        counts = (
            row.sent,
            row.endings[Ending.ANSWERED],
            row.endings[Ending.REFUSED],
            row.endings[Ending.UNKNOWN],
        )
        cells = "".join(f"{count:>10}" for count in counts)
        times = "".join(f"{row.percentile(percent):>10.1f}" for percent in (50, 99))
        lines.append(f"{name:<26}{cells}{times}")
    return lines


async def _until_done_or_stopped(folder: Path) -> int:
    """Run the demo; Ctrl-C and SIGTERM end it and its processes."""
    code = EXIT_STOPPED
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
        try:
            code = await _demo(folder)
        except* ProcessFailed as failed:
            _say("\n".join(map(str, failed.exceptions)))
            code = EXIT_PROCESS_ENDED
        nursery.cancel_scope.cancel()
    return code


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    signums = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
    with trio.open_signal_receiver(*signums) as signals:
        async for _ in signals:
            _say("stopping ...")
            scope.cancel()


def _say(line: str) -> None:
    print(line, flush=True)


def main(argv: Sequence[str]) -> int:
    """Run the program."""
    parse_flags(_FLAGS, argv, __doc__ or "")
    unknown = set(_FAULTS.value) - FAULTS.keys()
    if unknown:
        _say(f"--faults: {sorted(unknown)}; expected some of {sorted(FAULTS)}")
        return EXIT_USAGE
    logging.getLogger("httpx").setLevel(logging.WARNING)
    if _KEEP.value:
        folder = Path(_KEEP.value)
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(_until_done_or_stopped, folder)
    with tempfile.TemporaryDirectory(prefix="fuchsiagap-demo-") as name:
        return trio.run(partial(_until_done_or_stopped, Path(name)))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
