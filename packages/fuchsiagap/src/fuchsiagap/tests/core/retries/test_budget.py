"""The retry budget and the backoff."""

from __future__ import annotations

import random

from testtools import TestCase

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.retries.backoff import backoff
from fuchsiagap.core.retries.budget import RetryBudget, RetrySettings
from fuchsiagap.tests.core.routing.a_router import CERTS, ManualClock


class RetryBudgetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.time = ManualClock()
        self.cfg = RetrySettings(ratio=0.1, least_per_s=0.2)
        self.budget = RetryBudget(self.cfg, self.time.clock)

    def retried(self, n_calls, ratio=None):
        """Return how many of so many calls, one each 10 ms, may be retried."""
        n_retries = 0
        for _ in range(n_calls):
            self.budget.record_call(CERTS)
            n_retries += self.budget.try_spend(CERTS, ratio)
            self.time.advance(10.0)
        return n_retries

    def test_retries_are_a_share_of_the_calls(self):
        self.assertTrue(90 <= self.retried(1_000) <= 120)

    def test_route_has_its_own_share(self):
        self.assertTrue(280 <= self.retried(1_000, ratio=0.3) <= 320)
        self.assertLess(self.retried(1_000, ratio=0.0), 20)

    def test_a_quiet_service_may_retry_now_and_then(self):
        self.assertTrue(self.budget.try_spend(CERTS))
        self.assertFalse(self.budget.try_spend(CERTS))
        self.time.advance(10_000.0)
        self.assertTrue(self.budget.try_spend(CERTS))

    def test_services_do_not_share(self):
        self.budget.try_spend(CERTS)
        self.assertFalse(self.budget.try_spend(CERTS))
        self.assertTrue(self.budget.try_spend(ServiceName("salt-fog", "cycles")))

    def test_no_burst_is_saved_up(self):
        self.retried(1_000, ratio=0.0)
        self.time.advance(30_000.0)
        burst = sum(self.budget.try_spend(CERTS) for _ in range(200))
        self.assertLessEqual(burst, 2)


class BackoffTest(TestCase):
    def test_first_retry_at_once_later_ones_spread_and_bounded(self):
        cfg, rng = RetrySettings(backoff=4.0, backoff_max=20.0), random.Random(1)
        self.assertEqual(0.0, backoff(cfg, 0, rng))
        for n_retries, bound in ((1, 8.0), (2, 16.0), (3, 20.0), (40, 20.0)):
            waits = [backoff(cfg, n_retries, rng) for _ in range(500)]
            self.assertLessEqual(max(waits), bound)
            self.assertGreater(max(waits), bound * 0.95)
            self.assertLess(min(waits), bound * 0.05)
