"""Choice of an instance: data centres, load, slow start and leaving instances."""

from __future__ import annotations

from testtools import TestCase

from fuchsiagap.core.calls.outcome import Reason
from fuchsiagap.tests.core.routing.a_router import (
    CERTS,
    ManualClock,
    a_refusal,
    a_router,
    an_answer,
    an_instance,
    instances,
    run_calls,
)


def always_answer(_instance):
    return an_answer()


class ChooseTest(TestCase):
    def setUp(self):
        super().setUp()
        self.time = ManualClock()

    def test_unknown_service_has_no_instance(self):
        self.assertIsNone(a_router(self.time).choose(CERTS))

    def test_own_data_centre_is_preferred(self):
        router = a_router(self.time)
        router.update(instances(3, 6))
        counts = run_calls(router, 300, always_answer)
        self.assertEqual({"certs-0", "certs-1", "certs-2"}, set(counts))

    def test_other_data_centre_is_used_if_the_own_has_no_instance(self):
        router = a_router(self.time)
        router.update(instances(0, 2))
        self.assertEqual(2, len(run_calls(router, 50, always_answer)))

    def test_excluded_instances_are_not_chosen(self):
        router = a_router(self.time)
        router.update(instances(2, 1))
        excluded = frozenset({"certs-0", "certs-1"})
        self.assertEqual("certs-2", router.choose(CERTS, excluded).node)
        everyone = excluded | {"certs-2"}
        self.assertIsNone(router.choose(CERTS, everyone))

    def test_less_loaded_of_two_is_chosen(self):
        router = a_router(self.time)
        router.update(instances(2))
        busy = an_instance(0)
        router.begin(busy)
        router.end(busy, an_answer(in_flight=8), 5.0)
        self.assertEqual({"certs-1": 6}, run_calls(router, 6, always_answer))

    def test_load_report_expires(self):
        router = a_router(self.time)
        router.update(instances(2))
        busy = an_instance(0)
        router.begin(busy)
        router.end(busy, an_answer(in_flight=8), 5.0)
        self.time.advance(router.cfg.load_memory)
        self.assertIn("certs-0", run_calls(router, 50, always_answer))

    def test_own_backend_server_is_chosen_until_half_used(self):
        router = a_router(self.time, node="certs-1", assumed_limit=10)
        router.update(instances(3))
        counts = run_calls(router, 5, None, hold=True)
        self.assertEqual({"certs-1": 5}, counts)
        self.assertNotEqual("certs-1", router.choose(CERTS).node)

    def test_cancelled_attempts_are_no_longer_in_flight(self):
        router = a_router(self.time)
        router.update(instances(2))
        run_calls(router, 50, lambda _: None)
        counts = run_calls(router, 8, None, hold=True)
        self.assertEqual([4, 4], sorted(counts.values()))


class SpillTest(TestCase):
    def setUp(self):
        super().setUp()
        self.time = ManualClock()
        self.router = a_router(self.time, assumed_limit=10)
        self.router.update(instances(2, 2))

    def test_saturated_data_centre_spills_and_recovers(self):
        counts = run_calls(self.router, 30, None, hold=True)
        self.assertGreaterEqual(counts["certs-0"] + counts["certs-1"], 18)
        self.assertGreater(counts["certs-2"] + counts["certs-3"], 5)
        self.assertGreater(self.router.counts.spills, 0)
        for node in ("certs-0", "certs-1"):
            for _ in range(counts[node]):
                self.router.end(an_instance(int(node[-1])), None, 5.0)
        back = run_calls(self.router, 20, always_answer)
        self.assertEqual({"certs-0", "certs-1"}, set(back))

    def test_no_spill_if_other_data_centres_are_as_busy(self):
        for instance in instances(2, 2):
            self.router.begin(instance)
            self.router.end(instance, an_answer(in_flight=9, queued=6), 5.0)
        counts = run_calls(self.router, 4, None, hold=True)
        self.assertEqual({"certs-0", "certs-1"}, set(counts))


class SlowStartTest(TestCase):
    def share_of_new_instance(self, router):
        counts = run_calls(router, 1000, always_answer)
        return counts.get("certs-3", 0) / 1000

    def test_share_of_a_new_instance_grows_gradually(self):
        time = ManualClock()
        router = a_router(time, slow_start=10_000.0)
        router.update(instances(3))
        run_calls(router, 10, always_answer)
        time.advance(60_000.0)
        router.update((*instances(3), an_instance(3)))
        shares = []
        for _ in range(4):
            shares.append(self.share_of_new_instance(router))
            time.advance(3_400.0)
        self.assertEqual(sorted(shares), shares)
        self.assertLess(shares[0], 0.08)
        self.assertGreater(shares[3], 0.2)

    def test_new_incarnation_gets_a_slow_start(self):
        time = ManualClock()
        router = a_router(time)
        router.update(instances(4))
        before = self.share_of_new_instance(router)
        router.update((*instances(3), an_instance(3, incarnation=2)))
        self.assertLess(self.share_of_new_instance(router), before / 2)

    def test_late_outcome_of_an_earlier_incarnation_is_ignored(self):
        router = a_router(ManualClock())
        router.update(instances(1))
        old, new = an_instance(0), an_instance(0, incarnation=2)
        router.begin(old)
        router.update((new,))
        router.end(old, a_refusal(Reason.LEAVING), 5.0)
        self.assertEqual(new, router.choose(CERTS))


class LeavingTest(TestCase):
    def test_leaving_instance_is_never_chosen(self):
        router = a_router(ManualClock())
        router.update(instances(2))
        router.update((an_instance(0, leaving=True), an_instance(1)))
        self.assertEqual({"certs-1": 50}, run_calls(router, 50, always_answer))
        router.update((an_instance(0, leaving=True), an_instance(1, leaving=True)))
        self.assertIsNone(router.choose(CERTS))

    def test_leaving_refusal_is_applied_at_once(self):
        router = a_router(ManualClock())
        router.update(instances(2))
        router.begin(an_instance(0))
        router.end(an_instance(0), a_refusal(Reason.LEAVING), 1.0)
        self.assertEqual({"certs-1": 50}, run_calls(router, 50, always_answer))
        self.assertIsNone(router.choose(CERTS, frozenset({"certs-1"})))
        back = an_instance(0, incarnation=2)
        router.update((back, an_instance(1)))
        self.assertEqual(back, router.choose(CERTS, frozenset({"certs-1"})))


class LargeFleetTest(TestCase):
    def test_member_list_of_a_large_fleet_is_applied_at_intervals(self):
        time = ManualClock()
        router = a_router(time)
        router.update(instances(600))
        self.assertIsNotNone(router.choose(CERTS))
        for n_left in range(599, 589, -1):
            router.update(instances(n_left))
            self.assertIsNotNone(router.choose(CERTS))
        self.assertEqual(12, len(router.linked(CERTS)))
        router.update((an_instance(0, leaving=True),) * 501)
        self.assertIsNotNone(router.choose(CERTS))
        time.advance(router.cfg.update_pause)
        self.assertIsNone(router.choose(CERTS))
