"""Commands against the administration API of real nodes in one process."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import httpx
import trio
from testtools import TestCase

from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.main import run_line
from fuchsiagap_ctl.output import Output
from fuchsiagap_ctl.tests.fake_nodes import temp_folder
from fuchsiagap_node.core.edges.admin import admin_app
from fuchsiagap_standins.platform import PlatformFaults
from fuchsiagap_standins.settings_fleet import (
    OPERATORS_TOKEN,
    SettingsFleet,
    open_settings_fleet,
)
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from quart_trio import QuartTrio

TEXT = "[certs/issue]\nmatch = POST /issue\n"
NAMES = ("certs-1", "certs-2", "certs-3")

Run = Callable[..., Awaitable[ExitCode]]


class _ToNodes(httpx.AsyncBaseTransport):
    """Transport that passes requests to the application of the addressed node."""

    def __init__(self, fleet: SettingsFleet) -> None:
        self._fleet = fleet
        self._apps: dict[str, QuartTrio] = {}

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        name = request.url.host
        if name not in self._fleet.nodes:
            raise httpx.ConnectError("connection refused")
        if name not in self._apps:
            self._apps[name] = admin_app(self._fleet.nodes[name])
        transport = httpx.ASGITransport(app=self._apps[name])  # type: ignore[arg-type]
        return await transport.handle_async_request(request)


class TestRealApi(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[str] = []
        self.notes: list[str] = []
        self.folder = temp_folder(self)
        (self.folder / "token").write_text(OPERATORS_TOKEN)
        self.file = self.folder / "team.ini"
        self.file.write_text(TEXT)

    def with_fleet(self, use: Callable[[SettingsFleet, Run], Awaitable[None]]) -> None:
        async def run() -> None:
            async with open_settings_fleet(seed=6) as fleet:
                for name in NAMES:
                    fleet.add(name, first=["certs-1:7000"])

                async def run_one(*words: str) -> ExitCode:
                    self.lines.clear()
                    self.notes.clear()
                    output = Output(self.lines.append, self.notes.append)
                    flags = [f"--token-file={self.folder}/token"]
                    flags += [f"--node={name}:7100" for name in NAMES[:2]]
                    argv = ["fuchsiagap", *words, *flags]
                    return await run_line(argv, output, lambda: _ToNodes(fleet))

                await fleet.until(lambda: _membership_is_complete(fleet))
                await use(fleet, run_one)

        run_virtual(run)

    def test_put_get_conflict_history_and_delete(self) -> None:
        async def use(fleet: SettingsFleet, run: Run) -> None:
            put = ("settings", "put", "salt-fog", str(self.file))
            self.assertEqual(ExitCode.DONE, await run(*put), self.notes)
            self.assertIn("in force on 3 of 3 nodes", self.notes)
            self.assertEqual(ExitCode.DONE, await run("settings", "get", "salt-fog"))
            self.file.write_text("\n".join(self.lines) + "\npriority = 2\n")
            self.assertEqual(ExitCode.DONE, await run(*put), self.notes)
            # The file is based on a version that is no longer current.
            self.assertEqual(ExitCode.CONFLICT, await run(*put))
            await run("settings", "history", "salt-fog", "--json")
            changes = json.loads(self.lines[0])["changes"]
            self.assertEqual(2, len(changes))
            version = f"--version={changes[0]['version']}"
            code = await run("settings", "delete", "salt-fog", "--yes", version)
            self.assertEqual(ExitCode.DONE, code, self.notes)

        self.with_fleet(use)

    def test_platform_outage_changes_nothing_and_status_still_works(self) -> None:
        async def use(fleet: SettingsFleet, run: Run) -> None:
            fleet.store.set_faults(PlatformFaults(outage=True))
            put = ("settings", "put", "salt-fog", str(self.file))
            self.assertEqual(ExitCode.PLATFORM_DOWN, await run(*put), self.notes)
            self.assertEqual(ExitCode.DONE, await run("status"))

        self.with_fleet(use)

    def test_outcome_of_a_repeat_is_unknown_until_the_outage_ends(self) -> None:
        async def use(fleet: SettingsFleet, run: Run) -> None:
            put = ("settings", "put", "salt-fog", str(self.file), "--wait=20s")
            fleet.store.set_faults(PlatformFaults(lose_answers=1.0))

            async def start_outage() -> None:
                await trio.sleep(1)
                fleet.store.set_faults(PlatformFaults(outage=True))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(start_outage)
                code = await run(*put)
            self.assertEqual(ExitCode.MAYBE_APPLIED, code, self.notes)
            flags = self.notes[-1].partition("with ")[2].partition(";")[0].split()
            code = await run(*put, *flags)
            self.assertEqual(ExitCode.MAYBE_APPLIED, code, self.notes)
            fleet.store.set_faults(PlatformFaults())
            self.assertEqual(ExitCode.DONE, await run(*put, *flags), self.notes)
            await run("settings", "history", "salt-fog", "--json")
            self.assertEqual(1, len(json.loads(self.lines[0])["changes"]))

        self.with_fleet(use)

    def test_timeline_names_the_node_that_crashed(self) -> None:
        async def use(fleet: SettingsFleet, run: Run) -> None:
            cause = fleet.nodes["certs-1"].telemetry
            effect = fleet.nodes["certs-2"].telemetry
            cause.ring.record(EventKind.CALL_RELAYED, "c1", "r1")
            effect.hlc.observe(cause.hlc.tick())
            effect.ring.record(EventKind.CALL_ADMITTED, "c1", "r1")
            code = await run("timeline", "--call=c1", "--json")
            self.assertEqual(ExitCode.DONE, code)
            kinds = [json.loads(line).get("kind") for line in self.lines]
            self.assertEqual(["call-relayed", "call-admitted", None], kinds)
            fleet.crash("certs-3")
            await trio.sleep(60)
            code = await run("timeline", "--call=c1", "--json")
            self.assertEqual(ExitCode.INCOMPLETE, code)
            missing = json.loads(self.lines[-1])["missing"]
            self.assertEqual(["certs-3"], [one["node"] for one in missing])

        self.with_fleet(use)

    def test_top_ticket_and_drain_against_real_nodes(self) -> None:
        async def use(fleet: SettingsFleet, run: Run) -> None:
            code = await run("top", "--count=2", "--json")
            self.assertEqual(ExitCode.DONE, code, self.notes)
            incarnation = fleet.nodes["certs-1"].incarnation
            code = await run("ticket", f"certs-1.{incarnation:x}.0")
            self.assertEqual(ExitCode.DONE, code, self.notes)
            code = await run("drain", "certs-3", "--wait=0s")
            self.assertEqual(ExitCode.DONE, code, self.notes)
            self.assertTrue(fleet.nodes["certs-3"].drain_requested.is_set())

        self.with_fleet(use)


def _membership_is_complete(fleet: SettingsFleet) -> bool:
    return all(
        len(state.membership.members()) == len(NAMES) for state in fleet.nodes.values()
    )
