from testtools import TestCase

from fuchsiagap.core.workspaces.grants import MAX_WAIT_MS, MIN_WAIT_MS, QuotaGrants
from fuchsiagap.core.workspaces.model import Workspace

TEN = Workspace("ten", rate=10.0, burst=8.0)


class TestQuotaGrants(TestCase):
    def test_all_nodes_together_get_rate_and_burst(self):
        grants = QuotaGrants()
        granted = 0
        for now in range(0, 10_000, 10):
            for _node in range(20):
                granted += grants.grant(TEN, 3, float(now), begins_full=True).tokens
        self.assertLessEqual(granted, 10 * 10 + 8)
        self.assertGreaterEqual(granted, 10 * 10 + 7)

    def test_new_owner_starts_without_the_burst(self):
        grants = QuotaGrants()
        grant = grants.grant(TEN, 3, 0.0)
        self.assertEqual(0, grant.tokens)
        self.assertGreaterEqual(grant.wait, MIN_WAIT_MS)
        self.assertGreater(grants.grant(TEN, 3, 300.0).tokens, 0)

    def test_one_grant_leaves_tokens_for_other_nodes(self):
        grants = QuotaGrants()
        first = grants.grant(TEN, 8, 0.0, begins_full=True)
        self.assertLess(first.tokens, 8)
        self.assertEqual(0.0, first.wait, "it may ask again at once")
        self.assertGreater(grants.grant(TEN, 1, 0.0).tokens, 0)

    def test_wait_grows_with_denied_requests(self):
        grants = QuotaGrants()
        waits = [grants.grant(TEN, 10, 0.0).wait for _ in range(20)]
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(MAX_WAIT_MS, waits[-1])

    def test_share_of_a_quota_on_one_side_of_a_partition(self):
        grants = QuotaGrants()
        granted = sum(
            grants.grant(TEN, 5, float(now), share=1 / 3).tokens
            for now in range(0, 30_000, 50)
        )
        self.assertLessEqual(granted, 100)
        self.assertGreaterEqual(granted, 95)

    def test_lowered_limit_applies_to_the_next_grant(self):
        grants = QuotaGrants()
        grants.grant(TEN, 1, 0.0, begins_full=True)
        lower = Workspace("ten", rate=1.0, burst=1.0)
        granted = sum(
            grants.grant(lower, 5, float(now)).tokens for now in range(10, 10_000, 50)
        )
        self.assertLessEqual(granted, 11)

    def test_idle_bucket_is_removed(self):
        grants = QuotaGrants()
        grants.grant(TEN, 1, 0.0)
        self.assertIsNotNone(grants.level("ten"))
        grants.forget(120_000.0)
        self.assertIsNone(grants.level("ten"))
