"""What replies say of the services below a route."""

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap_node.core.mesh.messages import DownstreamSummary
from fuchsiagap_node.core.mesh.peers import Peers
from fuchsiagap_node.core.mesh.pressures import Pressures


def calls_after(*replies):
    """Return the calls that a route is believed to make after some replies."""
    pressures = Pressures(Peers(), Clock(lambda: 0.0, lambda: 0.0))
    for below in replies:
        pressures.note_reply("pages", "browse", below)
    return pressures.calls("pages", "browse")


class TestCalls(TestCase):
    def test_trees_that_were_given_up_say_nothing_of_what_a_whole_one_makes(self):
        whole, given_up = DownstreamSummary(0.9, 14), DownstreamSummary(0.9, 5, True)
        self.assertEqual(14, calls_after(whole, *[given_up] * 40))

    def test_tree_that_was_given_up_after_more_calls_counts(self):
        whole, given_up = DownstreamSummary(0.9, 5), DownstreamSummary(0.9, 14, True)
        self.assertGreater(calls_after(whole, *[given_up] * 40), 10.0)

    def test_calls_follow_what_whole_trees_make(self):
        found = calls_after(
            DownstreamSummary(0.9, 14), *[DownstreamSummary(0.9, 2)] * 100
        )
        self.assertAlmostEqual(2.0, found, delta=0.2)
