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


def make_member(node="certs-2", **changes):
    member = Member(node, 10, f"{node}:7000", "hall-a", (CERTS,))
    return replace(member, **changes)


class FakeTime:
    def __init__(self):
        self.now = 0.0

    def clock(self):
        return Clock(now=lambda: self.now, wall=lambda: 5_000.0)


def make_view(cfg=None, time=None, **changes):
    me = make_member("certs-1", **changes)
    clock = (time or FakeTime()).clock()
    return Membership(cfg or MembershipSettings(), me, clock, random.Random(1))


member_updates = st.builds(
    make_member,
    node=st.sampled_from(["certs-2", "certs-3", "certs-4"]),
    incarnation=st.integers(1, 3),
    refutation=st.integers(0, 2),
    state=st.sampled_from(MemberState),
    address=st.sampled_from(["10.0.0.1:1", "10.0.0.2:1"]),
)


def members_by_name(view):
    return {m.node: m for m in view.members()}


class TestOrderOfUpdates(TestCase):
    @given(st.lists(member_updates, max_size=12), st.randoms(use_true_random=False))
    @settings(max_examples=150, deadline=None, derandomize=True)
    def test_order_and_repetition_do_not_change_the_view(self, updates, shuffler):
        time = FakeTime()
        one, other = make_view(time=time), make_view(time=time)
        one.merge(updates)
        again = updates + updates[:4]
        shuffler.shuffle(again)
        other.merge(again)
        self.assertEqual(members_by_name(one), members_by_name(other))
        self.assertEqual(one.hash, other.hash)
        self.assertEqual(one.digest(), other.digest())
        # A death without a suspicion affects instances for a grace period only.
        time.now = one.cfg.suspicion_timeout
        one.expire(), other.expire()
        self.assertEqual(members_by_name(one), members_by_name(other))
        self.assertEqual(set(one.instances()), set(other.instances()))

    @given(st.lists(member_updates, max_size=8), st.lists(member_updates, max_size=8))
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_views_that_exchange_all_records_are_equal(self, ours, theirs):
        one, other = make_view(), make_view()
        one.merge(ours)
        other.merge(theirs)
        before = one.members()
        one.merge(other.members()[1:])
        other.merge(before[1:])
        self.assertEqual(members_by_name(one), members_by_name(other))

    @given(member_updates, member_updates, member_updates)
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_records_of_one_node_are_totally_ordered(self, a, b, c):
        a, b, c = (replace(update, node="certs-2") for update in (a, b, c))
        self.assertEqual(a != b, supersedes(a, b) or supersedes(b, a))
        self.assertFalse(supersedes(a, b) and supersedes(b, a))
        if supersedes(a, b) and supersedes(b, c):
            self.assertTrue(supersedes(a, c))

    def test_left_state_is_final_for_an_incarnation(self):
        view = make_view()
        view.apply(make_member(state=LEFT))
        self.assertFalse(view.apply(make_member(state=ALIVE, refutation=9)))
        self.assertTrue(view.apply(make_member(incarnation=11)))


class TestUpdatesAboutSelf(TestCase):
    def test_suspicion_and_death_of_this_node_are_refuted(self):
        view = make_view()
        for state in (SUSPECT, DEAD):
            update = replace(view.self_member, state=state)
            self.assertTrue(view.apply(update))
            self.assertIs(view.self_member.state, ALIVE)
            self.assertTrue(supersedes(view.self_member, update))
            self.assertEqual(view.self_member.incarnation, 10)

    def test_leaving_node_refutes_its_death_and_stays_leaving(self):
        view = make_view()
        update = view.announce_state(state=LEAVING)
        view.apply(replace(update, state=DEAD))
        self.assertIs(view.self_member.state, LEAVING)

    def test_higher_incarnation_of_an_earlier_process_is_exceeded(self):
        view = make_view()
        view.apply(make_member("certs-1", incarnation=500, state=LEFT))
        self.assertEqual(view.self_member.incarnation, 501)
        self.assertIs(view.self_member.state, ALIVE)

    def test_joined_node_is_superseded_by_a_newer_process(self):
        view = make_view()
        view.joined = True
        view.apply(make_member("certs-1", incarnation=500, address="10.0.0.9:1"))
        self.assertTrue(view.superseded)
        self.assertEqual(view.self_member.incarnation, 10)

    def test_joined_node_exceeds_an_ended_incarnation(self):
        view = make_view()
        view.joined = True
        view.apply(make_member("certs-1", incarnation=500, state=DEAD))
        self.assertFalse(view.superseded)
        self.assertEqual(view.self_member.incarnation, 501)

    def test_node_announces_the_successor_of_its_earlier_incarnation(self):
        view = make_view()
        gone = make_member("certs-1", incarnation=4, state=LEFT)
        view.apply(replace(gone, successor="certs-7", handed_incarnation=44))
        self.assertEqual(view.self_member.successor, "certs-7")
        other = make_view()
        other.apply(replace(view.self_member, node="certs-9"))
        self.assertEqual(other.successor_of("certs-9", 44), "certs-7")
        self.assertEqual(other.successor_of("certs-9", 45), "")

    def test_first_incarnations_at_the_same_time_mostly_differ(self):
        clock, rng = FakeTime().clock(), random.Random(1)
        incarnations = {first_incarnation(clock, rng) for _ in range(20)}
        self.assertGreater(len(incarnations), 15)


class TestSuspicion(TestCase):
    def setUp(self):
        super().setUp()
        self.time = FakeTime()
        self.view = make_view(time=self.time)
        self.cfg = self.view.cfg

    def test_suspect_stays_in_use_until_the_suspicion_timeout(self):
        self.view.apply(make_member())
        self.assertTrue(self.view.suspect("certs-2", 10))
        self.assertEqual(len(self.view.instances()), 2)
        self.time.now = self.cfg.suspicion_timeout - 1
        self.assertEqual(self.view.expire(), ())
        self.time.now = self.cfg.suspicion_timeout
        self.assertEqual(self.view.expire(), ("certs-2",))
        self.assertEqual(len(self.view.instances()), 1)

    def test_refutation_ends_the_suspicion(self):
        self.view.apply(make_member())
        self.view.suspect("certs-2", 10)
        self.view.apply(make_member(refutation=1))
        self.time.now = self.cfg.suspicion_timeout * 2
        self.assertEqual(self.view.expire(), ())

    def test_pause_of_this_process_extends_the_suspicion_timeout(self):
        self.view.apply(make_member())
        self.view.suspect("certs-2", 10)
        self.time.now = 10_000.0
        self.view.postpone(10_000.0)
        self.assertEqual(self.view.expire(), ())

    def test_lost_leaving_node_is_declared_dead_and_not_suspected(self):
        self.view.apply(make_member(state=LEAVING))
        self.assertFalse(self.view.suspect("certs-2", 10))
        self.assertIs(self.view.get("certs-2").state, LEAVING)
        self.view.clear_suspicion("certs-2")
        self.time.now = self.cfg.suspicion_timeout
        self.assertEqual(self.view.expire(), ())
        self.view.suspect("certs-2", 10)
        self.time.now = 3 * self.cfg.suspicion_timeout
        self.assertEqual(self.view.expire(), ("certs-2",))

    def test_instances_of_a_leaving_node_are_marked(self):
        self.view.apply(make_member())
        self.view.apply(make_member(state=LEAVING, refutation=1))
        marks = {i.node: i.leaving for i in self.view.instances()}
        self.assertEqual(marks, {"certs-1": False, "certs-2": True})

    def test_death_without_suspicion_takes_effect_after_a_grace_period(self):
        self.view.apply(make_member())
        self.view.apply(make_member(state=DEAD))
        self.assertEqual(len(self.view.instances()), 2)
        self.time.now = self.cfg.suspicion_timeout
        self.view.expire()
        self.assertEqual(len(self.view.instances()), 1)
        self.view.apply(make_member(refutation=1))
        self.view.apply(make_member(refutation=1, state=DEAD))
        self.view.apply(make_member(refutation=2))
        self.time.now *= 3
        self.view.expire()
        self.assertEqual(len(self.view.instances()), 2)

    def test_dropped_dead_member_is_not_restored_by_an_old_update(self):
        self.view.apply(make_member(refutation=3, state=DEAD))
        self.time.now = self.cfg.dead_retention
        self.view.expire()
        self.assertIsNone(self.view.get("certs-2"))
        self.assertFalse(self.view.apply(make_member(refutation=3)))
        self.assertTrue(self.view.is_incarnation_gone(make_member(refutation=3)))
        self.assertTrue(self.view.apply(make_member(incarnation=11)))

    def test_number_of_remembered_dropped_members_is_bounded(self):
        cfg = MembershipSettings(max_remembered=5, dead_retention=1.0)
        view = make_view(cfg, self.time)
        for i in range(20):
            view.apply(make_member(f"cycles-{i}", state=DEAD))
        self.time.now = 10.0
        view.expire()
        self.assertEqual(len(view.members()), 1)
        self.assertEqual(len(view._dropped), 5)
        self.assertEqual(len(view.log._last_of), 1)


class TestReachability(TestCase):
    def test_instances_of_an_unreachable_data_centre_are_excluded(self):
        view = make_view()
        n_instances = []
        view.apply(make_member(data_centre="hall-b"))
        view.on_instances(lambda: n_instances.append(len(view.instances())))
        self.assertTrue(view.set_reachable("hall-b", False))
        self.assertFalse(view.set_reachable("hall-b", False))
        self.assertIs(view.get("certs-2").state, ALIVE)
        view.apply(make_member("certs-3", data_centre="hall-b"))
        self.assertEqual(n_instances, [1])
        view.set_reachable("hall-b", True)
        self.assertEqual(len(view.instances()), 3)


class TestSync(TestCase):
    def test_only_differing_buckets_are_exchanged(self):
        one, other = make_view(), make_view()
        for i in range(300):
            for view in (one, other):
                view.apply(make_member(f"cycles-{i}"))
        self.assertEqual(one.hash, other.hash)
        one.apply(make_member("cycles-7", refutation=1))
        (number,) = other.differing(one.digest())
        other.merge(one.bucket(number))
        self.assertEqual(one.hash, other.hash)

    def test_dead_members_are_not_included_in_the_hash(self):
        one, other = make_view(), make_view()
        one.apply(make_member(state=DEAD))
        self.assertEqual(one.hash, other.hash)
        other.apply(make_member())
        (number,) = one.differing(other.digest())
        self.assertIn("certs-2", [m.node for m in one.bucket(number)])
