"""Backend servers that name a limit of requests per second, or that they leave."""

import itertools
import random
from collections import Counter
from functools import partial
from unittest.mock import Mock

import trio
from testtools import TestCase

from fuchsiagap.core.backend_queue.named_limit import ServerNotice
from fuchsiagap.core.clock import Clock, trio_clock
from fuchsiagap.core.routes.model import Service, ServiceShare
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_response import Response
from fuchsiagap_node.core.mesh.server_notices import ServerNotices
from fuchsiagap_node.core.mesh.stream import BrokenStream
from fuchsiagap_node.tests.core.mesh.test_gauges import metrics_of
from fuchsiagap_standins.mesh.backend_server import HEALTH_PATH, Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

# Limit that servers name in most tests, in requests per second.
RATE = 6.0
# Requests per second for each server.
DEMAND = 33.0
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
# Milliseconds for which a request runs.
WORK_MS = 20.0
CERTS = Service("certs", HEALTH_PATH, 100)
LEAVING = (b"Leaving: 1",)


def limit_header(value):
    """Return the header lines that name a limit."""
    return (b"Rate-Limit: %s" % str(value).encode(),)


def allowed(rate):
    """Return the requests that a server may get in four seconds."""
    return 1.5 * rate * 4.0 + 5.0


class Servers:
    """Sets the headers of servers and records when requests arrive at them."""

    def __init__(self, hosts, work_ms=WORK_MS):
        self.work_ms = work_ms
        self.headers = {host.server.instance: () for host in hosts}
        self.arrivals = {host.server.instance: [] for host in hosts}
        for host in hosts:
            host.server.behave = self._behave(host.server)
            host.server.health_headers = self._health_headers(host.server)

    def _behave(self, server):
        def behave(_):
            instance = server.instance
            self.arrivals.setdefault(instance, []).append(trio.current_time())
            return Behaviour(work=self.work_ms, headers=self.headers.get(instance, ()))

        return behave

    def _health_headers(self, server):
        return lambda: self.headers.get(server.instance, ())

    def most_in_four_seconds(self, host, since):
        """Return the largest number of arrivals in four seconds after a time."""
        times = [t for t in self.arrivals[host.server.instance] if t >= since]
        return max(
            (sum(first <= t < first + 4.0 for t in times) for first in times), default=0
        )

    def count(self, host, since, until=float("inf")):
        """Return the number of arrivals at a server in a time."""
        times = self.arrivals[host.server.instance]
        return sum(since <= t < until for t in times)


async def send_load(hosts, seconds, outcomes, per_s=DEMAND, route="read", rng=None):
    """Send requests at a constant rate from all hosts, and count their statuses."""
    rng = rng or random.Random(1)
    numbers = itertools.count()
    names = [host.node.cfg.node for host in hosts]

    async def send(host):
        request_id = f"{names[0]}-{route}-{next(numbers)}"
        try:
            response = await host.send(f"/{route}/1", request_id)
        except BrokenStream:
            # The node of this host is down.
            response = None
        outcomes[None if response is None else response.status] += 1

    until = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            nursery.start_soon(send, rng.choice(hosts))
            await trio.sleep(rng.expovariate(per_s * len(hosts)))


def served_share(outcomes):
    """Return the share of requests that were answered with success."""
    return outcomes[200] / sum(outcomes.values())


class TestNamedLimit(TestCase):
    def run_limited(
        self,
        during,
        n_hosts=6,
        seed=1,
        rate=RATE,
        seconds=15.0,
        work_ms=WORK_MS,
        services=(CERTS,),
    ):
        """Run load on hosts of which two name a limit after 3 s.

        Returns the result of `during(deployment, hosts, servers, named_at)`, the
        servers, the limited hosts, the time of naming, and the outcomes of requests.
        """

        async def main():
            async with a_deployment(a_route("read")) as deployment:
                deployment.first_seed = seed * 100
                deployment.put_config(a_route("read"), services=services)
                hosts = [
                    deployment.add("certs", DATA_CENTRES[n % 3], slots=30)
                    for n in range(n_hosts)
                ]
                await deployment.settle()
                servers = Servers(hosts, work_ms)
                outcomes = Counter()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(send_load, hosts, seconds, outcomes)
                    await trio.sleep(3.0)
                    named_at = trio.current_time()
                    for host in hosts[:2]:
                        servers.headers[host.server.instance] = limit_header(rate)
                    result = await during(deployment, hosts, servers, named_at)
                return result, servers, hosts[:2], named_at, outcomes

        return run_in_memory(main, seed)

    async def do_nothing(self, deployment, hosts, servers, named_at):
        """Leave the deployment alone."""

    def test_server_gets_no_more_than_its_named_limit_from_all_nodes(self):
        for seed in range(3):
            _, servers, limited, named_at, outcomes = self.run_limited(
                self.do_nothing, seed=seed
            )
            for host in limited:
                most = servers.most_in_four_seconds(host, named_at + 0.5)
                self.assertLessEqual(most, allowed(RATE), f"seed {seed}")
            self.assertGreater(served_share(outcomes), 0.99)

    def test_withdrawal_is_seen_without_a_health_check_while_others_have_capacity(self):
        async def withdraw(deployment, hosts, servers, named_at):
            await trio.sleep(4.0)
            for host in hosts[:2]:
                servers.headers[host.server.instance] = ()
            return trio.current_time()

        ended_at, servers, limited, named_at, outcomes = self.run_limited(
            withdraw, seconds=16.0, services=()
        )
        for host in limited:
            held = servers.count(host, named_at + 0.5, ended_at)
            self.assertLessEqual(held, allowed(RATE))
            later = servers.count(host, ended_at + 6.0, ended_at + 8.0)
            self.assertGreater(later, 0.7 * DEMAND * 2.0)
        self.assertGreater(served_share(outcomes), 0.99)

    def test_limits_with_a_sixth_of_the_rate_left_refuse_few_requests(self):
        # The limit is worth 1.4 and 2.4 slots, which are reported as 1 and 2.
        async def main(work_ms):
            async with a_deployment(a_route("read")) as deployment:
                hosts = [
                    deployment.add("certs", DATA_CENTRES[n % 3], slots=30)
                    for n in range(6)
                ]
                await deployment.settle()
                servers = Servers(hosts, work_ms)
                for host in hosts:
                    servers.headers[host.server.instance] = limit_header(40.0)
                await send_load(hosts, 3.0, Counter())
                began = trio.current_time()
                outcomes = Counter()
                await send_load(hosts, 10.0, outcomes)
                most = [servers.most_in_four_seconds(host, began) for host in hosts]
                return served_share(outcomes), max(most)

        for work_ms in (35.0, 60.0):
            served, most = run_in_memory(partial(main, work_ms))
            self.assertGreater(served, 0.99, work_ms)
            self.assertLessEqual(most, allowed(40.0))

    def test_server_with_a_limit_still_gets_requests(self):
        _, servers, limited, named_at, outcomes = self.run_limited(
            self.do_nothing, rate=20.0, work_ms=200.0
        )
        for host in limited:
            most = servers.most_in_four_seconds(host, named_at + 0.5)
            self.assertLessEqual(most, allowed(20.0))
            n_requests = servers.count(host, named_at + 2.0, named_at + 10.0)
            self.assertGreater(n_requests, 0.2 * 20.0 * 8.0)
        self.assertGreater(served_share(outcomes), 0.99)

    def test_restart_of_the_node_beside_the_server_does_not_lift_the_limit(self):
        async def restart(deployment, hosts, servers, named_at):
            await trio.sleep(4.0)
            deployment.restart(hosts[0])
            await trio.sleep(3.0)
            deployment.restart(hosts[1])

        for seed in range(3):
            _, servers, limited, named_at, _ = self.run_limited(restart, seed=seed)
            for host in limited:
                most = servers.most_in_four_seconds(host, named_at + 3.0)
                self.assertLessEqual(most, allowed(RATE), f"seed {seed}")

    def test_node_that_starts_later_keeps_to_the_limit(self):
        async def add(deployment, hosts, servers, named_at):
            await trio.sleep(4.0)
            added = deployment.add("front", slots=30)
            await trio.sleep(2.0)
            outcomes = Counter()
            await send_load([added], 4.0, outcomes, per_s=100.0)

        _, servers, limited, named_at, _ = self.run_limited(add)
        for host in limited:
            most = servers.most_in_four_seconds(host, named_at + 3.0)
            self.assertLessEqual(most, allowed(RATE))

    def test_withdrawn_limit_ends_soon_and_gradually(self):
        async def withdraw(deployment, hosts, servers, named_at):
            await trio.sleep(5.0)
            for host in hosts[:2]:
                servers.headers[host.server.instance] = ()
            return trio.current_time()

        ended_at, servers, limited, _, outcomes = self.run_limited(withdraw)
        for host in limited:
            first = servers.count(host, ended_at, ended_at + 0.5)
            self.assertLess(first, 0.5 * DEMAND)
            later = servers.count(host, ended_at + 3.0, ended_at + 6.0)
            self.assertGreater(later, 0.7 * DEMAND * 3.0)
        self.assertGreater(served_share(outcomes), 0.99)

    def test_server_with_limit_zero_gets_no_requests_until_its_health_check_has_none(
        self,
    ):
        async def withdraw(deployment, hosts, servers, named_at):
            await trio.sleep(6.0)
            for host in hosts[:2]:
                servers.headers[host.server.instance] = ()
            return trio.current_time()

        ended_at, servers, limited, named_at, outcomes = self.run_limited(
            withdraw, rate=0
        )
        for host in limited:
            self.assertEqual(0, servers.count(host, named_at + 0.5, ended_at))
            self.assertLessEqual(host.server.n_health_checks, 8)
            later = servers.count(host, ended_at + 4.0, ended_at + 6.0)
            self.assertGreater(later, 0.7 * DEMAND * 2.0)
        self.assertGreater(served_share(outcomes), 0.99)

    def test_new_incarnation_has_no_limit(self):
        async def replace(deployment, hosts, servers, named_at):
            await trio.sleep(4.0)
            hosts[0].server.instance = "i-new"
            hosts[0].report()
            return trio.current_time()

        replaced_at, servers, _, _, _ = self.run_limited(replace)
        times = servers.arrivals["i-new"]
        self.assertGreater(len(times), 0.7 * DEMAND * 4.0, replaced_at)

    def test_excess_is_refused_as_not_run_with_a_time_to_retry(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add("certs", d, slots=30) for d in DATA_CENTRES]
                await deployment.settle()
                servers = Servers(hosts)
                for host in hosts:
                    servers.headers[host.server.instance] = limit_header(RATE)
                outcomes = Counter()
                await send_load(hosts, 3.0, outcomes)
                began = trio.current_time()
                outcomes = Counter()
                await send_load(hosts, 6.0, outcomes)
                runs = sum(servers.count(host, began) for host in hosts)
                response = None
                for number in range(200):
                    response = await hosts[0].send("/read/1", f"last-{number}")
                    if response.status == 503:
                        break
                return outcomes, runs, response

        outcomes, runs, response = run_in_memory(main)
        self.assertEqual({200, 503}, set(outcomes))
        self.assertEqual(outcomes[200], runs)
        self.assertGreater(outcomes[200], 0.8 * RATE * 3 * 6.0)
        self.assertIn(b"Retry-After", response.headers)

    def test_important_requests_are_refused_last(self):
        async def main():
            routes = a_route("first"), a_route("last", priority=3)
            async with a_deployment(*routes) as deployment:
                hosts = [deployment.add("certs", d, slots=30) for d in DATA_CENTRES]
                await deployment.settle()
                servers = Servers(hosts)
                for host in hosts:
                    servers.headers[host.server.instance] = limit_header(20.0)
                first, last = Counter(), Counter()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(send_load, hosts, 12.0, first, 10.0, "first")
                    nursery.start_soon(send_load, hosts, 12.0, last, 20.0, "last")
                return served_share(first), served_share(last)

        first, last = run_in_memory(main)
        self.assertGreater(first, 0.85)
        self.assertGreater(last, 0.1)
        self.assertGreater(first, last)

    def test_weights_of_a_split_route_hold(self):
        async def main():
            shares = ServiceShare("certs", 1), ServiceShare("views", 1)
            async with a_deployment(a_route("read", shares=shares)) as deployment:
                hosts = [
                    deployment.add(service, d, slots=30)
                    for service in ("certs", "views")
                    for d in DATA_CENTRES
                ]
                await deployment.settle()
                servers = Servers(hosts)
                servers.headers[hosts[0].server.instance] = limit_header(RATE)
                await send_load(hosts, 8.0, Counter(), per_s=20.0)
                counts = [servers.count(host, 0.0) for host in hosts]
                return sum(counts[:3]), sum(counts[3:])

        certs, views = run_in_memory(main)
        self.assertAlmostEqual(0.5, certs / (certs + views), delta=0.05)

    def test_malformed_limit_has_no_effect_and_is_logged_once(self):
        async def break_limit(deployment, hosts, servers, named_at):
            await trio.sleep(2.0)
            for host, value in zip(hosts[:2], ("1e999", "-3"), strict=True):
                servers.headers[host.server.instance] = limit_header(value)
            await trio.sleep(4.0)
            return [
                [line for line in host.node.event_log.lines() if b"unreadable" in line]
                for host in hosts[:2]
            ]

        lines, servers, limited, named_at, _ = self.run_limited(break_limit)
        for host, seen in zip(limited, lines, strict=True):
            self.assertEqual(1, len(seen))
            self.assertIn(host.server.instance.encode(), seen[0])
            most = servers.most_in_four_seconds(host, named_at + 0.5)
            self.assertLessEqual(most, allowed(RATE))

    def test_limit_and_use_are_shown(self):
        async def look(deployment, hosts, servers, named_at):
            await trio.sleep(4.0)
            metrics = await metrics_of(hosts[0])
            other = await metrics_of(hosts[4])
            return metrics, other

        (own, other), *_ = self.run_limited(look, rate=20.0, work_ms=200.0)
        self.assertEqual(20.0, own["fuchsiagap_backend_named_rate{}"])
        self.assertGreater(own["fuchsiagap_backend_starts_per_s{}"], 3.0)
        named = [value for name, value in other.items() if "server_named_rate" in name]
        self.assertEqual([20.0, 20.0], named)


class TestServerNotices(TestCase):
    def test_limit_that_changes_with_each_response_is_not_sent_with_each(self):
        async def main():
            clock = trio_clock()
            cfg = Mock(backend="127.0.0.1:1", names=HeaderNames())
            notices = ServerNotices(cfg, clock, EventLog("n-1", clock))
            sent = []
            notices.posts = lambda: {"n-2": sent.append}
            notices.begin("i-1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(notices.run)
                for number in range(1_000):
                    rate = b"%d" % (2_000 - number)
                    response = Response(200, b"", b"", b"", rate_limit=rate)
                    notices.handle_response("i-1", response, clock.now())
                    await trio.sleep(0.001)
                response = Response(200, b"", b"", b"", leaving=b"1")
                notices.handle_response("i-1", response, clock.now())
                at_once = sent[-1]
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            return sent, at_once, notices.notice

        sent, at_once, notice = run_in_memory(main)
        self.assertLess(len(sent), 10)
        self.assertTrue(at_once.is_leaving)
        self.assertEqual(notice.rate, None if sent[-1].rate < 0 else sent[-1].rate)

    def test_memory_of_starts_is_bounded_if_nobody_reads_their_rate(self):
        times = itertools.count(0.0, 10.0)
        clock = Clock(lambda: next(times), lambda: 0.0)
        cfg = Mock(backend="127.0.0.1:1", names=HeaderNames())
        notices = ServerNotices(cfg, clock, EventLog("n-1", clock))
        notices.begin("i-1")
        response = Response(200, b"", b"", b"", rate_limit=b"100")
        notices.handle_response("i-1", response, 0.0)
        for _ in range(10_000):
            notices.record_start()
        self.assertLess(len(notices._starts), 200)

    def test_malformed_header_does_not_hide_the_other_one(self):
        clock = Clock(lambda: 0.0, lambda: 0.0)
        cfg = Mock(backend="127.0.0.1:1", names=HeaderNames())
        for rate, leaving, expected in (
            (b"x", b"1", ServerNotice(6.0, True)),
            (b"3", b"yes", ServerNotice(3.0, False)),
        ):
            notices = ServerNotices(cfg, clock, EventLog("n-1", clock))
            notices.begin("i-1")
            for headers in ((b"6", None), (rate, leaving)):
                response = Response(
                    200, b"", b"", b"", rate_limit=headers[0], leaving=headers[1]
                )
                notices.handle_response("i-1", response, 0.0)
            self.assertEqual(expected, notices.notice)


class TestHealthPath(TestCase):
    def test_path_that_does_not_fit_a_request_line_is_not_used(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                seen = []
                for path in ("/ok", "", "no-slash", "/a b", "/a\r\nX: y", "/\u00e9"):
                    service = Service("certs", path, 1)
                    deployment.put_config(a_route("read"), services=(service,))
                    await trio.sleep(0.5)
                    seen.append(host.node.backend_queue.notices.health_path)
                return seen

        self.assertEqual(["/ok", "", "", "", "", ""], run_in_memory(main))


class TestLeavingServer(TestCase):
    def run_leaving(self, restart=False):
        """Return the arrivals 2 s after a server said that it leaves, or later."""

        async def main():
            async with a_deployment(a_route("read")) as deployment:
                hosts = [
                    deployment.add("certs", DATA_CENTRES[n % 3], slots=30)
                    for n in range(6)
                ]
                await deployment.settle()
                servers = Servers(hosts)
                outcomes = Counter()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(send_load, hosts, 12.0, outcomes)
                    await trio.sleep(2.0)
                    servers.headers[hosts[0].server.instance] = LEAVING
                    left_at = trio.current_time()
                    if restart:
                        await trio.sleep(3.0)
                        restarted = deployment.restart(hosts[0])
                        await trio.sleep(1.0)
                        restarted.report()
                return servers.count(hosts[0], left_at + 2.0), served_share(outcomes)

        return run_in_memory(main)

    def test_server_that_says_that_it_leaves_gets_no_new_requests(self):
        late, served = self.run_leaving()
        self.assertEqual(0, late)
        self.assertGreater(served, 0.99)

    def test_restart_of_the_node_does_not_bring_back_a_leaving_server(self):
        late, served = self.run_leaving(restart=True)
        self.assertEqual(0, late)
        self.assertGreater(served, 0.95)
