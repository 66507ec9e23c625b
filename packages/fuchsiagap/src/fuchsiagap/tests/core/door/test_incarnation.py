import random

from testtools import TestCase

from fuchsiagap.core.backend_queue.incarnation import (
    BackendReport,
    BackendState,
    Incarnation,
)


def a_report(sequence, state=BackendState.READY, instance="i-1", born=None):
    """Return a report of a backend server."""
    return BackendReport(
        instance, state, sequence, "127.0.0.1:1", 8, 0.0, "certs", born
    )


class TestIncarnation(TestCase):
    def setUp(self):
        super().setUp()
        self.incarnation = Incarnation()

    def test_late_report_changes_nothing(self):
        self.assertTrue(self.incarnation.take(a_report(5)))
        self.assertFalse(self.incarnation.take(a_report(4, BackendState.DRAINING)))
        self.assertIs(BackendState.READY, self.incarnation.report.state)

    def test_leaving_is_not_taken_back(self):
        self.incarnation.take(a_report(1))
        self.incarnation.take(a_report(2, BackendState.DRAINING))
        self.incarnation.take(a_report(3, BackendState.READY))
        self.assertIs(BackendState.DRAINING, self.incarnation.report.state)

    def test_late_heartbeat_does_not_bring_back_who_has_left(self):
        self.incarnation.take(a_report(1))
        self.assertTrue(self.incarnation.take(a_report(0, BackendState.GONE)))
        self.assertFalse(self.incarnation.take(a_report(9)))
        self.assertIs(BackendState.GONE, self.incarnation.report.state)

    def test_late_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        self.incarnation.take(a_report(7))
        self.incarnation.take(a_report(1, instance="i-2"))
        self.assertFalse(self.incarnation.take(a_report(8)))
        self.assertEqual("i-2", self.incarnation.report.instance)

    def test_late_draining_of_an_unknown_incarnation_drains_nobody(self):
        # The node was started anew and never heard of i-0 while that lived.
        self.incarnation.take(a_report(1))
        late = a_report(90, BackendState.DRAINING, "i-0")
        self.assertFalse(self.incarnation.take(late))
        self.assertEqual("i-1", self.incarnation.report.instance)
        self.assertIs(BackendState.READY, self.incarnation.report.state)

    def test_server_that_denies_a_late_heartbeat_is_the_one_known_before(self):
        # Without the server's word the late one would stand, and each heartbeat of the
        # one that lives would be taken for one of an earlier incarnation.
        self.incarnation.take(a_report(1))
        self.assertTrue(self.incarnation.take(a_report(90, instance="i-0")))
        self.assertFalse(self.incarnation.take(a_report(2)))
        self.assertTrue(self.incarnation.refute("i-0"))
        self.assertEqual(2, self.incarnation.report.sequence)
        self.assertTrue(self.incarnation.take(a_report(3)))
        self.assertFalse(self.incarnation.take(a_report(91, instance="i-0")))
        self.assertEqual("i-1", self.incarnation.report.instance)

    def test_leaving_that_was_told_meanwhile_is_not_forgotten(self):
        self.incarnation.take(a_report(1))
        self.incarnation.take(a_report(90, instance="i-0"))
        self.incarnation.take(a_report(2, BackendState.DRAINING))
        self.incarnation.take(a_report(3))
        self.incarnation.refute("i-0")
        self.assertIs(BackendState.DRAINING, self.incarnation.report.state)

    def test_denial_of_the_only_one_known_changes_nothing(self):
        # A stray answer must not put a server out of use.
        self.incarnation.take(a_report(1))
        self.assertFalse(self.incarnation.refute("i-1"))
        self.assertFalse(self.incarnation.refute("i-0"))
        self.assertEqual("i-1", self.incarnation.report.instance)

    def test_who_has_left_is_not_believed_in_again(self):
        self.incarnation.take(a_report(1))
        self.incarnation.take(a_report(1, instance="i-2"))
        self.incarnation.take(a_report(0, BackendState.GONE))
        self.assertFalse(self.incarnation.refute("i-2"))
        self.assertEqual("i-2", self.incarnation.report.instance)

    def test_leaving_of_an_unknown_incarnation_leaves_the_known_one(self):
        self.incarnation.take(a_report(1))
        gone = a_report(0, BackendState.GONE, "i-0")
        self.assertFalse(self.incarnation.take(gone))
        self.assertIs(BackendState.READY, self.incarnation.report.state)


class TestStartUnderTheSameIdentifier(TestCase):
    """A server that crashes or leaves may start again under its identifier."""

    def setUp(self):
        super().setUp()
        self.incarnation = Incarnation()

    def believed(self):
        """Return state, sequence and start of what is believed."""
        report = self.incarnation.report
        return report.state, report.sequence, report.born

    def test_later_start_counts_at_once_whatever_its_sequence(self):
        self.incarnation.take(a_report(90, born=1_000))
        self.assertTrue(self.incarnation.take(a_report(1, born=2_000)))
        self.assertEqual((BackendState.READY, 1, 2_000), self.believed())

    def test_later_start_counts_after_the_earlier_one_had_drained_or_left(self):
        for state in (BackendState.DRAINING, BackendState.GONE):
            incarnation = Incarnation()
            incarnation.take(a_report(90, born=1_000))
            incarnation.take(a_report(91, state, born=1_000))
            self.assertTrue(incarnation.take(a_report(1, born=2_000)))
            self.assertIs(BackendState.READY, incarnation.report.state)
            self.assertTrue(incarnation.take(a_report(2, born=2_000)))

    def test_late_words_of_the_earlier_start_change_nothing(self):
        self.incarnation.take(a_report(90, born=1_000))
        self.incarnation.take(a_report(1, born=2_000))
        for state in BackendState:
            self.assertFalse(self.incarnation.take(a_report(91, state, born=1_000)))
        self.assertEqual((BackendState.READY, 1, 2_000), self.believed())

    def test_later_start_that_is_first_heard_of_as_it_leaves(self):
        for state in (BackendState.DRAINING, BackendState.GONE):
            incarnation = Incarnation()
            incarnation.take(a_report(90, born=1_000))
            self.assertTrue(incarnation.take(a_report(5, state, born=2_000)))
            self.assertIs(state, incarnation.report.state)
            self.assertFalse(incarnation.take(a_report(4, born=2_000)))

    def test_later_start_of_a_superseded_identifier(self):
        self.incarnation.take(a_report(90, born=1_000))
        self.incarnation.take(a_report(1, instance="i-2", born=2_000))
        self.assertTrue(self.incarnation.take(a_report(1, born=3_000)))
        self.assertEqual("i-1", self.incarnation.report.instance)

    def test_leaving_without_a_start_is_final_where_nobody_else_can_have_said_it(self):
        self.incarnation.take(a_report(1, born=1_000))
        self.assertTrue(self.incarnation.take(a_report(0, BackendState.GONE)))
        for sequence in range(2, 9):
            self.assertFalse(self.incarnation.take(a_report(sequence, born=1_000)))
        self.assertTrue(self.incarnation.take(a_report(1, born=2_000)))

    def test_late_leaving_of_the_earlier_start_does_not_hold(self):
        # The earlier one was never heard to leave, so the word may be its own.
        self.incarnation.take(a_report(90, born=1_000))
        self.incarnation.take(a_report(1, born=2_000))
        self.assertTrue(self.incarnation.take(a_report(0, BackendState.GONE)))
        self.assertFalse(self.incarnation.take(a_report(1, born=2_000)))
        self.assertFalse(self.incarnation.take(a_report(2, born=2_000)))
        self.assertFalse(self.incarnation.take(a_report(3, born=2_000)))
        self.assertTrue(self.incarnation.take(a_report(4, born=2_000)))
        self.assertEqual((BackendState.READY, 4, 2_000), self.believed())

    def test_clock_that_went_back_is_believed_after_some_heartbeats(self):
        self.incarnation.take(a_report(90, born=5_000))
        taken = [self.incarnation.take(a_report(n, born=4_000)) for n in (1, 2, 3)]
        self.assertEqual([False, False, True], taken)
        self.assertEqual((BackendState.READY, 3, 4_000), self.believed())

    def test_held_up_heartbeats_between_those_of_the_living_change_nothing(self):
        self.incarnation.take(a_report(1, born=5_000))
        for n in range(2, 9):
            self.assertFalse(self.incarnation.take(a_report(n, born=4_000)))
            self.assertTrue(self.incarnation.take(a_report(n, born=5_000)))
        self.assertEqual((BackendState.READY, 8, 5_000), self.believed())


def words_of_lives(rng):
    """Return what up to three incarnations of one identifier say, in order."""
    words = []
    for life in range(rng.randint(1, 3)):
        born = 1_000 * (life + 1)
        sequence = rng.randint(0, 50)
        states = [BackendState.READY] * rng.randint(1, 4)
        if rng.random() < 0.5:
            states += [BackendState.DRAINING] * rng.randint(1, 2)
        if rng.random() < 0.5:
            states.append(BackendState.GONE)
        for state in states:
            sequence += 1
            words.append(a_report(sequence, state, born=born))
    return words


def oracle(heard):
    """Return state and start that the words heard so far stand for."""
    born = max(word.born for word in heard)
    of_the_last = [word for word in heard if word.born == born]
    last = max(of_the_last, key=lambda word: word.sequence)
    return last.state, born


class TestWordsInAnyOrder(TestCase):
    """Words that are lost, repeated and come in any order, against a slow oracle."""

    N_RUNS = 3_000

    def test_the_newest_word_of_the_latest_start_counts(self):
        for seed in range(self.N_RUNS):
            rng = random.Random(seed)
            words = [w for w in words_of_lives(rng) if rng.random() < 0.8]
            words += rng.sample(words, len(words) // 3)
            # A word is held up behind some that were said after it.
            order = sorted(
                range(len(words)), key=lambda n: n + rng.choice((0, 0, 3, 9))
            )
            incarnation, heard = Incarnation(), []
            for n in order:
                incarnation.take(words[n])
                heard.append(words[n])
                self._check(seed, incarnation.report, heard)

    def _check(self, seed, report, heard):
        state, born = oracle(heard)
        if report is None:
            # Nothing but leavings: nobody is believed in.
            self.assertIs(BackendState.GONE, state, seed)
            return
        if born == report.born:
            self.assertIs(state, report.state, seed)
            return
        # An earlier one is believed only after three heartbeats, with no news of the
        # latest in between.
        self.assertLess(report.born, born, seed)
        of_the_last = [word.sequence for word in heard if word.born == born]
        newest = heard.index(
            next(w for w in heard if (w.born, w.sequence) == (born, max(of_the_last)))
        )
        beats = [w for w in heard[newest:] if w.state is BackendState.READY]
        n_beats = len({(w.born, w.sequence) for w in beats if w.born < born})
        self.assertGreaterEqual(n_beats, 3, seed)
