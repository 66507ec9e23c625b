"""The budget of repeats at the doors of a service.

What users saw: at 195 nodes requests whose answer was reset were given up after a
single arrival, 367 of 483 for want of a budget, while the bound allowed many more
repeats than were made. The order of events: each entry owned a 195th of the slack and a
share of its own few requests, and asked for a whole repeat at once. The cause: a share
below one is nothing. The evidence: asked for by 5 in 100 requests, at 195 nodes none of
11 repeats of a lookup was paid for, at 15 nodes 29 of 69; and the last two tests of
`TestBound`.
"""

import bisect
import random

from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.retries.shares import (
    N_SAMPLING_KEYS,
    DoorBudget,
    Repeat,
    SharedBudget,
)

CFG = SharedBudget(0.2, 48.0, 10_000.0)
PLAIN = Repeat(rank=0, sampling_key=0, is_nested=False, calls=0.0)


def call(rank=0, sampling_key=0, calls=0.0):
    """Return a repeat of a call of a tree."""
    return Repeat(rank, sampling_key, True, calls)


class Doors:
    """Doors of one service, and what reached their servers, as a slow oracle."""

    def __init__(self, n_doors, cfg=CFG, seed=1):
        self.cfg = cfg
        self.rng = random.Random(seed)
        self.at = 0.0
        self.clock = Clock(now=lambda: self.at, wall=lambda: 0.0)
        self.budgets = [self.new() for _ in range(n_doors)]
        self.requests, self.repeats = [], []
        self.asked = 0
        self.at = cfg.window

    def new(self):
        """Return the budget of a door that starts now."""
        return DoorBudget(self.cfg, self.clock, self.rng)

    def restart(self, door):
        """Let a door start again: it knows nothing of before."""
        self.budgets[door] = self.new()

    def request(self, fails, repeat, n_known=None, failing=0.02):
        """Let a request arrive somewhere, and elsewhere again if it fails."""
        budgets = self.budgets
        self.rng.choice(budgets).note_first()
        self.requests.append(self.at)
        if fails:
            self.asked += 1
            n_doors = n_known or len(budgets)
            if self.rng.choice(budgets).pay(repeat, n_doors, failing):
                self.repeats.append(self.at)

    def excess(self):
        """Return by how much a window held more repeats than are allowed, at most."""
        cfg, worst = self.cfg, float("-inf")
        for start in self.repeats:
            n_repeats = between(self.repeats, start, start + cfg.window)
            n_requests = max(
                between(self.requests, start - back, start - back + cfg.window)
                for back in (0.0, cfg.window / 2.0, cfg.window)
            )
            worst = max(worst, n_repeats - cfg.ratio * n_requests - cfg.slack)
        return worst


def between(moments, start, end):
    """Return how many moments, in order, lie in a span."""
    return bisect.bisect_left(moments, end) - bisect.bisect_left(moments, start)


class TestBound(TestCase):
    def play(self, n_doors, seed):
        """Play requests that all fail, restarts, and doors that know too few others."""
        slack = float(random.Random(seed).choice((20, 48, 213)))
        doors = Doors(n_doors, SharedBudget(0.2, slack, 10_000.0), seed)
        rng = doors.rng
        per_step = rng.randint(1, 60)
        for _ in range(400):
            doors.at += 100.0
            busy = per_step * rng.choice((0, 1, 1, 1, 3))
            for _ in range(busy):
                known = max(round(n_doors * rng.uniform(0.75, 1.0)), 1)
                repeat = Repeat(
                    rng.randrange(3),
                    rng.randrange(N_SAMPLING_KEYS),
                    rng.random() < 0.5,
                    rng.choice((0.0, 4.0, 12.0)),
                )
                doors.request(rng.random() < 0.9, repeat, known, rng.random())
            for _ in range(1 + n_doors // 200):
                if rng.random() < 0.2:
                    doors.restart(rng.randrange(n_doors))
        return doors

    def test_bound_holds_from_2_to_3200_doors(self):
        for seed, n_doors in enumerate((2, 3, 5, 13, 29, 60, 93, 200, 800, 3_200)):
            doors = self.play(n_doors, seed)
            self.assertLessEqual(doors.excess(), 0.0, f"{n_doors} doors")

    def test_bound_holds_where_all_doors_start_again_at_once(self):
        doors = Doors(13)
        for step in range(600):
            doors.at += 50.0
            for _ in range(10):
                doors.request(True, PLAIN)
            if step % 50 == 49:
                for door in range(13):
                    doors.restart(door)
        self.assertLessEqual(doors.excess(), 0.0)

    def test_bound_is_used_whatever_the_number_of_doors(self):
        for n_doors in (20, 200, 2_000):
            doors = Doors(n_doors)
            for _ in range(400):
                doors.at += 100.0
                for _ in range(n_doors // 2):
                    fails = doors.rng.random() < 0.02
                    doors.request(
                        fails, call(sampling_key=doors.rng.randrange(N_SAMPLING_KEYS))
                    )
            self.assertGreater(len(doors.repeats), 0.8 * doors.asked, f"{n_doors}")

    def test_few_requests_among_many_doors_are_repeated_too(self):
        # Each of 195 doors sees less than one request a second, and its part of the
        # slack is less than one repeat.
        doors = Doors(195, SharedBudget(0.2, 213.0, 10_000.0))
        for _ in range(600):
            doors.at += 100.0
            for _ in range(8):
                doors.request(doors.rng.random() < 0.05, PLAIN)
        self.assertGreater(len(doors.repeats), 0.8 * doors.asked)


class TestWho(TestCase):
    def setUp(self):
        super().setUp()
        self.at = 0.0
        clock = Clock(now=lambda: self.at, wall=lambda: 0.0)
        self.budget = DoorBudget(CFG, clock, random.Random(1))
        self.at = CFG.window
        for _ in range(1_000):
            self.budget.note_first()

    def paid(self, repeat, failing=0.0):
        """Return how many repeats are paid for until none is."""
        n = 0
        while self.budget.pay(repeat, 14, failing):
            n += 1
        return n

    def test_trees_with_a_small_lot_are_paid_for_where_many_calls_fail(self):
        self.assertEqual(
            0, self.paid(call(sampling_key=N_SAMPLING_KEYS - 1), failing=0.55)
        )
        self.assertGreater(self.paid(call(sampling_key=0), failing=0.55), 0)

    def test_any_lot_is_paid_for_where_few_calls_fail(self):
        self.assertGreater(
            self.paid(call(sampling_key=N_SAMPLING_KEYS - 1), failing=0.05), 0
        )

    def test_worse_ranks_are_not_shut_out(self):
        for _ in range(300):
            self.budget.note_first(rank=2)
        self.assertEqual(
            0, self.paid(call(rank=2, sampling_key=N_SAMPLING_KEYS // 2), failing=0.55)
        )
        self.assertGreater(self.paid(call(rank=2, sampling_key=0), failing=0.55), 0)

    def test_less_urgent_trees_leave_a_part_to_those_that_matter_more(self):
        less_urgent = self.paid(call(rank=2))
        urgent = self.paid(call(rank=0))
        self.assertGreater(less_urgent, 0)
        self.assertGreaterEqual(urgent, less_urgent / 2)

    def test_request_that_is_one_call_comes_before_trees(self):
        self.assertEqual(
            0, self.paid(call(rank=0, sampling_key=N_SAMPLING_KEYS - 1), failing=0.55)
        )
        repeat = Repeat(2, N_SAMPLING_KEYS - 1, False, 0.0)
        self.assertGreater(self.paid(repeat, failing=0.55), 0)

    def test_inherited_repeats_use_the_share_up(self):
        for _ in range(300):
            self.budget.note_inherited()
        self.assertEqual(0, self.paid(PLAIN))

    def test_repeat_that_makes_calls_takes_little_of_the_slack(self):
        empty = [Doors(3) for _ in range(2)]
        paid = []
        for doors, calls in zip(empty, (0.0, 9.0), strict=True):
            repeat = call(calls=calls)
            n = sum(b.pay(repeat, 3) for b in doors.budgets for _ in range(20))
            paid.append(n)
        self.assertLess(paid[1], paid[0] / 3)

    def test_trees_are_completed_where_the_budget_is_short(self):
        # Servers refuse 55 of 100; a tree needs eight calls.
        drawn = sum(self.whole_trees(seed, N_SAMPLING_KEYS) for seed in range(3))
        alike = sum(self.whole_trees(seed, 1) for seed in range(3))
        self.assertGreater(drawn, 1.5 * alike)

    def whole_trees(self, seed, n_lots):
        """Return how many trees are whole of those that come in ten seconds."""
        rng = random.Random(seed)
        doors = Doors(13, seed=seed + 10)
        n_whole = 0
        for _ in range(2_000):
            doors.at += 5.0
            sampling_key = rng.randrange(n_lots)
            n_whole += all(self.answered(doors, sampling_key, rng) for _ in range(8))
        return n_whole

    def answered(self, doors, sampling_key, rng):
        """Return whether a call is answered, within six tries."""
        doors.rng.choice(doors.budgets).note_first()
        for _ in range(6):
            if rng.random() > 0.55:
                return True
            if not doors.rng.choice(doors.budgets).pay(
                call(sampling_key=sampling_key), 13, 0.55
            ):
                return False
        return False
