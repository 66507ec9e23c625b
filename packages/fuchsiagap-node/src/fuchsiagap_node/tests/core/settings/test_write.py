from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

import trio
from testtools import TestCase

from fuchsiagap.core.settings.parse import MAX_LINES, MAX_TEXT_BYTES
from fuchsiagap.core.settings.record import MAX_RECORDS, parse_stored_text
from fuchsiagap.core.settings.tokens import digest_of
from fuchsiagap_node.core.ports import Missing, StoredObject
from fuchsiagap_node.core.settings.write import (
    Accepted,
    Conflict,
    Forbidden,
    Invalid,
    Unavailable,
    Unsettled,
    WriteResult,
    delete_settings,
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
    from collections.abc import Awaitable, Callable

    from fuchsiagap_node.core.state import NodeState

TEAM = "salt-fog"
PATH = f"/settings/{TEAM}"
TOKEN = "salt-fog-token"
HEAD = f"[team]\ntokens = ops {digest_of(TOKEN)}\n"


def make_text(priority: int = 9) -> str:
    return f"{HEAD}priority = {priority}\n"


async def stored(fleet: SettingsFleet) -> StoredObject:
    found = await fleet.store.get(PATH)
    assert isinstance(found, StoredObject)
    return found


async def changes(fleet: SettingsFleet) -> list[str]:
    """Return the ids of the changes that took effect, oldest first."""
    records = parse_stored_text((await stored(fleet)).value.decode()).records
    return [record.change_id for record in reversed(records)]


async def put(
    node: NodeState,
    priority: int = 9,
    expected: int | None = None,
    change_id: str | None = None,
    token: str = OPERATORS_TOKEN,
) -> WriteResult:
    change_id = change_id or f"change-{priority}"
    return await put_settings(
        node, TEAM, make_text(priority), expected, change_id, token
    )


class SettingsWriteTest(TestCase):
    def run_node(
        self, main: Callable[[SettingsFleet, NodeState], Awaitable[None]], seed: int = 1
    ) -> None:
        async def run() -> None:
            async with open_settings_fleet(seed) as fleet:
                await main(fleet, fleet.add("certs-1"))

        run_virtual(run)

    def accepted(self, result: object) -> Accepted:
        assert isinstance(result, Accepted), result
        return result

    def conflict(self, result: object) -> Conflict:
        assert isinstance(result, Conflict), result
        return result

    def test_an_accepted_change_is_stored_and_in_force_locally(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            first = self.accepted(await put(node, 1, 0))
            second = self.accepted(await put(node, 2, first.version, token=TOKEN))
            held = await stored(fleet)
            self.assertEqual(second.version, held.version)
            text = parse_stored_text(held.value.decode())
            self.assertEqual(make_text(2), text.body)
            self.assertEqual(
                [("change-2", "ops", first.version), ("change-1", "operators", 0)],
                [(r.change_id, r.by, r.replaced) for r in text.records],
            )
            self.assertEqual("2023-11-14T22:13:20Z", text.records[1].at)
            settings = node.book.team(TEAM)
            assert settings is not None
            self.assertEqual(second.version, settings.version)

        self.run_node(main)

    def test_concurrent_changes_have_one_winner_and_conflicts_show_its_text(
        self,
    ) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            others = [fleet.add(f"certs-{i}", first=["certs-1:7000"]) for i in (2, 3)]
            before = self.accepted(await put(node, 9, 0)).version
            await fleet.until(lambda: fleet.in_force(TEAM, before))
            results: list[WriteResult] = []

            async def race(state: NodeState, priority: int) -> None:
                results.append(await put(state, priority, before, token=TOKEN))

            async with trio.open_nursery() as nursery:
                for priority, state in enumerate([node, *others]):
                    nursery.start_soon(race, state, priority)
            kinds = Counter(type(result) for result in results)
            self.assertEqual({Accepted: 1, Conflict: 2}, kinds)
            [winner] = [r for r in results if isinstance(r, Accepted)]
            held = parse_stored_text((await stored(fleet)).value.decode())
            for lost in results:
                if isinstance(lost, Conflict):
                    self.assertEqual((winner.version, "ops"), (lost.version, lost.by))
                    self.assertEqual(held.body, lost.text)
                    self.assertIn("-priority", lost.diff)
                    self.assertIn("+priority", lost.diff)
            # Each loser repeats its change with the current version.
            for i, state in enumerate(others):
                version = (await stored(fleet)).version
                self.accepted(await put(state, 5 + i, version, token=TOKEN))

        self.run_node(main)

    def test_a_lost_response_is_settled_by_the_change_id(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            base = self.accepted(await put(node, 9, 0)).version
            fleet.store.set_faults(PlatformFaults(lose_answers=1.0))

            async def clear_faults() -> None:
                await trio.sleep(1)
                fleet.store.set_faults(PlatformFaults())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(clear_faults)
                result = await put(node, 3, base)
            made = self.accepted(result)
            self.assertEqual((await stored(fleet)).version, made.version)
            # It took effect once, although the request was repeated.
            self.assertEqual(["change-9", "change-3"], await changes(fleet))

        self.run_node(main)

    def test_a_lost_request_is_retried(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            fleet.store.set_faults(PlatformFaults(lose_requests=0.5))
            for priority in range(6):
                self.accepted(await put(node, priority))
            self.assertEqual([f"change-{i}" for i in range(6)], await changes(fleet))

        self.run_node(main, seed=5)

    def test_an_undecided_change_is_unsettled_and_a_repeat_settles_it(
        self,
    ) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            other = fleet.add("certs-2", first=["certs-1:7000"])
            await fleet.until(lambda: other.book.sync_status.complete)
            fleet.store.set_faults(PlatformFaults(lose_answers=1.0))
            result = await put(node, 3, 0)
            self.assertEqual("change-3", getattr(result, "change_id", None), result)
            self.assertIsInstance(result, Unsettled)
            fleet.store.set_faults(PlatformFaults())
            again = self.accepted(await put(other, 3, 0))
            self.assertEqual((await stored(fleet)).version, again.version)
            self.assertEqual(["change-3"], await changes(fleet))

        self.run_node(main)

    def test_a_change_beyond_the_history_stays_unsettled(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            base = self.accepted(await put(node, 9, 0)).version
            fleet.store.set_faults(PlatformFaults(lose_answers=1.0))

            async def overtake() -> None:
                await trio.sleep(1)
                fleet.store.set_faults(PlatformFaults())
                for i in range(MAX_RECORDS):
                    self.accepted(await put(node, i % 10, None, f"c{i}"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(overtake)
                result = await put(node, 3, base)
            self.assertIsInstance(result, Unsettled)
            # A request that is certain not to have taken effect is a plain conflict.
            self.conflict(await put(node, 4, base, "other"))

        self.run_node(main)

    def test_repeat_by_a_replaced_token_tells_whether_the_change_took_effect(
        self,
    ) -> None:
        for case in itertools.product(
            ("lost answer", "lost request"),
            ("none", "other change", "other token", "history cut"),
            ("same node", "informed node", "late node"),
        ):
            for replaces_token in (True, False):
                self.check_repeat(*case, replaces_token)

    def check_repeat(
        self, loss: str, between: str, where: str, replaces_token: bool
    ) -> None:
        """Check the result of a repeat against what took effect."""
        case = f"{loss}, {between}, {where}, {replaces_token}"
        new_token = "new-token" if replaces_token else TOKEN
        text = f"[team]\ntokens = ops {digest_of(new_token)}\npriority = 3\n"

        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            base = self.accepted(await put(node, 1, 0)).version
            other = fleet.add("certs-2", first=["certs-1:7000"])
            await fleet.until(lambda: other.book.sync_status.complete)
            is_applied = loss == "lost answer"
            fleet.store.set_faults(
                PlatformFaults(
                    lose_answers=float(is_applied), lose_requests=float(not is_applied)
                )
            )
            first = await put_settings(node, TEAM, text, base, "change-x", TOKEN)
            self.assertIsInstance(first, Unsettled, case)
            fleet.store.set_faults(PlatformFaults())
            if where == "late node":
                fleet.store.set_cut_off({"certs-2"})
            if between in ("other change", "history cut"):
                n_changes = MAX_RECORDS + 1 if between == "history cut" else 1
                for number in range(n_changes):
                    change_id = f"later-{number}"
                    await put_settings(
                        node, TEAM, text, None, change_id, OPERATORS_TOKEN
                    )
            elif between == "other token":
                third = f"[team]\ntokens = ops {digest_of('third')}\n"
                await put_settings(node, TEAM, third, None, "later", OPERATORS_TOKEN)
            await trio.sleep(0.0 if where == "late node" else 5.0)
            fleet.store.cut_off.clear()
            repeater = node if where == "same node" else other
            result = await put_settings(
                repeater, TEAM, text, base, "change-x", TOKEN, repeat=True
            )
            if between == "history cut":
                # Nothing was changed, or the history does not tell.
                if is_applied:
                    self.assertIsInstance(result, (Accepted, Unsettled), case)
            elif is_applied or between == "none":
                self.assertIsInstance(result, Accepted, case)
            else:
                self.assertIsInstance(result, (Conflict, Forbidden), case)

        self.run_node(main)

    def test_a_repeat_after_a_later_change_returns_both_versions(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            first = self.accepted(await put(node, 1, 0)).version
            second = self.accepted(await put(node, 2, first)).version
            again = self.accepted(await put(node, 1, 0))
            self.assertEqual((first, second), (again.version, again.current))
            # The id of an earlier change cannot be used for another text.
            self.conflict(await put(node, 7, second, change_id="change-2"))
            self.assertEqual(second, (await stored(fleet)).version)

        self.run_node(main)

    def test_no_change_is_made_while_the_platform_is_unavailable(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            version = self.accepted(await put(node, 1, 0)).version
            for faults in (
                PlatformFaults(outage=True),
                PlatformFaults(latency=9_000.0, patience=2_000.0),
            ):
                fleet.store.set_faults(faults)
                result = await put(node, 2, version)
                self.assertIsInstance(result, Unavailable)
            fleet.store.set_faults(PlatformFaults())
            self.assertEqual(version, (await stored(fleet)).version)
            settings = node.book.team(TEAM)
            assert settings is not None
            self.assertEqual(version, settings.version)

        self.run_node(main)

    def test_no_change_is_accepted_by_a_platform_that_lost_changes(
        self,
    ) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            version = self.accepted(await put(node, 1, 0)).version
            old = await stored(fleet)
            for priority in (2, 3):
                version = self.accepted(await put(node, priority, version)).version
            # Restored from a backup: an earlier object and version.
            fleet.store._objects[PATH] = old
            fleet.store.version = old.version
            result = await put(node, 4, None)
            assert isinstance(result, Unavailable)
            self.assertIn("lost changes", result.detail)
            self.assertEqual(old, await stored(fleet))
            settings = node.book.team(TEAM)
            assert settings is not None
            self.assertEqual(version, settings.version)

        self.run_node(main)

    def test_a_slow_platform_only_delays_a_change(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            fleet.store.set_faults(PlatformFaults(latency=1_500.0))
            self.accepted(await put(node, 1, 0))

        self.run_node(main)

    def test_only_team_tokens_and_the_operators_token_may_change_settings(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            # Only the operators may create a team.
            self.assertIsInstance(await put(node, 1, 0, token=TOKEN), Forbidden)
            version = self.accepted(await put(node, 1, 0)).version
            dakar = f"[team]\ntokens = head-office {digest_of('dakar-token')}\n"
            result = await put_settings(node, "dakar", dakar, 0, "d1", OPERATORS_TOKEN)
            self.accepted(result)
            for token in ("dakar-token", "", "x", f"{TOKEN} ", digest_of(TOKEN)):
                for outcome in (
                    await put(node, 2, version, token=token),
                    await delete_settings(node, TEAM, version, "x", token),
                ):
                    self.assertIsInstance(outcome, Forbidden, token)
            self.assertEqual(version, (await stored(fleet)).version)
            self.accepted(await put(node, 2, version, token=TOKEN))

        self.run_node(main)

    def test_a_token_removed_on_the_platform_is_refused(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            version = self.accepted(await put(node, 1, 0)).version
            fleet.store.set_cut_off({"certs-1"})
            # Written elsewhere, unknown to this node.
            await fleet.store.put(PATH, b"[team]\npriority = 3\n", version)
            fleet.store.cut_off.clear()
            self.assertIsNotNone(node.book.team(TEAM))
            result = await put(node, 2, None, token=TOKEN)
            self.assertIsInstance(result, Forbidden)

        self.run_node(main)

    def test_an_invalid_text_is_refused_and_not_stored(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            text = "[team]\nweight = 7\n[a/b]\n"
            result = await put_settings(node, TEAM, text, 0, "x", OPERATORS_TOKEN)
            assert isinstance(result, Invalid)
            self.assertEqual(2, len(result.faults.faults))
            self.assertIsInstance(await fleet.store.get(PATH), Missing)

        self.run_node(main)

    def test_the_largest_accepted_text_takes_effect(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            filler = MAX_TEXT_BYTES - len(HEAD) - 1
            wide = f"{HEAD}#{'x' * filler}"
            long = HEAD + "\n" * (MAX_LINES - 2)
            for i, text in enumerate((wide, long)):
                for repeat in range(MAX_RECORDS + 1):
                    change_id = f"c{i}-{repeat}"
                    result = await put_settings(
                        node, TEAM, text, None, change_id, OPERATORS_TOKEN
                    )
                    made = self.accepted(result)
                self.assertTrue(fleet.in_force(TEAM, made.version))
                too_much = await put_settings(
                    node, TEAM, f"{text}\n#", None, "more", OPERATORS_TOKEN
                )
                self.assertIsInstance(too_much, Invalid)

        self.run_node(main)

    def test_a_deleted_team_is_recreated_only_by_the_operators(self) -> None:
        async def main(_fleet: SettingsFleet, node: NodeState) -> None:
            version = self.accepted(await put(node, 1, 0)).version
            self.conflict(await delete_settings(node, TEAM, version + 5, "d1", TOKEN))
            gone = self.accepted(
                await delete_settings(node, TEAM, version, "d2", TOKEN)
            ).version
            self.assertIsNone(node.book.team(TEAM))
            self.assertIsInstance(await put(node, 2, gone, token=TOKEN), Forbidden)
            shown = self.conflict(await put(node, 2, version))
            self.assertEqual((gone, True), (shown.version, shown.deleted))
            # Version 0 means "no settings", which also holds after a deletion.
            self.accepted(await put(node, 2, 0))

        self.run_node(main)

    def test_the_history_is_bounded_and_no_text_can_forge_it(self) -> None:
        async def main(fleet: SettingsFleet, node: NodeState) -> None:
            for i in range(MAX_RECORDS + 3):
                self.accepted(await put(node, i % 10, None, f"c{i}"))
            held = parse_stored_text((await stored(fleet)).value.decode())
            self.assertEqual(MAX_RECORDS, len(held.records))
            forged = (await stored(fleet)).value.decode()
            result = await put_settings(
                node, TEAM, forged, None, "forger", OPERATORS_TOKEN
            )
            self.accepted(result)
            after = parse_stored_text((await stored(fleet)).value.decode())
            self.assertEqual("forger", after.records[0].change_id)
            self.assertEqual(forged, after.body)

        self.run_node(main)
