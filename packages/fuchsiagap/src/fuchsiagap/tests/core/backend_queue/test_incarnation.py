import random

from testtools import TestCase

from fuchsiagap.core.backend_queue.incarnation import (
    BackendReport,
    BackendState,
    IncarnationTracker,
)
from fuchsiagap.core.clock import Clock

STOPPED_CLOCK = Clock(now=lambda: 0.0, wall=lambda: 0.0)


def a_report(sequence, state=BackendState.READY, instance="i-1", born=None):
    """Return a report of a backend server."""
    return BackendReport(
        instance, state, sequence, "127.0.0.1:1", 8, 0.0, "certs", born
    )


class TestIncarnation(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.clock = Clock(now=lambda: self.now, wall=lambda: 0.0)
        self.incarnation = IncarnationTracker(self.clock)

    def test_delayed_report_is_ignored(self):
        self.assertTrue(self.incarnation.update(a_report(5)))
        self.assertFalse(self.incarnation.update(a_report(4, BackendState.DRAINING)))
        self.assertIs(BackendState.READY, self.incarnation.report.state)

    def test_draining_is_final(self):
        self.incarnation.update(a_report(1))
        self.incarnation.update(a_report(2, BackendState.DRAINING))
        self.incarnation.update(a_report(3, BackendState.READY))
        self.assertIs(BackendState.DRAINING, self.incarnation.report.state)

    def test_delayed_heartbeat_does_not_revive_a_departed_server(self):
        self.incarnation.update(a_report(1))
        self.assertTrue(self.incarnation.update(a_report(0, BackendState.GONE)))
        self.assertFalse(self.incarnation.update(a_report(9)))
        self.assertIs(BackendState.GONE, self.incarnation.report.state)

    def test_delayed_heartbeat_of_a_superseded_identifier_is_ignored(self):
        self.incarnation.update(a_report(7))
        self.incarnation.update(a_report(1, instance="i-2"))
        self.assertFalse(self.incarnation.update(a_report(8)))
        self.assertEqual("i-2", self.incarnation.report.instance)

    def test_draining_of_an_unknown_identifier_is_ignored(self):
        # The node has restarted and never got a report of i-0 while that was running.
        self.incarnation.update(a_report(1))
        late = a_report(90, BackendState.DRAINING, "i-0")
        self.assertFalse(self.incarnation.update(late))
        self.assertEqual("i-1", self.incarnation.report.instance)
        self.assertIs(BackendState.READY, self.incarnation.report.state)

    def test_refuted_identifier_is_replaced_by_the_one_before(self):
        # Without the refutation the delayed heartbeat would remain current, and each
        # heartbeat of the running server would be ignored as one of a superseded
        # identifier.
        self.incarnation.update(a_report(1))
        self.assertTrue(self.incarnation.update(a_report(90, instance="i-0")))
        self.assertFalse(self.incarnation.update(a_report(2)))
        self.assertTrue(self.incarnation.refute("i-0"))
        self.assertEqual(2, self.incarnation.report.sequence)
        self.assertTrue(self.incarnation.update(a_report(3)))
        self.assertFalse(self.incarnation.update(a_report(91, instance="i-0")))
        self.assertEqual("i-1", self.incarnation.report.instance)

    def test_draining_reported_while_superseded_holds_after_refutation(self):
        self.incarnation.update(a_report(1))
        self.incarnation.update(a_report(90, instance="i-0"))
        self.incarnation.update(a_report(2, BackendState.DRAINING))
        self.incarnation.update(a_report(3))
        self.incarnation.refute("i-0")
        self.assertIs(BackendState.DRAINING, self.incarnation.report.state)

    def test_refuting_the_only_known_identifier_changes_nothing(self):
        # A stray answer must not make a server unusable.
        self.incarnation.update(a_report(1))
        self.assertFalse(self.incarnation.refute("i-1"))
        self.assertFalse(self.incarnation.refute("i-0"))
        self.assertEqual("i-1", self.incarnation.report.instance)

    def test_refutation_does_not_revive_a_departed_identifier(self):
        self.incarnation.update(a_report(1))
        self.incarnation.update(a_report(1, instance="i-2"))
        self.incarnation.update(a_report(0, BackendState.GONE))
        self.assertFalse(self.incarnation.refute("i-2"))
        self.assertEqual("i-2", self.incarnation.report.instance)

    def test_departure_of_an_unknown_identifier_is_ignored(self):
        self.incarnation.update(a_report(1))
        gone = a_report(0, BackendState.GONE, "i-0")
        self.assertFalse(self.incarnation.update(gone))
        self.assertIs(BackendState.READY, self.incarnation.report.state)


class TestRestartUnderTheSameIdentifier(TestCase):
    """A server that crashes or departs may start again under its identifier."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.clock = Clock(now=lambda: self.now, wall=lambda: 0.0)
        self.incarnation = IncarnationTracker(self.clock)

    def current(self):
        """Return state, sequence and start time of the current incarnation."""
        report = self.incarnation.report
        return report.state, report.sequence, report.born

    def test_later_start_is_current_at_once_whatever_its_sequence(self):
        self.incarnation.update(a_report(90, born=1_000))
        self.assertTrue(self.incarnation.update(a_report(1, born=2_000)))
        self.assertEqual((BackendState.READY, 1, 2_000), self.current())

    def test_later_start_is_current_after_the_earlier_one_drained_or_departed(self):
        for state in (BackendState.DRAINING, BackendState.GONE):
            incarnation = IncarnationTracker(self.clock)
            incarnation.update(a_report(90, born=1_000))
            incarnation.update(a_report(91, state, born=1_000))
            self.assertTrue(incarnation.update(a_report(1, born=2_000)))
            self.assertIs(BackendState.READY, incarnation.report.state)
            self.assertTrue(incarnation.update(a_report(2, born=2_000)))

    def test_delayed_reports_of_the_earlier_start_are_ignored(self):
        self.incarnation.update(a_report(90, born=1_000))
        self.incarnation.update(a_report(1, born=2_000))
        for state in BackendState:
            self.assertFalse(self.incarnation.update(a_report(91, state, born=1_000)))
        self.assertEqual((BackendState.READY, 1, 2_000), self.current())

    def test_first_report_of_a_later_start_may_be_draining_or_departure(self):
        for state in (BackendState.DRAINING, BackendState.GONE):
            incarnation = IncarnationTracker(self.clock)
            incarnation.update(a_report(90, born=1_000))
            self.assertTrue(incarnation.update(a_report(5, state, born=2_000)))
            self.assertIs(state, incarnation.report.state)
            self.assertFalse(incarnation.update(a_report(4, born=2_000)))

    def test_later_start_of_a_superseded_identifier(self):
        self.incarnation.update(a_report(90, born=1_000))
        self.incarnation.update(a_report(1, instance="i-2", born=2_000))
        self.assertTrue(self.incarnation.update(a_report(1, born=3_000)))
        self.assertEqual("i-1", self.incarnation.report.instance)

    def test_departure_without_start_time_is_final_for_the_only_start(self):
        self.incarnation.update(a_report(1, born=1_000))
        self.assertTrue(self.incarnation.update(a_report(0, BackendState.GONE)))
        for sequence in range(2, 9):
            self.assertFalse(self.incarnation.update(a_report(sequence, born=1_000)))
        self.assertTrue(self.incarnation.update(a_report(1, born=2_000)))

    def test_delayed_departure_of_the_earlier_start_is_revoked(self):
        # The earlier start never announced its departure, so this may be its own.
        self.incarnation.update(a_report(90, born=1_000))
        self.incarnation.update(a_report(1, born=2_000))
        self.assertTrue(self.incarnation.update(a_report(0, BackendState.GONE)))
        self.assertFalse(self.incarnation.update(a_report(1, born=2_000)))
        self.assertFalse(self.incarnation.update(a_report(2, born=2_000)))
        self.assertFalse(self.incarnation.update(a_report(3, born=2_000)))
        self.assertTrue(self.incarnation.update(a_report(4, born=2_000)))
        self.assertEqual((BackendState.READY, 4, 2_000), self.current())

    def test_earlier_start_is_accepted_after_three_heartbeats_in_a_row(self):
        self.incarnation.update(a_report(90, born=5_000))
        changed = [self.incarnation.update(a_report(n, born=4_000)) for n in (1, 2, 3)]
        self.assertEqual([False, False, True], changed)
        self.assertEqual((BackendState.READY, 3, 4_000), self.current())

    def test_delayed_heartbeats_of_the_earlier_start_do_not_revoke_a_departure(self):
        for state in (BackendState.DRAINING, BackendState.GONE):
            incarnation = IncarnationTracker(self.clock)
            incarnation.update(a_report(1, born=5_000))
            incarnation.update(a_report(2, state, born=5_000))
            for n in range(1, 8):
                self.now += 1_000.0
                self.assertFalse(incarnation.update(a_report(n, born=4_000)))
            self.assertIs(state, incarnation.report.state)

    def test_departure_counts_while_an_earlier_start_is_taken_for_the_current_one(self):
        for state, sequence in ((BackendState.DRAINING, 2), (BackendState.GONE, 0)):
            incarnation = IncarnationTracker(self.clock)
            incarnation.update(a_report(1, born=5_000))
            for n in (1, 2, 3):
                incarnation.update(a_report(n, born=4_000))
            incarnation.update(a_report(sequence, state, born=5_000))
            self.assertIs(state, incarnation.report.state)

    def test_earlier_start_is_accepted_once_its_heartbeats_cannot_be_delayed(self):
        # The wall clock of the host was set back before the server started again.
        for state in (BackendState.DRAINING, BackendState.GONE):
            incarnation = IncarnationTracker(self.clock)
            incarnation.update(a_report(1, born=5_000))
            incarnation.update(a_report(2, state, born=5_000))
            self.now += 12_000.0
            changed = [incarnation.update(a_report(n, born=4_000)) for n in (1, 2, 3)]
            self.assertEqual([False, False, True], changed)
            self.assertIs(BackendState.READY, incarnation.report.state)

    def test_delayed_heartbeats_between_current_ones_are_ignored(self):
        self.incarnation.update(a_report(1, born=5_000))
        for n in range(2, 9):
            self.assertFalse(self.incarnation.update(a_report(n, born=4_000)))
            self.assertTrue(self.incarnation.update(a_report(n, born=5_000)))
        self.assertEqual((BackendState.READY, 8, 5_000), self.current())


def reports_of_incarnations(rng):
    """Return the reports of up to three incarnations of one identifier, in order."""
    reports = []
    for number in range(rng.randint(1, 3)):
        born = 1_000 * (number + 1)
        sequence = rng.randint(0, 50)
        states = [BackendState.READY] * rng.randint(1, 4)
        if rng.random() < 0.5:
            states += [BackendState.DRAINING] * rng.randint(1, 2)
        if rng.random() < 0.5:
            states.append(BackendState.GONE)
        for state in states:
            sequence += 1
            reports.append(a_report(sequence, state, born=born))
    return reports


def oracle(received):
    """Return state and start time that follow from the reports received so far."""
    born = max(r.born for r in received)
    of_the_latest = [r for r in received if r.born == born]
    last = max(of_the_latest, key=lambda r: r.sequence)
    return last.state, born


class TestReportsInAnyOrder(TestCase):
    """Lost, repeated and reordered reports, compared with a simple oracle."""

    N_RUNS = 3_000

    def test_newest_report_of_the_latest_start_is_current(self):
        for seed in range(self.N_RUNS):
            rng = random.Random(seed)
            reports = [r for r in reports_of_incarnations(rng) if rng.random() < 0.8]
            reports += rng.sample(reports, len(reports) // 3)
            # A report may be delayed behind some that were sent after it.
            order = sorted(
                range(len(reports)), key=lambda n: n + rng.choice((0, 0, 3, 9))
            )
            incarnation, received = IncarnationTracker(STOPPED_CLOCK), []
            for n in order:
                incarnation.update(reports[n])
                received.append(reports[n])
                self._check(seed, incarnation.report, received)

    def _check(self, seed, report, received):
        state, born = oracle(received)
        if report is None:
            # Only departures: no incarnation is current.
            self.assertIs(BackendState.GONE, state, seed)
            return
        if born == report.born:
            self.assertIs(state, report.state, seed)
            return
        # An earlier start is accepted only after three heartbeats, with no report of
        # the latest in between.
        self.assertLess(report.born, born, seed)
        of_the_latest = [r.sequence for r in received if r.born == born]
        newest = received.index(
            next(
                r
                for r in received
                if (r.born, r.sequence) == (born, max(of_the_latest))
            )
        )
        heartbeats = [r for r in received[newest:] if r.state is BackendState.READY]
        n_heartbeats = len({(r.born, r.sequence) for r in heartbeats if r.born < born})
        self.assertGreaterEqual(n_heartbeats, 3, seed)
