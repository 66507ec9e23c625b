"""Waits for the store, as shares of the bound on changes."""

from testtools import TestCase

from fuchsiagap.core.freshness.patience import patience_within


class TestPatience(TestCase):
    def test_half_of_the_bound_is_left_once_the_store_answers_again(self):
        for bound in (500.0, 2_000.0, 9_000.0):
            waits = patience_within(bound)
            self.assertLessEqual(2.0 * waits.again, bound / 2.0)
            self.assertLessEqual(waits.most_pause, bound / 2.0)
            self.assertLessEqual(waits.pause, waits.most_pause)

    def test_silence_that_a_watch_does_not_show_is_noticed_within_the_bound(self):
        waits = patience_within(2_000.0)
        self.assertLessEqual(waits.probe + 2.0 * waits.again, 2_000.0)
