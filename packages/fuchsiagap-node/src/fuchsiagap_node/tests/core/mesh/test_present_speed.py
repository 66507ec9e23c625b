"""Backend servers that state how long work takes on their host at present."""

import itertools
import json
import random

import trio
from testtools import TestCase

from fuchsiagap.core.backend_queue.server_load import NO_SPEED
from fuchsiagap.core.clock import Clock
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.http_response import Response
from fuchsiagap_node.core.mesh.server_speed import ServerSpeed
from fuchsiagap_node.tests.core.mesh.test_gauges import metrics_of
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
INTERVAL_S = 0.6
SLOW_SHARE = 0.15
SLOW = 250
WORK_MS = 60.0
SLOTS = 8


def slow_intervals(seed, share=SLOW_SHARE):
    """Return a function that draws for each interval whether a server is slow."""
    is_slow = {}
    rng = random.Random(seed)

    def speed():
        number = int(trio.current_time() / INTERVAL_S)
        if number not in is_slow:
            is_slow[number] = rng.random() < share
        # A stated figure fluctuates by some percent.
        return (SLOW if is_slow[number] else 100) + rng.randrange(-3, 4)

    return speed


class Load:
    """Sends requests from all hosts and records where they begin and how long."""

    def __init__(self, hosts, seed=1):
        self.hosts = hosts
        self.rng = random.Random(seed)
        self.latencies = []
        self.n_begun = 0
        self.n_begun_slow = 0
        self.numbers = itertools.count()
        for host in hosts:
            host.server.behave = self._behave(host.server)

    def _behave(self, server):
        def behave(_):
            self.n_begun += 1
            self.n_begun_slow += server.speed is not None and server.speed() > 150
            return Behaviour(work=WORK_MS * self.rng.uniform(0.9, 1.1))

        return behave

    async def _send(self, host):
        began = trio.current_time()
        response = await host.send("/read/1", f"r{next(self.numbers)}")
        is_served = response is not None and response.status == 200
        took = (trio.current_time() - began) * 1_000.0
        self.latencies.append(took if is_served else float("inf"))

    async def run(self, seconds, fullness=0.5):
        """Send random arrivals that fill the slots to `fullness` at usual speed."""
        per_s = fullness * SLOTS * len(self.hosts) / (WORK_MS / 1_000.0)
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self._send, self.rng.choice(self.hosts))
                await trio.sleep(self.rng.expovariate(per_s))

    def slow_share(self):
        """Return the share of the requests that began at a slow server."""
        return self.n_begun_slow / self.n_begun

    def percentile(self, share):
        """Return a percentile of the latencies in milliseconds."""
        return sorted(self.latencies)[int(share * len(self.latencies))]


class TestPresentSpeed(TestCase):
    def run_load(self, seed, share=SLOW_SHARE, fullness=0.5):
        """Return the load on nine nodes whose servers are slow at times."""

        async def main():
            async with a_deployment(a_route("read")) as deployment:
                deployment.first_seed = 100 * seed
                hosts = [
                    deployment.add("certs", DATA_CENTRES[n % 3], slots=SLOTS)
                    for n in range(9)
                ]
                await deployment.settle()
                for n, host in enumerate(hosts):
                    host.server.speed = slow_intervals(1_000 * seed + n, share)
                load = Load(hosts, seed)
                await load.run(10.0, fullness)
                return load

        return run_in_memory(main, seed)

    def test_few_requests_begin_at_servers_that_state_that_they_are_slow(self):
        # 0.10 and 152 ms where the stated speed is not used; 66 ms without slow
        # intervals.
        for seed in (1, 2):
            load = self.run_load(seed)
            self.assertLessEqual(load.slow_share(), 0.05, f"seed {seed}")
            self.assertLess(load.percentile(0.95), 110.0, f"seed {seed}")

    def test_speed_is_shown_and_sent_to_other_nodes_at_once(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                caller, host = deployment.add("front"), deployment.add("certs")
                await deployment.settle()
                seen = []
                host.server.speed = lambda: 100
                await caller.send("/read/1", "r1")
                host.server.speed = lambda: 250
                # A request of another caller, whose reply shows this one nothing.
                await host.send("/read/1", "r2")
                await trio.sleep(0.01)
                target = caller.node._peers.targets("certs")[0]
                seen.append(target.speed)
                metrics = await metrics_of(host)
                seen.append(metrics["fuchsiagap_backend_speed{}"])
                await trio.sleep(0.6)
                seen.append(target.speed)
                metrics = await metrics_of(host)
                seen.append(metrics["fuchsiagap_backend_speed_age_ms{}"] > 500.0)
                return seen

        self.assertEqual([250, 250.0, 100, True], run_in_memory(main))

    def test_service_time_follows_the_speed(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs")
                host.server.behave = lambda _: Behaviour(work=40.0)
                await deployment.settle()
                seen = []
                # The first figures show what is usual at this server.
                for speed, n_requests in ((100, 40), (250, 5), (100, 5)):
                    host.server.speed = lambda speed=speed: speed
                    for n in range(n_requests):
                        await host.send("/read/1", f"r{speed}-{n}-{len(seen)}")
                    seen.append(host.node.backend_queue.service_ms)
                return seen

        usual, slow, again = run_in_memory(main)
        self.assertAlmostEqual(40.0, usual, delta=1.0)
        self.assertAlmostEqual(100.0, slow, delta=3.0)
        self.assertAlmostEqual(40.0, again, delta=2.0)


class TestServerSpeed(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        clock = Clock(lambda: self.now, lambda: 0.0)
        self.log = EventLog("n-1", clock)
        self.server_speed = ServerSpeed(clock, self.log)
        self.server_speed.begin("i-1")

    def respond(self, load, instance="i-1"):
        """Pass on a response with a load."""
        response = Response(200, b"", b"", b"", load=load)
        self.server_speed.handle_response(instance, response)

    def test_figure_that_flips_with_each_response_causes_few_messages_and_lines(self):
        changes = []
        self.server_speed.changed = lambda: changes.append(self.now)
        for n in range(2_000):
            self.now = n * 5.0
            self.respond(b"1,0,8,%d" % (100 if n % 2 else 250))
        self.assertLessEqual(len(changes), 4 + 2 * 10)
        self.assertLessEqual(self.log.counts["events", "server-speed"], 10)

    def test_each_kind_of_malformed_load_is_logged_once_for_an_incarnation(self):
        for _ in range(3):
            for value in (b"1,0,8,-5", b"1,0,8,-6", b"1,0", b"1,0,8,0"):
                self.respond(value)
        self.assertEqual(3, self.log.counts["events", "load-unreadable"])
        self.assertEqual(NO_SPEED, self.server_speed.speed)
        self.server_speed.begin("i-2")
        self.respond(b"1,0", "i-2")
        self.assertEqual(4, self.log.counts["events", "load-unreadable"])

    def test_restart_of_a_slow_server_is_logged_without_the_age_of_a_figure(self):
        self.respond(b"1,0,8,100")
        self.respond(b"1,0,8,250")
        self.now = 2_000.0
        self.server_speed.begin("i-2")
        self.server_speed.check()
        lines = [json.loads(line) for line in self.log.lines()]
        self.assertEqual([True, False], [line["slow"] for line in lines])
        self.assertIsNone(lines[-1]["age"])

    def test_figure_of_an_earlier_incarnation_is_not_used(self):
        self.respond(b"1,0,8,250")
        self.server_speed.begin("i-2")
        self.respond(b"1,0,8,250", "i-1")
        self.assertEqual(NO_SPEED, self.server_speed.speed)
