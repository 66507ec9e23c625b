"""Admission control at the entry node, and the retry-after time of refused requests."""

from testtools import TestCase

from fuchsiagap_node.tests.core.mesh.simulated_service import SimulatedService
from fuchsiagap_standins.mesh.deployment import a_route


class TestAdmission(TestCase):
    def test_admission_depends_on_capacity_not_on_remaining_time(self):
        # Callers of one route differ in how long they wait, and those that retry have
        # less time left. Neither affects admission, which depends on the capacity only.
        service = SimulatedService()
        route = a_route("read", priority=2)
        for _ in range(100):
            n_admitted = service.admit(route, 20)
            service.step([2.0 * n_admitted])
        self.assertAlmostEqual(4.5, n_admitted, delta=1.5)

    def test_rarely_requested_high_priority_kind_is_admitted_during_a_surge(self):
        service = SimulatedService()
        read, repair = a_route("read", priority=2), a_route("repair", priority=0)
        service.admit(repair, 1)
        for _ in range(200):
            service.admit(read, 20)
            service.step([30.0])
        self.assertEqual(1, service.admit(repair, 1))

    def test_low_priority_kind_keeps_a_minimum_share(self):
        # The capacity is eight of twenty requests, and eight of the twenty have high
        # priority.
        service = SimulatedService()
        read, write = a_route("read", priority=5), a_route("write", priority=0)
        counts = {"read": 0, "write": 0}
        for step in range(600):
            reads, writes = service.admit(read, 12), service.admit(write, 8)
            service.step([10.0 * (reads + writes) / 8.0])
            if step >= 300:
                counts["read"] += reads
                counts["write"] += writes
        read_share, write_share = counts["read"] / 3_600, counts["write"] / 2_400
        self.assertGreater(read_share, 0.25 * 0.4)
        self.assertLess(read_share, 0.5 * 0.4)
        self.assertGreater(write_share, 0.7)

    def test_retry_after_leaves_time_within_the_objective(self):
        admission = SimulatedService().admission
        for objective in (150.0, 250.0, 1_200.0):
            route = a_route("read", objective=objective)
            waits = [admission.retry_after(route) for _ in range(200)]
            self.assertLess(max(waits), 0.5 * objective)
            # Callers that are refused together do not all retry at the same time.
            self.assertGreater(max(waits) - min(waits), 0.1 * objective)
