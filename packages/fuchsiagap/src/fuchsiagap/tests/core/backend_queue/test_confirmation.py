from testtools import TestCase

from fuchsiagap.core.backend_queue.confirmation import Confirmation

HEARTBEAT_MS, DRAIN_MS = 1_500.0, 2_000.0


def a_restart(knows_departures=True):
    """Return the state of a node that has started again at 0 ms."""
    confirmation = Confirmation(0.0)
    confirmation.is_first_process = False
    confirmation.knows_departures = knows_departures
    return confirmation


def allows_use(confirmation, now, heartbeat_at):
    age = now - heartbeat_at
    return confirmation.allows_use(now, age, HEARTBEAT_MS, DRAIN_MS)


class TestConfirmation(TestCase):
    def test_one_heartbeat_is_enough_until_the_drain_bound(self):
        confirmation = a_restart()
        confirmation.begin(500.0)
        self.assertTrue(allows_use(confirmation, 1_999.0, 500.0))
        self.assertFalse(allows_use(confirmation, 2_000.0, 500.0))

    def test_one_heartbeat_is_not_enough_while_departures_are_unknown(self):
        confirmation = a_restart(knows_departures=False)
        confirmation.begin(500.0)
        self.assertFalse(allows_use(confirmation, 600.0, 500.0))
        self.assertTrue(allows_use(confirmation, 1_300.0, 1_250.0))

    def test_heartbeats_that_arrive_together_confirm_no_server(self):
        confirmation = a_restart()
        confirmation.begin(3_000.0)
        self.assertFalse(allows_use(confirmation, 3_800.0, 3_700.0))
        self.assertTrue(allows_use(confirmation, 3_800.0, 3_750.0))

    def test_confirmation_holds_for_later_servers(self):
        confirmation = a_restart()
        confirmation.begin(100.0)
        self.assertTrue(allows_use(confirmation, 1_600.0, 1_600.0))
        confirmation.begin(4_000.0)
        self.assertTrue(allows_use(confirmation, 4_000.0, 4_000.0))

    def test_one_heartbeat_is_enough_once_no_delayed_one_can_arrive(self):
        confirmation = a_restart()
        confirmation.begin(10_001.0)
        self.assertTrue(allows_use(confirmation, 10_001.0, 10_001.0))

    def test_heartbeat_that_may_be_delayed_is_not_enough_later_either(self):
        confirmation = a_restart()
        confirmation.begin(9_900.0)
        self.assertFalse(allows_use(confirmation, 10_100.0, 9_900.0))
        self.assertTrue(allows_use(confirmation, 10_100.0, 10_100.0))

    def test_one_heartbeat_is_enough_in_the_first_process(self):
        confirmation = Confirmation(0.0)
        confirmation.begin(5_000.0)
        self.assertTrue(allows_use(confirmation, 5_000.0, 5_000.0))
