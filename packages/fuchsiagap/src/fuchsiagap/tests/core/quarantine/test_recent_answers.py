from testtools import TestCase

from fuchsiagap.core.quarantine.recent_answers import RecentAnswers


class TestRecentAnswers(TestCase):
    def test_answer_is_kept_for_the_retention_time_and_dropped_after_twice_that(self):
        answered = RecentAnswers(1_000.0, 100)
        answered.add(b"a", 0.0)
        answered.add(b"b", 1_100.0)
        self.assertIn(b"a", answered)
        answered.add(b"c", 2_200.0)
        self.assertNotIn(b"a", answered)
        self.assertIn(b"b", answered)

    def test_repeated_answer_is_kept(self):
        answered = RecentAnswers(1_000.0, 100)
        for now in range(0, 5_000, 500):
            answered.add(b"a", float(now))
            self.assertIn(b"a", answered)

    def test_old_answers_are_dropped_after_a_long_pause(self):
        answered = RecentAnswers(1_000.0, 100)
        answered.add(b"a", 0.0)
        answered.add(b"b", 9_000.0)
        self.assertNotIn(b"a", answered)

    def test_memory_is_bounded(self):
        answered = RecentAnswers(1_000.0, 10)
        fingerprints = [b"%d" % n for n in range(100)]
        for fingerprint in fingerprints:
            answered.add(fingerprint, 0.0)
        self.assertLessEqual(
            sum(fingerprint in answered for fingerprint in fingerprints), 20
        )
        self.assertIn(fingerprints[-1], answered)
