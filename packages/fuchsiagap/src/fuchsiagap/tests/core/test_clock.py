import time
from unittest import mock

from testtools import TestCase

from fuchsiagap.core.clock import process_clock


class TestProcessClock(TestCase):
    def setUp(self):
        super().setUp()
        self.steady, self.counting = 100.0, 5_000.0
        patches = (
            mock.patch.object(time, "monotonic", lambda: self.steady),
            mock.patch.object(time, "clock_gettime", lambda _: self.counting),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.clock = process_clock()

    def pass_time(self, awake, suspended=0.0):
        """Let seconds pass, in which the host runs or is suspended."""
        self.steady += awake
        self.counting += awake + suspended

    def test_time_that_the_host_runs_counts_at_once(self):
        before = self.clock.now()
        self.pass_time(2.0)
        self.assertAlmostEqual(2_000.0, self.clock.now() - before)
        self.assertEqual(0.0, self.clock.catch_up())

    def test_suspension_counts_once_it_was_noticed(self):
        before = self.clock.now()
        self.pass_time(1.0, suspended=10.0)
        self.assertAlmostEqual(10_000.0, self.clock.catch_up())
        self.assertAlmostEqual(11_000.0, self.clock.now() - before)
        self.assertEqual(0.0, self.clock.catch_up())

    def test_what_a_busy_host_holds_up_is_no_suspension(self):
        self.pass_time(1.0, suspended=0.1)
        self.assertEqual(0.0, self.clock.catch_up())

    def test_step_of_the_time_of_day_decides_nothing(self):
        before = self.clock.now()
        with mock.patch.object(time, "time", lambda: 9e9):
            self.assertEqual(0.0, self.clock.catch_up())
        self.assertEqual(before, self.clock.now())
