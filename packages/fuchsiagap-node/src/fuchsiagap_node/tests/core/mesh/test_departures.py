"""Backend servers that announced their departure, and nodes that restart meanwhile."""

import itertools
import random
from dataclasses import replace
from functools import partial

import trio
from testtools import TestCase
from trio.testing import MockClock

from fuchsiagap.core.backend_queue.departures import Departure
from fuchsiagap.core.backend_queue.incarnation import BackendState
from fuchsiagap.core.clock import trio_clock
from fuchsiagap_node.core.mesh.event_log import EventLog
from fuchsiagap_node.core.mesh.http_client import HttpClient
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.messages import DepartureReceipt
from fuchsiagap_node.core.mesh.server_departures import ServerDepartures
from fuchsiagap_node.core.mesh.stream import BrokenStream
from fuchsiagap_standins.mesh.backend_server import Behaviour
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
# Seconds after the acknowledgement of a departure from which no request may arrive.
DRAIN_S = 2.0
REQUESTS_PER_S = 60.0
GONE, DRAINING = BackendState.GONE, BackendState.DRAINING


class DepartureScenario:
    """Hosts under load, of which the first one's server leaves.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    n_hosts : int
        Number of hosts.
    """

    def __init__(self, deployment, n_hosts=4):
        self.deployment = deployment
        self.hosts = [
            deployment.add("certs", DATA_CENTRES[n % 3], slots=30)
            for n in range(n_hosts)
        ]
        self.left_at = float("inf")
        self.late = None
        self.arrivals = []
        self.statuses = []

    @property
    def leaving(self):
        """Host of the server that leaves."""
        return self.hosts[0]

    def leave(self, state):
        """Announce the departure; a heartbeat sent before is still on its way."""
        server = self.leaving.server
        self.late = self.leaving.next_report()
        self.leaving.report(state)
        self.left_at = trio.current_time()
        server.behave = self._record(server.behave)

    def _record(self, behave):
        def record(req):
            self.arrivals.append(trio.current_time() - self.left_at)
            return behave(req)

        return record

    def deliver_late_heartbeat(self):
        """Deliver the delayed heartbeat to the node that runs now."""
        self.leaving.node.backend_queue.handle_report(self.late)

    def restart(self, *numbers):
        """Kill nodes at the same time and restart them."""
        for number in numbers:
            self.hosts[number] = self.deployment.restart(self.hosts[number])

    async def send_load(self, seconds):
        """Send requests at a constant rate to all hosts."""
        rng, numbers = random.Random(1), itertools.count()

        async def send(host):
            try:
                response = await host.send("/read/1", f"r-{next(numbers)}")
            except BrokenStream:
                # The node of this host is down.
                return
            self.statuses.append(response and response.status)

        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                nursery.start_soon(send, rng.choice(self.hosts))
                await trio.sleep(rng.expovariate(REQUESTS_PER_S))

    def served_share(self):
        """Return the share of the requests that were answered with success."""
        return self.statuses.count(200) / len(self.statuses)

    def n_late_arrivals(self):
        """Return the number of requests that reached the server too late."""
        return sum(age > DRAIN_S for age in self.arrivals)


def run_scenario(during, n_hosts=4, seconds=12.0, seed=0, born=None):
    """Run load, and `during(scenario)` after 1 s of it; return the scenario."""

    async def main():
        async with a_deployment(a_route("read")) as deployment:
            deployment.first_seed = seed * 100
            scenario = DepartureScenario(deployment, n_hosts)
            for host in scenario.hosts:
                host.born = born
            await deployment.settle()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scenario.send_load, seconds)
                await trio.sleep(1.0)
                await during(scenario)
            return scenario

    return run_in_memory(main, seed)


async def restart_at_random(rng, scenario):
    """Let the first server leave, then restart nodes around late heartbeats."""
    scenario.leave(rng.choice((GONE, DRAINING)))
    n_late = 0
    for _ in range(rng.randint(1, 4)):
        await trio.sleep(rng.uniform(0.02, 1.5))
        # The last node knows of the departure and goes on running.
        scenario.restart(*rng.sample(range(3), rng.randint(1, 2)))
        if n_late < 2 and rng.random() < 0.7:
            n_late += 1
            await trio.sleep(rng.uniform(0.3, 2.0))
            scenario.deliver_late_heartbeat()


class TestDepartures(TestCase):
    def test_node_killed_after_an_acknowledged_departure_does_not_use_the_server(self):
        for state, born in itertools.product((GONE, DRAINING), (None, 1_000)):

            async def during(scenario, state=state):
                scenario.leave(state)
                await trio.sleep(0.3)
                scenario.restart(0)
                await trio.sleep(2.2)
                scenario.deliver_late_heartbeat()

            found = run_scenario(during, born=born)
            self.assertEqual(0, found.n_late_arrivals(), (state, born))
            self.assertGreater(found.served_share(), 0.95, (state, born))

    def test_departure_outlasts_restarts_of_all_nodes_one_after_another(self):
        async def during(scenario):
            scenario.leave(GONE)
            for number in (1, 2, 3, 0):
                await trio.sleep(0.7)
                scenario.restart(number)
            await trio.sleep(1.0)
            scenario.deliver_late_heartbeat()

        self.assertEqual(0, run_scenario(during).n_late_arrivals())

    def test_departure_outlasts_the_loss_of_half_of_the_nodes_at_once(self):
        async def during(scenario):
            scenario.leave(GONE)
            await trio.sleep(0.05)
            scenario.restart(0, 2, 3)
            await trio.sleep(1.5)
            scenario.deliver_late_heartbeat()

        self.assertEqual(0, run_scenario(during).n_late_arrivals())

    def test_departure_outlasts_the_loss_of_all_nodes_at_once(self):
        async def during(scenario):
            scenario.leave(GONE)
            await trio.sleep(0.2)
            scenario.restart(0, 1, 2, 3)
            await trio.sleep(1.5)
            scenario.deliver_late_heartbeat()

        self.assertEqual(0, run_scenario(during).n_late_arrivals())

    def test_one_late_heartbeat_does_not_keep_a_server_in_use(self):
        # Neither other nodes nor the store know of the departure.
        async def during(scenario):
            scenario.leave(GONE)
            scenario.deployment.state.members.clear()
            scenario.restart(0)
            await trio.sleep(1.5)
            scenario.deliver_late_heartbeat()

        found = run_scenario(during, n_hosts=1, seconds=16.0)
        last = max(found.arrivals, default=0.0)
        heartbeat_s = found.leaving.node.cfg.bounds.heartbeat / 1_000.0
        self.assertLess(last, 1.5 + 2.0 * heartbeat_s + 0.5)

    def use_after_heartbeats(self, after_s, is_down=False, first_start=False):
        """Return whether a server is used after each of three heartbeats.

        Parameters
        ----------
        after_s : float
            Seconds after a restart of its node. The first two heartbeats arrive
            together, as delayed ones may, and the third 0.8 s later.
        is_down : bool, default=False
            Whether the store is down.
        first_start : bool, default=False
            Whether the whole system starts for the first time.
        """

        async def main():
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs", first_start=first_start)
                await deployment.settle()
                host.departed = host.server.instance
                host.store.down = is_down
                host = deployment.restart(host)
                await trio.sleep(after_s)
                found = []
                for pause_s in (0.0, 0.8, 0.0):
                    host.node.backend_queue.handle_report(host.next_report())
                    found.append(bool(host.node.backend_queue.instance()))
                    await trio.sleep(pause_s)
                return found

        return run_in_memory(main)

    def test_one_heartbeat_is_not_enough_while_departures_cannot_be_read(self):
        self.assertEqual([True] * 3, self.use_after_heartbeats(1.0))
        confirmed = [False, False, True]
        self.assertEqual(confirmed, self.use_after_heartbeats(1.0, is_down=True))

    def test_one_heartbeat_is_not_enough_later_after_a_restart(self):
        for is_down in (False, True):
            found = self.use_after_heartbeats(2.5, is_down)
            self.assertEqual([False, False, True], found)
        self.assertEqual([True] * 3, self.use_after_heartbeats(2.5, first_start=True))

    def test_server_whose_heartbeats_end_after_a_restart_is_not_used_any_longer(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                host.departed = host.server.instance
                host = deployment.restart(host)
                await trio.sleep(1.0)
                host.node.backend_queue.handle_report(host.next_report())
                await trio.sleep(1.2)
                return host.node.backend_queue.instance()

        self.assertEqual("", run_in_memory(main))

    def test_departure_that_another_node_acknowledged_is_in_force(self):
        async def main(state):
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add("certs", hall) for hall in DATA_CENTRES]
                await deployment.settle()
                leaving = hosts[0]
                leaving.departed = leaving.server.instance
                queues = [host.node.backend_queue for host in hosts]
                queues[1].handle_report(leaving.next_report(state))
                await trio.sleep(0.5)
                return [bool(queue.instance()) for queue in queues]

        for state in (DRAINING, GONE):
            found = run_in_memory(partial(main, state))
            self.assertEqual([False, True, True], found, state)

    def test_restarts_in_any_order_do_not_revoke_a_departure(self):
        for seed in range(12):
            during = partial(restart_at_random, random.Random(seed))
            found = run_scenario(during, seed=seed)
            self.assertEqual(0, found.n_late_arrivals(), seed)

    def test_later_start_under_the_same_identifier_is_used_by_all_nodes(self):
        async def during(scenario):
            scenario.leave(GONE)
            await trio.sleep(0.3)
            scenario.restart(0)
            await trio.sleep(3.0)
            scenario.leaving.born = 2_000
            scenario.leaving.report()
            await trio.sleep(3.0)
            scenario.arrivals.clear()

        found = run_scenario(during, born=1_000)
        self.assertGreater(len(found.arrivals), 0.1 * REQUESTS_PER_S)


class TestStatedDeparture(TestCase):
    """Departures that servers state in their responses."""

    def count_requests(self, restarts_node):
        """Return the requests from another host before and after a server's restart."""

        async def main():
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add("certs", slots=30) for _ in range(4)]
                for host in hosts:
                    host.born = 1_000
                await deployment.settle()
                leaving, server = hosts[0], hosts[0].server
                server.behave = lambda _: Behaviour(headers=(b"Leaving: 1",))
                found = [await self.count_runs(server, hosts[1])]
                leaving.departed = server.instance
                if restarts_node:
                    leaving = deployment.restart(leaving)
                    await trio.sleep(2.0)
                found.append(await self.count_runs(server, hosts[1]))
                server.behave = lambda _: Behaviour()
                leaving.born, leaving.sequence = 2_000, 0
                leaving.report()
                if restarts_node:
                    # The node uses no server after its first heartbeat.
                    await trio.sleep(1.0)
                found.append(await self.count_runs(server, hosts[1]))
                return found

        return run_in_memory(main)

    async def count_runs(self, server, entry):
        """Send 100 requests to a host; return the number that run at a server."""
        before = sum(server.runs.values())
        for _ in range(100):
            await entry.send("/read/1", f"r-{next(self.numbers)}")
            await trio.sleep(0.02)
        return sum(server.runs.values()) - before

    def test_server_is_used_by_all_nodes_after_it_started_again(self):
        for restarts_node in (False, True):
            self.numbers = itertools.count()
            first, departed, restarted = self.count_requests(restarts_node)
            self.assertEqual((1, 0), (first, departed), restarts_node)
            self.assertGreater(restarted, 10, restarts_node)


async def report(host, state):
    """Send a report of a host's server to its node; return the status."""
    next_report = host.next_report(state)
    host.node._read_report = lambda _: next_report
    client = HttpClient(host.node.cfg.addresses.reports, HeaderNames())
    return (await client.call("PUT", "/", b"{}", 1_000.0)).status


class TestAcknowledgement(TestCase):
    """A departure is acknowledged once it is in force, and known to another node."""

    def test_departure_that_is_not_in_force_is_not_acknowledged(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs")
                host.born = 5_000
                await deployment.settle()
                client = HttpClient(host.node.cfg.addresses.reports, HeaderNames())
                found = []
                for born, state in itertools.product((4_000, 5_000), (DRAINING, GONE)):
                    # The wall clock was set back before the start at 4,000.
                    report = replace(host.next_report(state), born=born)
                    host.node._read_report = lambda _, report=report: report
                    response = await client.call("PUT", "/", b"{}", 1_000.0)
                    is_used = bool(host.node.backend_queue.instance())
                    found.append((response.status, is_used))
                return found

        expected = [(409, True), (409, True), (200, False), (200, False)]
        self.assertEqual(expected, run_in_memory(main))

    def test_departure_that_only_an_ended_process_knew_was_not_acknowledged(self):
        # The process reaches neither the store nor another node, and ends.
        async def main(state, is_alone):
            async with a_deployment(a_route("read")) as deployment:
                host = deployment.add("certs")
                await deployment.settle()
                host.departed = host.server.instance
                late_heartbeat = host.next_report()
                host.store.down = is_alone
                status = await report(host, state)
                was_used = bool(host.node.backend_queue.instance())
                host = deployment.restart(host)
                await trio.sleep(1.0)
                host.store.down = False
                await trio.sleep(3.0)
                host.node.backend_queue.handle_report(late_heartbeat)
                return status, was_used, bool(host.node.backend_queue.instance())

        for state in (DRAINING, GONE):
            alone = run_in_memory(partial(main, state, True))
            self.assertEqual((503, False, False), alone, state)
            linked = run_in_memory(partial(main, state, False))
            self.assertEqual((200, False, False), linked, state)

    def test_departure_outlasts_all_nodes_that_know_it_while_the_store_is_silent(self):
        # Two nodes end together, one of which acknowledged the departure.
        async def main(n_hosts):
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add("certs") for _ in range(n_hosts)]
                for host in hosts:
                    host.born = 1_000
                await deployment.settle()
                leaving = hosts[0]
                leaving.departed = leaving.server.instance
                late_heartbeat = leaving.next_report()
                for host in hosts:
                    host.store.down = True
                status = await report(leaving, GONE)
                for host in hosts:
                    host.store.down = False
                restarted = [deployment.restart(host) for host in hosts[:2]]
                await trio.sleep(3.0)
                queue = restarted[0].node.backend_queue
                queue.handle_report(late_heartbeat)
                return status, bool(queue.instance())

        self.assertEqual(503, run_in_memory(partial(main, 2))[0])
        self.assertEqual((200, False), run_in_memory(partial(main, 4)))

    def test_acknowledged_departure_is_in_the_store_that_answers(self):
        async def main():
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add("certs") for _ in range(4)]
                await deployment.settle()
                register = hosts[0].store.register

                async def register_slowly(*args):
                    await trio.sleep(0.05)
                    return await register(*args)

                hosts[0].store.register = register_slowly
                status = await report(hosts[0], GONE)
                members = deployment.state.members
                stored = members[hosts[0].node.cfg.node].departures
                return status, [departure.instance for departure in stored]

        self.assertEqual((200, ["i-certs-0"]), run_in_memory(main))

    def test_departure_outlasts_all_nodes_at_once_while_the_store_is_silent(self):
        async def main(state):
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add("certs") for _ in range(4)]
                await deployment.settle()
                leaving = hosts[0]
                leaving.departed = leaving.server.instance
                late_heartbeat = leaving.next_report()
                for host in hosts:
                    host.store.down = True
                status = await report(leaving, state)
                restarted = [deployment.restart(host) for host in hosts]
                await trio.sleep(0.7)
                for host in hosts:
                    host.store.down = False
                await trio.sleep(3.0)
                queue = restarted[0].node.backend_queue
                queue.handle_report(late_heartbeat)
                return status, bool(queue.instance())

        for state in (DRAINING, GONE):
            found = run_in_memory(partial(main, state))
            self.assertEqual((200, False), found, state)

    def use_after_loss_of_all(self, state, start_s, late_s):
        """Return when a server is used that left before all nodes were killed.

        Its departure is acknowledged while the store is silent.

        Parameters
        ----------
        state : BackendState
            State in which it left.
        start_s : float
            Seconds that the start of a process takes.
        late_s : tuple of float
            Seconds after the kill at which a late heartbeat arrives.

        Returns
        -------
        list of float
            Seconds after the kill, in steps of 0.1 s.
        """

        async def main():
            async with a_deployment(a_route("read")) as deployment:
                hosts = [deployment.add("certs") for _ in range(4)]
                await deployment.settle()
                leaving = hosts[0]
                leaving.departed = leaving.server.instance
                late = [leaving.next_report() for _ in late_s]
                for host in hosts:
                    host.store.down = True
                self.assertEqual(200, await report(leaving, state))
                killed_at = trio.current_time()
                for host in hosts:
                    host.kill()
                    host.store.down = False
                await trio.sleep(start_s)
                restarted = [deployment.restart(h, 1_000.0 * start_s) for h in hosts]
                queue = restarted[0].node.backend_queue
                used = []
                for step in range(int(10.0 * start_s), 120):
                    at = step / 10.0
                    await trio.sleep_until(killed_at + at)
                    if late and at >= late_s[-len(late)]:
                        queue.handle_report(late.pop(0))
                    if queue.instance():
                        used.append(at)
                return used

        return run_in_memory(main)

    def test_slow_start_does_not_extend_the_use_of_a_server_that_left(self):
        for start_s in (0.2, 0.8, 2.0, 5.0):
            for state in (DRAINING, GONE):
                for late_s in (1.5, 2.5, 3.5, 5.5):
                    used = self.use_after_loss_of_all(state, start_s, (late_s,))
                    last = max(used, default=0.0)
                    self.assertLess(last, DRAIN_S, (start_s, state, late_s))

    def test_late_heartbeat_is_not_believed_once_no_further_one_can_be_late(self):
        for start_s in (0.2, 2.0, 5.0):
            for late_s in ((9.0,), (9.8,), (5.5, 5.6, 6.0)):
                used = self.use_after_loss_of_all(GONE, start_s, late_s)
                self.assertEqual([], used, (start_s, late_s))

    def acknowledge(self, n_nodes, confirms):
        """Return the milliseconds that an acknowledgement waits, and what was sent."""

        async def main():
            departures = ServerDepartures("n-0", EventLog("n-0", trio_clock()))
            sent = []

            def post(message, node):
                sent.append(message)
                if confirms:
                    receipt = DepartureReceipt(message.instance)
                    departures.handle_receipt(receipt, node)

            departures.posts = lambda: {
                name: partial(post, node=name)
                for name in (f"n-{n + 1}" for n in range(n_nodes))
            }
            started = trio.current_time()
            departures.announce("i-1", 1_000)
            await departures.wait_until_received()
            return 1_000.0 * (trio.current_time() - started), sent

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_departure_is_sent_to_all_linked_nodes_before_the_acknowledgement(self):
        waited, sent = self.acknowledge(n_nodes=3, confirms=True)
        self.assertEqual((0.0, 3 * [Departure("n-0", "i-1", 1_000)]), (waited, sent))

    def test_acknowledgement_waits_a_limited_time_for_silent_nodes(self):
        waited, _ = self.acknowledge(n_nodes=3, confirms=False)
        self.assertTrue(0.0 < waited < 500.0, waited)

    def test_node_without_links_acknowledges_at_once(self):
        self.assertEqual((0.0, []), self.acknowledge(n_nodes=0, confirms=False))
