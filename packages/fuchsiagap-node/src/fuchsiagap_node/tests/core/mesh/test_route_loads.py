"""Average number of nested calls of a route, from the summaries in replies."""

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap_node.core.mesh.messages import DownstreamSummary
from fuchsiagap_node.core.mesh.peers import Peers
from fuchsiagap_node.core.mesh.route_loads import RouteLoads


def calls_after(*replies):
    """Return the estimated number of nested calls of a route after some replies."""
    route_loads = RouteLoads(Peers(), Clock(lambda: 0.0, lambda: 0.0))
    for below in replies:
        route_loads.record_reply("pages", "browse", below)
    return route_loads.calls("pages", "browse")


class TestCalls(TestCase):
    def test_abandoned_call_trees_do_not_lower_the_estimate(self):
        whole, given_up = DownstreamSummary(0.9, 14), DownstreamSummary(0.9, 5, True)
        self.assertEqual(14, calls_after(whole, *[given_up] * 40))

    def test_abandoned_call_trees_with_more_calls_raise_the_estimate(self):
        whole, given_up = DownstreamSummary(0.9, 5), DownstreamSummary(0.9, 14, True)
        self.assertGreater(calls_after(whole, *[given_up] * 40), 10.0)

    def test_estimate_follows_complete_call_trees(self):
        found = calls_after(
            DownstreamSummary(0.9, 14), *[DownstreamSummary(0.9, 2)] * 100
        )
        self.assertAlmostEqual(2.0, found, delta=0.2)
