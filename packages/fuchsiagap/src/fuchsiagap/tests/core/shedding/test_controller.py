import math

from testtools import TestCase

from fuchsiagap.core.shedding.allocation import KindLoad, max_cut, share_of_step
from fuchsiagap.core.shedding.controller import TARGET_FULLNESS, SheddingController

STEP_MS = 100.0
GUARANTEED = 0.1
# Four kinds of equal load; that of step 0 is shed first.
KINDS = [KindLoad(step, 1.0) for step in range(4)]
UNLIMITED = 100.0


def controller_after(fullness, seconds, controller=None, step=3):
    """Return a controller of one kind after some seconds at a constant fullness."""
    controller = controller or SheddingController()
    worst, most = (max_cut(n, KINDS, GUARANTEED) for n in (0, step))
    for _ in range(int(seconds * 1_000.0 / STEP_MS)):
        controller.step(fullness, STEP_MS, worst, most)
    return controller


def shares(controller):
    """Return the admitted share of each kind, the least important first."""
    load_shares = [controller.load_share(is_worst=step == 0) for step in range(4)]
    return [
        share_of_step(step, load_shares[step], KINDS, GUARANTEED) for step in range(4)
    ]


def simulate_loads(offered_at, delay, n_steps=150):
    """Return the load at each step if admissions take effect `delay` steps later."""
    controller = SheddingController()
    admitted = [1.0] * (delay + 1)
    results = []
    for step in range(n_steps):
        controller.step(
            offered_at(step) * admitted[-delay - 1], STEP_MS, UNLIMITED, UNLIMITED
        )
        admitted.append(controller.load_share())
        results.append(offered_at(step) * admitted[-1])
    return results


class TestSheddingController(TestCase):
    def test_all_is_admitted_below_the_target(self):
        self.assertEqual(
            [1.0] * 4, shares(controller_after(TARGET_FULLNESS * 0.9, 10.0))
        )

    def test_least_important_kind_is_cut_before_the_next(self):
        worst, *others = shares(controller_after(TARGET_FULLNESS * 1.5, 0.4))
        self.assertLess(worst, 0.8)
        self.assertEqual([1.0] * 3, others)

    def test_next_kind_is_cut_once_the_first_is_at_its_guarantee(self):
        controller = SheddingController()
        while shares(controller)[1] == 1.0:
            controller_after(TARGET_FULLNESS * 2.0, 0.1, controller)
        self.assertAlmostEqual(GUARANTEED, shares(controller)[0])

    def test_no_kind_is_cut_below_its_guarantee(self):
        for share in shares(controller_after(TARGET_FULLNESS * 5.0, 300.0)):
            self.assertGreaterEqual(share, 0.999 * GUARANTEED)
        self.assertAlmostEqual(
            GUARANTEED, shares(controller_after(TARGET_FULLNESS * 5.0, 300.0))[0]
        )

    def test_order_of_kinds_holds_at_every_cut(self):
        controller = SheddingController()
        for _ in range(200):
            controller_after(TARGET_FULLNESS * 3.0, 0.1, controller)
            self.assertEqual(sorted(shares(controller)), shares(controller))

    def test_shedding_ends_within_seconds_of_the_surge(self):
        controller = controller_after(TARGET_FULLNESS * 3.0, 60.0)
        controller_after(TARGET_FULLNESS * 0.3, 15.0, controller)
        self.assertEqual([1.0] * 4, shares(controller))

    def test_load_settles_at_the_target_within_two_seconds(self):
        # Twice the capacity is offered for 10 s, then half of it. The load on the
        # service is what was admitted half a second ago.
        results = simulate_loads(
            lambda step: 2.0 if step < 100 else 0.5, delay=5, n_steps=200
        )
        for load in results[20:100]:
            self.assertAlmostEqual(TARGET_FULLNESS, load, delta=0.1)
        self.assertEqual({0.5}, set(results[120:]))

    def test_load_does_not_oscillate_with_slow_call_trees(self):
        # With a reaction time of 0.6 s and no proportional term, the load oscillates
        # between 0.53 and 1.70 at a delay of 0.8 s, and between 0.35 and 2.00 at 1.2 s.
        for delay, tolerance in ((8, 0.1), (12, 0.25)):
            results = simulate_loads(lambda _: 2.0, delay)
            for load in results[40:]:
                self.assertAlmostEqual(TARGET_FULLNESS, load, delta=tolerance)

    def test_onset_of_a_surge_is_cut_within_half_a_second(self):
        results = simulate_loads(lambda _: 2.0, delay=5)
        self.assertLess(results[5], 1.25)

    def test_idle_service_gets_requests_again_within_seconds(self):
        for step in range(4):
            controller = controller_after(TARGET_FULLNESS * 2.5, 8.0, step=step)
            controller_after(TARGET_FULLNESS * 0.3, 3.2, controller, step)
            self.assertEqual(1.0, shares(controller)[0])

    def test_least_important_kind_recovers_soon_after_servers_stop_failing(self):
        controller = controller_after(TARGET_FULLNESS * 2.5, 8.0)
        self.assertAlmostEqual(GUARANTEED, shares(controller)[0])
        controller_after(TARGET_FULLNESS * 0.2, 4.0, controller)
        self.assertEqual([1.0] * 4, shares(controller))

    def test_cuts_of_entry_nodes_converge(self):
        # One entry node did not see the load for a while and refused nothing.
        controllers = [
            SheddingController(),
            controller_after(TARGET_FULLNESS * 2.0, 1.0),
        ]
        for _ in range(400):
            load = sum(controller.load_share() for controller in controllers)
            for controller in controllers:
                controller.step(load, STEP_MS, UNLIMITED, UNLIMITED)
        load_shares = [controller.load_share() for controller in controllers]
        self.assertAlmostEqual(load_shares[0], load_shares[1], delta=0.05)
        self.assertAlmostEqual(TARGET_FULLNESS, sum(load_shares), delta=0.1)

    def test_important_kinds_are_not_cut_for_requests_in_progress(self):
        # Earlier requests of the least important kind keep a service full for 1.2 s.
        # The capacity is enough for all other kinds, which must not lose more than one
        # request in twenty.
        kinds = [KindLoad(0, 60.0), KindLoad(1, 20.0), KindLoad(2, 20.0)]
        worst, most = (max_cut(step, kinds, GUARANTEED) for step in (0, 2))
        controller = SheddingController()
        admitted = [1.0] * 13
        for _ in range(200):
            controller.step(1.7 * admitted[-13], STEP_MS, worst, most)
            shares = [
                share_of_step(step, controller.load_share(step == 0), kinds, GUARANTEED)
                for step in range(3)
            ]
            self.assertGreater(shares[1], 0.95)
            self.assertEqual(1.0, shares[2])
            admitted.append(0.6 * shares[0] + 0.2 * shares[1] + 0.2 * shares[2])

    def test_important_kinds_do_not_oscillate_when_they_are_cut(self):
        kinds = [KindLoad(0, 40.0), KindLoad(1, 60.0)]
        worst, most = (max_cut(step, kinds, GUARANTEED) for step in (0, 1))
        controller = SheddingController()
        admitted = [1.0] * 9
        results = []
        for _ in range(200):
            controller.step(2.0 * admitted[-9], STEP_MS, worst, most)
            load_share = controller.load_share(is_worst=False)
            results.append(share_of_step(1, load_share, kinds, GUARANTEED))
            admitted.append(0.4 * GUARANTEED + 0.6 * results[-1])
        self.assertLess(max(results[60:]) - min(results[60:]), 0.05)

    def test_cut_is_bounded_by_what_its_kind_can_shed(self):
        controller = controller_after(TARGET_FULLNESS * 2.5, 8.0, step=0)
        self.assertAlmostEqual(math.log(4.0 / 3.1), controller.cut)

    def test_next_kind_is_still_cut_to_its_guarantee(self):
        results = shares(controller_after(TARGET_FULLNESS * 3.0, 60.0, step=1))[1]
        self.assertAlmostEqual(GUARANTEED, results, places=5)
