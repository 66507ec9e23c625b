from testtools import TestCase

from fuchsiagap.core.quarantine.hold_rule import CrashEvidence, should_hold


class TestVerdict(TestCase):
    def test_three_crashes_convince_where_they_have_no_other_explanation(self):
        self.assertTrue(should_hold(CrashEvidence(crashes=3, competing=0, unrelated=0)))
        self.assertFalse(
            should_hold(CrashEvidence(crashes=2, competing=0, unrelated=0))
        )

    def test_more_are_needed_where_servers_crash_without_the_request(self):
        self.assertFalse(
            should_hold(CrashEvidence(crashes=3, competing=0, unrelated=1))
        )
        self.assertTrue(should_hold(CrashEvidence(crashes=4, competing=0, unrelated=9)))

    def test_more_are_needed_where_others_were_at_work_at_as_many(self):
        self.assertFalse(
            should_hold(CrashEvidence(crashes=4, competing=1, unrelated=0))
        )
        self.assertTrue(should_hold(CrashEvidence(crashes=5, competing=1, unrelated=0)))

    def test_nobody_is_held_where_servers_crash_whatever_they_run(self):
        self.assertFalse(
            should_hold(CrashEvidence(crashes=9, competing=3, unrelated=0))
        )
