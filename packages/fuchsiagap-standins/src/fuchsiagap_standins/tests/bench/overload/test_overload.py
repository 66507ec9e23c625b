"""Tests of the overload bench: its calculations, and that runs are reproducible."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase

from fuchsiagap_standins.bench.overload.measure import recovery_time, wasted_work
from fuchsiagap_standins.bench.overload.policies import POLICIES
from fuchsiagap_standins.bench.overload.records import RequestRecord
from fuchsiagap_standins.bench.overload.run import run_once
from fuchsiagap_standins.bench.overload.scenario import Scenario
from fuchsiagap_standins.bench.overload.throughput_bounds import (
    prioritized_rates,
    unprioritized_throughput,
)
from fuchsiagap_standins.graphs import load_graph, slot_time

_SLOWDOWNS = {"bookings": 5.0}
_ROUTE = load_graph("queensland").route("bookings/show")


def make_request(sent_at: float, answered: bool = True) -> RequestRecord:
    record = RequestRecord(_ROUTE, sent_at, work=[80.0], attempt_starts=[sent_at])
    if answered:
        record.answered_at = sent_at + 80.0
        record.answered_by = 0
    return record


class TestThroughputBounds(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.graph = load_graph("queensland")
        self.offered = {r.name: 1_000.0 * r.share for r in self.graph.roots}

    def test_less_important_routes_get_remaining_slots(self) -> None:
        rates = prioritized_rates(self.graph, self.offered, _SLOWDOWNS)
        slot_times = slot_time(self.graph, self.graph.route("certs/issue"), _SLOWDOWNS)
        slots = self.graph.service("bookings").total_slots
        self.assertAlmostEqual(
            slots / (slot_times["bookings"] / 1_000.0), rates["certs/issue"]
        )
        self.assertEqual(0.0, rates["results/lookup"])

    def test_load_within_capacity_is_answered_in_full(self) -> None:
        offered = {name: rate / 10.0 for name, rate in self.offered.items()}
        self.assertEqual(offered, prioritized_rates(self.graph, offered, {}))

    def test_routes_of_one_priority_get_equal_shares(self) -> None:
        graph = load_graph("dakar")
        offered = {r.name: 1_000.0 * r.share for r in graph.roots}
        rates = prioritized_rates(graph, offered, {"device-registry": 5.0})
        shares = {
            round(rates[name] / offered[name], 9)
            for name in ("restore-desk/order", "billing-office/subscribe")
        }
        self.assertEqual(1, len(shares))

    def test_unprioritized_throughput_exceeds_prioritized(self) -> None:
        total = sum(prioritized_rates(self.graph, self.offered, _SLOWDOWNS).values())
        bound = unprioritized_throughput(
            self.graph, self.offered, _SLOWDOWNS, "bookings"
        )
        self.assertGreater(bound, total)


class TestMeasure(TestCase):
    scenario = Scenario(warm_up=6_000.0, surge=1_000.0, after=10_000.0)

    def test_recovery_ends_when_goodput_is_stable(self) -> None:
        requests = [
            make_request(float(at), answered=not 7_000 <= at < 8_500)
            for at in range(0, 17_000, 10)
        ]
        elapsed = recovery_time(self.scenario, requests)
        self.assertTrue(1_300.0 <= elapsed <= 1_500.0, elapsed)

    def test_relapse_extends_recovery(self) -> None:
        requests = [
            make_request(float(at), answered=not 10_000 <= at < 10_500)
            for at in range(0, 17_000, 10)
        ]
        self.assertGreater(recovery_time(self.scenario, requests), 3_000.0)

    def test_goodput_that_never_returns_gives_no_recovery_time(self) -> None:
        requests = [
            make_request(float(at), answered=at < 7_000) for at in range(0, 17_000, 10)
        ]
        self.assertIsNone(recovery_time(self.scenario, requests))

    def test_work_of_unanswered_attempts_is_wasted(self) -> None:
        record = make_request(0.0)
        record.work = [60.0, 40.0]
        record.answered_by = 1
        self.assertEqual(0.6, wasted_work([record]))


class TestScenario(TestCase):
    def test_work_slows_down_and_speeds_up_with_the_server(self) -> None:
        scenario = Scenario(warm_up=1_000.0, surge=1_000.0, slow_service="bookings")
        for now, expected in (
            (0.0, 100.0),
            (950.0, 50.0 + 250.0),
            (1_500.0, 500.0),
            (1_750.0, 250.0 + 50.0),
            (2_000.0, 100.0),
        ):
            self.assertEqual(expected, scenario.work_time("bookings", 100.0, now))
        self.assertEqual(100.0, scenario.work_time("certs", 100.0, 1_500.0))


class TestRun(TestCase):
    def test_same_seed_gives_same_figures(self) -> None:
        graph = load_graph("dakar")
        scenario = Scenario(
            warm_up=600.0,
            surge=600.0,
            after=300.0,
            base_load=0.3,
            slow_service=graph.deep_service,
        )
        # The full policy has no violations; a request above its attempts bound is one.
        runs = [run_once(graph, scenario, POLICIES["full"], 3) for _ in range(2)]
        self.assertEqual(runs[0], runs[1])
        figures = runs[0].figures
        self.assertEqual(0, figures["violations"], figures["violations_by_kind"])
        other = run_once(graph, replace(scenario, surge=500.0), POLICIES["full"], 4)
        self.assertNotEqual(runs[0].figures, other.figures)
