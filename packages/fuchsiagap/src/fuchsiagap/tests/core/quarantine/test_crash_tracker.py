from testtools import TestCase

from fuchsiagap.core.quarantine.crash_tracker import CrashTracker


def make_tracker(now=0.0):
    """Return a tracker that follows one incarnation."""
    tracker = CrashTracker()
    tracker.start_incarnation("i-1", now)
    return tracker


class TestCrashWatch(TestCase):
    def test_unanswered_requests_were_in_flight_at_the_crash(self):
        tracker = make_tracker()
        for fingerprint in (b"a", b"b"):
            self.assertEqual("", tracker.record_unanswered(fingerprint, 10.0, 50.0))
        self.assertEqual({b"a", b"b"}, tracker.record_crash())
        self.assertTrue(tracker.has_crashed)

    def test_answer_clears_earlier_unanswered_requests(self):
        tracker = make_tracker()
        tracker.record_unanswered(b"a", 10.0, 50.0)
        tracker.record_answer(400.0)
        self.assertFalse(tracker.has_unanswered)
        self.assertEqual(frozenset(), tracker.record_crash())

    def test_answer_sent_before_the_crash_may_be_read_after_it(self):
        tracker = make_tracker()
        tracker.record_unanswered(b"a", 10.0, 50.0)
        tracker.record_answer(51.0)
        self.assertEqual({b"a"}, tracker.record_crash())

    def test_unanswered_requests_found_later_belong_to_the_crash(self):
        tracker = make_tracker()
        tracker.record_unanswered(b"a", 10.0, 50.0)
        tracker.record_crash()
        self.assertEqual("i-1", tracker.record_unanswered(b"b", 20.0, 60.0))
        tracker.start_incarnation("i-2", 3_000.0)
        self.assertEqual("i-1", tracker.record_unanswered(b"c", 30.0, 3_100.0))
        self.assertEqual("", tracker.record_unanswered(b"d", 3_050.0, 3_200.0))

    def test_crash_is_reported_once(self):
        tracker = make_tracker()
        tracker.record_unanswered(b"a", 10.0, 50.0)
        tracker.record_crash()
        self.assertEqual(frozenset(), tracker.record_crash())

    def test_unanswered_requests_of_a_planned_stop_are_ignored(self):
        tracker = make_tracker()
        tracker.start_incarnation("i-2", 100.0)
        self.assertEqual("", tracker.record_unanswered(b"a", 50.0, 110.0))
        self.assertFalse(tracker.has_unanswered)
