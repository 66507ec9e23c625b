"""Timeouts of requests to the store, as shares of the bound on changes."""

from testtools import TestCase

from fuchsiagap.core.freshness.store_timeouts import timeouts_within


class TestStoreTimeouts(TestCase):
    def test_half_of_the_bound_remains_once_the_store_answers_again(self):
        for bound in (500.0, 2_000.0, 9_000.0):
            timeouts = timeouts_within(bound)
            self.assertLessEqual(2.0 * timeouts.hedge_delay, bound / 2.0)
            self.assertLessEqual(timeouts.max_backoff, bound / 2.0)
            self.assertLessEqual(timeouts.initial_backoff, timeouts.max_backoff)

    def test_unresponsive_store_is_detected_within_the_bound_during_a_watch(self):
        timeouts = timeouts_within(2_000.0)
        self.assertLessEqual(
            timeouts.probe_interval + 2.0 * timeouts.hedge_delay, 2_000.0
        )
