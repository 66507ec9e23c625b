from testtools import TestCase

from fuchsiagap.core.quarantine.lost_link_requests import LostLinkRequests


class TestLostServers(TestCase):
    def test_another_server_beside_the_node_shows_that_the_earlier_one_has_ended(self):
        servers = LostLinkRequests()
        servers.record_lost("n", "i-1", b"a", 10.0)
        servers.record_lost("n", "i-1", b"b", 20.0)
        self.assertIsNone(servers.resolve("n", ""))
        self.assertEqual(("i-1", 10.0, {b"a", b"b"}), servers.resolve("n", "i-2"))
        self.assertIsNone(servers.resolve("n", "i-2"))

    def test_server_that_is_still_there_lives(self):
        servers = LostLinkRequests()
        servers.record_lost("n", "i-1", b"a", 10.0)
        self.assertIsNone(servers.resolve("n", "i-1"))
        self.assertIsNone(servers.resolve("n", "i-2"))

    def test_memory_is_bounded(self):
        servers = LostLinkRequests()
        for number in range(3_000):
            servers.record_lost(f"n-{number}", "i-1", b"a", 10.0)
            servers.record_lost("n", "i-1", b"%d" % number, 10.0)
        self.assertIsNone(servers.resolve("n-0", "i-2"))
        self.assertLess(len(servers.resolve("n", "i-2")[2]), 300)
