import random
from functools import partial

import trio
from testtools import TestCase

from fuchsiagap.core.clock import Clock
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap.core.membership.settings import MembershipSettings
from fuchsiagap_standins.membership_fleet import open_membership_fleet, run_virtual
from fuchsiagap_standins.platform import PlatformFaults

NOTICED_MS = 3_000.0
HEALED_MS = 5_000.0
HALLS = ("hall-a", "hall-b", "hall-c")
DOWN = PlatformFaults(outage=True)


def start(fleet, per_hall, halls=HALLS, **options):
    return [
        fleet.add(f"certs-{hall[-1]}{i}", hall, **options)
        for i in range(per_hall)
        for hall in halls
    ]


def all_see(fleet, node, state):
    return lambda: all(n.state_of(node) is state for n in fleet.nodes.values())


def note_lost(node, lost):
    names = {instance.node for instance in node.membership.instances()}
    lost += [m.node for m in node.membership.members() if m.node not in names]


class TestFailures(TestCase):
    def test_a_dead_node_is_noticed_everywhere_also_without_the_platform(self):
        async def main():
            async with open_membership_fleet(seed=1) as fleet:
                start(fleet, 4)
                await fleet.until(fleet.agree)
                fleet.store.set_faults(DOWN)
                await trio.sleep(60.0)
                self.assertTrue(fleet.agree())
                # Hosts that vanish send nothing back, unlike processes that end.
                fleet.network.pause("certs-a1:7000")
                fleet.nodes.pop("certs-a1")
                seen = all_see(fleet, "certs-a1", MemberState.DEAD)
                await fleet.until(seen, NOTICED_MS)
                fleet.crash("certs-b2")
                seen = all_see(fleet, "certs-b2", MemberState.DEAD)
                await fleet.until(seen, NOTICED_MS)

        run_virtual(main)

    def test_an_hour_without_the_platform_forgets_nobody(self):
        async def main():
            cfg = MembershipSettings(
                heartbeat_interval=5_000.0,
                suspicion_timeout=9_000.0,
                cross_probe_interval=10_000.0,
                sync_interval=10_000.0,
            )
            async with open_membership_fleet(seed=2, cfg=cfg) as fleet:
                start(fleet, 1, HALLS[:2])
                await fleet.until(fleet.agree)
                fleet.store.set_faults(DOWN)
                await trio.sleep(3_600.0)
                self.assertTrue(fleet.agree())
                fleet.add("certs-new", first=["certs-b0:7000"])
                await fleet.until(fleet.agree, NOTICED_MS)

        run_virtual(main)

    def test_joins_through_the_platform_only_and_through_peers_only(self):
        async def main():
            async with open_membership_fleet(seed=3) as fleet:
                start(fleet, 2)
                await fleet.until(fleet.agree)
                fleet.add("certs-new", first=["10.9.9.9:1"])
                await fleet.until(fleet.agree, NOTICED_MS)
                fleet.store.set_faults(DOWN)
                fleet.add("certs-newer", first=["10.9.9.9:1", "certs-c1:7000"])
                await fleet.until(fleet.agree, NOTICED_MS)

        run_virtual(main)

    def test_a_first_node_without_anybody_is_joined_later(self):
        async def main():
            async with open_membership_fleet(seed=4) as fleet:
                fleet.store.set_faults(DOWN)
                fleet.add("certs-1", first=["certs-2:7000"])
                await trio.sleep(60.0)
                fleet.add("certs-2", first=["certs-1:7000"])
                await fleet.until(fleet.agree, NOTICED_MS)

        run_virtual(main)

    def test_a_paused_node_comes_back_and_harms_nothing(self):
        async def main():
            async with open_membership_fleet(seed=5) as fleet:
                start(fleet, 4)
                await fleet.until(fleet.agree)
                fleet.network.pause("certs-b1:7000")
                others = [n for n in fleet.nodes.values() if n.name != "certs-b1"]

                def noticed():
                    dead = MemberState.DEAD
                    return all(n.state_of("certs-b1") is dead for n in others)

                await fleet.until(noticed, NOTICED_MS)
                await trio.sleep(20.0)
                lost = []
                for node in others:
                    node.membership.on_instances(partial(note_lost, node, lost))
                fleet.network.resume("certs-b1:7000")
                await fleet.until(fleet.agree, HEALED_MS)
                await trio.sleep(5.0)
                self.assertTrue(fleet.agree())
                # It calls dead whom it did not hear, and nobody believes it at once.
                self.assertEqual([], lost)
                life = {n.membership.get("certs-b1").incarnation for n in others}
                self.assertEqual(len(life), 1)

        run_virtual(main)

    def test_a_process_that_was_stopped_lets_no_suspicion_lapse(self):
        async def main():
            async with open_membership_fleet(seed=11) as fleet:
                nodes = start(fleet, 4)
                await fleet.until(fleet.agree)
                stopped = nodes[4]
                jump = [0.0]
                clock = stopped.clock
                stopped.clock = Clock(lambda: clock.now() + jump[0], clock.wall)
                stopped.membership._clock = stopped.clock
                dead = []
                stopped.membership.on_change(
                    lambda _old, new: dead.append(new.node) if new.gone else None
                )
                fleet.network.pause("certs-a0:7000")
                suspect = MemberState.SUSPECT
                await fleet.until(lambda: stopped.state_of("certs-a0") is suspect)
                jump[0] = 30_000.0
                await trio.sleep(0.5)
                fleet.network.resume("certs-a0:7000")
                await fleet.until(fleet.agree, HEALED_MS)
                await trio.sleep(5.0)
                self.assertEqual([], dead)

        run_virtual(main)

    def test_a_data_centre_cut_off_keeps_its_own_and_heals(self):
        async def main():
            async with open_membership_fleet(seed=6) as fleet:
                start(fleet, 4)
                await fleet.until(fleet.agree)
                cut_off = fleet.addresses("hall-c")
                rest = fleet.addresses("hall-a") | fleet.addresses("hall-b")
                fleet.network.cut(cut_off | {"certs-c9:7000"}, rest)
                fleet.store.set_faults(DOWN)

                def seen(name):
                    node = fleet.nodes[name]
                    return {i.data_centre for i in node.membership.instances()}

                await fleet.until(lambda: seen("certs-c1") == {"hall-c"}, NOTICED_MS)
                await fleet.until(
                    lambda: seen("certs-a1") == {"hall-a", "hall-b"}, NOTICED_MS
                )
                fleet.crash("certs-a3")
                fleet.add("certs-c9", "hall-c", first=["certs-c1:7000"])
                await trio.sleep(30.0)
                self.assertTrue(
                    all(n.membership.get("certs-c1") for n in fleet.nodes.values())
                )
                self.assertFalse(fleet.agree())
                # Whatever was held back is lost.
                for address in cut_off:
                    fleet.network.drop_links(address)
                fleet.network.heal()

                def whole():
                    return fleet.agree() and all(
                        {i.node for i in n.router.instances} == set(fleet.nodes)
                        for n in fleet.nodes.values()
                    )

                await fleet.until(whole, HEALED_MS)

        run_virtual(main)

    def test_halves_of_one_data_centre_heal_after_long(self):
        async def main():
            async with open_membership_fleet(seed=7) as fleet:
                start(fleet, 12, HALLS[:1])
                await fleet.until(fleet.agree)
                names = sorted(fleet.addresses("hall-a"))
                fleet.network.cut(set(names[:6]), set(names[6:]))
                await trio.sleep(30.0)
                self.assertFalse(fleet.agree())
                for address in names[:6]:
                    fleet.network.drop_links(address)
                fleet.network.heal()
                await fleet.until(fleet.agree, HEALED_MS)

        run_virtual(main)

    def test_a_replaced_node_with_a_clock_behind_gets_a_higher_life(self):
        async def main():
            async with open_membership_fleet(seed=8) as fleet:
                start(fleet, 3, HALLS[:1], first=["certs-a0:7000"])
                await fleet.until(fleet.agree)
                fleet.crash("certs-a1")
                await trio.sleep(5.0)
                fleet.add("certs-a1", first=["certs-a0:7000"], incarnation=1)
                await fleet.until(fleet.agree, NOTICED_MS)
                life = fleet.nodes["certs-a1"].membership.self_member.incarnation
                self.assertGreater(life, 1_000)

        run_virtual(main)

    def test_one_lost_link_makes_nobody_dead(self):
        async def main():
            async with open_membership_fleet(seed=9) as fleet:
                start(fleet, 6, HALLS[:1])
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

    def test_a_lost_rack_is_noticed_everywhere_at_once(self):
        async def main():
            async with open_membership_fleet(seed=12) as fleet:
                nodes = start(fleet, 28, HALLS[:1], first=["certs-a0:7000"])
                await fleet.until(fleet.agree)
                await trio.sleep(3.0)
                lost = random.Random(12).sample([n.name for n in nodes], 8)
                for name in lost:
                    fleet.network.pause(f"{name}:7000")
                    fleet.nodes.pop(name).scope.cancel()
                dead = MemberState.DEAD
                await fleet.until(
                    lambda: all(all_see(fleet, name, dead)() for name in lost),
                    NOTICED_MS,
                )

        run_virtual(main)

    def test_links_lost_at_random_leave_the_views_alike(self):
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
                await fleet.until(fleet.agree, HEALED_MS)
                self.assertEqual(len(fleet.nodes), 8)

        run_virtual(main)
