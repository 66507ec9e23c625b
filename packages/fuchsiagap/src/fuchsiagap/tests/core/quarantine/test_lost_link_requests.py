from testtools import TestCase

from fuchsiagap.core.quarantine.lost_link_requests import LostLinkRequests


class TestLostLinkRequests(TestCase):
    def test_another_incarnation_shows_that_the_earlier_one_has_ended(self):
        lost = LostLinkRequests()
        lost.record_lost("n", "i-1", b"a", 10.0)
        lost.record_lost("n", "i-1", b"b", 20.0)
        self.assertIsNone(lost.resolve("n", ""))
        self.assertEqual(("i-1", 10.0, {b"a", b"b"}), lost.resolve("n", "i-2"))
        self.assertIsNone(lost.resolve("n", "i-2"))

    def test_same_incarnation_has_not_ended(self):
        lost = LostLinkRequests()
        lost.record_lost("n", "i-1", b"a", 10.0)
        self.assertIsNone(lost.resolve("n", "i-1"))
        self.assertIsNone(lost.resolve("n", "i-2"))

    def test_memory_is_bounded(self):
        lost = LostLinkRequests()
        for number in range(3_000):
            lost.record_lost(f"n-{number}", "i-1", b"a", 10.0)
            lost.record_lost("n", "i-1", b"%d" % number, 10.0)
        self.assertIsNone(lost.resolve("n-0", "i-2"))
        self.assertLess(len(lost.resolve("n", "i-2")[2]), 300)
