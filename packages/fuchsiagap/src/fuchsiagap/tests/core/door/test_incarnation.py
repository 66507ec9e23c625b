from testtools import TestCase

from fuchsiagap.core.door.incarnation import (
    BackendReport,
    BackendState,
    Incarnation,
)


def a_report(sequence, state=BackendState.READY, instance="i-1"):
    """Return a report of a backend server."""
    return BackendReport(instance, state, sequence, "127.0.0.1:1", 8, 0.0, "certs")


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
