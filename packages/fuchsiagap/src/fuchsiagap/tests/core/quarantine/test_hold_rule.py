from testtools import TestCase

from fuchsiagap.core.quarantine.hold_rule import CrashEvidence, should_hold


class TestVerdict(TestCase):
    def test_three_crashes_convince_where_they_have_no_other_explanation(self):
        self.assertTrue(should_hold(CrashEvidence(crashes=3, rivals=0, others=0)))
        self.assertFalse(should_hold(CrashEvidence(crashes=2, rivals=0, others=0)))

    def test_more_are_needed_where_servers_crash_without_the_request(self):
        self.assertFalse(should_hold(CrashEvidence(crashes=3, rivals=0, others=1)))
        self.assertTrue(should_hold(CrashEvidence(crashes=4, rivals=0, others=9)))

    def test_more_are_needed_where_others_were_at_work_at_as_many(self):
        self.assertFalse(should_hold(CrashEvidence(crashes=4, rivals=1, others=0)))
        self.assertTrue(should_hold(CrashEvidence(crashes=5, rivals=1, others=0)))

    def test_nobody_is_held_where_servers_crash_whatever_they_run(self):
        self.assertFalse(should_hold(CrashEvidence(crashes=9, rivals=3, others=0)))
