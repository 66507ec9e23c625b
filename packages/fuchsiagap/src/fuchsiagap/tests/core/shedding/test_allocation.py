import math

from testtools import TestCase

from fuchsiagap.core.shedding.allocation import (
    GUARANTEED_PART,
    MIN_GUARANTEED_SHARE,
    KindLoad,
    guaranteed_share,
    max_cut,
    share_of_step,
)

# A page that makes many calls, a status request that makes none, and an order that
# makes many, from the least important to the most important.
KINDS = [KindLoad(0, 50.0), KindLoad(1, 5.0), KindLoad(2, 45.0)]
GUARANTEED = 0.2


def shares(load_share, kinds=KINDS):
    """Return the admitted shares of kinds, starting with the one shed first."""
    return [
        round(share_of_step(kind.step, load_share, kinds, GUARANTEED), 9)
        for kind in kinds
    ]


class TestGuaranteedShare(TestCase):
    def test_guarantee_is_a_part_of_the_overall_success_share(self):
        self.assertAlmostEqual(GUARANTEED_PART, guaranteed_share(1.0))
        self.assertAlmostEqual(GUARANTEED_PART * 0.4, guaranteed_share(0.4))

    def test_minimum_applies_when_nothing_succeeds(self):
        self.assertEqual(MIN_GUARANTEED_SHARE, guaranteed_share(0.0))


class TestShareOfStep(TestCase):
    def test_all_is_admitted_at_a_load_share_of_one(self):
        self.assertEqual([1.0, 1.0, 1.0], shares(1.0))

    def test_least_important_kind_is_shed_first(self):
        self.assertEqual([0.5, 1.0, 1.0], shares(0.75))

    def test_next_kind_is_cut_once_a_light_one_is_at_its_guarantee(self):
        page, status, order = shares(0.5)
        self.assertAlmostEqual(GUARANTEED, page)
        self.assertAlmostEqual(GUARANTEED, status)
        self.assertAlmostEqual((50.0 - GUARANTEED * 55.0) / 45.0, order)

    def test_admitted_load_matches_the_load_share(self):
        for load_share in (0.25, 0.4, 0.55, 0.7, 0.85, 1.0):
            loads = [k.load * s for k, s in zip(KINDS, shares(load_share), strict=True)]
            self.assertAlmostEqual(load_share, sum(loads) / 100.0)

    def test_each_kind_gets_its_guarantee_at_a_load_share_of_zero(self):
        self.assertEqual([GUARANTEED] * 3, shares(0.0))

    def test_kinds_of_one_step_are_cut_together(self):
        kinds = [KindLoad(0, 30.0), KindLoad(0, 20.0), KindLoad(1, 50.0)]
        self.assertEqual([0.5, 0.5, 1.0], shares(0.75, kinds))

    def test_step_without_requests_admits_all(self):
        self.assertEqual(1.0, share_of_step(5, 0.1, KINDS, GUARANTEED))


class TestMaxCut(TestCase):
    def test_step_is_at_its_guarantee_at_the_maximum_cut(self):
        for kind in KINDS:
            load_share = math.exp(-max_cut(kind.step, KINDS, GUARANTEED))
            self.assertAlmostEqual(
                GUARANTEED, share_of_step(kind.step, load_share, KINDS, GUARANTEED)
            )
            more = share_of_step(kind.step, 1.05 * load_share, KINDS, GUARANTEED)
            self.assertGreater(more, GUARANTEED + 0.01)

    def test_maximum_cut_without_requests(self):
        self.assertAlmostEqual(-math.log(GUARANTEED), max_cut(0, [], GUARANTEED))
