import random

from testtools import TestCase

from fuchsiagap.core.freshness.source_selector import FreshnessSource, SourceSelector

NODES = [FreshnessSource(f"n{n}", watches=n == 3, local=n < 8) for n in range(12)]


class TestSourceSelector(TestCase):
    def setUp(self):
        super().setUp()
        self.selector = SourceSelector(random.Random(1))

    def test_node_that_watches_the_store_is_asked_first(self):
        self.assertEqual(["n3"], self.selector.choose(NODES, 0.0, is_urgent=False))

    def test_urgent_query_may_ask_a_second_node(self):
        for now in range(20):
            chosen = self.selector.choose(NODES, float(now), is_urgent=True)
            self.assertEqual("n3", chosen[0])
            self.assertIn(len(chosen), (1, 2))

    def test_queries_spread_over_all_fresh_sources(self):
        for name in ("n1", "n2", "n3", "n4"):
            self.selector.record(name, 400.0, 0.0)
        asked = {self.selector.choose(NODES, 1.0, False)[0] for _ in range(80)}
        self.assertEqual({"n1", "n2", "n3", "n4"}, asked)

    def test_watcher_without_a_fresh_answer_is_not_preferred(self):
        self.selector.record("n3", 4_000.0, 0.0)
        self.selector.record("n9", 500.0, 0.0)
        self.assertEqual(["n9"], self.selector.choose(NODES, 1.0, is_urgent=False))

    def test_no_reachable_node(self):
        self.assertEqual([], self.selector.choose([], 0.0, is_urgent=True))
