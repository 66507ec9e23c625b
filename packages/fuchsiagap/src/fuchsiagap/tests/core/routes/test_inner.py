import random

from testtools import TestCase

from fuchsiagap.core.routes.inner import InnerRoutes


class TestInnerRoutes(TestCase):
    def test_requests_that_end_with_others_are_calls(self):
        routes = InnerRoutes()
        told = [routes.is_call("lookup", n % 20 != 7) for n in range(400)]
        self.assertGreater(sum(told[100:]) / 300, 0.9)

    def test_callers_requests_that_end_with_others_by_chance_are_none(self):
        routes = InnerRoutes()
        rng = random.Random(1)
        told = [routes.is_call("page", rng.random() < 0.4) for _ in range(400)]
        self.assertLess(sum(told[50:]) / 350, 0.01)

    def test_request_that_ends_with_none_is_no_call_whatever_its_route(self):
        routes = InnerRoutes()
        for _ in range(100):
            routes.is_call("lookup", True)
        self.assertFalse(routes.is_call("lookup", False))
