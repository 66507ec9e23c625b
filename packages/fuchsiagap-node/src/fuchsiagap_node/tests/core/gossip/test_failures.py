"""Failure detection and convergence of the views under faults of nodes and links."""

import random
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap.core.membership.settings import MembershipSettings
from fuchsiagap_standins.membership_fleet import open_membership_fleet, run_virtual
from fuchsiagap_standins.platform import PlatformFaults

DETECTION_MS = 3_000.0
CONVERGENCE_MS = 5_000.0
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
PLATFORM_OUTAGE = PlatformFaults(outage=True)


def start(fleet, n_per_data_centre, data_centres=DATA_CENTRES, **options):
    return [
        fleet.add(f"certs-{data_centre[-1]}{i}", data_centre, **options)
        for i in range(n_per_data_centre)
        for data_centre in data_centres
    ]


def all_see(fleet, node, state):
    return lambda: all(n.state_of(node) is state for n in fleet.nodes.values())


def record_missing(node, lost):
    names = {instance.node for instance in node.membership.instances()}
    lost += [m.node for m in node.membership.members() if m.node not in names]


class TestFailures(TestCase):
    def test_dead_nodes_are_detected_everywhere_during_a_platform_outage(self):
        async def main():
            async with open_membership_fleet(seed=1) as fleet:
                start(fleet, 4)
                await fleet.until(fleet.agree)
                fleet.store.set_faults(PLATFORM_OUTAGE)
                await trio.sleep(60.0)
                self.assertTrue(fleet.agree())
                # A failed host sends nothing back, unlike a process that ends.
                fleet.network.pause("certs-a1:7000")
                fleet.nodes.pop("certs-a1")
                seen = all_see(fleet, "certs-a1", MemberState.DEAD)
                await fleet.until(seen, DETECTION_MS)
                fleet.crash("certs-b2")
                seen = all_see(fleet, "certs-b2", MemberState.DEAD)
                await fleet.until(seen, DETECTION_MS)

        run_virtual(main)

    def test_no_member_is_lost_in_an_hour_without_the_platform(self):
        async def main():
            cfg = MembershipSettings(
                heartbeat_interval=5_000.0,
                suspicion_timeout=9_000.0,
                cross_probe_interval=10_000.0,
                sync_interval=10_000.0,
            )
            async with open_membership_fleet(seed=2, cfg=cfg) as fleet:
                start(fleet, 1, DATA_CENTRES[:2])
                await fleet.until(fleet.agree)
                fleet.store.set_faults(PLATFORM_OUTAGE)
                await trio.sleep(3_600.0)
                self.assertTrue(fleet.agree())
                fleet.add("certs-new", first=["certs-b0:7000"])
                await fleet.until(fleet.agree, DETECTION_MS)

        run_virtual(main)

    def test_nodes_join_through_the_platform_or_through_peers_alone(self):
        async def main():
            async with open_membership_fleet(seed=3) as fleet:
                start(fleet, 2)
                await fleet.until(fleet.agree)
                fleet.add("certs-new", first=["10.9.9.9:1"])
                await fleet.until(fleet.agree, DETECTION_MS)
                fleet.store.set_faults(PLATFORM_OUTAGE)
                fleet.add("certs-newer", first=["10.9.9.9:1", "certs-c1:7000"])
                await fleet.until(fleet.agree, DETECTION_MS)

        run_virtual(main)

    def test_a_first_node_without_peers_is_joined_later(self):
        async def main():
            async with open_membership_fleet(seed=4) as fleet:
                fleet.store.set_faults(PLATFORM_OUTAGE)
                fleet.add("certs-1", first=["certs-2:7000"])
                await trio.sleep(60.0)
                fleet.add("certs-2", first=["certs-1:7000"])
                await fleet.until(fleet.agree, DETECTION_MS)

        run_virtual(main)

    def test_a_paused_node_rejoins_and_removes_no_instances(self):
        async def main():
            async with open_membership_fleet(seed=5) as fleet:
                start(fleet, 4)
                await fleet.until(fleet.agree)
                fleet.network.pause("certs-b1:7000")
                others = [n for n in fleet.nodes.values() if n.name != "certs-b1"]

                def noticed():
                    dead = MemberState.DEAD
                    return all(n.state_of("certs-b1") is dead for n in others)

                await fleet.until(noticed, DETECTION_MS)
                await trio.sleep(20.0)
                lost = []
                for node in others:
                    node.membership.on_instances(partial(record_missing, node, lost))
                fleet.network.resume("certs-b1:7000")
                await fleet.until(fleet.agree, CONVERGENCE_MS)
                await trio.sleep(5.0)
                self.assertTrue(fleet.agree())
                # The resumed node announces as dead those that it did not hear
                # from; the other nodes do not drop them.
                self.assertEqual([], lost)
                incarnations = {
                    n.membership.get("certs-b1").incarnation for n in others
                }
                self.assertEqual(len(incarnations), 1)

        run_virtual(main)

    def test_suspicions_do_not_expire_during_a_process_pause(self):
        async def main():
            async with open_membership_fleet(seed=11) as fleet:
                nodes = start(fleet, 4)
                await fleet.until(fleet.agree)
                stopped = nodes[4]
                clock_jump = [0.0]
                clock = stopped.clock
                stopped.clock = Clock(lambda: clock.now() + clock_jump[0], clock.wall)
                stopped.membership._clock = stopped.clock
                dead = []
                stopped.membership.on_change(
                    lambda _old, new: dead.append(new.node) if new.gone else None
                )
                fleet.network.pause("certs-a0:7000")
                suspect = MemberState.SUSPECT
                await fleet.until(lambda: stopped.state_of("certs-a0") is suspect)
                clock_jump[0] = 30_000.0
                await trio.sleep(0.5)
                fleet.network.resume("certs-a0:7000")
                await fleet.until(fleet.agree, CONVERGENCE_MS)
                await trio.sleep(5.0)
                self.assertEqual([], dead)

        run_virtual(main)

    def test_a_partitioned_data_centre_keeps_its_members_and_converges(self):
        async def main():
            async with open_membership_fleet(seed=6) as fleet:
                start(fleet, 4)
                await fleet.until(fleet.agree)
                cut_off = fleet.addresses("hall-c")
                rest = fleet.addresses("hall-a") | fleet.addresses("hall-b")
                fleet.network.cut(cut_off | {"certs-c9:7000"}, rest)
                fleet.store.set_faults(PLATFORM_OUTAGE)

                def seen(name):
                    node = fleet.nodes[name]
                    return {i.data_centre for i in node.membership.instances()}

                await fleet.until(lambda: seen("certs-c1") == {"hall-c"}, DETECTION_MS)
                await fleet.until(
                    lambda: seen("certs-a1") == {"hall-a", "hall-b"}, DETECTION_MS
                )
                fleet.crash("certs-a3")
                fleet.add("certs-c9", "hall-c", first=["certs-c1:7000"])
                await trio.sleep(30.0)
                self.assertTrue(
                    all(n.membership.get("certs-c1") for n in fleet.nodes.values())
                )
                self.assertFalse(fleet.agree())
                # The delayed messages are lost.
                for address in cut_off:
                    fleet.network.drop_links(address)
                fleet.network.heal()

                def is_converged():
                    return fleet.agree() and all(
                        {i.node for i in n.router.instances} == set(fleet.nodes)
                        for n in fleet.nodes.values()
                    )

                await fleet.until(is_converged, CONVERGENCE_MS)

        run_virtual(main)

    def test_halves_of_a_data_centre_converge_after_a_partition(self):
        async def main():
            async with open_membership_fleet(seed=7) as fleet:
                start(fleet, 12, DATA_CENTRES[:1])
                await fleet.until(fleet.agree)
                names = sorted(fleet.addresses("hall-a"))
                fleet.network.cut(set(names[:6]), set(names[6:]))
                await trio.sleep(30.0)
                self.assertFalse(fleet.agree())
                for address in names[:6]:
                    fleet.network.drop_links(address)
                fleet.network.heal()
                await fleet.until(fleet.agree, CONVERGENCE_MS)

        run_virtual(main)

    def test_a_replaced_node_with_a_slow_clock_gets_a_higher_incarnation(self):
        async def main():
            async with open_membership_fleet(seed=8) as fleet:
                start(fleet, 3, DATA_CENTRES[:1], first=["certs-a0:7000"])
                await fleet.until(fleet.agree)
                fleet.crash("certs-a1")
                await trio.sleep(5.0)
                fleet.add("certs-a1", first=["certs-a0:7000"], incarnation=1)
                await fleet.until(fleet.agree, DETECTION_MS)
                incarnation = fleet.nodes["certs-a1"].membership.self_member.incarnation
                self.assertGreater(incarnation, 1_000)

        run_virtual(main)

    def test_one_failed_link_marks_no_node_dead(self):
        async def main():
            async with open_membership_fleet(seed=9) as fleet:
                start(fleet, 6, DATA_CENTRES[:1])
                await fleet.until(fleet.agree)
                dead = []
                for node in fleet.nodes.values():
                    node.membership.on_change(
                        lambda _old, new: dead.append(new.node) if new.gone else None
                    )
                fleet.network.cut({"certs-a0:7000"}, {"certs-a1:7000"})
                await trio.sleep(60.0)
                self.assertEqual(dead, [])

        run_virtual(main)

    def test_simultaneous_node_failures_are_detected_everywhere(self):
        async def main():
            async with open_membership_fleet(seed=12) as fleet:
                nodes = start(fleet, 28, DATA_CENTRES[:1], first=["certs-a0:7000"])
                await fleet.until(fleet.agree)
                await trio.sleep(3.0)
                lost = random.Random(12).sample([n.name for n in nodes], 8)
                for name in lost:
                    fleet.network.pause(f"{name}:7000")
                    fleet.nodes.pop(name).scope.cancel()
                dead = MemberState.DEAD
                await fleet.until(
                    lambda: all(all_see(fleet, name, dead)() for name in lost),
                    DETECTION_MS,
                )

        run_virtual(main)

    def test_views_converge_after_random_link_and_node_failures(self):
        async def main():
            async with open_membership_fleet(seed=10) as fleet:
                start(fleet, 4)
                await fleet.until(fleet.agree)
                rng = random.Random(10)
                for i in range(40):
                    name = rng.choice(sorted(fleet.nodes))
                    fleet.network.drop_links(f"{name}:7000")
                    if i % 10 == 0:
                        fleet.crash(name)
                    await trio.sleep(0.2)
                await fleet.until(fleet.agree, CONVERGENCE_MS)
                self.assertEqual(len(fleet.nodes), 8)

        run_virtual(main)
