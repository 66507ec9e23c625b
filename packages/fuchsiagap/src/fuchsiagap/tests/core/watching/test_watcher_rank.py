"""Which nodes watch, in random networks of links too."""

import random

from testtools import TestCase

from fuchsiagap.core.watching.watcher_rank import Neighbour, UpdateSource, rank_of


def neighbours(*names, deaf=()):
    """Return nodes in reach, of which some are deaf."""
    return [
        Neighbour(name, UpdateSource.NONE if name in deaf else UpdateSource.PEERS)
        for name in names
    ]


class TestWatcherRank(TestCase):
    def test_first_of_a_data_centre_watches(self):
        self.assertTrue(rank_of("a", neighbours("b", "c"), 1).should_watch)

    def test_those_behind_a_watcher_do_not(self):
        self.assertFalse(rank_of("c", neighbours("a", "d"), 1).should_watch)

    def test_node_alone_watches(self):
        self.assertTrue(rank_of("c", [], 1).should_watch)

    def test_next_one_watches_where_the_first_is_deaf(self):
        rank = rank_of("b", neighbours("a", "c", deaf="a"), 1)
        self.assertTrue(rank.should_watch)
        self.assertFalse(rank.is_first(1))
        self.assertGreater(rank.takeover_delay(1), 0.0)

    def test_as_many_watch_as_are_asked_for(self):
        names = "abcdef"
        watching = [
            own
            for own in names
            if rank_of(own, neighbours(*names.replace(own, "")), 2).should_watch
        ]
        self.assertEqual(["a", "b"], watching)

    def test_later_ones_wait_longer_for_a_store_that_answers_nobody(self):
        names = "abcdef"
        waits = [
            rank_of(
                own, neighbours(*names.replace(own, ""), deaf=names), 1
            ).takeover_delay(1)
            for own in names
        ]
        self.assertEqual(sorted(set(waits)), waits)
        self.assertEqual(0.0, waits[0])

    def test_each_node_reaches_a_watcher_whatever_the_links(self):
        rng = random.Random(7)
        for _ in range(300):
            self.check_network(rng)

    def check_network(self, rng):
        """Follow each node to one that watches, over links that it has itself."""
        names = [f"n{n:02}" for n in range(rng.randint(2, 30))]
        deaf = {name for name in names if rng.random() < 0.3}
        chance = rng.random()
        links = {
            own: [n for n in names if n != own and rng.random() < chance]
            for own in names
        }
        for name in names:
            at = name
            while not rank_of(at, neighbours(*links[at], deaf=deaf), 1).should_watch:
                at = min(n for n in links[at] if n not in deaf)
            # Whoever the chain ends at asks the store, and is not known to fail.
            self.assertTrue(at == name or at not in deaf)
