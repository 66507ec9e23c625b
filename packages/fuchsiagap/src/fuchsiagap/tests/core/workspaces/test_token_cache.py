from testtools import TestCase

from fuchsiagap.core.workspaces.grants import Grant
from fuchsiagap.core.workspaces.token_cache import TOKEN_LIFETIME_MS, TokenCache


class TestQuotaHoldings(TestCase):
    def setUp(self):
        super().setUp()
        self.held = TokenCache()

    def test_token_is_used_once(self):
        self.held.add("one", Grant(1), 0.0)
        self.assertTrue(self.held.take("one", 1.0))
        self.assertFalse(self.held.take("one", 1.0))

    def test_token_of_a_request_that_has_not_run_is_used_again(self):
        self.held.add("one", Grant(1), 0.0)
        self.held.take("one", 1.0)
        self.held.put_back("one")
        self.assertTrue(self.held.take("one", 2.0))

    def test_token_is_not_kept_for_a_later_window(self):
        self.held.add("one", Grant(5), 0.0)
        self.assertFalse(self.held.take("one", TOKEN_LIFETIME_MS))
        self.held.add("one", Grant(1), TOKEN_LIFETIME_MS)
        self.assertEqual(1, self.held.tokens("one"))

    def test_workspace_with_few_requests_holds_nothing_in_advance(self):
        self.held.count_request("one", 0.0)
        self.assertEqual(1, self.held.wanted("one", 1, 0.0))
        self.held.add("one", Grant(1), 0.0)
        self.held.take("one", 0.0)
        self.assertEqual(0, self.held.wanted("one", 0, 0.0))

    def test_workspace_with_many_requests_asks_ahead(self):
        for n in range(100):
            self.held.count_request("one", 10.0 * n)
        self.assertGreater(self.held.wanted("one", 1, 1_000.0), 10)
        self.held.add("one", Grant(100), 1_000.0)
        self.assertEqual(0, self.held.wanted("one", 0, 1_000.0))

    def test_nobody_asks_for_a_while_after_a_denial(self):
        self.held.add("one", Grant(0, wait=3_000.0), 0.0)
        self.assertEqual(0, self.held.wanted("one", 1, 10.0))
        self.assertEqual(2_990.0, self.held.denied_for("one", 10.0))
        self.assertEqual(0.0, self.held.denied_for("one", 250.0))
        self.assertEqual(1, self.held.wanted("one", 1, 250.0))

    def test_forgets_workspaces_without_requests(self):
        self.held.count_request("one", 0.0)
        self.held.add("one", Grant(3), 0.0)
        self.held.forget(40_000.0)
        self.assertEqual(0, self.held.tokens("one"))
