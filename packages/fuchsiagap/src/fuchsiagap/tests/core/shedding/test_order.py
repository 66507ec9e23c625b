from testtools import TestCase

from fuchsiagap.core.routes.model import Route, ServiceShare
from fuchsiagap.core.routes.workspace_priority import apply_workspace_priority
from fuchsiagap.core.shedding.order import IDLE_KIND_MS, SheddingOrder


def a_route(name, priority):
    """Return a route with the given name and priority."""
    return Route(
        name,
        "api",
        f"/{name}/",
        (ServiceShare("s"),),
        True,
        1_000.0,
        500.0,
        priority,
        1,
    )


def an_order(**kinds):
    """Return an order with one request of each kind, given as (priority, calls)."""
    order = SheddingOrder()
    for name, (priority, calls) in kinds.items():
        order.record_request(a_route(name, priority), 0.0)
        order.record_calls(name, calls)
    return order


def steps(order, *names):
    """Return the steps of the named kinds."""
    return [order.step_by_kind()[name] for name in names]


class TestSheddingOrder(TestCase):
    def test_less_important_kinds_are_shed_first_whatever_their_calls(self):
        order = an_order(read=(2, 0.0), buy=(0, 11.0), log=(1, 3.0))
        self.assertEqual([0, 1, 2], steps(order, "read", "log", "buy"))

    def test_heavy_kinds_are_shed_before_light_ones_of_their_priority(self):
        order = an_order(page=(2, 12.0), reserve=(2, 0.0), buy=(0, 10.0))
        self.assertEqual([0, 1, 2], steps(order, "page", "reserve", "buy"))

    def test_kinds_with_similar_calls_share_a_step(self):
        order = an_order(page=(2, 12.0), list=(2, 6.0))
        self.assertEqual([0, 0], steps(order, "page", "list"))

    def test_priority_without_requests_is_no_step(self):
        order = an_order(read=(9, 0.0), buy=(0, 0.0))
        self.assertEqual([0, 1], steps(order, "read", "buy"))

    def test_changed_priority_is_applied(self):
        order = an_order(read=(2, 0.0), buy=(0, 0.0))
        order.record_request(a_route("read", 0), 0.0)
        self.assertEqual([0, 0], steps(order, "read", "buy"))

    def test_one_route_with_two_workspace_priorities_is_two_kinds(self):
        order = SheddingOrder()
        urgent, usual = (
            apply_workspace_priority(a_route("read", 1), p) for p in (0, 1)
        )
        for number in range(200):
            order.record_request(urgent if number % 10 == 0 else usual, 10.0 * number)
        self.assertEqual([1, 0], steps(order, urgent.kind, usual.kind))
        loads = {load.step: load.load for load in order.loads(2_000.0)}
        self.assertGreater(loads[0], 5 * loads[1], "the counts of both are kept")

    def test_idle_kind_is_no_step(self):
        order = an_order(seldom=(9, 0.0), read=(2, 0.0), buy=(0, 0.0))
        self.assertEqual([1, 2], steps(order, "read", "buy"))
        for name, priority in (("read", 2), ("buy", 0)):
            order.record_request(a_route(name, priority), IDLE_KIND_MS)
        order.forget(IDLE_KIND_MS + 1.0)
        self.assertEqual([0, 1], steps(order, "read", "buy"))
