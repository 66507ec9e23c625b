from testtools import TestCase

from fuchsiagap.core.routes.model import Route, RouteConfig, ServiceShare
from fuchsiagap.core.routes.table import RouteTable, WeightedRoundRobin


def make_route(name, prefix, *shares, host="api.example"):
    """Return a route for a host and a path prefix."""
    shares = shares or (ServiceShare("certs"),)
    return Route(name, host, prefix, shares, True, 1_000.0, 500.0, 0, 2)


class TestRouteTable(TestCase):
    def test_longest_matching_prefix_wins(self):
        table = RouteTable(
            RouteConfig(1, (make_route("short", "/a/"), make_route("long", "/a/b/")))
        )
        found = [table.find("api.example", p) for p in ("/a/b/c", "/a/bc", "/a/b")]
        self.assertEqual(["long", "short", "short"], [route.name for route in found])

    def test_other_host_other_path_and_missing_slash_match_nothing(self):
        table = RouteTable(RouteConfig(1, (make_route("one", "/a/"),)))
        for host, path in (("b.example", "/a/x"), ("api.example", "/b/a/x")):
            self.assertIsNone(table.find(host, path))
        self.assertIsNone(table.find("api.example", "/a"))

    def test_case_and_port_of_the_host_are_ignored(self):
        table = RouteTable(RouteConfig(1, (make_route("one", "/"),)))
        self.assertEqual("one", table.find("API.example:8080", "/x").name)


class TestWeightedRoundRobin(TestCase):
    def test_every_run_of_requests_follows_the_weights(self):
        route = make_route(
            "split", "/", ServiceShare("certs", 90.0), ServiceShare("results", 10.0)
        )
        rotation = WeightedRoundRobin()
        picks = [rotation.pick(route) for _ in range(200)]
        for start in range(0, 180, 7):
            run = picks[start : start + 20]
            self.assertIn(run.count("results"), (1, 2, 3))

    def test_service_with_weight_zero_gets_no_requests(self):
        route = make_route(
            "split", "/", ServiceShare("certs", 0.0), ServiceShare("results", 5.0)
        )
        rotation = WeightedRoundRobin()
        self.assertEqual({"results"}, {rotation.pick(route) for _ in range(10)})

    def test_new_version_keeps_the_credit_of_remaining_services(self):
        old = make_route(
            "split", "/", ServiceShare("certs", 1.0), ServiceShare("results", 1.0)
        )
        new = make_route(
            "split", "/", ServiceShare("certs", 1.0), ServiceShare("bookings", 1.0)
        )
        rotation = WeightedRoundRobin()
        rotation.pick(old)
        rotation.adopt(RouteConfig(2, (new,)))
        picks = [rotation.pick(new) for _ in range(10)]
        self.assertNotIn("results", picks)
        self.assertTrue(4 <= picks.count("certs") <= 6)
