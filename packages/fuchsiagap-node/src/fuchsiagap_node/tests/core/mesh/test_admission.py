"""What the entry refuses, and when it tells callers to come back."""

from testtools import TestCase

from fuchsiagap_node.tests.core.mesh.a_service import AService
from fuchsiagap_standins.mesh.deployment import a_route


class TestAdmission(TestCase):
    def test_callers_with_less_time_left_are_let_in_like_the_others(self):
        # Callers of one route differ in how long they wait, and those that come back
        # have less time left: neither decides, the room does.
        service = AService()
        route = a_route("read", priority=2)
        for _ in range(100):
            let_in = service.let_in(route, 20)
            service.step([2.0 * let_in])
        self.assertAlmostEqual(4.5, let_in, delta=1.5)

    def test_refused_caller_can_come_back_in_time(self):
        admission = AService().admission
        for objective in (150.0, 250.0, 1_200.0):
            route = a_route("read", objective=objective)
            waits = [admission.retry_after(route) for _ in range(200)]
            self.assertLess(max(waits), 0.5 * objective)
            # Those that are refused together do not come back together.
            self.assertGreater(max(waits) - min(waits), 0.1 * objective)
