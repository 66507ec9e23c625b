"""A gate in front of a simulated server with a known number of slots, under load."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.admission.gate import Gate
from fuchsiagap.core.admission.settings import GateSettings
from fuchsiagap.core.calls.outcome import Reason, Refused
from fuchsiagap.core.clock import sleep_ms, trio_clock
from fuchsiagap_standins.builders import a_head, an_answer, an_unknown

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.calls.head import CallHead

SERVICE_MS = 100.0


def make_gate(**changes: object) -> Gate:
    """Return a gate, for use within `run_virtual`."""
    clock = trio_clock(wall_offset=0.0)
    return Gate(GateSettings(**changes), clock, random.Random(1))


@dataclass
class Load:
    """Calls through one gate, and their outcomes.

    Parameters
    ----------
    gate : Gate
        The gate.
    slots : int
        Calls that the server runs concurrently; it queues the others internally.
    slowdown : callable
        Returns the factor of the service time at a time in milliseconds.
    priorities : tuple of int
        Priorities of the calls, in turn.
    entered, answered : list of (float, CallHead)
        Admitted and answered calls with their times in milliseconds.
    refused : list of (float, CallHead, Reason)
        Refused calls with their times in milliseconds.
    """

    gate: Gate
    slots: int
    slowdown: Callable[[float], float] = lambda _now: 1.0
    priorities: tuple[int, ...] = (0,)
    entered: list[tuple[float, CallHead]] = field(default_factory=list)
    answered: list[tuple[float, CallHead]] = field(default_factory=list)
    refused: list[tuple[float, CallHead, Reason]] = field(default_factory=list)

    async def run(self, rate_per_s: Callable[[float], float], seconds: float) -> None:
        """Send calls at a rate for some seconds, and step the gate."""
        rng = random.Random(7)
        server = trio.Semaphore(self.slots)
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._step)
                for number in range(1_000_000):
                    rate = rate_per_s(trio.current_time() * 1000.0)
                    await sleep_ms(rng.expovariate(rate / 1000.0))
                    nursery.start_soon(self._call, number, server, rng)

    async def _step(self) -> None:
        while True:
            await sleep_ms(GateSettings().step_ms)
            self.gate.step()

    async def _call(
        self, number: int, server: trio.Semaphore, rng: random.Random
    ) -> None:
        now = trio.current_time() * 1000.0
        priority = self.priorities[number % len(self.priorities)]
        head = a_head(f"call-{number}", priority=priority, deadline=now + 2_000.0)
        entered = await self.gate.enter(head)
        now = trio.current_time() * 1000.0
        if isinstance(entered, Refused):
            self.refused.append((now, head, entered.reason))
            return
        self.entered.append((now, head))
        outcome = an_unknown(Reason.DEADLINE)
        with trio.move_on_after(max(head.deadline - now, 0.0) / 1000.0):
            async with server:
                slowdown = self.slowdown(trio.current_time() * 1000.0)
                await sleep_ms(SERVICE_MS * slowdown * rng.lognormvariate(-0.08, 0.4))
            outcome = an_answer()
            self.answered.append((trio.current_time() * 1000.0, head))
        self.gate.leave(entered, outcome)
