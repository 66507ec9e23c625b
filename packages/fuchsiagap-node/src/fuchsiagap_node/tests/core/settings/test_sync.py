from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from testtools import TestCase

from fuchsiagap import ServiceName
from fuchsiagap.core.settings.model import TeamText
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap_node.core.ports import StoredObject
from fuchsiagap_node.core.settings import spread, watch
from fuchsiagap_node.core.settings.write import Accepted, delete_settings, put_settings
from fuchsiagap_node.core.wire.messages_settings import SettingsNews
from fuchsiagap_standins.platform import PlatformFaults
from fuchsiagap_standins.settings_fleet import (
    OPERATORS_TOKEN,
    SettingsFleet,
    open_settings_fleet,
    run_virtual,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_node.core.state import NodeState

TEAM = "salt-fog"
PATH = f"/settings/{TEAM}"
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
ADOPTION_MS = 3_000.0
PLATFORM_OUTAGE = PlatformFaults(outage=True)


def make_text(priority: int) -> str:
    return f"[certs]\npriority = {priority}\n"


def start(fleet: SettingsFleet, n_per_data_centre: int) -> list[NodeState]:
    states = [
        fleet.add(
            f"certs-{data_centre[-1]}{i}",
            data_centre,
            ["certs-a0:7000", "certs-b0:7000"],
        )
        for i in range(n_per_data_centre)
        for data_centre in DATA_CENTRES
    ]
    return states


async def change(state: NodeState, priority: int) -> int:
    text = make_text(priority)
    result = await put_settings(
        state, TEAM, text, None, f"change-{priority}", OPERATORS_TOKEN
    )
    assert isinstance(result, Accepted), result
    return result.version


async def write_directly(fleet: SettingsFleet, text: str) -> int:
    stored = await fleet.store.put(PATH, text.encode(), None)
    assert isinstance(stored, StoredObject)
    return stored.version


def priority_at(state: NodeState) -> int | None:
    route = state.book.route_for(ServiceName(TEAM, "certs"), "GET", "/")
    return None if route is None else route.priority


class SettingsSyncTest(TestCase):
    def run_fleet(
        self, seed: int, main: Callable[[SettingsFleet], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            async with open_settings_fleet(seed) as fleet:
                await main(fleet)
                self.check_invariants(fleet)

        run_virtual(run)

    def check_invariants(self, fleet: SettingsFleet) -> None:
        for state in fleet.nodes.values():
            self.assertEqual(0, state.book.counts.split)

    async def ready(self, fleet: SettingsFleet) -> None:
        n_nodes = len(fleet.nodes)
        await fleet.until(
            lambda: all(
                s.book.sync_status.complete and len(s.membership.members()) == n_nodes
                for s in fleet.nodes.values()
            )
        )
        # Nodes that started alone stop watching once they have found the others.
        await trio.sleep(1)

    def test_a_change_takes_effect_everywhere_within_seconds(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 4)
            await self.ready(fleet)
            version = await change(states[5], 3)
            await fleet.until(lambda: fleet.in_force(TEAM, version), ADOPTION_MS)
            self.assertEqual({3}, {priority_at(state) for state in states})
            # A change by another writer arrives through the watches.
            version = await write_directly(fleet, make_text(4))
            await fleet.until(lambda: fleet.in_force(TEAM, version), ADOPTION_MS)

        self.run_fleet(1, main)

    def test_a_few_nodes_of_each_data_centre_watch_the_platform(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            start(fleet, 3)
            await self.ready(fleet)
            await trio.sleep(5)
            for data_centre in DATA_CENTRES:
                n = sum(s.book.sync_status.watching for s in fleet.of(data_centre))
                self.assertEqual(watch.N_WATCHERS, n)
            before = fleet.store.counts
            await trio.sleep(30)
            after = fleet.store.counts
            # One call per watch in 30 s; none by the nodes that do not watch.
            n_expected_watches = 30 / 30 * watch.N_WATCHERS * len(DATA_CENTRES)
            self.assertLessEqual(after.watches - before.watches, n_expected_watches + 6)

        self.run_fleet(2, main)

    def test_other_nodes_watch_for_watchers_without_platform_access(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 4)
            await self.ready(fleet)
            watching = {s.node for s in states if s.book.sync_status.watching}
            fleet.store.set_cut_off(watching)
            await trio.sleep(0.1)
            # Other nodes may watch already, but none without platform access does.
            now = {s.node for s in states if s.book.sync_status.watching}
            self.assertEqual(set(), watching & now)
            version = await write_directly(fleet, make_text(2))
            await fleet.until(lambda: fleet.in_force(TEAM, version), ADOPTION_MS)
            # They resume their own watches, and the proxy watches end.
            fleet.store.set_cut_off(set())
            await trio.sleep(15)
            now = {s.node for s in states if s.book.sync_status.watching}
            self.assertEqual(watching, now)
            know = {
                s.node for s in states if s.book.sync_status.platform_up is not None
            }
            self.assertEqual(watching, know)

        self.run_fleet(3, main)

    def test_other_nodes_become_watchers_after_a_crash(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 4)
            await self.ready(fleet)
            for name in [s.node for s in states if s.book.sync_status.watching]:
                fleet.crash(name)
            await trio.sleep(4)
            version = await write_directly(fleet, make_text(2))
            await fleet.until(lambda: fleet.in_force(TEAM, version), ADOPTION_MS)

        self.run_fleet(4, main)

    def test_a_new_node_gets_settings_from_peers_during_an_outage(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 2)
            await self.ready(fleet)
            version = await change(states[0], 3)
            await fleet.until(lambda: fleet.in_force(TEAM, version))
            fleet.store.set_faults(PLATFORM_OUTAGE)
            new = fleet.add("certs-a9", "hall-a", ["certs-b1:7000"])
            await fleet.until(lambda: new.book.sync_status.complete, ADOPTION_MS)
            self.assertEqual(3, priority_at(new))

        self.run_fleet(5, main)

    def test_a_first_node_gets_settings_from_the_platform(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            await write_directly(fleet, make_text(6))
            node = fleet.add("certs-a0", "hall-a", ["certs-gone:7000"])
            await fleet.until(lambda: node.book.sync_status.complete, ADOPTION_MS)
            self.assertEqual(6, priority_at(node))

        self.run_fleet(6, main)

    def test_partitioned_data_centres_converge_after_the_partition(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 3)
            await self.ready(fleet)
            old = await change(states[0], 1)
            await fleet.until(lambda: fleet.in_force(TEAM, old))
            cut = fleet.addresses("hall-c")
            others = fleet.addresses("hall-a") | fleet.addresses("hall-b")
            fleet.network.cut(cut, others)
            fleet.store.set_cut_off({s.node for s in fleet.of("hall-c")})
            new = await change(states[0], 2)
            await fleet.until(lambda: fleet.in_force(TEAM, new, "hall-a"), ADOPTION_MS)
            await trio.sleep(30)
            # While partitioned, it keeps the settings it has.
            self.assertTrue(fleet.in_force(TEAM, old, "hall-c"))
            fleet.network.heal()
            await fleet.until(lambda: fleet.in_force(TEAM, new), 5_000.0)

        self.run_fleet(7, main)

    def test_a_tombstone_is_not_resurrected(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 2)
            await self.ready(fleet)
            old = await change(states[0], 1)
            await fleet.until(lambda: fleet.in_force(TEAM, old))
            cut = fleet.addresses("hall-c")
            fleet.network.cut(
                cut, fleet.addresses("hall-a") | fleet.addresses("hall-b")
            )
            fleet.store.set_cut_off({s.node for s in fleet.of("hall-c")})
            result = await delete_settings(
                states[0], TEAM, old, "delete-1", OPERATORS_TOKEN
            )
            assert isinstance(result, Accepted), result
            await trio.sleep(10)
            fleet.network.heal()
            gone = result.version
            await fleet.until(lambda: fleet.in_force(TEAM, gone), 5_000.0)
            await trio.sleep(20)
            self.assertTrue(fleet.in_force(TEAM, gone))
            self.assertEqual({None}, {priority_at(state) for state in states})

        self.run_fleet(8, main)

    def test_a_lower_version_is_never_adopted(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 2)
            await self.ready(fleet)
            await change(states[0], 1)
            version = await change(states[0], 2)
            await fleet.until(lambda: fleet.in_force(TEAM, version))
            stale = [TeamText(TEAM, version - 1, make_text(9))]
            spread.adopt_texts(states[1], stale, "certs-b0")
            sender = states[0]
            # An announced version that its sender does not have changes nothing either.
            announcement = SettingsNews(((TEAM, version + 100),))
            await sender.peers.notify(states[1].cfg.peer_address, announcement)
            await trio.sleep(5)
            self.assertTrue(fleet.in_force(TEAM, version))
            self.assertEqual({2}, {priority_at(state) for state in states})

        self.run_fleet(9, main)

    def test_lost_links_only_delay_a_change(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 4)
            await self.ready(fleet)
            fleet.store.set_cut_off({s.node for s in states[1:]})

            async def drop_links() -> None:
                while True:
                    await trio.sleep(0.003)
                    victim = fleet.rng.choice(states)
                    fleet.network.drop_links(victim.cfg.peer_address)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(drop_links)
                for priority in range(3):
                    version = await change(states[0], priority)
                    await trio.sleep(ADOPTION_MS / 1000)
                    lagging = [
                        state.node
                        for state in states
                        if dict(state.book.vector()).get(TEAM) != version
                    ]
                    self.assertEqual([], lagging)
                nursery.cancel_scope.cancel()

        self.run_fleet(14, main)

    def test_a_paused_node_catches_up(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 2)
            await self.ready(fleet)
            fleet.network.pause("certs-c1:7000")
            fleet.store.set_cut_off({"certs-c1"})
            await change(states[0], 1)
            version = await change(states[0], 2)
            await trio.sleep(60)
            fleet.network.resume("certs-c1:7000")
            await fleet.until(lambda: fleet.in_force(TEAM, version), 5_000.0)

        self.run_fleet(15, main)

    def test_simultaneous_start_of_all_nodes_makes_few_platform_calls(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            version = await write_directly(fleet, make_text(3))
            before = fleet.store.counts.reads
            start(fleet, 8)
            await fleet.until(lambda: fleet.in_force(TEAM, version), 10_000.0)
            listed = sum(
                state.telemetry.metrics.counter_value(
                    Counter.PLATFORM_CALLS, "settings-list"
                )
                for state in fleet.nodes.values()
            )
            self.assertLess(listed, 15)
            self.assertGreater(fleet.store.counts.reads, before)

        self.run_fleet(16, main)

    def test_a_decreasing_version_is_reported(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            node = fleet.add("certs-a0")
            await self.ready(fleet)
            await change(node, 1)
            version = await change(node, 2)
            spread.adopt_texts(node, [TeamText(TEAM, version, "")], "certs-liar")
            held = node.book.text(TEAM)
            assert held is not None
            node.book._entries[TEAM].text = TeamText(TEAM, version - 1, held.text)
            spread._check_invariants(node, held, held)
            violations = node.telemetry.metrics.counter_value(
                Counter.VIOLATIONS, Invariant.VERSION_WENT_BACK
            )
            self.assertEqual(2, violations)
            node.book.counts.split = 0

        self.run_fleet(17, main)

    def test_an_invalid_text_on_the_platform_is_reported_and_not_adopted(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 2)
            await self.ready(fleet)
            good = await change(states[0], 1)
            await fleet.until(lambda: fleet.in_force(TEAM, good))
            for text in (b"[certs]\npriority = 99\n", b"\xff\xfe", b"[certs"):
                await fleet.store.put(PATH, text, None)
            await trio.sleep(5)
            self.assertTrue(fleet.in_force(TEAM, good))
            watching = [s for s in states if s.book.sync_status.watching]
            for state in watching:
                [rejected] = state.book.rejected()
                self.assertEqual(good + 3, rejected.version)
            # A valid change replaces it.
            version = await change(states[0], 5)
            await fleet.until(lambda: fleet.in_force(TEAM, version), ADOPTION_MS)
            self.assertEqual((), watching[0].book.rejected())

        self.run_fleet(10, main)

    def test_an_object_deleted_on_the_platform_becomes_a_tombstone(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            states = start(fleet, 1)
            await self.ready(fleet)
            version = await change(states[0], 1)
            await fleet.until(lambda: fleet.in_force(TEAM, version))
            await fleet.store.delete(PATH, version)
            await fleet.until(lambda: fleet.in_force(TEAM, version + 1), ADOPTION_MS)
            self.assertEqual({None}, {priority_at(state) for state in states})
            await change(states[0], 4)
            await fleet.until(lambda: priority_at(states[2]) == 4, ADOPTION_MS)

        self.run_fleet(11, main)

    def test_many_texts_are_fetched_in_bounded_replies(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            filler = "#" * 120_000
            for i in range(12):
                text = f"[team]\n{filler}\n".encode()
                await fleet.store.put(f"/settings/team-{i}", text, 0)
            fleet.add("certs-a0")
            await self.ready(fleet)
            fleet.store.set_faults(PLATFORM_OUTAGE)
            new = fleet.add("certs-a1", "hall-a", ["certs-a0:7000"])
            await fleet.until(lambda: len(new.book.teams()) == 12, ADOPTION_MS)

        self.run_fleet(12, main)

    def test_the_weight_of_the_own_team_is_applied_to_the_gate(self) -> None:
        async def main(fleet: SettingsFleet) -> None:
            node = fleet.add("certs-a0")
            await self.ready(fleet)
            weights: list[float] = []
            node.gate.adopt = lambda cfg: weights.append(cfg.weight)  # type: ignore[method-assign]
            for team, weight in ((TEAM, "recovery"), ("dakar", "0.3"), (TEAM, "0.1")):
                text = f"[team]\nweight = {weight}"
                await put_settings(node, team, text, None, weight, OPERATORS_TOKEN)
            self.assertEqual([1.0, 0.1], weights)

        self.run_fleet(13, main)
