"""Waits for the store, as shares of the bound on changes."""

from testtools import TestCase

from fuchsiagap.core.freshness.store_timeouts import timeouts_within


class TestStoreTimeouts(TestCase):
    def test_half_of_the_bound_is_left_once_the_store_answers_again(self):
        for bound in (500.0, 2_000.0, 9_000.0):
            waits = timeouts_within(bound)
            self.assertLessEqual(2.0 * waits.hedge_delay, bound / 2.0)
            self.assertLessEqual(waits.max_backoff, bound / 2.0)
            self.assertLessEqual(waits.initial_backoff, waits.max_backoff)

    def test_silence_that_a_watch_does_not_show_is_noticed_within_the_bound(self):
        waits = timeouts_within(2_000.0)
        self.assertLessEqual(waits.probe_interval + 2.0 * waits.hedge_delay, 2_000.0)
