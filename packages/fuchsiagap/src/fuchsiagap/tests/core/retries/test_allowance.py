"""Accounting of retries: shares, losses and parallel calls."""

from __future__ import annotations

import random

from testtools import TestCase

from fuchsiagap.core.retries.allowance import Allowance, AllowanceExceededError


class AllowanceTest(TestCase):
    def test_take_stops_when_the_allowance_is_used_up(self):
        allowance = Allowance(2)
        self.assertEqual(
            [True, True, False, False], [allowance.take() for _ in range(4)]
        )

    def test_lend_keeps_one_retry_for_this_node(self):
        for granted in range(1, 9):
            allowance = Allowance(granted)
            allowance.lend()
            self.assertTrue(allowance.take())

    def test_empty_allowance_lends_nothing(self):
        self.assertEqual(0, Allowance(0).lend())
        self.assertEqual(0, Allowance(-3).lend_up_to(2))

    def test_unused_part_of_a_share_is_returned(self):
        allowance = Allowance(3)
        allowance.settle(allowance.lend_up_to(2), 1)
        self.assertEqual((2, 1), (allowance.remaining, allowance.spent))

    def test_written_off_share_counts_as_lost(self):
        allowance = Allowance(3)
        allowance.write_off(allowance.lend_up_to(2))
        self.assertEqual((1, 2), (allowance.remaining, allowance.lost))

    def test_no_more_is_returned_than_was_lent(self):
        allowance = Allowance(3)
        allowance.settle(allowance.lend(), 99)
        self.assertEqual(3, allowance.remaining)

    def test_share_settled_twice_raises(self):
        allowance = Allowance(3)
        share = allowance.lend()
        allowance.settle(share, share)
        self.assertRaises(AllowanceExceededError, allowance.settle, share, share)

    def test_allowance_is_consistent_under_random_use(self):
        for seed in range(200):
            rng = random.Random(seed)
            allowance = Allowance(rng.randrange(8))
            shares = []
            for _ in range(40):
                action = rng.randrange(4)
                if action == 0:
                    allowance.take()
                elif action == 1:
                    shares.append(allowance.lend_up_to(rng.randrange(4)))
                elif shares and action == 2:
                    share = shares.pop(rng.randrange(len(shares)))
                    allowance.settle(share, rng.randint(-1, share + 1))
                elif shares:
                    allowance.write_off(shares.pop())
            used = allowance.spent + allowance.lost + allowance.lent
            self.assertEqual(allowance.granted, allowance.remaining + used)
