import random
from collections import Counter

from testtools import TestCase

from fuchsiagap.core.placement.choice import (
    Target,
    choose,
    remote_penalty,
    service_failure_load,
    service_fullness,
)


def a_target(name, local=True, **changes):
    """Return a target with ten slots."""
    target = Target(name, f"i-{name}", "certs", local, limit=10)
    for field, value in changes.items():
        setattr(target, field, value)
    return target


def chosen_nodes(*targets, n=50, excluded=()):
    """Return the names of the nodes chosen in `n` draws."""
    rng = random.Random(1)
    return {choose(targets, excluded, rng).node for _ in range(n)}


class TestChoose(TestCase):
    def test_own_data_centre_is_preferred(self):
        self.assertEqual(
            {"near"},
            chosen_nodes(a_target("near", others=2), a_target("far", local=False)),
        )

    def test_full_data_centre_spills_to_another(self):
        near = a_target("near", others=14)
        self.assertEqual({"far"}, chosen_nodes(near, a_target("far", local=False)))

    def test_small_requests_spill_before_large_ones(self):
        near, far = a_target("near", others=9), a_target("far", local=False, others=4)
        rng = random.Random(1)
        small, large = remote_penalty(300.0), remote_penalty(8_000.0)
        self.assertEqual("near", choose([near, far], (), rng, large).node)
        near.others = 11
        self.assertEqual("far", choose([near, far], (), rng, small).node)
        self.assertEqual("near", choose([near, far], (), rng, large).node)

    def test_largest_requests_still_spill_from_a_full_data_centre(self):
        near, far = a_target("near", others=30), a_target("far", local=False)
        rng = random.Random(1)
        penalty = remote_penalty(50_000_000.0)
        self.assertEqual("far", choose([near, far], (), rng, penalty).node)

    def test_server_that_fails_fast_does_not_attract_requests(self):
        self.assertEqual(
            {"sound"},
            chosen_nodes(a_target("fails", failing=0.5), a_target("sound", others=9)),
        )

    def test_unusable_and_tried_servers_are_excluded(self):
        targets = (a_target("down", usable=False), a_target("tried"), a_target("new"))
        self.assertEqual({"new"}, chosen_nodes(*targets, excluded=("i-tried",)))
        rng = random.Random(1)
        self.assertIsNone(choose(targets[:1], (), rng))

    def test_less_full_server_is_chosen_from_a_sample_of_many(self):
        full = [a_target(f"full-{n}", others=30) for n in range(40)]
        empty = [a_target(f"empty-{n}") for n in range(40)]
        rng = random.Random(1)
        chosen = [choose([*full, *empty], (), rng).node for _ in range(1_000)]
        emptier = [name for name in chosen if name.startswith("empty")]
        # Six of eighty are compared; all six are full in 1.3 of 100 draws.
        self.assertGreater(len(emptier), 970)
        self.assertEqual(40, len(set(emptier)))


class TestSlowness(TestCase):
    def counts(self, *targets, in_flight):
        """Return the requests in flight at each server after `in_flight` choices."""
        rng = random.Random(1)
        for _ in range(in_flight):
            choose(targets, (), rng).own_in_flight += 1
        return [target.own_in_flight for target in targets]

    def servers(self, *times):
        """Return servers with 100 slots and the given service times."""
        return [
            a_target(f"s{n}", limit=100, service_ms=ms) for n, ms in enumerate(times)
        ]

    def test_fast_servers_are_filled_first(self):
        slow, fast = self.counts(*self.servers(200.0, 100.0), in_flight=60)
        self.assertGreater(fast, slow + 25)
        self.assertLess(fast, 100)

    def test_only_fullness_counts_where_all_are_nearly_full(self):
        slow, fast = self.counts(*self.servers(200.0, 100.0), in_flight=190)
        self.assertLess(fast - slow, 12)
        self.assertLessEqual(fast, 100)

    def test_servers_of_the_same_speed_share_the_load(self):
        one, other = self.counts(*self.servers(100.0, 105.0), in_flight=60)
        self.assertLess(abs(one - other), 8)

    def test_server_of_unknown_speed_is_tried(self):
        counts = self.counts(*self.servers(0.0, 90.0, 110.0), in_flight=60)
        self.assertGreater(counts[0], 12)

    def test_slow_local_server_is_preferred_to_a_fast_remote_one(self):
        near = a_target("near", service_ms=150.0, others=2)
        far = a_target("far", local=False, service_ms=100.0, others=2)
        self.assertEqual({"near"}, chosen_nodes(near, far))


class TestPresentSpeed(TestCase):
    def test_slow_server_is_avoided_while_others_have_free_slots(self):
        slow = a_target("slow", speed=250)
        others = [a_target(f"n{n}", speed=100, others=5) for n in range(8)]
        rng = random.Random(1)
        chosen = [choose([slow, *others], (), rng).node for _ in range(2_000)]
        # Both draws are the slow server in 0.2 of 100 choices.
        self.assertLess(chosen.count("slow"), 20)

    def test_slow_server_is_used_where_all_others_are_full(self):
        slow = a_target("slow", speed=250, others=2)
        others = [a_target(f"n{n}", speed=100, others=12) for n in range(2)]
        self.assertIn("slow", chosen_nodes(slow, *others))

    def test_senders_with_stale_figures_do_not_all_choose_the_same_server(self):
        # Sixty senders learn at the same moment that one of nine servers is idle and
        # fast again; each sends a request before it learns of the others'.
        counts = Counter()
        for seed in range(60):
            idle = a_target("idle", speed=100)
            others = [a_target(f"n{n}", speed=100, others=5) for n in range(8)]
            counts[choose([idle, *others], (), random.Random(seed)).node] += 1
        # 60 without the draw; two of nine draws give 0.21 of the requests.
        self.assertLessEqual(max(counts.values()), 2.5 * 60 / 9)
        self.assertEqual(9, len(counts))

    def test_slow_server_has_less_capacity(self):
        usual = a_target("a", offered=5.0, speed=100)
        slow = a_target("b", offered=5.0, speed=250)
        self.assertAlmostEqual(7.0 / 14.0, service_fullness((usual, slow)))

    def test_nothing_changes_where_no_server_states_its_speed(self):
        idle = a_target("idle")
        others = [a_target(f"n{n}", others=5) for n in range(8)]
        self.assertEqual({"idle"}, chosen_nodes(idle, *others))


class TestService(TestCase):
    def test_fullness_counts_usable_servers_only(self):
        targets = (a_target("a", offered=10.0), a_target("b", usable=False))
        self.assertEqual(1.0, service_fullness(targets))
        self.assertEqual(0.0, service_fullness(()))

    def test_servers_are_weighted_by_their_slots(self):
        small = a_target("a", offered=10.0, limit=5)
        large = a_target("b", offered=10.0, limit=15)
        self.assertAlmostEqual(1.0, service_fullness((small, large)))

    def test_failures_of_idle_servers_are_weighted_by_slots(self):
        targets = (a_target("a", failing=1.0), a_target("b"))
        self.assertAlmostEqual(0.75, service_failure_load(targets))

    def test_failures_that_the_retry_budget_covers_are_no_load(self):
        # Entry nodes that refuse for them as well would refuse covered call trees.
        target = a_target("a", failing=0.6, refusing=0.5, speed=100, offered=9.0)
        self.assertEqual(0.0, service_failure_load((target,)))
        self.assertAlmostEqual(1.0, service_fullness((target,)))

    def test_failures_are_weighted_by_offered_load(self):
        targets = (a_target("a", failing=1.0), a_target("b", offered=9.0))
        self.assertLess(service_failure_load(targets), 0.05)

    def test_slots_of_a_failing_server_do_not_count_as_capacity(self):
        targets = (a_target("a", failing=1.0), a_target("b", offered=9.0))
        self.assertGreater(service_fullness(targets), 0.8)
        self.assertLess(service_fullness(targets), 0.9)
