"""The configuration in force never appears fresher than it is."""

from itertools import permutations

from testtools import TestCase

from fuchsiagap.core.freshness.config_freshness import ConfigFreshness


class TestConfigFreshness(TestCase):
    def test_confirmed_version_advances_as_of(self):
        freshness = ConfigFreshness()
        freshness.confirm(3, 100.0, in_force=3)
        self.assertEqual(100.0, freshness.as_of)
        freshness.confirm(3, 50.0, in_force=3)
        self.assertEqual(
            100.0, freshness.as_of, "an older confirmation changes nothing"
        )

    def test_newer_version_counts_once_it_is_in_force(self):
        freshness = ConfigFreshness()
        freshness.confirm(3, 100.0, in_force=3)
        freshness.confirm(4, 200.0, in_force=3)
        self.assertEqual(100.0, freshness.as_of)
        freshness.adopt(4)
        self.assertEqual(200.0, freshness.as_of)

    def test_adopting_an_older_version_than_confirmed_changes_nothing(self):
        freshness = ConfigFreshness()
        freshness.confirm(5, 200.0, in_force=3)
        freshness.adopt(4)
        self.assertEqual(float("-inf"), freshness.as_of)

    def test_version_older_than_the_one_in_force_proves_nothing(self):
        freshness = ConfigFreshness()
        freshness.confirm(3, 50.0, in_force=3)
        freshness.confirm(2, 100.0, in_force=3)
        self.assertEqual(50.0, freshness.as_of)

    def test_no_order_of_confirmations_makes_as_of_too_late(self):
        # Versions 1, 2 and 3 were accepted at 0, 100 and 200 ms.
        confirmations = [(1, 90.0), (2, 190.0), (3, 290.0), (2, 150.0)]
        for order in permutations(confirmations):
            for adoptions in permutations((1, 2, 3), 2):
                freshness = ConfigFreshness()
                in_force = 0
                for at, (version, as_of) in enumerate(order):
                    freshness.confirm(version, as_of, in_force)
                    if at < 2 and adoptions[at] > in_force:
                        in_force = adoptions[at]
                        freshness.adopt(in_force)
                    newest = max(
                        (v for v in (1, 2, 3) if 100.0 * (v - 1) <= freshness.as_of),
                        default=0,
                    )
                    self.assertLessEqual(newest, in_force)
