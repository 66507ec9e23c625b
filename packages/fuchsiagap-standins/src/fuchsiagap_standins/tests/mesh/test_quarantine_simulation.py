"""Random histories of crashing servers; run the module itself for more seeds."""

from testtools import TestCase

from fuchsiagap_standins.mesh.quarantine_simulation import (
    simulate_histories,
    simulate_history,
)

SEEDS = range(100)


class TestQuarantineSimulation(TestCase):
    def test_bound_holds_and_innocent_requests_are_served(self):
        tables, bad = simulate_histories(SEEDS)
        self.assertEqual([], bad)
        self.assertEqual({0, 1, 2, 3}, set(tables))
        harmless = sum(table.harmless for table in tables.values())
        refused = sum(table.refused for table in tables.values())
        self.assertLess(refused, 0.001 * harmless)
        self.assertGreater(sum(table.crashing for table in tables.values()), 50)

    def test_history_is_reproducible_from_its_seed(self):
        self.assertEqual(simulate_history(7), simulate_history(7))
