import random
import zlib
from dataclasses import replace

import trio
from testtools import TestCase

from fuchsiagap.core.membership.member import Member, MemberState
from fuchsiagap.core.membership.settings import MembershipSettings
from fuchsiagap_node.core.member_digest import decode_members, encode_members, relays
from fuchsiagap_node.core.ports import StoredObject
from fuchsiagap_node.core.wire.codec import MalformedFrame, decode, encode
from fuchsiagap_node.core.wire.messages_gossip import Heartbeat, Updates
from fuchsiagap_standins.membership_fleet import open_membership_fleet, run_virtual
from fuchsiagap_standins.platform import PlatformFaults

HALLS = ("hall-a", "hall-b")
DIGEST_INTERVAL_S = 2.0
CFG = MembershipSettings(digest_interval=2_000.0, announce_interval=4_000.0)


async def stored_members(fleet, path):
    found = await fleet.store.get(path)
    if not isinstance(found, StoredObject) or found.deleted:
        return None
    return {member.node for member in decode_members(found.value)}


def start_nodes(fleet, per_hall):
    for i in range(per_hall):
        for hall in HALLS:
            fleet.add(f"certs-{hall[-1]}{i}", hall)


class TestDigest(TestCase):
    def test_relays_write_the_digest_only_when_it_changed(self):
        async def main():
            async with open_membership_fleet(seed=1, cfg=CFG) as fleet:
                start_nodes(fleet, 5)
                await fleet.until(fleet.agree)
                await trio.sleep(6 * DIGEST_INTERVAL_S)
                expected = {f"certs-a{i}" for i in range(5)}
                self.assertEqual(
                    expected, await stored_members(fleet, "/members/hall-a")
                )
                views = fleet.nodes.values()
                relay_sets = {relays(n) for n in views if n.name.startswith("certs-a")}
                self.assertEqual(1, len(relay_sets))
                before = fleet.store.counts
                await trio.sleep(15 * DIGEST_INTERVAL_S)
                after = fleet.store.counts
                self.assertEqual(before.writes, after.writes)
                self.assertEqual(0, after.watches)
                # Two relays per data centre, with one or two list calls per interval.
                n_relays = 2 * len(HALLS)
                self.assertLess(after.reads - before.reads, n_relays * 15 * 2)

        run_virtual(main)

    def test_a_crash_costs_few_writes_and_deletes_the_announcement(self):
        async def main():
            async with open_membership_fleet(seed=2, cfg=CFG) as fleet:
                start_nodes(fleet, 4)
                await fleet.until(fleet.agree)
                await trio.sleep(6 * DIGEST_INTERVAL_S)
                before = fleet.store.counts.writes
                fleet.crash("certs-a2")
                await trio.sleep(6 * DIGEST_INTERVAL_S)
                self.assertNotIn(
                    "certs-a2", await stored_members(fleet, "/members/hall-a")
                )
                self.assertIsNone(
                    await stored_members(fleet, "/announce/hall-a/certs-a2")
                )
                self.assertLessEqual(fleet.store.counts.writes - before, 4)

        run_virtual(main)

    def test_members_are_kept_after_an_isolated_node_writes_the_digest(self):
        async def main():
            async with open_membership_fleet(seed=3, cfg=CFG) as fleet:
                start_nodes(fleet, 3)
                await fleet.until(fleet.agree)
                await trio.sleep(3 * DIGEST_INTERVAL_S)
                fleet.network.cut(
                    {"certs-new:7000"}, {n.address for n in fleet.nodes.values()}
                )
                fleet.add("certs-new", "hall-a")
                await trio.sleep(6 * DIGEST_INTERVAL_S)
                fleet.network.heal()
                await fleet.until(fleet.agree, 5_000.0)
                await trio.sleep(3 * DIGEST_INTERVAL_S)
                expected = {"certs-new", *(f"certs-a{i}" for i in range(3))}
                self.assertEqual(
                    expected, await stored_members(fleet, "/members/hall-a")
                )

        run_virtual(main)

    def test_lost_responses_and_malformed_digests_are_recovered_from(self):
        async def main():
            async with open_membership_fleet(seed=4, cfg=CFG) as fleet:
                await fleet.store.put("/members/hall-b", b"no digest", None)
                await fleet.store.put("/announce/hall-b/x", zlib.compress(b"x"), None)
                faults = PlatformFaults(lose_answers=0.3, lose_requests=0.3)
                fleet.store.set_faults(faults)
                start_nodes(fleet, 3)
                await fleet.until(fleet.agree, 20_000.0)
                await trio.sleep(12 * DIGEST_INTERVAL_S)
                fleet.store.set_faults(PlatformFaults())
                await trio.sleep(6 * DIGEST_INTERVAL_S)
                expected = {f"certs-b{i}" for i in range(3)}
                self.assertEqual(
                    expected, await stored_members(fleet, "/members/hall-b")
                )

        run_virtual(main)

    def test_data_centres_discover_each_other_through_the_platform(self):
        async def main():
            async with open_membership_fleet(seed=5, cfg=CFG) as fleet:
                fleet.store.set_faults(PlatformFaults(outage=True))
                for hall in HALLS:
                    first = [f"certs-{hall[-1]}0:7000"]
                    for i in range(3):
                        fleet.add(f"certs-{hall[-1]}{i}", hall, first=first)
                await trio.sleep(3 * DIGEST_INTERVAL_S)
                sizes = {len(n.membership.members()) for n in fleet.nodes.values()}
                self.assertEqual({3}, sizes)
                fleet.store.set_faults(PlatformFaults())
                await fleet.until(fleet.agree, 10_000.0)

        run_virtual(main)


class TestEncoding(TestCase):
    def test_members_and_messages_round_trip(self):
        member = Member("certs-1", 7, "10.0.0.1:1", "hall-a", state=MemberState.LEFT)
        member = replace(member, successor="certs-2", handed_incarnation=9)
        self.assertEqual((member,), decode_members(encode_members((member,))))
        for msg in (Updates((member,)), Heartbeat(1 << 63, (member,))):
            self.assertEqual(msg, decode(encode(msg)))

    def test_malformed_digests_are_rejected(self):
        rng = random.Random(1)
        valid = encode_members((Member("certs-1", 7, "10.0.0.1:1", "hall-a"),))
        malformed = [valid[:i] for i in range(len(valid))]
        malformed += [rng.randbytes(40) for _ in range(50)]
        malformed += [zlib.compress(encode(Heartbeat(1))), zlib.compress(b"\x80")]
        for value in malformed:
            self.assertIsInstance(decode_members(value), MalformedFrame)
        bomb = zlib.compress(bytes(64 * 1024 * 1024))
        self.assertIn("longer than", decode_members(bomb).detail)
