import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.clock import Clock
from fuchsiagap.core.membership.member import (
    Member,
    MemberState,
    first_incarnation,
    supersedes,
)
from fuchsiagap.core.membership.settings import MembershipSettings
from fuchsiagap.core.membership.table import Membership

ALIVE, SUSPECT, LEAVING, DEAD, LEFT = MemberState
CERTS = ServiceName("salt-fog", "certs")


def a_member(node="certs-2", **changes):
    member = Member(node, 10, f"{node}:7000", "hall-a", (CERTS,))
    return replace(member, **changes)


class FakeTime:
    def __init__(self):
        self.now = 0.0

    def clock(self):
        return Clock(now=lambda: self.now, wall=lambda: 5_000.0)


def a_view(cfg=None, time=None, **changes):
    me = a_member("certs-1", **changes)
    clock = (time or FakeTime()).clock()
    return Membership(cfg or MembershipSettings(), me, clock, random.Random(1))


member_updates = st.builds(
    a_member,
    node=st.sampled_from(["certs-2", "certs-3", "certs-4"]),
    incarnation=st.integers(1, 3),
    refutation=st.integers(0, 2),
    state=st.sampled_from(MemberState),
    address=st.sampled_from(["10.0.0.1:1", "10.0.0.2:1"]),
)


def members_by_name(view):
    return {m.node: m for m in view.members()}


class TestOrderOfWords(TestCase):
    @given(st.lists(member_updates, max_size=12), st.randoms(use_true_random=False))
    @settings(max_examples=150, deadline=None, derandomize=True)
    def test_order_and_repetition_make_no_difference(self, updates, shuffler):
        time = FakeTime()
        one, other = a_view(time=time), a_view(time=time)
        one.merge(updates)
        again = updates + updates[:4]
        shuffler.shuffle(again)
        other.merge(again)
        self.assertEqual(members_by_name(one), members_by_name(other))
        self.assertEqual(one.hash, other.hash)
        self.assertEqual(one.digest(), other.digest())
        # Whether a death was announced by a suspicion shows for a moment only.
        time.now = one.cfg.suspicion_timeout
        one.expire(), other.expire()
        self.assertEqual(members_by_name(one), members_by_name(other))
        self.assertEqual(set(one.instances()), set(other.instances()))

    @given(st.lists(member_updates, max_size=8), st.lists(member_updates, max_size=8))
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_views_that_exchange_all_are_the_same(self, ours, theirs):
        one, other = a_view(), a_view()
        one.merge(ours)
        other.merge(theirs)
        before = one.members()
        one.merge(other.members()[1:])
        other.merge(before[1:])
        self.assertEqual(members_by_name(one), members_by_name(other))

    @given(member_updates, member_updates, member_updates)
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_words_on_one_node_are_totally_ordered(self, a, b, c):
        a, b, c = (replace(update, node="certs-2") for update in (a, b, c))
        self.assertEqual(a != b, supersedes(a, b) or supersedes(b, a))
        self.assertFalse(supersedes(a, b) and supersedes(b, a))
        if supersedes(a, b) and supersedes(b, c):
            self.assertTrue(supersedes(a, c))

    def test_having_left_is_final_for_an_incarnation(self):
        view = a_view()
        view.apply(a_member(state=LEFT))
        self.assertFalse(view.apply(a_member(state=ALIVE, refutation=9)))
        self.assertTrue(view.apply(a_member(incarnation=11)))


class TestWordsOnSelf(TestCase):
    def test_suspicion_and_death_are_refuted(self):
        view = a_view()
        for state in (SUSPECT, DEAD):
            said = replace(view.self_member, state=state)
            self.assertTrue(view.apply(said))
            self.assertIs(view.self_member.state, ALIVE)
            self.assertTrue(supersedes(view.self_member, said))
            self.assertEqual(view.self_member.incarnation, 10)

    def test_a_leaving_node_refutes_its_death_and_stays_leaving(self):
        view = a_view()
        update = view.announce_state(state=LEAVING)
        view.apply(replace(update, state=DEAD))
        self.assertIs(view.self_member.state, LEAVING)

    def test_an_earlier_life_with_a_clock_ahead_is_outbid(self):
        view = a_view()
        view.apply(a_member("certs-1", incarnation=500, state=LEFT))
        self.assertEqual(view.self_member.incarnation, 501)
        self.assertIs(view.self_member.state, ALIVE)

    def test_a_settled_node_yields_to_a_newer_life(self):
        view = a_view()
        view.joined = True
        view.apply(a_member("certs-1", incarnation=500, address="10.0.0.9:1"))
        self.assertTrue(view.superseded)
        self.assertEqual(view.self_member.incarnation, 10)

    def test_a_settled_node_outbids_a_life_that_is_over(self):
        view = a_view()
        view.joined = True
        view.apply(a_member("certs-1", incarnation=500, state=DEAD))
        self.assertFalse(view.superseded)
        self.assertEqual(view.self_member.incarnation, 501)

    def test_it_tells_who_has_the_tickets_of_its_earlier_life(self):
        view = a_view()
        gone = a_member("certs-1", incarnation=4, state=LEFT)
        view.apply(replace(gone, successor="certs-7", handed_incarnation=44))
        self.assertEqual(view.self_member.successor, "certs-7")
        other = a_view()
        other.apply(replace(view.self_member, node="certs-9"))
        self.assertEqual(other.successor_of("certs-9", 44), "certs-7")
        self.assertEqual(other.successor_of("certs-9", 45), "")

    def test_first_guesses_of_one_moment_differ(self):
        clock, rng = FakeTime().clock(), random.Random(1)
        guesses = {first_incarnation(clock, rng) for _ in range(20)}
        self.assertGreater(len(guesses), 15)


class TestSuspicion(TestCase):
    def setUp(self):
        super().setUp()
        self.time = FakeTime()
        self.view = a_view(time=self.time)
        self.cfg = self.view.cfg

    def test_a_suspect_stays_in_use_and_dies_in_time(self):
        self.view.apply(a_member())
        self.assertTrue(self.view.suspect("certs-2", 10))
        self.assertEqual(len(self.view.instances()), 2)
        self.time.now = self.cfg.suspicion_timeout - 1
        self.assertEqual(self.view.expire(), ())
        self.time.now = self.cfg.suspicion_timeout
        self.assertEqual(self.view.expire(), ("certs-2",))
        self.assertEqual(len(self.view.instances()), 1)

    def test_a_refutation_ends_the_suspicion(self):
        self.view.apply(a_member())
        self.view.suspect("certs-2", 10)
        self.view.apply(a_member(refutation=1))
        self.time.now = self.cfg.suspicion_timeout * 2
        self.assertEqual(self.view.expire(), ())

    def test_a_pause_of_the_own_process_gives_suspects_more_time(self):
        self.view.apply(a_member())
        self.view.suspect("certs-2", 10)
        self.time.now = 10_000.0
        self.view.postpone(10_000.0)
        self.assertEqual(self.view.expire(), ())

    def test_a_leaving_node_that_is_lost_dies_and_is_not_suspected(self):
        self.view.apply(a_member(state=LEAVING))
        self.assertFalse(self.view.suspect("certs-2", 10))
        self.assertIs(self.view.get("certs-2").state, LEAVING)
        self.view.clear_suspicion("certs-2")
        self.time.now = self.cfg.suspicion_timeout
        self.assertEqual(self.view.expire(), ())
        self.view.suspect("certs-2", 10)
        self.time.now = 3 * self.cfg.suspicion_timeout
        self.assertEqual(self.view.expire(), ("certs-2",))

    def test_leaving_is_marked_at_once(self):
        self.view.apply(a_member())
        self.view.apply(a_member(state=LEAVING, refutation=1))
        marks = {i.node: i.leaving for i in self.view.instances()}
        self.assertEqual(marks, {"certs-1": False, "certs-2": True})

    def test_a_death_without_suspicion_takes_effect_after_time_to_refute(self):
        self.view.apply(a_member())
        self.view.apply(a_member(state=DEAD))
        self.assertEqual(len(self.view.instances()), 2)
        self.time.now = self.cfg.suspicion_timeout
        self.view.expire()
        self.assertEqual(len(self.view.instances()), 1)
        self.view.apply(a_member(refutation=1))
        self.view.apply(a_member(refutation=1, state=DEAD))
        self.view.apply(a_member(refutation=2))
        self.time.now *= 3
        self.view.expire()
        self.assertEqual(len(self.view.instances()), 2)

    def test_the_dead_are_dropped_and_old_words_do_not_bring_them_back(self):
        self.view.apply(a_member(refutation=3, state=DEAD))
        self.time.now = self.cfg.dead_retention
        self.view.expire()
        self.assertIsNone(self.view.get("certs-2"))
        self.assertFalse(self.view.apply(a_member(refutation=3)))
        self.assertTrue(self.view.is_incarnation_gone(a_member(refutation=3)))
        self.assertTrue(self.view.apply(a_member(incarnation=11)))

    def test_memory_of_dropped_members_is_bounded(self):
        cfg = MembershipSettings(max_remembered=5, dead_retention=1.0)
        view = a_view(cfg, self.time)
        for i in range(20):
            view.apply(a_member(f"cycles-{i}", state=DEAD))
        self.time.now = 10.0
        view.expire()
        self.assertEqual(len(view.members()), 1)
        self.assertEqual(len(view._dropped), 5)
        self.assertEqual(len(view.log._last_of), 1)


class TestReach(TestCase):
    def test_instances_of_an_unreachable_data_centre_are_left_out(self):
        view = a_view()
        told = []
        view.apply(a_member(data_centre="hall-b"))
        view.on_instances(lambda: told.append(len(view.instances())))
        self.assertTrue(view.set_reachable("hall-b", False))
        self.assertFalse(view.set_reachable("hall-b", False))
        self.assertIs(view.get("certs-2").state, ALIVE)
        view.apply(a_member("certs-3", data_centre="hall-b"))
        self.assertEqual(told, [1])
        view.set_reachable("hall-b", True)
        self.assertEqual(len(view.instances()), 3)


class TestSync(TestCase):
    def test_only_differing_buckets_are_exchanged(self):
        one, other = a_view(), a_view()
        for i in range(300):
            for view in (one, other):
                view.apply(a_member(f"cycles-{i}"))
        self.assertEqual(one.hash, other.hash)
        one.apply(a_member("cycles-7", refutation=1))
        (number,) = other.differing(one.digest())
        other.merge(one.bucket(number))
        self.assertEqual(one.hash, other.hash)

    def test_dead_members_count_for_nothing_in_the_hash(self):
        one, other = a_view(), a_view()
        one.apply(a_member(state=DEAD))
        self.assertEqual(one.hash, other.hash)
        other.apply(a_member())
        (number,) = one.differing(other.digest())
        self.assertIn("certs-2", [m.node for m in one.bucket(number)])
