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

    def n_retries_allowed(self, n_calls, ratio=None):
        """Return the retries allowed for a number of calls, one every 10 ms."""
        n_retries = 0
        for _ in range(n_calls):
            self.budget.record_call(CERTS)
            n_retries += self.budget.try_spend(CERTS, ratio)
            self.time.advance(10.0)
        return n_retries

    def test_retries_are_a_share_of_the_calls(self):
        self.assertTrue(90 <= self.n_retries_allowed(1_000) <= 120)

    def test_route_may_set_its_own_ratio(self):
        self.assertTrue(280 <= self.n_retries_allowed(1_000, ratio=0.3) <= 320)
        self.assertLess(self.n_retries_allowed(1_000, ratio=0.0), 20)

    def test_service_with_few_calls_may_retry_occasionally(self):
        self.assertTrue(self.budget.try_spend(CERTS))
        self.assertFalse(self.budget.try_spend(CERTS))
        self.time.advance(10_000.0)
        self.assertTrue(self.budget.try_spend(CERTS))

    def test_services_have_separate_budgets(self):
        self.budget.try_spend(CERTS)
        self.assertFalse(self.budget.try_spend(CERTS))
        self.assertTrue(self.budget.try_spend(ServiceName("salt-fog", "cycles")))

    def test_unused_budget_does_not_accumulate(self):
        self.n_retries_allowed(1_000, ratio=0.0)
        self.time.advance(30_000.0)
        burst = sum(self.budget.try_spend(CERTS) for _ in range(200))
        self.assertLessEqual(burst, 2)


class BackoffTest(TestCase):
    def test_first_retry_is_immediate_and_later_delays_are_bounded(self):
        cfg, rng = RetrySettings(backoff=4.0, backoff_max=20.0), random.Random(1)
        self.assertEqual(0.0, backoff(cfg, 0, rng))
        for n_retries, bound in ((1, 8.0), (2, 16.0), (3, 20.0), (40, 20.0)):
            waits = [backoff(cfg, n_retries, rng) for _ in range(500)]
            self.assertLessEqual(max(waits), bound)
            self.assertGreater(max(waits), bound * 0.95)
            self.assertLess(min(waits), bound * 0.05)
