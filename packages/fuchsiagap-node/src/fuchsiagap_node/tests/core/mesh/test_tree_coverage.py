"""Nodes admit the call trees that the retry budget of a refusing service covers.

Guards against admitting all call trees while the servers of the service at the end of
the call chain refuse 55 of 100 requests at random. Most trees of four calls are then
run in part and fail.
"""

import random
from collections import Counter
from unittest.mock import patch

import trio
from testtools import TestCase

from fuchsiagap_node.core.mesh.backend_queue import BackendQueue
from fuchsiagap_node.tests.core.mesh.test_gauges import metrics_of
from fuchsiagap_standins.mesh.backend_server import Behaviour, CallFailed, ResponseMode
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

ROUTES = (
    a_route("pages", "pages", priority=1, timeout=3_000.0, idempotent=False),
    a_route("single", "stock", priority=1),
    a_route("stock", "stock"),
)
N_CALLS = 4
TREES_PER_S = 40.0
# Seconds before the servers refuse, which earn the retry budget, and seconds of
# refusals; the first of these passes until the entry nodes have learned of them.
EARNING_S, REACTION_S, REFUSING_S = 21.0, 1.0, 5.0
FREE_SLOTS = (b"Load: 0,0,30,100",)


def calls_to_stock(host):
    """Return the work of a server on a request: sequential nested calls."""

    async def run(request_id):
        if "pages" not in request_id:
            return
        for number in range(N_CALLS):
            answer = await host.send("/stock/1", f"{request_id}.{number}")
            if answer is None or answer.status != 200:
                raise CallFailed

    return run


class Run:
    """Outcomes of requests before and while servers refuse, and what nodes showed."""

    def __init__(self):
        self.outcomes = Counter()
        self.refused = []
        self.metrics = {}

    async def main(self):
        """Send load through two nodes while four servers refuse at random."""
        rng = random.Random(1)
        refusing = 0.0

        def behave(_):
            if rng.random() < refusing:
                return Behaviour(ResponseMode.REFUSE, headers=FREE_SLOTS)
            return Behaviour(work=10.0, headers=FREE_SLOTS)

        async with a_deployment(*ROUTES) as deployment:
            pages = [deployment.add("pages", slots=60) for _ in range(2)]
            stock = [deployment.add("stock", slots=30) for _ in range(4)]
            for host in pages:
                host.server.on_run = calls_to_stock(host)
            for host in stock:
                host.server.behave = behave
            await deployment.settle()
            await self.load(pages, "earning", EARNING_S)
            refusing = 0.55
            await self.load(pages, "reaction", REACTION_S)
            await self.load(pages, "refusing", REFUSING_S)
            self.metrics = await metrics_of(pages[0])
            self.metrics |= await metrics_of(stock[0])
            self.refused = [
                line
                for host in pages
                for line in host.node.event_log.lines()
                if b'"refused"' in line
            ]

    async def load(self, hosts, phase, seconds):
        """Send call trees and single calls at a constant rate."""

        async def send(route, number):
            # Single calls are a quarter of the trees, and both go to all hosts.
            host = hosts[number // 4 % len(hosts)]
            response = await host.send(f"/{route}/1", f"{phase}-{route}-{number}")
            status = None if response is None else response.status
            self.outcomes[phase, route, status] += 1

        async with trio.open_nursery() as nursery:
            for number in range(round(TREES_PER_S * seconds)):
                nursery.start_soon(send, "pages", number)
                if number % 4 == 0:
                    nursery.start_soon(send, "single", number)
                await trio.sleep(1.0 / TREES_PER_S)

    def failed_share(self, phase):
        """Return the share of the admitted trees that failed."""
        failed = self.outcomes[phase, "pages", 500]
        return failed / (failed + self.outcomes[phase, "pages", 200])


def run(speed):
    """Run with servers that all state a speed; 0 if they state none."""
    result = Run()
    with patch.object(BackendQueue, "speed", speed):
        run_in_memory(result.main)
    return result


class TestTreeCoverage(TestCase):
    def test_trees_beyond_the_budget_are_refused_without_being_run(self):
        result = run(speed=100)
        self.assertLess(result.failed_share("refusing"), 0.1, result.outcomes)
        complete = result.outcomes["refusing", "pages", 200]
        self.assertGreater(complete, 0.1 * TREES_PER_S * REFUSING_S)
        self.assertTrue(any(b"retry-budget" in line for line in result.refused))
        # Single calls are answered without a retry in 45 of 100 cases.
        singles = result.outcomes["refusing", "single", 200]
        self.assertGreater(singles, 0.4 * TREES_PER_S / 4 * REFUSING_S)
        shares = {
            name.partition("{")[0]: value
            for name, value in result.metrics.items()
            if "covered_share" in name
        }
        self.assertLess(shares["fuchsiagap_covered_share"], 0.5)
        self.assertLess(shares["fuchsiagap_retry_covered_share"], 0.5)

    def test_nothing_changes_unless_a_server_states_its_speed(self):
        result = run(speed=0)
        self.assertFalse([line for line in result.refused if b"retry-budget" in line])
        self.assertFalse([name for name in result.metrics if "covered_share" in name])
        self.assertGreater(result.failed_share("refusing"), 0.4, result.outcomes)
