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

# A page that makes many calls, a status that makes none, an order that makes many.
KINDS = [KindLoad(0, 50.0), KindLoad(1, 5.0), KindLoad(2, 45.0)]
KEPT = 0.2


def shares(room, kinds=KINDS):
    """Return the shares of kinds, that which gives way first before the others."""
    return [round(share_of_step(kind.step, room, kinds, KEPT), 9) for kind in kinds]


class TestKeptShare(TestCase):
    def test_kind_keeps_a_part_of_what_all_get(self):
        self.assertAlmostEqual(GUARANTEED_PART, guaranteed_share(1.0))
        self.assertAlmostEqual(GUARANTEED_PART * 0.4, guaranteed_share(0.4))

    def test_something_is_let_in_where_nothing_is_served(self):
        self.assertEqual(MIN_GUARANTEED_SHARE, guaranteed_share(0.0))


class TestShareOf(TestCase):
    def test_room_for_all_lets_all_in(self):
        self.assertEqual([1.0, 1.0, 1.0], shares(1.0))

    def test_worst_kind_gives_way_first(self):
        self.assertEqual([0.5, 1.0, 1.0], shares(0.75))

    def test_light_kind_is_not_cut_for_long_before_the_next_gives_way(self):
        page, status, order = shares(0.5)
        self.assertAlmostEqual(KEPT, page)
        self.assertAlmostEqual(KEPT, status)
        self.assertAlmostEqual((50.0 - KEPT * 55.0) / 45.0, order)

    def test_what_is_let_in_is_the_room_there_is(self):
        for room in (0.25, 0.4, 0.55, 0.7, 0.85, 1.0):
            loads = [k.load * s for k, s in zip(KINDS, shares(room), strict=True)]
            self.assertAlmostEqual(room, sum(loads) / 100.0)

    def test_each_keeps_its_part_where_there_is_no_room(self):
        self.assertEqual([KEPT] * 3, shares(0.0))

    def test_kinds_of_one_step_are_cut_together(self):
        kinds = [KindLoad(0, 30.0), KindLoad(0, 20.0), KindLoad(1, 50.0)]
        self.assertEqual([0.5, 0.5, 1.0], shares(0.75, kinds))

    def test_step_without_requests_lets_in_what_comes(self):
        self.assertEqual(1.0, share_of_step(5, 0.1, KINDS, KEPT))


class TestDeepestCut(TestCase):
    def test_cut_stops_where_nothing_more_gives_way(self):
        for kind in KINDS:
            room = math.exp(-max_cut(kind.step, KINDS, KEPT))
            self.assertAlmostEqual(KEPT, share_of_step(kind.step, room, KINDS, KEPT))
            more = share_of_step(kind.step, 1.05 * room, KINDS, KEPT)
            self.assertGreater(more, KEPT + 0.01)

    def test_nothing_asked_for(self):
        self.assertAlmostEqual(-math.log(KEPT), max_cut(0, [], KEPT))
