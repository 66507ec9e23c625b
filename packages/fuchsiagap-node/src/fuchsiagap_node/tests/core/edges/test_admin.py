from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import trio
from testtools import TestCase

from fuchsiagap.core.settings.tokens import digest_of
from fuchsiagap_node.core.edges.admin import admin_app
from fuchsiagap_node.core.edges.admin_reply import MAX_BODY_BYTES
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

TEAM_PATH = "/v1/settings/salt-fog"
TOKEN = "salt-fog-token"
TEXT = f"[team]\ntokens = ops {digest_of(TOKEN)}\n[certs]\npriority = 2\n"
OUTAGE = PlatformFaults(outage=True)
ERROR_FIELDS = {"error", "detail", "expected", "next"}


class Client:
    """Sends requests to the API of one node in memory."""

    def __init__(self, state: NodeState) -> None:
        self._client = admin_app(state).test_client()

    async def __call__(
        self, method: str, path: str, body: object = None, token: str = ""
    ) -> tuple[int, dict[str, Any]]:
        headers = {"authorization": f"Bearer {token}"} if token else {}
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        if body is None:
            data = b""
        res = await self._client.open(path, method=method, headers=headers, data=data)
        raw = await res.get_data(as_text=False)
        is_json = res.content_type == "application/json"
        value = json.loads(raw) if is_json else {"raw": raw}
        assert isinstance(value, dict)
        return res.status_code, value


class AdminTest(TestCase):
    def run_admin(
        self,
        main: Callable[[Client, NodeState, SettingsFleet], Awaitable[None]],
        *,
        prepared: bool = True,
    ) -> None:
        async def run() -> None:
            async with open_settings_fleet(seed=1) as fleet:
                state = fleet.add("certs-1")
                await fleet.until(lambda: state.book.sync_status.complete)
                client = Client(state)
                if prepared:
                    body = {"text": TEXT, "expected_version": 0, "change_id": "first"}
                    status, _ = await client("PUT", TEAM_PATH, body, OPERATORS_TOKEN)
                    self.assertEqual(200, status)
                await main(client, state, fleet)

        run_virtual(run)

    def check_error(self, response: tuple[int, dict[str, Any]], status: int) -> None:
        self.assertEqual(status, response[0], response)
        for name in ERROR_FIELDS:
            self.assertTrue(response[1][name], name)

    def test_put_get_history_diff_and_delete(self) -> None:
        async def main(client: Client, state: NodeState, _fleet: SettingsFleet) -> None:
            _, stored = await client("GET", TEAM_PATH, token=TOKEN)
            self.assertEqual((TEXT, False), (stored["text"], stored["deleted"]))
            text = TEXT.replace("priority = 2", "priority = 5")
            _, compared = await client(
                "POST", f"{TEAM_PATH}/diff", {"text": text}, TOKEN
            )
            self.assertIn("+priority = 5", compared["diff"])
            self.assertTrue(compared["valid"])
            body = {"text": text, "expected_version": stored["version"]}
            status, accepted = await client("PUT", TEAM_PATH, body, TOKEN)
            self.assertEqual((200, accepted["version"]), (status, accepted["current"]))
            _, on_platform = await client(
                "GET", f"{TEAM_PATH}?source=platform", token=TOKEN
            )
            self.assertEqual(
                (accepted["version"], text),
                (on_platform["version"], on_platform["text"]),
            )
            _, history = await client("GET", f"{TEAM_PATH}/history", token=TOKEN)
            changes = [(c["version"], c["by"]) for c in history["changes"]]
            expected = [(accepted["version"], "ops"), (stored["version"], "operators")]
            self.assertEqual(expected, changes)
            body = {"expected_version": accepted["version"], "change_id": "gone"}
            status, gone = await client("DELETE", TEAM_PATH, body, TOKEN)
            self.assertEqual(200, status)
            self.assertIsNone(state.book.team("salt-fog"))
            _, teams = await client("GET", "/v1/settings")
            shown = {"team": "salt-fog", "version": gone["version"], "deleted": True}
            self.assertEqual([shown], teams["teams"])

        self.run_admin(main)

    def test_conflicting_change_gets_the_current_version_and_a_diff(self) -> None:
        async def main(client: Client, state: NodeState, _fleet: SettingsFleet) -> None:
            text = TEXT.replace("priority = 2", "priority = 5")
            body = {"text": text, "expected_version": 0, "change_id": "late"}
            response = await client("PUT", TEAM_PATH, body, TOKEN)
            self.check_error(response, 409)
            conflict = response[1]
            self.assertEqual(dict(state.book.vector())["salt-fog"], conflict["version"])
            self.assertEqual((TEXT, "operators"), (conflict["text"], conflict["by"]))
            self.assertIn("-priority = 2", conflict["diff"])

        self.run_admin(main)

    def test_invalid_text_gets_every_fault(self) -> None:
        async def main(
            client: Client, _state: NodeState, _fleet: SettingsFleet
        ) -> None:
            body = {"text": "[team]\nweight = 9\n[a/b]\n"}
            response = await client("PUT", TEAM_PATH, body, TOKEN)
            self.check_error(response, 422)
            self.assertEqual([2, 3], [f["line"] for f in response[1]["faults"]])
            status, checked = await client("POST", f"{TEAM_PATH}/check", body, TOKEN)
            self.assertEqual((200, False), (status, checked["valid"]))
            self.assertIn("[team] weight = '9'", checked["faults"][0]["message"])

        self.run_admin(main)

    def test_each_team_needs_its_own_token(self) -> None:
        async def main(client: Client, state: NodeState, _fleet: SettingsFleet) -> None:
            body = {"text": f"[team]\ntokens = ops {digest_of('dakar-token')}\n"}
            dakar = "/v1/settings/dakar"
            self.check_error(await client("PUT", dakar, body, TOKEN), 403)
            status, _ = await client("PUT", dakar, body, OPERATORS_TOKEN)
            self.assertEqual(200, status)
            before = state.book.vector()
            guarded_requests = [
                ("PUT", TEAM_PATH, body),
                ("DELETE", TEAM_PATH, {}),
                ("GET", TEAM_PATH, None),
                ("GET", f"{TEAM_PATH}/history", None),
                ("POST", f"{TEAM_PATH}/diff", body),
                ("POST", f"{TEAM_PATH}/check", body),
                ("POST", "/v1/drain", None),
                (
                    "POST",
                    "/v1/tickets/certs-1.1.0/settle",
                    {"method": "POST", "path": "/salt-fog/certs/issue"},
                ),
            ]
            for method, path, request_body in guarded_requests:
                self.check_error(await client(method, path, request_body), 401)
                for token in ("dakar-token", "x", digest_of(TOKEN), "t" * 600):
                    response = await client(method, path, request_body, token)
                    self.check_error(response, 401 if len(token) > 512 else 403)
            self.check_error(await client("POST", "/v1/drain", None, TOKEN), 403)
            self.assertEqual(before, state.book.vector())
            self.assertFalse(state.drain_requested.is_set())

        self.run_admin(main)

    def test_malformed_requests_get_complete_errors(self) -> None:
        async def main(
            client: Client, _state: NodeState, _fleet: SettingsFleet
        ) -> None:
            big = b'{"text": "' + b"#" * MAX_BODY_BYTES + b'"}'
            for method, path, body, status in (
                ("GET", "/v1/nothing", None, 404),
                ("GET", "/", None, 404),
                ("POST", TEAM_PATH, {}, 405),
                ("PUT", TEAM_PATH, b"", 400),
                ("PUT", TEAM_PATH, b"{", 400),
                ("PUT", TEAM_PATH, b"\xff", 400),
                ("PUT", TEAM_PATH, b"[" * 100_000, 400),
                ("PUT", TEAM_PATH, [], 400),
                ("PUT", TEAM_PATH, {}, 400),
                ("PUT", TEAM_PATH, {"text": 7}, 400),
                ("PUT", TEAM_PATH, {"text": "", "txt": ""}, 400),
                ("PUT", TEAM_PATH, {"text": "", "expected_version": -1}, 400),
                ("PUT", TEAM_PATH, {"text": "", "expected_version": True}, 400),
                ("PUT", TEAM_PATH, {"text": "", "expected_version": "1"}, 400),
                ("PUT", TEAM_PATH, {"text": "", "change_id": ""}, 400),
                ("PUT", TEAM_PATH, {"text": "", "repeat": "yes"}, 400),
                ("PUT", TEAM_PATH, {"text": "", "repeat": True}, 400),
                ("PUT", TEAM_PATH, {"text": "", "change_id": "a b"}, 400),
                ("PUT", TEAM_PATH, {"text": "", "change_id": "a" * 65}, 400),
                ("PUT", TEAM_PATH, {"text": "\ud800"}, 422),
                ("PUT", "/v1/settings/Salt_Fog", {"text": ""}, 422),
                ("PUT", "/v1/settings/..", {"text": ""}, 422),
                ("PUT", TEAM_PATH, big, 413),
                ("POST", f"{TEAM_PATH}/check", {"text": None}, 400),
                ("GET", f"{TEAM_PATH}?source=moon", None, 400),
                ("GET", "/v1/settings/nobody", None, 404),
                ("GET", "/v1/events?after=-1", None, 400),
                ("GET", "/v1/events?limit=x", None, 400),
                ("GET", "/v1/tickets/x", None, 400),
                ("POST", "/v1/tickets/certs-1.1.0/settle", {}, 400),
                (
                    "POST",
                    "/v1/tickets/certs-1.1.0/settle",
                    {"method": "POST", "path": "/", "wait_ms": 1e9},
                    400,
                ),
            ):
                with self.subTest(method=method, path=path, body=str(body)[:40]):
                    response = await client(method, path, body, OPERATORS_TOKEN)
                    self.check_error(response, status)

        self.run_admin(main)

    def test_stalled_body_times_out(self) -> None:
        async def main(
            _client: Client, state: NodeState, _fleet: SettingsFleet
        ) -> None:
            client = admin_app(state).test_client()
            headers = {"authorization": f"Bearer {TOKEN}", "content-length": "50"}
            started = trio.current_time()
            async with client.request(TEAM_PATH, method="PUT", headers=headers) as conn:
                await conn.send(b'{"text": ')
                await trio.sleep(60)
                res = await conn.as_response()
            self.assertEqual(408, res.status_code)
            self.assertEqual(ERROR_FIELDS, set(json.loads(await res.get_data())))
            self.assertLess(trio.current_time() - started, 70)

        self.run_admin(main)

    def test_platform_outage_is_reported_and_changes_nothing(self) -> None:
        async def main(client: Client, state: NodeState, fleet: SettingsFleet) -> None:
            before = state.book.vector()
            fleet.store.set_faults(OUTAGE)
            self.check_error(await client("PUT", TEAM_PATH, {"text": TEXT}, TOKEN), 503)
            response = await client("GET", f"{TEAM_PATH}?source=platform", token=TOKEN)
            self.check_error(response, 503)
            status, stored = await client("GET", TEAM_PATH, token=TOKEN)
            self.assertEqual((200, TEXT), (status, stored["text"]))
            self.assertEqual(before, state.book.vector())
            await fleet.until(lambda: state.book.sync_status.platform_up is False)
            status, shown = await client("GET", "/v1/status")
            self.assertEqual((200, False), (status, shown["platform"]["up"]))

        self.run_admin(main)

    def test_unsettled_change_names_how_to_settle_it(self) -> None:
        async def main(client: Client, _state: NodeState, fleet: SettingsFleet) -> None:
            fleet.store.set_faults(PlatformFaults(lose_answers=1.0))
            body: dict[str, object] = {
                "text": TEXT + "timeout = 2s\n",
                "change_id": "open",
            }
            response = await client("PUT", TEAM_PATH, body, TOKEN)
            self.check_error(response, 504)
            for named in ("change_id", "expected_version", "repeat = true"):
                self.assertIn(named, response[1]["next"])
            # A repeat during an outage leaves the change unsettled.
            fleet.store.set_faults(OUTAGE)
            version = response[1]["expected_version"]
            body |= {"repeat": True, "expected_version": version}
            self.check_error(await client("PUT", TEAM_PATH, body, TOKEN), 504)
            fleet.store.set_faults(PlatformFaults())
            status, accepted = await client("PUT", TEAM_PATH, body, TOKEN)
            self.assertEqual((200, "open"), (status, accepted["change_id"]))

        self.run_admin(main)

    def test_status_shows_members_by_data_centre_and_team(self) -> None:
        async def main(client: Client, _state: NodeState, fleet: SettingsFleet) -> None:
            fleet.add("certs-2", "hall-b", ["certs-1:7000"])
            node = fleet.nodes["certs-1"]
            await fleet.until(lambda: len(node.membership.members()) == 2)
            _, shown = await client("GET", "/v1/status")
            [other] = shown["members"]["hall-b"]["salt-fog"]
            self.assertEqual("certs-2:7100", other["admin_address"])
            self.assertEqual({"alive": 2}, shown["member_counts"])
            self.assertEqual("certs", shown["levels"][0]["route"])
            self.assertEqual("certs-1", shown["node"]["name"])
            _, shown = await client("GET", "/v1/status?team=dakar")
            self.assertEqual({}, shown["members"])
            _, shown = await client("GET", "/v1/status?members=no")
            self.assertNotIn("members", shown)

        self.run_admin(main)

    def test_drain_events_metrics_and_tickets(self) -> None:
        async def main(client: Client, state: NodeState, _fleet: SettingsFleet) -> None:
            _, page = await client("GET", "/v1/events?limit=1000")
            kinds = [event["kind"] for event in page["events"]]
            self.assertIn("settings-adopted", kinds)
            last = page["events"][-1]["stamp"]
            _, page = await client("GET", f"/v1/events?after={last}")
            self.assertEqual([], page["events"])
            _, metrics = await client("GET", "/v1/metrics")
            adopted = b'fuchsiagap_settings_adopted_total{team="salt-fog"} 1.0'
            self.assertIn(adopted, metrics["raw"])
            [ticket] = state.tickets.own.issue(1)
            _, home = await client("GET", f"/v1/tickets/{ticket}")
            self.assertEqual("here", home["home"])
            _, home = await client("GET", "/v1/tickets/nobody.1.0")
            self.assertEqual(("gone", ""), (home["home"], home["address"]))
            body = {"method": "post", "path": "/salt-fog/certs/issue"}
            path = f"/v1/tickets/{ticket}/settle"
            _, outcome = await client("POST", path, body, TOKEN)
            self.assertEqual(
                ("refused", "ticket-burnt"), (outcome["outcome"], outcome["reason"])
            )
            status, _ = await client("POST", "/v1/drain", None, OPERATORS_TOKEN)
            self.assertEqual(202, status)
            self.assertTrue(state.drain_requested.is_set())

        self.run_admin(main)
