from testtools import TestCase

from fuchsiagap.core.quarantine.hold_rule import CrashEvidence, should_hold


class TestHoldRule(TestCase):
    def test_three_crashes_suffice_without_another_explanation(self):
        self.assertTrue(should_hold(CrashEvidence(crashes=3, competing=0, unrelated=0)))
        self.assertFalse(
            should_hold(CrashEvidence(crashes=2, competing=0, unrelated=0))
        )

    def test_unrelated_crashes_require_more_evidence(self):
        self.assertFalse(
            should_hold(CrashEvidence(crashes=3, competing=0, unrelated=1))
        )
        self.assertTrue(should_hold(CrashEvidence(crashes=4, competing=0, unrelated=9)))

    def test_competing_requests_require_more_evidence(self):
        self.assertFalse(
            should_hold(CrashEvidence(crashes=4, competing=1, unrelated=0))
        )
        self.assertTrue(should_hold(CrashEvidence(crashes=5, competing=1, unrelated=0)))

    def test_nothing_is_held_if_many_requests_compete(self):
        self.assertFalse(
            should_hold(CrashEvidence(crashes=9, competing=3, unrelated=0))
        )
