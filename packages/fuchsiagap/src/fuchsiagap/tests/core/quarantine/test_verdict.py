from testtools import TestCase

from fuchsiagap.core.quarantine.verdict import Case, is_convincing


class TestVerdict(TestCase):
    def test_three_crashes_convince_where_they_have_no_other_explanation(self):
        self.assertTrue(is_convincing(Case(crashes=3, rivals=0, others=0)))
        self.assertFalse(is_convincing(Case(crashes=2, rivals=0, others=0)))

    def test_more_are_needed_where_servers_crash_without_the_request(self):
        self.assertFalse(is_convincing(Case(crashes=3, rivals=0, others=1)))
        self.assertTrue(is_convincing(Case(crashes=4, rivals=0, others=9)))

    def test_more_are_needed_where_others_were_at_work_at_as_many(self):
        self.assertFalse(is_convincing(Case(crashes=4, rivals=1, others=0)))
        self.assertTrue(is_convincing(Case(crashes=5, rivals=1, others=0)))

    def test_nobody_is_held_where_servers_crash_whatever_they_run(self):
        self.assertFalse(is_convincing(Case(crashes=9, rivals=3, others=0)))
