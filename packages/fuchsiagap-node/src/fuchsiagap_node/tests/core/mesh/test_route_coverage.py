"""Coverage of call trees on its way up the call graph."""

from unittest.mock import Mock

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.placement.choice import Target
from fuchsiagap_node.core.mesh.messages import NO_CALLS, DownstreamSummary
from fuchsiagap_node.core.mesh.peers import Peers
from fuchsiagap_node.core.mesh.route_coverage import RouteCoverage
from fuchsiagap_node.core.mesh.route_loads import RouteLoads
from fuchsiagap_standins.mesh.deployment import a_route

KEYS = 64


class TestRouteCoverage(TestCase):
    def setUp(self):
        super().setUp()
        self.at = 0.0
        clock = Clock(lambda: self.at, lambda: 0.0)
        self.target = Target("n-1", "i-1", "stock", local=True, speed=100)
        self.loads = RouteLoads(Peers(), clock)
        peers = Mock(state_speed=lambda: self.target.speed > 0)
        self.event_log = Mock()
        self.coverage = RouteCoverage(peers, self.loads, clock, self.event_log)
        self.coverage.step()

    def reply(self, covered_keys, fullness=0.5):
        """Receive a reply to a call on the route `read` of rank 0."""
        below = DownstreamSummary(fullness, 4, covered_keys=covered_keys)
        self.loads.record_reply("stock", "read", below)
        self.coverage.record_reply(self.target, "read", 0, below)

    def test_share_is_that_of_the_rank_and_its_limits_are_logged(self):
        self.reply(KEYS)
        self.assertEqual(0.25, self.coverage.share("stock", a_route("read")))
        other = a_route("read", priority=1)
        self.assertEqual(1.0, self.coverage.share("stock", other))
        self.coverage.step()
        self.at = 20_000.0
        self.coverage.step()
        restricted = [
            call.kwargs["restricted"] for call in self.event_log.event.mock_calls
        ]
        self.assertEqual([True, False], restricted)

    def test_requests_that_make_no_calls_are_all_let_in(self):
        self.reply(KEYS, NO_CALLS)
        self.assertEqual(1.0, self.coverage.share("stock", a_route("read")))

    def test_least_coverage_of_the_called_services_is_passed_on(self):
        self.loads.record_nested_call("browse", "stock", "read")
        self.loads.record_nested_call("browse", "prices", "read")
        self.reply(KEYS)
        self.assertEqual(KEYS, self.coverage.downstream_keys("browse", 0))

    def test_reply_of_a_node_of_an_earlier_release_does_not_raise_the_coverage(self):
        self.reply(KEYS)
        self.at = 1_000.0
        stating, self.target.speed = self.target.speed, 0
        self.reply(256)
        self.target.speed = stating
        self.assertEqual(0.25, self.coverage.share("stock", a_route("read")))

    def test_coverage_has_no_effect_once_no_server_states_its_speed(self):
        self.reply(KEYS)
        self.target.speed = 0
        self.coverage.step()
        self.assertEqual(1.0, self.coverage.share("stock", a_route("read")))
