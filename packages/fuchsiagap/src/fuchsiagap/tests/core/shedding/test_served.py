from testtools import TestCase

from fuchsiagap.core.shedding.served import DECAY_MS, ServedShares


def shares_of(**kinds):
    """Return the counts of kinds, each given as (served, failed, refused)."""
    shares = ServedShares()
    for kind, (served, failed, refused) in kinds.items():
        for _ in range(served):
            shares.record_end(kind, True, 0.0)
        for _ in range(failed):
            shares.record_end(kind, False, 0.0)
        for _ in range(refused):
            shares.record_refused(kind, 0.0)
    return shares


class TestServedShares(TestCase):
    def test_first_requests_hardly_change_the_share(self):
        self.assertEqual(1.0, ServedShares().overall_share(0.0))
        self.assertGreater(shares_of(read=(0, 0, 2)).overall_share(0.0), 0.6)

    def test_share_is_of_all_requests_and_success_of_admitted_ones(self):
        shares = shares_of(read=(100, 300, 600))
        ((_, read),) = shares.all(0.0)
        self.assertAlmostEqual(0.1, read.share(), delta=0.01)
        self.assertAlmostEqual(0.25, read.success(), delta=0.01)

    def test_kinds_are_weighted_by_their_requests(self):
        shares = shares_of(read=(0, 0, 300), write=(100, 0, 0))
        self.assertAlmostEqual(0.25, shares.overall_share(0.0), delta=0.01)

    def test_old_requests_no_longer_count(self):
        shares = shares_of(read=(0, 0, 300))
        for _ in range(300):
            shares.record_end("read", True, 5.0 * DECAY_MS)
        self.assertGreater(shares.overall_share(5.0 * DECAY_MS), 0.98)
        self.assertEqual([], list(shares.all(30.0 * DECAY_MS)))
