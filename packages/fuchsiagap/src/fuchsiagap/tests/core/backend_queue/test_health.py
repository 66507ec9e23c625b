from testtools import TestCase

from fuchsiagap.core.backend_queue.health import ServerHealth

HEARTBEAT_MS = 1_500.0


class TestServerHealth(TestCase):
    def test_server_is_usable_after_a_recent_heartbeat_or_answer(self):
        health = ServerHealth(0.0)
        self.assertTrue(health.is_usable(4_000.0, HEARTBEAT_MS))
        self.assertFalse(health.is_usable(5_000.0, HEARTBEAT_MS))
        health.record_answer(4_900.0)
        self.assertTrue(health.is_usable(5_000.0, HEARTBEAT_MS))
        self.assertFalse(health.is_usable(7_000.0, HEARTBEAT_MS))

    def test_unreachable_server_is_unusable_until_timeout_or_heartbeat(self):
        health = ServerHealth(0.0)
        health.record_unreachable(100.0)
        self.assertFalse(health.is_usable(200.0, HEARTBEAT_MS))
        self.assertTrue(health.is_usable(600.0, HEARTBEAT_MS))
        health.record_unreachable(700.0)
        health.record_heartbeat(800.0)
        self.assertTrue(health.is_usable(800.0, HEARTBEAT_MS))

    def test_failure_rate_follows_outcomes_and_decays_without_requests(self):
        health = ServerHealth(0.0)
        for n in range(400):
            health.record_outcome(n % 2 == 0, float(n))
        self.assertAlmostEqual(0.5, health.failing(400.0), delta=0.1)
        self.assertLess(health.failing(20_000.0), 0.01)
        health.record_outcome(True, 20_000.0)
        health.record_response(True, 20_000.0)
        self.assertGreater(health.refusing(20_000.0), 0.0)
        health.forget_failures()
        self.assertEqual(0.0, health.failing(20_000.0))
        self.assertEqual(0.0, health.refusing(20_000.0))
