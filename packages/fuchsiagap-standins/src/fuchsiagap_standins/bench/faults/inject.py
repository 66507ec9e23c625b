"""Bringing a planned fault about, and ending it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap_standins.bench.faults.callers import run_hard_caller
from fuchsiagap_standins.bench.faults.operators import run_operator
from fuchsiagap_standins.bench.faults.plan import Fault, FaultKind
from fuchsiagap_standins.bench.faults.shape import NODES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_standins.bench.faults.fleet import Fleet
    from fuchsiagap_standins.bench.faults.operators import Changes

_N_HARD_CALLERS = 4
_N_OPERATORS = 3
_SLOWNESS = 12.0
_LONGEST_DELAY_MS = 600.0
_SLOW_PLATFORM_MS = 1_200.0


async def inject(fleet: Fleet, changes: Changes, fault: Fault) -> None:
    """Bring a fault about at its time and end it after its duration.

    Parameters
    ----------
    fleet : Fleet
        The nodes.
    changes : Changes
        What racing operators do.
    fault : Fault
        The fault.
    """
    await trio.sleep_until(fault.at)
    await _INJECTORS[fault.kind](fleet, changes, fault)


async def _platform_down(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    await _platform_faulty(fleet, fault, outage=True)


async def _platform_slow(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    await _platform_faulty(fleet, fault, latency=_SLOW_PLATFORM_MS)


async def _answers_lost(fleet: Fleet, changes: Changes, fault: Fault) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_race, fleet, changes, fault)
        await _platform_faulty(fleet, fault, lose_answers=0.6, lose_requests=0.2)


async def _platform_faulty(fleet: Fleet, fault: Fault, **wrong: float) -> None:
    healthy = fleet.store.faults
    fleet.store.set_faults(replace(healthy, **wrong))  # type: ignore[arg-type]
    await trio.sleep(fault.duration)
    now = fleet.store.faults
    undone = {name: getattr(type(now)(), name) for name in wrong}
    fleet.store.set_faults(replace(now, **undone))


async def _partition(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    cut = frozenset({fault.data_centre})
    fleet.cuts.append(cut)
    fleet.apply_cuts()
    await trio.sleep(fault.duration)
    fleet.cuts.remove(cut)
    fleet.apply_cuts()


async def _pause(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    address = f"{fault.node}:7000"
    if fault.node in fleet.paused:
        return
    fleet.paused.add(fault.node)
    fleet.network.pause(address)
    fleet.apply_cuts()
    await trio.sleep(fault.duration)
    fleet.paused.discard(fault.node)
    fleet.network.resume(address)
    fleet.apply_cuts()


async def _delay_frames(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    address = f"{fault.node}:7000"
    fleet.network.pause(address)
    await trio.sleep(fault.duration)
    if fault.node not in fleet.paused:
        fleet.network.resume(address)


async def _crash(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    fleet.crash(fault.node)
    await trio.sleep(fault.duration)
    _revive(fleet, fault.node)


async def _crash_data_centre(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    names = [name for name, centre in NODES if centre == fault.data_centre]
    for name in names:
        fleet.crash(name)
    await trio.sleep(fault.duration)
    for name in names:
        _revive(fleet, name)


async def _restart(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    fleet.crash(fault.node)
    await trio.sleep(0.05)
    _revive(fleet, fault.node)


async def _planned_stop(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    life = fleet.lives[fault.node]
    while life.state is None and not life.ended:
        # It starts again after another fault.
        await trio.sleep(0.05)
    fleet.stop(fault.node)
    while not life.ended:
        await trio.sleep(0.05)
    await trio.sleep(fault.duration / 4)
    _revive(fleet, fault.node)


async def _rolling_restart(fleet: Fleet, changes: Changes, fault: Fault) -> None:
    for name in sorted(fleet.lives):
        await _planned_stop(fleet, changes, replace(fault, node=name, duration=0.2))


def _revive(fleet: Fleet, node: str) -> None:
    if fleet.lives[node].ended:
        fleet.start(node)


async def _lose_links(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    ends = fault.at + fault.duration
    while trio.current_time() < ends:
        fleet.network.drop_links(f"{fault.node}:7000")
        await trio.sleep(0.3)


async def _delay_answers(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    fleet.answer_delay = _LONGEST_DELAY_MS
    await trio.sleep(fault.duration)
    fleet.answer_delay = 0.0


async def _delay_requests(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    fleet.request_delay = _LONGEST_DELAY_MS
    await trio.sleep(fault.duration)
    fleet.request_delay = 0.0


async def _slow_service(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    service = fault.node.partition("-")[0]
    lives = [life for life in fleet.past if life.name.startswith(service)]
    for life in lives:
        life.backend.slowness = _SLOWNESS
    await trio.sleep(fault.duration)
    for life in lives:
        life.backend.slowness = 1.0


async def _backend_crash(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    backend = fleet.lives[fault.node].backend
    backend.crash()
    await trio.sleep(fault.duration)
    backend.restart()


async def _hard_retries(fleet: Fleet, _changes: Changes, fault: Fault) -> None:
    until = fault.at + fault.duration
    async with trio.open_nursery() as nursery:
        for index in range(_N_HARD_CALLERS):
            name = f"hard-{fault.at:.3f}-{index}"
            nursery.start_soon(run_hard_caller, fleet, name, until)


async def _race(fleet: Fleet, changes: Changes, fault: Fault) -> None:
    until = fault.at + fault.duration
    async with trio.open_nursery() as nursery:
        for index in range(_N_OPERATORS):
            name = f"operator-{fault.at:.3f}-{index}"
            nursery.start_soon(run_operator, fleet, changes, name, until)


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
    FaultKind.RACING_OPERATORS: _race,
}
