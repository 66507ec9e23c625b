"""Evidence of one node against requests, under a clock of the test."""

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.quarantine.quarantine import (
    Crash,
    HeldRequest,
    Quarantine,
    QuarantineSettings,
)

CFG = QuarantineSettings()


class APlay:
    """A quarantine and its clock."""

    def __init__(self, **changes):
        self.now = 0.0
        cfg = QuarantineSettings(**changes)
        self.quarantine = Quarantine(cfg, Clock(lambda: self.now, lambda: 0.0))

    def crash(self, number, *fingerprints, age=0.0):
        """Let a server crash; return the fingerprints that are held from now on."""
        crash = Crash(f"i-{number}", "certs", age, frozenset(fingerprints))
        self.quarantine.record_crash(crash)
        return [held.fingerprint for held in self.quarantine.evaluate(crash)]


class TestQuarantine(TestCase):
    def test_request_that_was_at_work_at_three_crashes_is_held(self):
        play = APlay()
        self.assertEqual([], play.crash(1, b"guilty", b"a"))
        self.assertEqual([], play.crash(2, b"guilty", b"b"))
        self.assertTrue(play.quarantine.admits(b"guilty"))
        self.assertEqual([b"guilty"], play.crash(3, b"guilty", b"c"))
        self.assertFalse(play.quarantine.admits(b"guilty"))
        self.assertTrue(play.quarantine.admits(b"a"))

    def test_crash_that_is_told_again_counts_once(self):
        play = APlay()
        for _ in range(5):
            self.assertEqual([], play.crash(1, b"guilty"))
        self.assertEqual(
            frozenset(),
            play.quarantine.record_crash(
                Crash("i-1", "certs", 0.0, frozenset({b"guilty"}))
            ),
        )

    def test_answer_clears_a_request_and_shields_it_for_its_time(self):
        play = APlay()
        play.crash(1, b"common")
        self.assertTrue(play.quarantine.record_answer(b"common"))
        for number in range(2, 9):
            self.assertEqual([], play.crash(number, b"common"))
        play.now = 3.0 * CFG.answered_ms
        play.quarantine.record_answer(b"other")
        for number in (11, 12):
            self.assertEqual([], play.crash(number, b"common"))
        self.assertEqual([b"common"], play.crash(13, b"common"))

    def test_one_crash_is_far_from_a_hold(self):
        play = APlay()
        play.crash(1, b"a")
        self.assertFalse(play.quarantine.is_strong_suspect(b"a"))
        play.crash(2, b"a")
        self.assertTrue(play.quarantine.is_strong_suspect(b"a"))

    def test_answer_that_another_node_saw_frees_a_request_that_is_held(self):
        play = APlay()
        for number in range(3):
            play.crash(number, b"a")
        self.assertFalse(play.quarantine.admits(b"a"))
        self.assertTrue(play.quarantine.apply_clearance(b"a"))
        self.assertTrue(play.quarantine.admits(b"a"))
        self.assertFalse(play.quarantine.apply_clearance(b"a"))
        self.assertFalse(play.quarantine.apply_hold(HeldRequest(b"a", "certs", 3, 0.0)))

    def test_crashes_without_a_request_speak_for_it(self):
        play = APlay()
        for number in range(10):
            play.crash(f"other-{number}", b"%d" % number)
        for number in range(3):
            self.assertEqual([], play.crash(number, b"a"))
        self.assertEqual([b"a"], play.crash(3, b"a"))

    def test_crashes_that_a_held_request_explains_speak_for_nobody(self):
        play = APlay()
        for number in range(3):
            play.crash(f"first-{number}", b"one")
        for number in range(2):
            play.crash(number, b"two")
        self.assertEqual([b"two"], play.crash(2, b"two"))

    def test_of_requests_at_the_same_crashes_none_is_held_at_first(self):
        play = APlay()
        for number in range(4):
            self.assertEqual([], play.crash(number, b"a", b"b"))
        play.quarantine.record_answer(b"b")
        self.assertEqual([b"a"], play.crash(5, b"a"))

    def test_three_requests_that_always_come_together_are_held_in_the_end(self):
        play = APlay()
        guilty = [b"a", b"b", b"c"]
        for number in range(4):
            self.assertEqual([], play.crash(number, *guilty))
        self.assertEqual(guilty, play.crash(5, *guilty))

    def test_requests_that_share_all_crashes_with_many_are_not_held(self):
        play = APlay()
        for number in range(20):
            self.assertEqual([], play.crash(number, *(b"%d" % n for n in range(9))))

    def test_old_crashes_are_no_evidence(self):
        play = APlay()
        play.crash(1, b"a")
        play.crash(2, b"a")
        play.now = 2.0 * CFG.evidence_ms
        self.assertEqual([], play.crash(3, b"a"))

    def test_held_request_is_tried_ever_more_seldom_and_at_last_no_more(self):
        play = APlay()
        for number in range(3):
            play.crash(number, b"a")
        waits = []
        for number in range(3, 7):
            wait = play.quarantine.retry_after(b"a")
            waits.append(wait)
            self.assertIsNone(play.quarantine.start_probe(b"a"))
            play.now += wait
            self.assertFalse(play.quarantine.admits(b"a"))
            probe = play.quarantine.start_probe(b"a")
            if number < 6:
                self.assertEqual((number, 0.0), (probe.crashes, probe.age))
                self.assertIsNone(play.quarantine.start_probe(b"a"))
                play.crash(number, b"a")
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(CFG.probe_ms, waits[0])
        self.assertIsNone(probe)

    def test_held_request_that_nobody_asks_for_is_forgotten(self):
        play = APlay()
        for number in range(3):
            play.crash(number, b"a")
        play.now += CFG.idle_ms - 1.0
        self.assertFalse(play.quarantine.admits(b"a"))
        play.now += CFG.idle_ms - 1.0
        self.assertFalse(play.quarantine.admits(b"a"))
        play.now += CFG.idle_ms + 1.0
        self.assertTrue(play.quarantine.admits(b"a"))

    def test_what_others_hold_is_held_here_and_news_once(self):
        play = APlay()
        held = HeldRequest(b"a", "certs", 4, 500.0)
        self.assertTrue(play.quarantine.apply_hold(held))
        self.assertFalse(play.quarantine.apply_hold(held))
        self.assertFalse(play.quarantine.admits(b"a"))
        self.assertEqual([held], list(play.quarantine.held()))
        self.assertTrue(
            play.quarantine.apply_hold(HeldRequest(b"a", "certs", 5, 500.0))
        )

    def test_memory_is_bounded_however_many_requests_crash_servers(self):
        play = APlay(max_suspects=50, max_held=20, max_crashes=30)
        for number in range(200):
            play.crash(number, *(b"%d-%d" % (number, n) for n in range(5)))
            play.quarantine.apply_hold(HeldRequest(b"%d" % number, "certs", 3, 0.0))
        self.assertLessEqual(play.quarantine.n_suspects, 50)
        self.assertLessEqual(play.quarantine.n_held, 20)
