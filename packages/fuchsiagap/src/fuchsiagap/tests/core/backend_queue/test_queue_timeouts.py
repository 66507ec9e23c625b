from testtools import TestCase

from fuchsiagap.core.backend_queue.queue_timeouts import MAX_LOAD_FACTOR, QueueTimeouts
from fuchsiagap.core.backend_queue.rank_counts import DECAY_MS


def counted_timeouts(now=0.0, **timeouts_of_100):
    """Return the counts of 100 calls per rank, of which the given numbers timed out."""
    timeouts = QueueTimeouts()
    for rank, n_timeouts in timeouts_of_100.items():
        for _ in range(100):
            timeouts.record_arrival(int(rank[1:]), now)
        for _ in range(n_timeouts):
            timeouts.record_timeout(int(rank[1:]), now)
    return timeouts


class TestQueueTimeouts(TestCase):
    def test_factor_is_one_without_timeouts(self):
        self.assertEqual(1.0, QueueTimeouts().load_factor(0.0))
        self.assertEqual(1.0, counted_timeouts(r0=0, r2=0).load_factor(0.0))

    def test_factor_grows_with_timeouts(self):
        factors = [counted_timeouts(r2=n).load_factor(0.0) for n in range(3)]
        self.assertEqual(sorted(set(factors)), factors)
        self.assertAlmostEqual(1.17, factors[1], delta=0.01)

    def test_rank_with_the_highest_share_decides(self):
        self.assertEqual(
            counted_timeouts(r2=1).load_factor(0.0),
            counted_timeouts(r0=0, r1=0, r2=1).load_factor(0.0),
        )

    def test_factor_is_bounded(self):
        self.assertEqual(MAX_LOAD_FACTOR, counted_timeouts(r2=100).load_factor(0.0))

    def test_timeouts_decay(self):
        timeouts = counted_timeouts(r2=1)
        self.assertLess(timeouts.load_factor(10 * DECAY_MS), 1.001)
