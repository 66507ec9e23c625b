from testtools import TestCase

from fuchsiagap.core.backend_queue.lost import MOST_STRAIN, LostTrees
from fuchsiagap.core.backend_queue.rank_counts import COUNTED_MS


def trees(now=0.0, **lost_of_a_hundred):
    """Return the count of a hundred calls a rank, so many of which were lost."""
    found = LostTrees()
    for rank, n_lost in lost_of_a_hundred.items():
        for _ in range(100):
            found.note_arrival(int(rank[1:]), now)
        for _ in range(n_lost):
            found.note_lost(int(rank[1:]), now)
    return found


class TestLostTrees(TestCase):
    def test_load_counts_as_it_is_where_none_is_lost(self):
        self.assertEqual(1.0, LostTrees().strain(0.0))
        self.assertEqual(1.0, trees(r0=0, r2=0).strain(0.0))

    def test_load_counts_more_the_more_are_lost(self):
        strains = [trees(r2=n).strain(0.0) for n in range(3)]
        self.assertEqual(sorted(set(strains)), strains)
        self.assertAlmostEqual(1.17, strains[1], delta=0.01)

    def test_rank_that_loses_most_decides(self):
        self.assertEqual(trees(r2=1).strain(0.0), trees(r0=0, r1=0, r2=1).strain(0.0))

    def test_load_never_counts_much_more(self):
        self.assertEqual(MOST_STRAIN, trees(r2=100).strain(0.0))

    def test_what_was_lost_is_forgotten(self):
        found = trees(r2=1)
        self.assertLess(found.strain(10 * COUNTED_MS), 1.001)
