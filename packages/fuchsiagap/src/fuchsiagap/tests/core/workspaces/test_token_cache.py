from testtools import TestCase

from fuchsiagap.core.workspaces.grants import Grant
from fuchsiagap.core.workspaces.token_cache import TOKEN_LIFETIME_MS, TokenCache


class TestTokenCache(TestCase):
    def setUp(self):
        super().setUp()
        self.cache = TokenCache()

    def test_token_is_used_once(self):
        self.cache.add("one", Grant(1), 0.0)
        self.assertTrue(self.cache.take("one", 1.0))
        self.assertFalse(self.cache.take("one", 1.0))

    def test_token_of_a_request_that_was_not_run_is_reused(self):
        self.cache.add("one", Grant(1), 0.0)
        self.cache.take("one", 1.0)
        self.cache.put_back("one")
        self.assertTrue(self.cache.take("one", 2.0))

    def test_token_expires(self):
        self.cache.add("one", Grant(5), 0.0)
        self.assertFalse(self.cache.take("one", TOKEN_LIFETIME_MS))
        self.cache.add("one", Grant(1), TOKEN_LIFETIME_MS)
        self.assertEqual(1, self.cache.tokens("one"))

    def test_no_tokens_are_prefetched_for_few_requests(self):
        self.cache.count_request("one", 0.0)
        self.assertEqual(1, self.cache.wanted("one", 1, 0.0))
        self.cache.add("one", Grant(1), 0.0)
        self.cache.take("one", 0.0)
        self.assertEqual(0, self.cache.wanted("one", 0, 0.0))

    def test_tokens_are_prefetched_for_many_requests(self):
        for n in range(100):
            self.cache.count_request("one", 10.0 * n)
        self.assertGreater(self.cache.wanted("one", 1, 1_000.0), 10)
        self.cache.add("one", Grant(100), 1_000.0)
        self.assertEqual(0, self.cache.wanted("one", 0, 1_000.0))

    def test_no_tokens_are_requested_for_a_while_after_a_denial(self):
        self.cache.add("one", Grant(0, wait=3_000.0), 0.0)
        self.assertEqual(0, self.cache.wanted("one", 1, 10.0))
        self.assertEqual(2_990.0, self.cache.denied_for("one", 10.0))
        self.assertEqual(0.0, self.cache.denied_for("one", 250.0))
        self.assertEqual(1, self.cache.wanted("one", 1, 250.0))

    def test_idle_workspace_is_removed(self):
        self.cache.count_request("one", 0.0)
        self.cache.add("one", Grant(3), 0.0)
        self.cache.forget(40_000.0)
        self.assertEqual(0, self.cache.tokens("one"))
