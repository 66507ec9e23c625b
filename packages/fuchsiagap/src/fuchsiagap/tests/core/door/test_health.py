from testtools import TestCase

from fuchsiagap.core.backend_queue.health import ServerHealth

BEAT_MS = 1_500.0


class TestServerHealth(TestCase):
    def test_server_lives_by_its_heartbeats_or_by_its_answers(self):
        health = ServerHealth(0.0)
        self.assertTrue(health.is_usable(4_000.0, BEAT_MS))
        self.assertFalse(health.is_usable(5_000.0, BEAT_MS))
        health.note_answer(4_900.0)
        self.assertTrue(health.is_usable(5_000.0, BEAT_MS))
        self.assertFalse(health.is_usable(7_000.0, BEAT_MS))

    def test_server_without_connections_is_left_alone_until_heard_of(self):
        health = ServerHealth(0.0)
        health.note_unreachable(100.0)
        self.assertFalse(health.is_usable(200.0, BEAT_MS))
        self.assertTrue(health.is_usable(600.0, BEAT_MS))
        health.note_unreachable(700.0)
        health.note_beat(800.0)
        self.assertTrue(health.is_usable(800.0, BEAT_MS))

    def test_share_of_failures_follows_outcomes_and_fades_unused(self):
        health = ServerHealth(0.0)
        for n in range(400):
            health.note_outcome(n % 2 == 0, float(n))
        self.assertAlmostEqual(0.5, health.failing(400.0), delta=0.1)
        self.assertLess(health.failing(20_000.0), 0.01)
        health.note_outcome(True, 20_000.0)
        health.forget_failures()
        self.assertEqual(0.0, health.failing(20_000.0))
