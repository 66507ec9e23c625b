"""Estimate of the minimum latency of a route."""

from __future__ import annotations

import random

from testtools import TestCase

from fuchsiagap.core.routing.least_time import LeastTimes
from fuchsiagap.tests.core.routing.a_router import CERTS, ManualClock


class LeastTimesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.time = ManualClock()
        self.times = LeastTimes()

    def learn(self, n_times, draw):
        for _ in range(n_times):
            self.times.learn(CERTS, "certs/read", draw(), self.time.time)
            self.time.advance(1.0)

    def least(self):
        return self.times.least(CERTS, "certs/read", self.time.time)

    def test_unknown_route_has_no_minimum(self):
        self.assertEqual(0.0, self.least())

    def test_estimate_follows_the_fast_answers(self):
        rng = random.Random(3)
        self.learn(2_000, lambda: 10.0 + rng.expovariate(1 / 20.0))
        least = self.least()
        self.assertLess(10.0, least)
        self.assertLess(least, 20.0)

    def test_estimate_drops_after_a_slow_phase(self):
        self.learn(200, lambda: 10.0)
        self.learn(2_000, lambda: 50.0)
        self.assertGreater(self.least(), 30.0)
        self.learn(60, lambda: 10.0)
        self.assertLess(self.least(), 12.0)

    def test_estimate_decays_without_answers(self):
        self.learn(50, lambda: 500.0)
        self.time.advance(60_000.0)
        self.assertEqual(0.0, self.least())
