"""Demonstrate calls between real processes: ``python -m fuchsiagap_standins.demo``.

Starts the platform stand-in and, in each data centre of a call graph, a few nodes with
their backend servers. Sends requests, by default for ten seconds, and checks the
outcome of each one.
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
from fuchsiagap_standins.command_line import EXIT_USAGE, new_flags, parse_flags
from fuchsiagap_standins.demo_faults import FAULTS, inject_faults
from fuchsiagap_standins.deployment import (
    Deployment,
    DeploymentSettings,
    read_runs,
    run_deployment,
)
from fuchsiagap_standins.graphs import load_graph_or_file
from fuchsiagap_standins.processes import ProcessFailed, process_group
from fuchsiagap_standins.request_senders import (
    ClientRequest,
    RequestOutcome,
    client_sender,
    http_sender,
    no_ticket,
)
from fuchsiagap_standins.violations import Violations, find_violations

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap_standins.processes import ProcessGroup

EXIT_VIOLATION = 1
EXIT_NO_ANSWER = 2
EXIT_PROCESS_ENDED = 3
EXIT_STOPPED = 130
_READY_TIMEOUT_S = 30.0
_PROBE_INTERVAL_S = 0.1
_PROBE_TIMEOUT_MS = 5_000.0
_REQUEST_TIMEOUT_MS = 10_000.0

_FLAGS = new_flags()
_GRAPH = flags.DEFINE_string(
    "graph", "queensland", "Name or INI file of the call graph.", flag_values=_FLAGS
)
_SECONDS = flags.DEFINE_float(
    "seconds", 10.0, "How long to send requests, in seconds.", flag_values=_FLAGS
)
_RATE = flags.DEFINE_float("rate", 40.0, "Requests per second.", flag_values=_FLAGS)
_INSTANCES = flags.DEFINE_integer(
    "instances", 2, "Maximum number of instances of a service.", flag_values=_FLAGS
)
_TIME_SCALE = flags.DEFINE_float(
    "time_scale", 0.25, "Factor applied to all service times.", flag_values=_FLAGS
)
_SEED = flags.DEFINE_integer(
    "seed", 1, "Seed of arrivals and service times.", flag_values=_FLAGS
)
_FAULTS = flags.DEFINE_list(
    "faults",
    [],
    f"Faults to inject while requests are sent: {', '.join(FAULTS)}.",
    flag_values=_FLAGS,
)
_KEEP = flags.DEFINE_string(
    "keep", "", "Folder in which to keep settings and logs.", flag_values=_FLAGS
)


async def _demo(folder: Path) -> int:
    graph_file = _GRAPH.value
    graph = load_graph_or_file(graph_file)
    cfg = DeploymentSettings(
        graph, graph_file, _INSTANCES.value, _TIME_SCALE.value, _SEED.value
    )
    _print_line(f"starting {graph.name}: platform, nodes and backend servers ...")
    async with process_group(folder) as group, run_deployment(group, cfg) as running:
        for line in _describe(running):
            _print_line(line)
        rng = random.Random(_SEED.value)
        if not await _wait_until_ready(running, rng):
            _print_line("not every service answered through every node")
            return _report_ended(group) or EXIT_NO_ANSWER
        report = await _send_requests(running, rng)
        if ended := _report_ended(group):
            return ended
        runs, wrong_downstream = await read_runs(running)
        violations = find_violations(report, runs, wrong_downstream)
        exit_codes = await running.stop_nodes()
    return _print_results(report, violations, exit_codes)


def _report_ended(group: ProcessGroup) -> int:
    """Print the processes that exited unexpectedly.

    Parameters
    ----------
    group : ProcessGroup
        Processes of the demo.

    Returns
    -------
    int
        `EXIT_PROCESS_ENDED`, or 0 if all processes run.
    """
    ended = group.ended()
    for process in ended:
        _print_line(
            f"{process.name} exited with {process.exit_code}:\n{process.log_tail()}"
        )
    return EXIT_PROCESS_ENDED if ended else 0


def _describe(running: Deployment) -> list[str]:
    lines = [f"  platform     http://{running.platform}"]
    for data_centre in running.cfg.graph.data_centres:
        local = [
            host_spec
            for host_spec in running.host_specs
            if host_spec.data_centre == data_centre
        ]
        nodes = ", ".join(
            f"{host_spec.node} {host_spec.callers}" for host_spec in local
        )
        lines.append(f"  {data_centre:<12} {nodes}")
    return lines


async def _wait_until_ready(running: Deployment, rng: random.Random) -> bool:
    """Wait until all idempotent routes are answered through every node.

    Only idempotent routes are used, as probes are repeated.

    Parameters
    ----------
    running : Deployment
        Deployment that has been started.
    rng : random.Random
        Source of the random choices.

    Returns
    -------
    bool
        False on a timeout, or if a process exited.
    """
    with trio.move_on_after(_READY_TIMEOUT_S):
        async with httpx.AsyncClient(trust_env=False) as client:
            for node in running.caller_addresses:
                await _wait_until_node_ready(client, running, node, rng)
        return not running.group.ended()
    return False


async def _wait_until_node_ready(
    client: httpx.AsyncClient, running: Deployment, node: str, rng: random.Random
) -> None:
    graph = running.cfg.graph
    send = http_sender(client, graph, (node,), _PROBE_TIMEOUT_MS, rng)
    for number, route in enumerate(route for route in graph.routes if route.idempotent):
        mark = CallMark(f"probe-{node}-{number}")
        request = ClientRequest(route, mark, route.target(number), "")
        while (await send(request)).outcome is not RequestOutcome.ANSWERED:
            if running.group.ended():
                return
            await trio.sleep(_PROBE_INTERVAL_S)


async def _send_requests(running: Deployment, rng: random.Random) -> CallerReport:
    """Send requests with the client library and return their outcomes."""
    graph = running.cfg.graph
    nodes = running.caller_addresses
    cfg = CallerSettings(graph, _RATE.value, _SECONDS.value * MS_PER_S)
    client_cfg = ClientSettings(nodes, timeout=_REQUEST_TIMEOUT_MS)
    report = CallerReport()
    _print_line(f"sending {cfg.rate:g} requests/s for {_SECONDS.value:g} s ...")
    async with (
        open_client(client_cfg, rng=rng) as client,
        trio.open_nursery() as background,
    ):
        background.start_soon(_print_progress, report)
        background.start_soon(
            inject_faults, _FAULTS.value, running, _SECONDS.value, _print_line
        )
        send = client_sender(client, graph)
        await run_callers(cfg, send, no_ticket, rng, report)
        background.cancel_scope.cancel()
    return report


async def _print_progress(report: CallerReport) -> None:
    started = trio.current_time()
    while True:
        await trio.sleep(1.0)
        counts = ", ".join(
            f"{report.total(outcome)} {outcome.value}"
            for outcome in (
                RequestOutcome.ANSWERED,
                RequestOutcome.REFUSED,
                RequestOutcome.UNKNOWN,
            )
        )
        elapsed = trio.current_time() - started
        waiting = report.sent - report.ended
        _print_line(
            f"  {elapsed:4.0f} s: {report.sent} sent, {counts}, {waiting} in progress"
        )


def _print_results(
    report: CallerReport, violations: Violations, exit_codes: dict[str, int]
) -> int:
    for line in _table(report):
        _print_line(line)
    for reason, count in sorted(report.reasons.items()):
        _print_line(f"  {count} requests not answered: {reason}")
    for node, code in sorted(exit_codes.items()):
        if code != 0:
            _print_line(f"  {node} exited with code {code} on SIGTERM")
    if violations.total:
        _print_line(f"  violations: {violations}")
    answered = report.total(RequestOutcome.ANSWERED)
    summary = {
        "sent": report.sent,
        "answered": answered,
        "refused": report.total(RequestOutcome.REFUSED),
        "unknown": report.total(RequestOutcome.UNKNOWN),
        "violations": violations.total,
    }
    _print_line(json.dumps(summary))
    if violations.total:
        return EXIT_VIOLATION
    return 0 if answered else EXIT_NO_ANSWER


def _table(report: CallerReport) -> list[str]:
    columns = ("sent", "answered", "refused", "unknown", "p50 ms", "p99 ms")
    lines = [f"{'request class':<26}" + "".join(f"{name:>10}" for name in columns)]
    for name, row in sorted(report.routes.items()):
        counts = (
            row.sent,
            row.outcomes[RequestOutcome.ANSWERED],
            row.outcomes[RequestOutcome.REFUSED],
            row.outcomes[RequestOutcome.UNKNOWN],
        )
        cells = "".join(f"{count:>10}" for count in counts)
        times = "".join(f"{row.percentile(percent):>10.1f}" for percent in (50, 99))
        lines.append(f"{name:<26}{cells}{times}")
    return lines


async def _run_until_done_or_stopped(folder: Path) -> int:
    """Run the demo; SIGINT, SIGTERM and SIGHUP stop it and its processes."""
    code = EXIT_STOPPED
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
        try:
            code = await _demo(folder)
        except* ProcessFailed as failed:
            _print_line("\n".join(map(str, failed.exceptions)))
            code = EXIT_PROCESS_ENDED
        nursery.cancel_scope.cancel()
    return code


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    signums = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
    with trio.open_signal_receiver(*signums) as signals:
        async for _ in signals:
            _print_line("stopping ...")
            scope.cancel()


def _print_line(line: str) -> None:
    print(line, flush=True)


def main(argv: Sequence[str]) -> int:
    """Run the demo and return its exit code.

    Parameters
    ----------
    argv : sequence of str
        The command line, the program's name first.

    Returns
    -------
    int
        0 if requests were answered and no check failed, else one of the ``EXIT_``
        constants.
    """
    parse_flags(_FLAGS, argv, __doc__ or "")
    unknown = set(_FAULTS.value) - FAULTS.keys()
    if unknown:
        _print_line(
            f"--faults: unknown {sorted(unknown)}; expected some of {sorted(FAULTS)}"
        )
        return EXIT_USAGE
    logging.getLogger("httpx").setLevel(logging.WARNING)
    if _KEEP.value:
        folder = Path(_KEEP.value)
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(_run_until_done_or_stopped, folder)
    with tempfile.TemporaryDirectory(prefix="fuchsiagap-demo-") as name:
        return trio.run(partial(_run_until_done_or_stopped, Path(name)))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
