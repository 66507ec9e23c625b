"""Tests of the process clock, whose monotonic time includes host suspensions."""

import time
from unittest import mock

from testtools import TestCase

from fuchsiagap.core.clock import process_clock


class TestProcessClock(TestCase):
    def setUp(self):
        super().setUp()
        self.monotonic_s, self.boottime_s = 100.0, 5_000.0
        patches = (
            mock.patch.object(time, "monotonic", lambda: self.monotonic_s),
            mock.patch.object(time, "clock_gettime", lambda _: self.boottime_s),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.clock = process_clock()

    def advance(self, awake, suspended=0.0):
        """Advance the clocks by seconds in which the host runs or is suspended."""
        self.monotonic_s += awake
        self.boottime_s += awake + suspended

    def test_running_time_is_counted_without_catching_up(self):
        before = self.clock.now()
        self.advance(2.0)
        self.assertAlmostEqual(2_000.0, self.clock.now() - before)
        self.assertEqual(0.0, self.clock.catch_up())

    def test_suspension_is_counted_after_catching_up(self):
        before = self.clock.now()
        self.advance(1.0, suspended=10.0)
        self.assertAlmostEqual(10_000.0, self.clock.catch_up())
        self.assertAlmostEqual(11_000.0, self.clock.now() - before)
        self.assertEqual(0.0, self.clock.catch_up())

    def test_a_short_gap_on_a_busy_host_is_not_a_suspension(self):
        self.advance(1.0, suspended=0.1)
        self.assertEqual(0.0, self.clock.catch_up())

    def test_a_step_of_the_wall_clock_changes_nothing(self):
        before = self.clock.now()
        with mock.patch.object(time, "time", lambda: 9e9):
            self.assertEqual(0.0, self.clock.catch_up())
        self.assertEqual(before, self.clock.now())
