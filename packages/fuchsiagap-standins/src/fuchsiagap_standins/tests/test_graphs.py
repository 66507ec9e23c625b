"""Tests of call graphs: the committed ones, their arithmetic and faulty files."""

from __future__ import annotations

import random
import statistics

from testtools import TestCase

from fuchsiagap.core.settings.faults import SettingsFaults
from fuchsiagap.core.settings.model import TeamSettings
from fuchsiagap.core.settings.parse import parse_team
from fuchsiagap_standins.graphs import (
    GRAPHS,
    capacity_per_s,
    chain_time,
    depth,
    draw_own_time,
    load_graph,
    read_graph,
    settings_text,
    slot_time,
)

SMALL = """
[graph]
team = t
data centres = a, b
deep service = low

[top]
instances = 1
slots = 10
connections = 20

[low]
instances = 2
slots = 5
connections = 20

[top/ask]
match = GET /ask/*
priority = 5
idempotent = yes
own time = 100ms
calls = low/find & low/find, low/find
share = 1

[low/find]
match = GET /find/*
priority = 5
idempotent = yes
own time = 50ms
"""


def small(old="", new=""):
    return read_graph("small.ini", SMALL.replace(old, new))


class CommittedGraphsTest(TestCase):
    def test_services_have_the_expected_sizes(self):
        expected = {
            "queensland": {
                "results": (5, 100, 700),
                "certs": (3, 160, 1100),
                "cycles": (3, 160, 1100),
                "bookings": (3, 30, 300),
            },
            "dakar": {
                "archive-portal": (4, 50, 400),
                "restore-desk": (3, 70, 500),
                "billing-office": (3, 70, 500),
                "device-registry": (3, 15, 200),
            },
        }
        for name in GRAPHS:
            found = {
                service.name: (service.instances, service.slots, service.connections)
                for service in load_graph(name).services
            }
            self.assertEqual(expected[name], found)

    def test_settings_text_is_valid_for_the_nodes(self):
        for name in GRAPHS:
            graph = load_graph(name)
            settings = parse_team(graph.team, settings_text(graph))
            self.assertIsInstance(settings, TeamSettings)
            routes = {route.route: route for route in settings.routes}
            for route in graph.routes:
                found = routes[route.name]
                self.assertEqual(route.priority, found.priority)
                self.assertEqual(route.idempotent, found.idempotent)
                self.assertEqual(route.timeout, found.timeout)

    def test_longest_chain_has_four_services(self):
        for name in GRAPHS:
            graph = load_graph(name)
            self.assertEqual(4, max(depth(graph, route) for route in graph.roots))

    def test_capacity_is_200_to_400_requests_per_second(self):
        # At higher request rates, simulations under the virtual clock take too long.
        for name in GRAPHS:
            capacity = capacity_per_s(load_graph(name))
            self.assertTrue(200 <= capacity <= 400, (name, capacity))


class ArithmeticTest(TestCase):
    def test_parallel_calls_take_the_longest_duration(self):
        graph = small()
        top = graph.route("top/ask")
        self.assertEqual(200.0, chain_time(graph, top))
        self.assertEqual(600.0, chain_time(graph, top, {"low": 5.0}))
        self.assertEqual({"top": 200.0, "low": 150.0}, slot_time(graph, top))

    def test_capacity_is_that_of_the_bottleneck_service(self):
        graph = small()
        self.assertEqual(50.0, capacity_per_s(graph))
        self.assertAlmostEqual(1000 * 10 / 750, capacity_per_s(graph, {"low": 5.0}))

    def test_own_times_have_configured_mean_and_spread(self):
        graph = small()
        rng = random.Random(5)
        route = graph.route("low/find")
        times = [draw_own_time(graph, route, rng, 2.0) for _ in range(20_000)]
        self.assertAlmostEqual(100.0, statistics.fmean(times), delta=1.0)
        self.assertAlmostEqual(40.0, statistics.stdev(times), delta=1.5)

    def test_instances_are_spread_over_the_data_centres(self):
        graph = small()
        placed = [graph.placement(service) for service in graph.services]
        self.assertEqual([("a",), ("b", "a")], placed)


class FaultyGraphTest(TestCase):
    def test_fault_names_its_section_and_key(self):
        cases = {
            ("slots = 5", "slots = none"): ("low", "slots"),
            ("slots = 5", ""): ("low", "slots"),
            ("slots = 5", "slots = 5\nslot = 6"): ("low", "slot"),
            ("share = 1", "share = 0.5"): ("", "share"),
            ("deep service = low", "deep service = lower"): ("graph", "deep service"),
            ("low/find & ", "low/fund & "): ("top/ask", "calls"),
            ("low/find & ", "find & "): ("top/ask", "calls"),
            ("GET /find/*", "GET|PUT /find/*"): ("low/find", "match"),
            ("[low]", "[lower]"): ("low/find", ""),
            ("own time = 50ms", "own time = 50"): ("low/find", "own time"),
            ("own time = 50ms", "own time = 50ms\ncalls = top/ask"): (
                "top/ask",
                "calls",
            ),
        }
        for (old, new), place in cases.items():
            with self.subTest(new=new):
                graph = small(old, new)
                self.assertIsInstance(graph, SettingsFaults)
                places = {(fault.section, fault.key) for fault in graph.faults}
                self.assertIn(place, places)

    def test_all_faults_are_reported_together(self):
        text = SMALL.replace("slots = 5", "slots = x").replace("idempotent = yes", "")
        self.assertEqual(3, len(read_graph("small.ini", text).faults))

    def test_empty_text_is_refused(self):
        self.assertIsInstance(read_graph("small.ini", ""), SettingsFaults)
