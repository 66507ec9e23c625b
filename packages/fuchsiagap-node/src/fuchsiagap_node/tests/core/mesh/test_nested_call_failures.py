"""What is refused while a server deep below fails and there is room all the same.

The story: on deployments of 58 and 81 hosts too little was served; requests of the
lowest rank were refused for ten seconds and more after a few servers had failed, down
to 5 of 100 let in, and their kind missed the worth that it was owed. A server at the
end of the call graph reset its connections. Nothing was sent to it any more, yet its
failures counted by its places. The requests above had failed with their calls, and each
node above, up to three hops, took them for failures of its own server: one failure was
added up once a hop. The entries believed in twice the load that there was, and let in
so few requests that the verdicts on the servers above, each a mean over its last 30
requests, stayed.

The evidence: lines of load of one second of such a day. The deepest service had one
server that failed, was offered nothing and told 0.76, and one that was sound and
offered 0.87 of its places; the services above were offered 0.06 to 0.25 of theirs and
told 0.27, 0.37 and 0.40 of failures; the entries believed in a fullness of 1.9 and let
in 6 of 100.
"""

import trio
from testtools import TestCase

from fuchsiagap_node.tests.core.mesh.simulated_service import SimulatedService
from fuchsiagap_standins.mesh.backend_server import Behaviour, CallFailed, Manner
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

# A call looks for another server for a fifth of its objective, while verdicts fade.
ROUTES = tuple(
    a_route(name, name, objective=100.0) for name in ("pages", "orders", "stock")
)
N_REQUESTS = 40


def call_to(host, service):
    """Return what a server does while it runs a request: a call that it needs."""

    async def run(request_id):
        answer = await host.send(f"/{service}/1", f"{request_id}.1")
        if answer is None or answer.status != 200:
            raise CallFailed

    return run


async def failing_shares(behaviour):
    """Send pages while the deepest server fails; return what each door tells."""
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


class TestFailingBelow(TestCase):
    def test_failed_call_counts_at_the_server_that_failed_alone(self):
        pages, orders, stock = run_in_memory(
            lambda: failing_shares(Behaviour(Manner.CUT))
        )
        self.assertGreater(stock, 0.5)
        self.assertEqual((0.0, 0.0), (pages, orders))

    def test_call_without_an_answer_counts_at_the_server_that_is_silent_alone(self):
        pages, orders, stock = run_in_memory(
            lambda: failing_shares(Behaviour(Manner.MUTE))
        )
        self.assertGreater(stock, 0.1)
        self.assertEqual((0.0, 0.0), (pages, orders))

    def test_call_that_reaches_no_server_counts_at_the_one_that_made_it(self):
        # Its host is cut off from the service: callers have to see that, and go to
        # another server or refuse what would come to nothing.
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

    def test_failed_call_is_repeated_where_it_failed_alone(self):
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

        # Repeated at each hop, as far as the budgets go: 4, 5 and 9.
        self.assertEqual([3, 3, 6], run_in_memory(main))

    def test_server_that_fails_without_a_call_counts(self):
        # Its own 500, as of a server that fails part of its requests.
        _, _, stock = run_in_memory(lambda: failing_shares(Behaviour(status=500)))
        self.assertGreater(stock, 0.5)

    def test_failing_server_that_gets_nothing_keeps_nobody_out(self):
        # Two hops above a service of which one of two servers fails: all that is sent
        # fills eight of the ten places of the other one.
        service = SimulatedService(n_servers=2, hops=2)
        route = a_route("read", priority=2)
        service.targets[0].failing = 0.9
        for _ in range(50):
            n_admitted = service.admit(route, 20)
            service.step([0.0, 0.4 * n_admitted])
        self.assertEqual(20, n_admitted)

    def test_service_of_which_each_server_fails_keeps_requests_out(self):
        # Trees of several calls come to nothing there.
        service = SimulatedService(n_servers=2, hops=2)
        route = a_route("read", priority=2)
        for target in service.targets:
            target.failing = 0.9
        for _ in range(50):
            n_admitted = service.admit(route, 20)
            service.step([0.25 * n_admitted, 0.25 * n_admitted])
        self.assertLess(n_admitted, 5)
