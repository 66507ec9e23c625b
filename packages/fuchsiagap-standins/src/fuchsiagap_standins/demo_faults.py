"""Faults that the demo injects while it sends requests."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, TypeAlias

import httpx
import trio

from fuchsiagap_standins.deployment import start_node

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from fuchsiagap_standins.deployment import Deployment
    from fuchsiagap_standins.node_ini import HostSpec

    PrintLine: TypeAlias = Callable[[str], None]
    FaultFunction: TypeAlias = Callable[
        [Deployment, HostSpec, float, PrintLine], Awaitable[None]
    ]


async def _restart(
    running: Deployment, host_spec: HostSpec, _: float, print_line: PrintLine
) -> None:
    print_line(f"  {host_spec.node} is stopped gracefully and restarted")
    code = await running.group.stop(host_spec.node)
    print_line(f"  {host_spec.node} exited with code {code}")
    await start_node(running, host_spec)


async def _kill(
    running: Deployment, host_spec: HostSpec, duration_s: float, print_line: PrintLine
) -> None:
    print_line(f"  {host_spec.node} is killed and restarted after {duration_s:.1f} s")
    running.group.kill(host_spec.node)
    await trio.sleep(duration_s)
    await start_node(running, host_spec)


async def _pause(
    running: Deployment, host_spec: HostSpec, duration_s: float, print_line: PrintLine
) -> None:
    print_line(f"  {host_spec.node} is paused for {duration_s:.1f} s")
    running.group.pause(host_spec.node)
    await trio.sleep(duration_s)
    running.group.resume(host_spec.node)


async def _platform_outage(
    running: Deployment, _: HostSpec, duration_s: float, print_line: PrintLine
) -> None:
    print_line(f"  the platform is down for {duration_s:.1f} s")
    url = f"http://{running.platform}/control/faults"
    async with httpx.AsyncClient(trust_env=False) as client:
        await client.post(url, json={"outage": True})
        await trio.sleep(duration_s)
        await client.post(url, json={"outage": False})


async def _slow_service(
    running: Deployment, _: HostSpec, duration_s: float, print_line: PrintLine
) -> None:
    service = running.cfg.graph.deep_service
    print_line(f"  {service} is 5 times slower for {duration_s:.1f} s")
    backends = [
        running.backends[host_spec.node]
        for host_spec in running.host_specs
        if host_spec.service == service
    ]
    async with httpx.AsyncClient(trust_env=False) as client:
        for factor in (5.0, 1.0):
            for backend in backends:
                url = f"http://{backend}/-/control"
                await client.post(url, json={"slow": factor})
            await trio.sleep(duration_s)


FAULTS: dict[str, FaultFunction] = {
    "restart": _restart,
    "kill": _kill,
    "pause": _pause,
    "platform": _platform_outage,
    "slow": _slow_service,
}


async def inject_faults(
    names: Sequence[str], running: Deployment, duration_s: float, print_line: PrintLine
) -> None:
    """Inject faults at even intervals.

    Parameters
    ----------
    names : sequence of str
        Keys of `FAULTS`.
    running : Deployment
        The deployment. The fault at position `i` of `names` affects the host at
        position `i`, modulo the number of hosts, if it concerns a single node.
    duration_s : float
        Seconds over which the faults are spread. A fault with a set duration lasts
        half the interval between two faults.
    print_line : callable
        Prints a line of progress.
    """
    interval_s = duration_s / (len(names) + 1)
    async with trio.open_nursery() as nursery:
        for number, name in enumerate(names):
            await trio.sleep(interval_s)
            host_spec = running.host_specs[number % len(running.host_specs)]
            inject = partial(
                FAULTS[name], running, host_spec, interval_s / 2, print_line
            )
            nursery.start_soon(inject)
