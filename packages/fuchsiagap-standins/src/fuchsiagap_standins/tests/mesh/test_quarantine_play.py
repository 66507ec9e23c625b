"""Random histories of crashing servers; many thousand more are played by hand."""

from testtools import TestCase

from fuchsiagap_standins.mesh.quarantine_play import play_history, play_many

SEEDS = range(100)


class TestQuarantinePlay(TestCase):
    def test_bound_holds_and_innocent_requests_are_served(self):
        tables, bad = play_many(SEEDS)
        self.assertEqual([], bad)
        self.assertEqual({0, 1, 2, 3}, set(tables))
        innocent = sum(table.innocent for table in tables.values())
        refused = sum(table.refused for table in tables.values())
        self.assertLess(refused, 0.001 * innocent)
        self.assertGreater(sum(table.guilty for table in tables.values()), 50)

    def test_history_of_one_seed_is_the_same_again(self):
        self.assertEqual(play_history(7), play_history(7))
