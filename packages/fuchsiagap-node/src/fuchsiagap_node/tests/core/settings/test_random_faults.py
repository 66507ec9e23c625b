"""Concurrent operators under random faults: only accepted changes take effect."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio
from testtools import TestCase

from fuchsiagap.core.settings.record import parse_stored_text
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap_node.core.settings.write import (
    Accepted,
    Conflict,
    Unavailable,
    Unsettled,
    WriteResult,
    put_settings,
)
from fuchsiagap_standins.platform import PlatformFaults
from fuchsiagap_standins.settings_fleet import (
    OPERATORS_TOKEN,
    SettingsFleet,
    open_settings_fleet,
    run_virtual,
)

if TYPE_CHECKING:
    from fuchsiagap_node.core.ports import Conflict as PlatformConflict
    from fuchsiagap_node.core.ports import StoredObject
    from fuchsiagap_node.core.state import NodeState

TEAM = "salt-fog"
PATH = f"/settings/{TEAM}"
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
FAULTS_S = 20.0
SETTLE_TIMEOUT_S = 30.0
N_OPERATORS = 3


@dataclass(slots=True)
class AppliedChanges:
    """Versions that the platform has stored, by the id of their change."""

    versions: dict[str, list[int]] = field(default_factory=dict)

    def attach_to(self, fleet: SettingsFleet) -> None:
        apply = fleet.store._apply

        def applying(
            path: str, value: bytes, expected_version: int | None, deleted: bool
        ) -> StoredObject | PlatformConflict:
            result = apply(path, value, expected_version, deleted)
            version = getattr(result, "version", None)
            if path == PATH and version is not None:
                newest = parse_stored_text(value.decode()).records[0]
                self.versions.setdefault(newest.change_id, []).append(version)
            return result

        fleet.store._apply = applying  # type: ignore[method-assign]


async def operate(
    fleet: SettingsFleet, rng: random.Random, name: str, results: dict[str, WriteResult]
) -> None:
    """Change the settings repeatedly, through a random node each time."""
    ends = trio.current_time() + FAULTS_S
    n_changes = 0
    while trio.current_time() < ends:
        n_changes += 1
        change_id = f"{name}-{n_changes}"
        text = f"[certs]\npriority = {rng.randrange(10)}\n"
        result: WriteResult | None = None
        give_up = max(ends, trio.current_time()) + SETTLE_TIMEOUT_S
        while result is None or (
            isinstance(result, Unsettled) and trio.current_time() < give_up
        ):
            node = rng.choice(list(fleet.nodes.values()))
            held = node.book.text(TEAM)
            expected = held.version if held and rng.random() < 0.5 else None
            if result is not None:
                expected = result.expected_version
            repeat = result is not None
            result = await put_settings(
                node, TEAM, text, expected, change_id, OPERATORS_TOKEN, repeat
            )
        results[change_id] = result
        await trio.sleep(rng.uniform(0.0, 0.5))


async def inject_faults(fleet: SettingsFleet, rng: random.Random) -> None:
    """Inject random faults, and clear all of them in the end."""
    ends = trio.current_time() + FAULTS_S
    while trio.current_time() < ends:
        faults = PlatformFaults(
            outage=rng.random() < 0.2,
            latency=rng.choice([2.0, 2.0, 300.0, 1_500.0]),
            lose_answers=rng.choice([0.0, 0.3]),
            lose_requests=rng.choice([0.0, 0.3]),
        )
        fleet.store.set_faults(faults)
        partitioned = rng.choice([*DATA_CENTRES, ""])
        if partitioned:
            there = fleet.addresses(partitioned)
            others = {s.cfg.peer_address for s in fleet.nodes.values()} - there
            fleet.network.cut(there, others)
            fleet.store.set_cut_off({s.node for s in fleet.of(partitioned)})
        victim = rng.choice(list(fleet.nodes.values()))
        fleet.network.drop_links(victim.cfg.peer_address)
        await trio.sleep(rng.uniform(0.2, 2.0))
        fleet.network.heal()
        fleet.store.set_cut_off(set())
    fleet.store.set_faults(PlatformFaults())


async def watch_versions(fleet: SettingsFleet) -> None:
    """Fail as soon as a version decreases on a node."""
    last: dict[str, int] = {}
    while True:
        for name, state in fleet.nodes.items():
            version = dict(state.book.vector()).get(TEAM, 0)
            assert version >= last.get(name, 0), f"{name}: {version} after {last[name]}"
            last[name] = version
        await trio.sleep(0.02)


class RandomSettingsTest(TestCase):
    def test_only_accepted_changes_take_effect_under_random_faults(self) -> None:
        seen: set[type] = set()
        for seed in range(3):
            with self.subTest(seed=seed):
                seen |= run_virtual(self.one_run, seed, seed=seed)
        # The faults must have caused each of these results.
        self.assertTrue({Accepted, Conflict, Unavailable} <= seen, seen)

    async def one_run(self, seed: int) -> set[type]:
        rng = random.Random(seed)
        results: dict[str, WriteResult] = {}
        applied = AppliedChanges()
        async with open_settings_fleet(seed) as fleet:
            applied.attach_to(fleet)
            for i in range(6):
                fleet.add(
                    f"certs-{i}", DATA_CENTRES[i % 3], ["certs-0:7000", "certs-1:7000"]
                )
            await fleet.until(lambda: self.complete(fleet))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_versions, fleet)
                async with trio.open_nursery() as busy:
                    busy.start_soon(inject_faults, fleet, rng)
                    for i in range(N_OPERATORS):
                        busy.start_soon(operate, fleet, rng, f"operator-{i}", results)
                self.check_results(results, applied)
                last = max(
                    v for versions in applied.versions.values() for v in versions
                )
                await fleet.until(lambda: fleet.in_force(TEAM, last), 5_000.0)
                nursery.cancel_scope.cancel()
            texts = {state.book.text(TEAM) for state in fleet.nodes.values()}
            self.assertEqual(1, len(texts))
            for state in fleet.nodes.values():
                self.assertEqual(0, self.violations(state))
        return {type(result) for result in results.values()}

    def complete(self, fleet: SettingsFleet) -> bool:
        return all(s.book.sync_status.complete for s in fleet.nodes.values())

    def check_results(
        self, results: dict[str, WriteResult], applied: AppliedChanges
    ) -> None:
        for change_id, versions in applied.versions.items():
            self.assertEqual(1, len(versions), f"{change_id} took effect twice")
            self.assertIsInstance(results[change_id], (Accepted, Unsettled), change_id)
        for change_id, result in results.items():
            if isinstance(result, Accepted):
                self.assertEqual([result.version], applied.versions.get(change_id))
            elif isinstance(result, Unsettled):
                # Only a change older than the history may stay unsettled.
                self.assertIn("does not reach back", result.detail)
            else:
                self.assertNotIn(change_id, applied.versions, result)

    def violations(self, state: NodeState) -> int:
        counters = state.telemetry.metrics.counters()
        return sum(n for counter, _, n in counters if counter is Counter.VIOLATIONS)
