"""Jitter of a fast backend server far below its capacity is not taken for overload.

An echo server that answers in 0.3 ms gets calls one by one, then 266 per second. If the
host's scheduling jitter counts as queueing, the limit falls to a few calls, and 9 of
100 calls are refused.
"""

from __future__ import annotations

import random

import trio
from testtools import TestCase

from fuchsiagap.core.admission.gate import Gate
from fuchsiagap.core.admission.settings import GateSettings
from fuchsiagap.core.calls.outcome import Refused
from fuchsiagap.core.clock import sleep_ms, trio_clock
from fuchsiagap_standins.builders import a_head, an_answer
from fuchsiagap_standins.testing import run_virtual

_RATE_PER_S = 266.0
_SECONDS = 20.0


class TestFastBackend(TestCase):
    def test_jitter_is_not_taken_for_overload(self) -> None:
        for seed in range(5):
            refused, limit = run_virtual(_refusals, seed)
            self.assertEqual(0, refused, f"seed {seed}")
            self.assertGreaterEqual(limit, 32, f"seed {seed}")


async def _refusals(seed: int) -> tuple[int, int]:
    rng = random.Random(seed)
    clock = trio_clock(wall_offset=0.0)
    gate = Gate(GateSettings(start_limit=256), clock, rng)
    gate.apply_report(256, 0)
    refused = 0
    spike_until = 0.0

    async def call(number: int) -> None:
        nonlocal refused, spike_until
        head = a_head(f"call-{number}", deadline=clock.now() + 5_000.0)
        entered = await gate.enter(head)
        if isinstance(entered, Refused):
            refused += 1
            return
        # Occasionally the host stalls for some milliseconds, and all calls that arrive
        # meanwhile end together.
        if rng.random() < 0.02:
            spike_until = clock.now() + rng.uniform(3.0, 15.0)
        await sleep_ms(0.3 + rng.random() + max(spike_until - clock.now(), 0.0))
        gate.leave(entered, an_answer())

    async def step() -> None:
        while True:
            await sleep_ms(100.0)
            gate.step()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(step)
        for number in range(1000):
            await call(number)
        async with trio.open_nursery() as calls:
            for number in range(int(_RATE_PER_S * _SECONDS)):
                await sleep_ms(rng.expovariate(_RATE_PER_S / 1000.0))
                calls.start_soon(call, 1000 + number)
        nursery.cancel_scope.cancel()
    return refused, gate.limit
