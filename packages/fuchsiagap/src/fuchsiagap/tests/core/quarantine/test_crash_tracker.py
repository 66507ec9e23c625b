from testtools import TestCase

from fuchsiagap.core.quarantine.crash_tracker import CrashTracker


def a_watch(now=0.0):
    """Return a watch of one incarnation."""
    watch = CrashTracker()
    watch.start_incarnation("i-1", now)
    return watch


class TestCrashWatch(TestCase):
    def test_requests_without_an_answer_are_those_at_work(self):
        watch = a_watch()
        for fingerprint in (b"a", b"b"):
            self.assertEqual("", watch.record_unanswered(fingerprint, 10.0, 50.0))
        self.assertEqual({b"a", b"b"}, watch.record_crash())
        self.assertTrue(watch.has_crashed)

    def test_server_that_answers_others_has_not_crashed_with_what_broke_before(self):
        watch = a_watch()
        watch.record_unanswered(b"a", 10.0, 50.0)
        watch.record_answer(400.0)
        self.assertFalse(watch.has_unanswered)
        self.assertEqual(frozenset(), watch.record_crash())

    def test_answer_that_was_sent_before_the_crash_may_be_read_after_it(self):
        watch = a_watch()
        watch.record_unanswered(b"a", 10.0, 50.0)
        watch.record_answer(51.0)
        self.assertEqual({b"a"}, watch.record_crash())

    def test_what_is_found_out_later_is_of_the_crash_too(self):
        watch = a_watch()
        watch.record_unanswered(b"a", 10.0, 50.0)
        watch.record_crash()
        self.assertEqual("i-1", watch.record_unanswered(b"b", 20.0, 60.0))
        watch.start_incarnation("i-2", 3_000.0)
        self.assertEqual("i-1", watch.record_unanswered(b"c", 30.0, 3_100.0))
        self.assertEqual("", watch.record_unanswered(b"d", 3_050.0, 3_200.0))

    def test_crash_is_told_once(self):
        watch = a_watch()
        watch.record_unanswered(b"a", 10.0, 50.0)
        watch.record_crash()
        self.assertEqual(frozenset(), watch.record_crash())

    def test_calls_of_an_incarnation_that_ended_as_planned_say_nothing(self):
        watch = a_watch()
        watch.start_incarnation("i-2", 100.0)
        self.assertEqual("", watch.record_unanswered(b"a", 50.0, 110.0))
        self.assertFalse(watch.has_unanswered)
