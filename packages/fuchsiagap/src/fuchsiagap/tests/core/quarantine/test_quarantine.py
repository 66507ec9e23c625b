"""Evidence against requests on one node, with a simulated clock."""

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.quarantine.quarantine import (
    Crash,
    HeldRequest,
    Quarantine,
    QuarantineSettings,
)

CFG = QuarantineSettings()


class QuarantineFixture:
    """A quarantine and its simulated clock."""

    def __init__(self, **changes):
        self.now = 0.0
        cfg = QuarantineSettings(**changes)
        self.quarantine = Quarantine(cfg, Clock(lambda: self.now, lambda: 0.0))

    def crash(self, number, *fingerprints, age=0.0):
        """Record the crash of a server; return the fingerprints newly held."""
        crash = Crash(f"i-{number}", "certs", age, frozenset(fingerprints))
        self.quarantine.record_crash(crash)
        return [held.fingerprint for held in self.quarantine.evaluate(crash)]


class TestQuarantine(TestCase):
    def test_request_in_flight_at_three_crashes_is_held(self):
        fixture = QuarantineFixture()
        self.assertEqual([], fixture.crash(1, b"crashing", b"a"))
        self.assertEqual([], fixture.crash(2, b"crashing", b"b"))
        self.assertTrue(fixture.quarantine.admits(b"crashing"))
        self.assertEqual([b"crashing"], fixture.crash(3, b"crashing", b"c"))
        self.assertFalse(fixture.quarantine.admits(b"crashing"))
        self.assertTrue(fixture.quarantine.admits(b"a"))

    def test_crash_reported_again_counts_once(self):
        fixture = QuarantineFixture()
        for _ in range(5):
            self.assertEqual([], fixture.crash(1, b"crashing"))
        self.assertEqual(
            frozenset(),
            fixture.quarantine.record_crash(
                Crash("i-1", "certs", 0.0, frozenset({b"crashing"}))
            ),
        )

    def test_answer_clears_a_request_for_the_retention_time(self):
        fixture = QuarantineFixture()
        fixture.crash(1, b"common")
        self.assertTrue(fixture.quarantine.record_answer(b"common"))
        for number in range(2, 9):
            self.assertEqual([], fixture.crash(number, b"common"))
        fixture.now = 3.0 * CFG.answered_ms
        fixture.quarantine.record_answer(b"other")
        for number in (11, 12):
            self.assertEqual([], fixture.crash(number, b"common"))
        self.assertEqual([b"common"], fixture.crash(13, b"common"))

    def test_old_crashes_of_other_suspects_do_not_delay_a_hold(self):
        fixture = QuarantineFixture()
        for number in range(4):
            fixture.crash(number, b"a", b"b")
        fixture.now = CFG.evidence_ms + 1.0
        for number in (11, 12):
            self.assertEqual([], fixture.crash(number, b"crashing"))
        self.assertEqual([b"crashing"], fixture.crash(13, b"crashing"))

    def test_one_crash_makes_no_strong_suspect(self):
        fixture = QuarantineFixture()
        fixture.crash(1, b"a")
        self.assertFalse(fixture.quarantine.is_strong_suspect(b"a"))
        fixture.crash(2, b"a")
        self.assertTrue(fixture.quarantine.is_strong_suspect(b"a"))

    def test_answer_seen_by_another_node_releases_a_held_request(self):
        fixture = QuarantineFixture()
        for number in range(3):
            fixture.crash(number, b"a")
        self.assertFalse(fixture.quarantine.admits(b"a"))
        self.assertTrue(fixture.quarantine.apply_clearance(b"a"))
        self.assertTrue(fixture.quarantine.admits(b"a"))
        self.assertFalse(fixture.quarantine.apply_clearance(b"a"))
        self.assertFalse(
            fixture.quarantine.apply_hold(HeldRequest(b"a", "certs", 3, 0.0))
        )

    def test_unrelated_crashes_count_in_favour_of_a_request(self):
        fixture = QuarantineFixture()
        for number in range(10):
            fixture.crash(f"other-{number}", b"%d" % number)
        for number in range(3):
            self.assertEqual([], fixture.crash(number, b"a"))
        self.assertEqual([b"a"], fixture.crash(3, b"a"))

    def test_crashes_explained_by_a_held_request_are_not_unrelated(self):
        fixture = QuarantineFixture()
        for number in range(3):
            fixture.crash(f"first-{number}", b"one")
        for number in range(2):
            fixture.crash(number, b"two")
        self.assertEqual([b"two"], fixture.crash(2, b"two"))

    def test_requests_at_the_same_crashes_are_not_held_at_first(self):
        fixture = QuarantineFixture()
        for number in range(4):
            self.assertEqual([], fixture.crash(number, b"a", b"b"))
        fixture.quarantine.record_answer(b"b")
        self.assertEqual([b"a"], fixture.crash(5, b"a"))

    def test_three_requests_always_in_flight_together_are_held_eventually(self):
        fixture = QuarantineFixture()
        crashing = [b"a", b"b", b"c"]
        for number in range(4):
            self.assertEqual([], fixture.crash(number, *crashing))
        self.assertEqual(crashing, fixture.crash(5, *crashing))

    def test_requests_that_share_all_crashes_with_many_are_not_held(self):
        fixture = QuarantineFixture()
        for number in range(20):
            self.assertEqual([], fixture.crash(number, *(b"%d" % n for n in range(9))))

    def test_old_crashes_are_no_evidence(self):
        fixture = QuarantineFixture()
        fixture.crash(1, b"a")
        fixture.crash(2, b"a")
        fixture.now = 2.0 * CFG.evidence_ms
        self.assertEqual([], fixture.crash(3, b"a"))

    def test_held_request_is_probed_with_growing_delays_and_finally_not_at_all(self):
        fixture = QuarantineFixture()
        for number in range(3):
            fixture.crash(number, b"a")
        waits = []
        for number in range(3, 7):
            wait = fixture.quarantine.retry_after(b"a")
            waits.append(wait)
            self.assertIsNone(fixture.quarantine.start_probe(b"a"))
            fixture.now += wait
            self.assertFalse(fixture.quarantine.admits(b"a"))
            probe = fixture.quarantine.start_probe(b"a")
            if number < 6:
                self.assertEqual((number, 0.0), (probe.crashes, probe.age))
                self.assertIsNone(fixture.quarantine.start_probe(b"a"))
                fixture.crash(number, b"a")
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(CFG.probe_ms, waits[0])
        self.assertIsNone(probe)

    def test_idle_held_request_is_released(self):
        fixture = QuarantineFixture()
        for number in range(3):
            fixture.crash(number, b"a")
        fixture.now += CFG.idle_ms - 1.0
        self.assertFalse(fixture.quarantine.admits(b"a"))
        fixture.now += CFG.idle_ms - 1.0
        self.assertFalse(fixture.quarantine.admits(b"a"))
        fixture.now += CFG.idle_ms + 1.0
        self.assertTrue(fixture.quarantine.admits(b"a"))

    def test_hold_of_another_node_is_applied_and_new_once(self):
        fixture = QuarantineFixture()
        held = HeldRequest(b"a", "certs", 4, 500.0)
        self.assertTrue(fixture.quarantine.apply_hold(held))
        self.assertFalse(fixture.quarantine.apply_hold(held))
        self.assertFalse(fixture.quarantine.admits(b"a"))
        self.assertEqual([held], list(fixture.quarantine.held()))
        self.assertTrue(
            fixture.quarantine.apply_hold(HeldRequest(b"a", "certs", 5, 500.0))
        )

    def test_held_request_does_not_count_as_a_suspect(self):
        fixture = QuarantineFixture()
        for number in range(3):
            fixture.crash(number, b"crashing", b"%d" % number)
        self.assertEqual(
            (1, 3), (fixture.quarantine.n_held, fixture.quarantine.n_suspects)
        )

    def test_memory_is_bounded(self):
        fixture = QuarantineFixture(max_suspects=50, max_held=20, max_crashes=30)
        for number in range(200):
            fixture.crash(number, *(b"%d-%d" % (number, n) for n in range(5)))
            fixture.quarantine.apply_hold(HeldRequest(b"%d" % number, "certs", 3, 0.0))
        self.assertLessEqual(fixture.quarantine.n_suspects, 50)
        self.assertLessEqual(fixture.quarantine.n_held, 20)
