"""Which nodes watch the store, also in random link topologies."""

import random

from testtools import TestCase

from fuchsiagap.core.watching.watcher_rank import Neighbour, UpdateSource, rank_of


def neighbours(*names, without_source=()):
    """Return reachable nodes, of which some have no source of changes."""
    return [
        Neighbour(
            name, UpdateSource.NONE if name in without_source else UpdateSource.PEERS
        )
        for name in names
    ]


class TestWatcherRank(TestCase):
    def test_first_of_a_data_centre_watches(self):
        self.assertTrue(rank_of("a", neighbours("b", "c"), 1).should_watch)

    def test_nodes_after_a_watcher_do_not_watch(self):
        self.assertFalse(rank_of("c", neighbours("a", "d"), 1).should_watch)

    def test_single_node_watches(self):
        self.assertTrue(rank_of("c", [], 1).should_watch)

    def test_next_node_watches_if_the_first_has_no_source(self):
        rank = rank_of("b", neighbours("a", "c", without_source="a"), 1)
        self.assertTrue(rank.should_watch)
        self.assertFalse(rank.is_first(1))
        self.assertGreater(rank.takeover_delay(1), 0.0)

    def test_configured_number_of_nodes_watches(self):
        names = "abcdef"
        watching = [
            own
            for own in names
            if rank_of(own, neighbours(*names.replace(own, "")), 2).should_watch
        ]
        self.assertEqual(["a", "b"], watching)

    def test_takeover_delay_grows_with_the_position(self):
        names = "abcdef"
        waits = [
            rank_of(
                own, neighbours(*names.replace(own, ""), without_source=names), 1
            ).takeover_delay(1)
            for own in names
        ]
        self.assertEqual(sorted(set(waits)), waits)
        self.assertEqual(0.0, waits[0])

    def test_every_node_reaches_a_watcher_in_random_topologies(self):
        rng = random.Random(7)
        for _ in range(300):
            self.check_network(rng)

    def check_network(self, rng):
        """Follow each node over its links to one that watches."""
        names = [f"n{n:02}" for n in range(rng.randint(2, 30))]
        without_source = {name for name in names if rng.random() < 0.3}
        chance = rng.random()
        links = {
            own: [n for n in names if n != own and rng.random() < chance]
            for own in names
        }
        for name in names:
            at = name
            while not rank_of(
                at, neighbours(*links[at], without_source=without_source), 1
            ).should_watch:
                at = min(n for n in links[at] if n not in without_source)
            # The chain ends at a node that watches and is not known to have no source.
            self.assertTrue(at == name or at not in without_source)
