"""Injection of planned faults, and recovery from them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap_standins.bench.faults.callers import run_aggressive_caller
from fuchsiagap_standins.bench.faults.operators import run_operator
from fuchsiagap_standins.bench.faults.plan import Fault, FaultKind
from fuchsiagap_standins.bench.faults.topology import NODES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_standins.bench.faults.fleet import Fleet
    from fuchsiagap_standins.bench.faults.operators import Changes

_N_AGGRESSIVE_CALLERS = 4
_N_OPERATORS = 3
_SLOW_SERVICE_FACTOR = 12.0
_MAX_DELAY_MS = 600.0
_SLOW_PLATFORM_LATENCY_MS = 1_200.0


async def inject(fleet: Fleet, changes: Changes, fault: Fault) -> None:
    """Inject a fault at its time and end it after its duration.

    Parameters
    ----------
    fleet : Fleet
        The nodes.
    changes : Changes
        Collects the settings changes of racing operators.
    fault : Fault
        Fault to inject.
    """
    await trio.sleep_until(fault.at)
    await _INJECTORS[fault.kind](fleet, changes, fault)


async def _platform_down(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    await _with_platform_faults(fleet, fault, outage=True)


async def _platform_slow(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    await _with_platform_faults(fleet, fault, latency=_SLOW_PLATFORM_LATENCY_MS)


async def _answers_lost(fleet: Fleet, changes: Changes, fault: Fault) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_racing_operators, fleet, changes, fault)
        await _with_platform_faults(fleet, fault, lose_answers=0.6, lose_requests=0.2)


async def _with_platform_faults(
    fleet: Fleet, fault: Fault, **fault_values: float
) -> None:
    previous_faults = fleet.store.faults
    fleet.store.set_faults(replace(previous_faults, **fault_values))  # type: ignore[arg-type]
    await trio.sleep(fault.duration)
    current_faults = fleet.store.faults
    defaults = {name: getattr(type(current_faults)(), name) for name in fault_values}
    fleet.store.set_faults(replace(current_faults, **defaults))


async def _partition(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    partition = frozenset({fault.data_centre})
    fleet.partitions.append(partition)
    fleet.apply_partitions()
    await trio.sleep(fault.duration)
    fleet.partitions.remove(partition)
    fleet.apply_partitions()


async def _pause(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    """Delay the frames of a node, and cut it off from callers and the platform."""
    address = f"{fault.node}:7000"
    if fault.node in fleet.paused:
        return
    fleet.paused.add(fault.node)
    fleet.network.pause(address)
    fleet.apply_partitions()
    await trio.sleep(fault.duration)
    fleet.paused.discard(fault.node)
    fleet.network.resume(address)
    fleet.apply_partitions()


async def _delay_frames(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    """Delay the frames of a node; it still reaches callers and the platform."""
    address = f"{fault.node}:7000"
    fleet.network.pause(address)
    await trio.sleep(fault.duration)
    if fault.node not in fleet.paused:
        fleet.network.resume(address)


async def _crash(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    fleet.crash(fault.node)
    await trio.sleep(fault.duration)
    _restart_if_exited(fleet, fault.node)


async def _crash_data_centre(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    names = [name for name, centre in NODES if centre == fault.data_centre]
    for name in names:
        fleet.crash(name)
    await trio.sleep(fault.duration)
    for name in names:
        _restart_if_exited(fleet, name)


async def _restart(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    fleet.crash(fault.node)
    await trio.sleep(0.05)
    _restart_if_exited(fleet, fault.node)


async def _planned_stop(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    process = fleet.processes[fault.node]
    while process.state is None and not process.exited:
        # The node is restarting after another fault.
        await trio.sleep(0.05)
    fleet.stop(fault.node)
    while not process.exited:
        await trio.sleep(0.05)
    await trio.sleep(fault.duration / 4)
    _restart_if_exited(fleet, fault.node)


async def _rolling_restart(fleet: Fleet, changes: Changes, fault: Fault) -> None:
    for name in sorted(fleet.processes):
        await _planned_stop(fleet, changes, replace(fault, node=name, duration=0.2))


def _restart_if_exited(fleet: Fleet, node: str) -> None:
    if fleet.processes[node].exited:
        fleet.start(node)


async def _lose_links(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    end_time = fault.at + fault.duration
    while trio.current_time() < end_time:
        fleet.network.drop_links(f"{fault.node}:7000")
        await trio.sleep(0.3)


async def _delay_answers(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    fleet.max_answer_delay_ms = _MAX_DELAY_MS
    await trio.sleep(fault.duration)
    fleet.max_answer_delay_ms = 0.0


async def _delay_requests(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    fleet.max_request_delay_ms = _MAX_DELAY_MS
    await trio.sleep(fault.duration)
    fleet.max_request_delay_ms = 0.0


async def _slow_service(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    service = fault.node.partition("-")[0]
    processes = [
        process for process in fleet.all_processes if process.name.startswith(service)
    ]
    for process in processes:
        process.backend.service_time_factor = _SLOW_SERVICE_FACTOR
    await trio.sleep(fault.duration)
    for process in processes:
        process.backend.service_time_factor = 1.0


async def _backend_crash(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    backend = fleet.processes[fault.node].backend
    backend.crash()
    await trio.sleep(fault.duration)
    backend.restart()


async def _hard_retries(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    end_time = fault.at + fault.duration
    async with trio.open_nursery() as nursery:
        for index in range(_N_AGGRESSIVE_CALLERS):
            name = f"hard-{fault.at:.3f}-{index}"
            nursery.start_soon(run_aggressive_caller, fleet, name, end_time)


async def _run_racing_operators(fleet: Fleet, changes: Changes, fault: Fault) -> None:
    end_time = fault.at + fault.duration
    async with trio.open_nursery() as nursery:
        for index in range(_N_OPERATORS):
            name = f"operator-{fault.at:.3f}-{index}"
            nursery.start_soon(run_operator, fleet, changes, name, end_time)


_INJECTORS: dict[FaultKind, Callable[[Fleet, Changes, Fault], Awaitable[None]]] = {
    FaultKind.PLATFORM_DOWN: _platform_down,
    FaultKind.PLATFORM_SLOW: _platform_slow,
    FaultKind.PLATFORM_ANSWERS_LOST: _answers_lost,
    FaultKind.PARTITION: _partition,
    FaultKind.PAUSE: _pause,
    FaultKind.LAPSED_WHILE_PAUSED: _pause,
    FaultKind.CRASH: _crash,
    FaultKind.RESTART: _restart,
    FaultKind.DATA_CENTRE_CRASH: _crash_data_centre,
    FaultKind.PLANNED_STOP: _planned_stop,
    FaultKind.ROLLING_RESTART: _rolling_restart,
    FaultKind.LINKS_LOST: _lose_links,
    FaultKind.FRAMES_DELAYED: _delay_frames,
    FaultKind.ANSWERS_DELAYED: _delay_answers,
    FaultKind.REQUESTS_DELAYED: _delay_requests,
    FaultKind.SERVICE_SLOW: _slow_service,
    FaultKind.BACKEND_CRASH: _backend_crash,
    FaultKind.HARD_RETRIES: _hard_retries,
    FaultKind.RACING_OPERATORS: _run_racing_operators,
}
