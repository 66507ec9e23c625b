import random

from testtools import TestCase

from fuchsiagap.core.freshness.source_selector import FreshnessSource, SourceSelector

NODES = [FreshnessSource(f"n{n}", watches=n == 3, local=n < 8) for n in range(12)]


class TestSources(TestCase):
    def setUp(self):
        super().setUp()
        self.sources = SourceSelector(random.Random(1))

    def test_one_that_the_store_answers_is_asked_first(self):
        self.assertEqual(["n3"], self.sources.choose(NODES, 0.0, is_urgent=False))

    def test_another_one_is_asked_where_it_is_urgent(self):
        for now in range(20):
            chosen = self.sources.choose(NODES, float(now), is_urgent=True)
            self.assertEqual("n3", chosen[0])
            self.assertIn(len(chosen), (1, 2))

    def test_those_that_ask_spread_over_all_that_know_enough(self):
        for name in ("n1", "n2", "n3", "n4"):
            self.sources.record(name, 400.0, 0.0)
        asked = {self.sources.choose(NODES, 1.0, False)[0] for _ in range(80)}
        self.assertEqual({"n1", "n2", "n3", "n4"}, asked)

    def test_watcher_that_has_lost_touch_is_not_preferred(self):
        self.sources.record("n3", 4_000.0, 0.0)
        self.sources.record("n9", 500.0, 0.0)
        self.assertEqual(["n9"], self.sources.choose(NODES, 1.0, is_urgent=False))

    def test_nobody_to_ask(self):
        self.assertEqual([], self.sources.choose([], 0.0, is_urgent=True))
