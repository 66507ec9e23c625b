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
        self.target.failing = 0.6
        self.in_scope = True
        scope = Mock(applies=lambda: self.in_scope)
        peers = Mock(reached=lambda: [self.target])
        self.event_log = Mock()
        self.coverage = RouteCoverage(
            scope, peers, lambda: 0.2, self.loads, clock, self.event_log
        )
        self.coverage.step()

    def admission(self, **changes):
        """Return the admission of requests of the route `read`."""
        return self.coverage.admission("stock", a_route("read", **changes))

    def share(self, **changes):
        """Return the admitted share of requests that may run only once."""
        return self.admission(idempotent=False, **changes).share

    def reply(self, covered_keys, fullness=0.5):
        """Receive a reply to a call on the route `read` of rank 0."""
        below = DownstreamSummary(fullness, 4, covered_keys=covered_keys)
        self.loads.record_reply("stock", "read", below)
        self.coverage.record_reply(self.target, "read", 0, below)

    def test_share_is_that_of_the_rank_and_its_limits_are_logged(self):
        self.reply(KEYS)
        self.assertEqual(0.25, self.share())
        self.assertEqual(1.0, self.share(priority=1))
        self.coverage.step()
        self.at = 20_000.0
        self.coverage.step()
        restricted = [
            call.kwargs["restricted"] for call in self.event_log.event.mock_calls
        ]
        self.assertEqual([True, False], restricted)

    def test_requests_that_make_no_calls_are_all_let_in(self):
        self.reply(KEYS, NO_CALLS)
        self.assertEqual(1.0, self.share())

    def test_least_coverage_of_the_called_services_is_passed_on(self):
        self.loads.record_nested_call("browse", "stock", "read")
        self.loads.record_nested_call("browse", "prices", "read")
        self.reply(KEYS)
        self.assertEqual(KEYS, self.coverage.downstream_keys("browse", 0))

    def test_idempotent_requests_are_admitted_without_retries_unless_covered(self):
        # Refusing them too would reduce the retries that the budget allows.
        self.reply(KEYS)
        found = self.admission()
        self.assertEqual(1.0, found.share)
        keys = [found.sampling_key(lambda _, key=key: key) for key in range(256)]
        self.assertEqual([*range(KEYS), *[255] * (256 - KEYS)], keys)

    def test_coverage_ends_as_soon_as_no_server_fails(self):
        # Few requests are admitted by then, so their replies would show it late.
        self.reply(KEYS)
        self.target.failing = 0.1
        self.coverage.step()
        self.assertEqual(1.0, self.share())
        self.target.failing = 0.6
        self.coverage.step()
        self.assertEqual(1.0, self.share())

    def test_coverage_has_no_effect_out_of_scope(self):
        self.reply(KEYS)
        self.in_scope = False
        self.coverage.step()
        self.assertEqual(1.0, self.share())
