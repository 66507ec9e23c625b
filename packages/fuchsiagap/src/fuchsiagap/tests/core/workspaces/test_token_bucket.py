from testtools import TestCase

from fuchsiagap.core.workspaces.token_bucket import TokenBucket


class TestTokenBucket(TestCase):
    def test_refills_at_the_rate_up_to_the_burst(self):
        bucket = TokenBucket(0.0, is_full=False)
        bucket.fill(10.0, 5.0, 200.0)
        self.assertEqual(2, bucket.take(9))
        bucket.fill(10.0, 5.0, 10_000.0)
        self.assertEqual(5, bucket.take(9))

    def test_full_bucket_holds_the_burst(self):
        bucket = TokenBucket(0.0, is_full=True)
        bucket.fill(10.0, 5.0, 0.0)
        self.assertEqual(5, bucket.take(9))

    def test_lowered_burst_takes_effect_at_once(self):
        bucket = TokenBucket(0.0, is_full=True)
        bucket.fill(10.0, 50.0, 0.0)
        bucket.fill(1.0, 3.0, 1.0)
        self.assertEqual(3, bucket.take(9))

    def test_rate_without_a_burst_admits_single_requests(self):
        bucket = TokenBucket(0.0, is_full=False)
        bucket.fill(2.0, 0.0, 600.0)
        self.assertEqual(1, bucket.take(9))
