"""Knowledge of the configuration never looks younger than it is."""

from itertools import permutations

from testtools import TestCase

from fuchsiagap.core.freshness.config_freshness import ConfigFreshness


class TestKnowledgeAge(TestCase):
    def test_confirmed_revision_moves_the_moment(self):
        known = ConfigFreshness()
        known.confirm(3, 100.0, in_force=3)
        self.assertEqual(100.0, known.as_of)
        known.confirm(3, 50.0, in_force=3)
        self.assertEqual(100.0, known.as_of, "an older word takes nothing back")

    def test_newer_revision_than_the_one_in_force_confirms_nothing_yet(self):
        known = ConfigFreshness()
        known.confirm(3, 100.0, in_force=3)
        known.confirm(4, 200.0, in_force=3)
        self.assertEqual(100.0, known.as_of)
        known.adopt(4)
        self.assertEqual(200.0, known.as_of)

    def test_adopting_less_than_was_confirmed_changes_nothing(self):
        known = ConfigFreshness()
        known.confirm(5, 200.0, in_force=3)
        known.adopt(4)
        self.assertEqual(float("-inf"), known.as_of)

    def test_version_older_than_the_one_in_force_proves_nothing(self):
        known = ConfigFreshness()
        known.confirm(3, 50.0, in_force=3)
        known.confirm(2, 100.0, in_force=3)
        self.assertEqual(50.0, known.as_of)

    def test_no_order_of_words_makes_knowledge_too_young(self):
        # Revisions 1, 2 and 3 were accepted at 0, 100 and 200.
        words = [(1, 90.0), (2, 190.0), (3, 290.0), (2, 150.0)]
        for order in permutations(words):
            for adoptions in permutations((1, 2, 3), 2):
                known = ConfigFreshness()
                in_force = 0
                for at, (revision, as_of) in enumerate(order):
                    known.confirm(revision, as_of, in_force)
                    if at < 2 and adoptions[at] > in_force:
                        in_force = adoptions[at]
                        known.adopt(in_force)
                    newest = max(
                        (r for r in (1, 2, 3) if 100.0 * (r - 1) <= known.as_of),
                        default=0,
                    )
                    self.assertLessEqual(newest, in_force)
