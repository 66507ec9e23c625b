"""A failing server deep in the call graph causes no refusals below capacity.

Guards against refusing most low-priority requests for ten seconds and more after a few
servers failed, down to 5 of 100 admitted, in deployments of 58 and 81 hosts. This
happens if the failures of a server that gets no more requests count in proportion to
its slots, and if the nodes up to three hops above count each failed nested call as a
failure of their own server too. Entry nodes then see twice the actual load, and admit
so few requests that the failure shares, averages over the last 30 requests, do not
recover.

An example: the deepest service has a failing server (failure share 0.76, no load) and a
healthy one (offered load 0.87). With offered loads of 0.06 to 0.25, the services above
report failure shares of 0.27, 0.37 and 0.40, and the entry nodes compute a fullness of
1.9 and admit 6 of 100 requests.
"""

import trio
from testtools import TestCase

from fuchsiagap_node.tests.core.mesh.simulated_service import SimulatedService
from fuchsiagap_standins.mesh.backend_server import Behaviour, CallFailed, ResponseMode
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

# Calls search for a usable server for a fifth of their objective, during which failure
# shares decay.
ROUTES = tuple(
    a_route(name, name, objective=100.0) for name in ("pages", "orders", "stock")
)
N_REQUESTS = 40


def call_to(host, service):
    """Return the work of a server on a request: a nested call that it depends on."""

    async def run(request_id):
        answer = await host.send(f"/{service}/1", f"{request_id}.1")
        if answer is None or answer.status != 200:
            raise CallFailed

    return run


async def failure_shares(behaviour):
    """Send requests while the deepest server fails; return each failure share."""
    async with a_deployment(*ROUTES) as deployment:
        pages, orders, stock = (deployment.add(route.name) for route in ROUTES)
        pages.server.on_run = call_to(pages, "orders")
        orders.server.on_run = call_to(orders, "stock")
        stock.server.behave = lambda _: behaviour
        await deployment.settle()
        for number in range(N_REQUESTS):
            await pages.send("/pages/1", f"p{number}", wait=400.0)
            await trio.sleep(0.01)
        return [host.node.backend_queue.failing() for host in (pages, orders, stock)]


class TestNestedCallFailures(TestCase):
    def test_failed_call_counts_only_at_the_server_that_failed(self):
        pages, orders, stock = run_in_memory(
            lambda: failure_shares(Behaviour(ResponseMode.CUT))
        )
        self.assertGreater(stock, 0.5)
        self.assertEqual((0.0, 0.0), (pages, orders))

    def test_unanswered_call_counts_only_at_the_silent_server(self):
        pages, orders, stock = run_in_memory(
            lambda: failure_shares(Behaviour(ResponseMode.MUTE))
        )
        self.assertGreater(stock, 0.1)
        self.assertEqual((0.0, 0.0), (pages, orders))

    def test_call_that_reaches_no_server_counts_at_the_calling_server(self):
        # The host of the calling server has no path to the service. Its callers have
        # to see these failures, and use another server or refuse requests that
        # would fail.
        async def main():
            async with a_deployment(*ROUTES) as deployment:
                pages, orders = (deployment.add(r.name) for r in ROUTES[:2])
                pages.server.on_run = call_to(pages, "orders")
                orders.server.on_run = call_to(orders, "stock")
                await deployment.settle()
                for number in range(N_REQUESTS):
                    await pages.send("/pages/1", f"p{number}", wait=400.0)
                return [host.node.backend_queue.failing() for host in (pages, orders)]

        at_pages, at_orders = run_in_memory(main)
        self.assertEqual(0.0, at_pages)
        self.assertGreater(at_orders, 0.3)

    def test_failed_call_is_retried_only_at_the_hop_where_it_failed(self):
        async def main():
            async with a_deployment(*ROUTES) as deployment:
                pages, orders, stock = (
                    [deployment.add(route.name) for _ in range(2)] for route in ROUTES
                )
                for host in pages:
                    host.server.on_run = call_to(host, "orders")
                for host in orders:
                    host.server.on_run = call_to(host, "stock")
                for host in stock:
                    host.server.behave = lambda _: Behaviour(status=500)
                await deployment.settle()
                for number in range(3):
                    await pages[0].send("/pages/1", f"p{number}")
                return [
                    sum(len(host.server.heads) for host in hosts)
                    for hosts in (pages, orders, stock)
                ]

        # With retries at each hop, within the retry budgets, the servers would get
        # 4, 5 and 9 requests.
        self.assertEqual([3, 3, 6], run_in_memory(main))

    def test_failure_without_a_nested_call_counts_at_the_server(self):
        # The server itself answers 500.
        _, _, stock = run_in_memory(lambda: failure_shares(Behaviour(status=500)))
        self.assertGreater(stock, 0.5)

    def test_failing_server_without_load_causes_no_refusals(self):
        # Requests enter two hops above a service of which one of two servers fails.
        # The whole load takes eight of the ten slots of the other server.
        service = SimulatedService(n_servers=2, hops=2)
        route = a_route("read", priority=2)
        service.targets[0].failing = 0.9
        for _ in range(50):
            n_admitted = service.admit(route, 20)
            service.step([0.0, 0.4 * n_admitted])
        self.assertEqual(20, n_admitted)

    def test_requests_are_refused_when_every_server_of_a_service_fails(self):
        # Call trees of several calls would fail there.
        service = SimulatedService(n_servers=2, hops=2)
        route = a_route("read", priority=2)
        for target in service.targets:
            target.failing = 0.9
        for _ in range(50):
            n_admitted = service.admit(route, 20)
            service.step([0.25 * n_admitted, 0.25 * n_admitted])
        self.assertLess(n_admitted, 5)
