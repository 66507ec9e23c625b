"""Tests that causes are ordered before effects even if the hosts' clocks differ."""

from __future__ import annotations

import random

from testtools import TestCase

from fuchsiagap.core.telemetry.hlc import DriftTooLarge, HybridClock, stamp_at, wall_of

NOW = 1_800_000_000_000.0
HOUR = 3_600_000.0


class TestHybridClock(TestCase):
    def test_timestamps_increase_while_the_clock_stops_or_steps_back(self) -> None:
        times = iter([NOW, NOW, NOW - 5_000.0, NOW - 10_000.0, NOW + 1.0])
        clock = HybridClock(lambda: next(times))
        stamps = [clock.tick() for _ in range(5)]
        self.assertEqual(sorted(set(stamps)), stamps)
        self.assertEqual(NOW + 1.0, wall_of(stamps[-1]))

    def test_an_effect_is_after_its_cause_on_a_host_whose_clock_is_behind(self) -> None:
        fast = HybridClock(lambda: NOW + 60_000.0)
        slow = HybridClock(lambda: NOW)
        cause = fast.tick()
        self.assertIsNone(slow.observe(cause))
        self.assertGreater(slow.tick(), cause)

    def test_long_chains_across_skewed_hosts_keep_their_order(self) -> None:
        rng = random.Random(6)
        skews = [rng.uniform(-120_000.0, 120_000.0) for _ in range(8)]
        time_now = [NOW]
        clocks = [HybridClock(lambda s=s: time_now[0] + s) for s in skews]
        last = 0
        for _ in range(2_000):
            time_now[0] += rng.random()
            clock = rng.choice(clocks)
            self.assertIsNone(clock.observe(last))
            stamp = clock.tick()
            self.assertGreater(stamp, last)
            last = stamp

    def test_a_timestamp_far_ahead_is_rejected_and_does_not_advance_the_clock(
        self,
    ) -> None:
        clock = HybridClock(lambda: NOW)
        fault = clock.observe(stamp_at(NOW + HOUR))
        self.assertEqual(DriftTooLarge(HOUR, 300_000.0), fault)
        self.assertIn("set the clocks", str(fault))
        self.assertEqual(NOW, wall_of(clock.tick()))

    def test_a_message_without_a_timestamp_does_not_advance_the_clock(self) -> None:
        clock = HybridClock(lambda: NOW)
        self.assertIsNone(clock.observe(0))
        self.assertEqual(stamp_at(NOW), clock.tick())
