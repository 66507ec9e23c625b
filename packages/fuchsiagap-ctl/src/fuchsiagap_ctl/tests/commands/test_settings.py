"""Reading and changing settings, with conflicts, lost answers and platform outages."""

from __future__ import annotations

import httpx
from testtools import TestCase

from fuchsiagap_ctl.commands.settings import add_version_line, split_version_line
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.tests.fake_nodes import (
    FakeNodes,
    member_record,
    status_body,
    temp_folder,
)

TEXT = "[certs/issue]\nmatch = POST /issue\n"
GET = "GET_settings_salt-fog"
PUT = "PUT_settings_salt-fog"
DELETE = "DELETE_settings_salt-fog"
ACCEPTED = {"team": "salt-fog", "version": 9, "current": 9, "change_id": "x"}
IN_FORCE = {"teams": [{"team": "salt-fog", "version": 9, "deleted": False}]}
UNSETTLED = (504, {"error": "unsettled", "detail": "the platform does not answer"})


class SettingsCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.nodes = FakeNodes()
        members = (member_record("certs-1"), member_record("certs-2"))
        self.nodes.add("certs-1", GET_status=status_body("certs-1", *members))
        self.file = temp_folder(self) / "team.ini"
        self.file.write_text(TEXT)

    def put(self, *flags: str) -> ExitCode:
        words = ["settings", "put", "salt-fog", str(self.file), *flags]
        return self.nodes.run(*words, nodes=("certs-1", "certs-2"))


class TestRead(SettingsCase):
    def test_get_writes_the_version_line_that_put_parses(self) -> None:
        reply = {"team": "salt-fog", "version": 7, "deleted": False, "text": TEXT}
        self.nodes.add("certs-1", **{GET: reply})
        code = self.nodes.run("settings", "get", "salt-fog")
        self.assertEqual(ExitCode.DONE, code)
        text = "".join(line + "\n" for line in self.nodes.lines)
        self.assertEqual(add_version_line("salt-fog", 7, TEXT), text)
        self.assertEqual((7, TEXT), split_version_line(text))

    def test_get_of_deleted_settings(self) -> None:
        reply = {"team": "salt-fog", "version": 8, "deleted": True, "text": ""}
        self.nodes.add("certs-1", **{GET: reply})
        code = self.nodes.run("settings", "get", "salt-fog")
        self.assertEqual(ExitCode.NOT_FOUND, code)
        self.assertIn("deleted, version 8", self.nodes.notes_text)

    def test_second_node_is_queried_if_the_first_is_down(self) -> None:
        reply = {"team": "salt-fog", "version": 7, "deleted": False, "text": TEXT}
        self.nodes.add("certs-2", **{GET: reply})
        nodes = ("gone", "certs-2")
        code = self.nodes.run("settings", "get", "salt-fog", "--json", nodes=nodes)
        self.assertEqual(ExitCode.DONE, code)
        self.assertEqual(reply, self.nodes.json)

    def test_diff_omits_the_version_line(self) -> None:
        self.file.write_text(add_version_line("salt-fog", 7, TEXT))
        diff = "--- salt-fog version 7\n+++ text given\n+x"
        reply = {"version": 7, "diff": diff, "valid": True, "faults": []}
        self.nodes.add("certs-1", **{"POST_settings_salt-fog_diff": reply})
        code = self.nodes.run("settings", "diff", "salt-fog", str(self.file))
        self.assertEqual(ExitCode.DONE, code)
        self.assertEqual(diff.splitlines(), self.nodes.lines)
        self.assertEqual([{"text": TEXT}], self.nodes.sent_bodies("POST"))

    def test_history_as_a_table(self) -> None:
        change = {
            "version": 7,
            "at": "2026-03-01T12:00:00Z",
            "action": "put",
            "by": "ops",
            "replaced": 5,
            "change_id": "4f",
        }
        reply = {"team": "salt-fog", "version": 7, "changes": [change]}
        self.nodes.add("certs-1", **{"GET_settings_salt-fog_history": reply})
        self.nodes.run("settings", "history", "salt-fog")
        self.assertEqual(
            [
                "version  at                    action  by   replaced  change_id",
                "      7  2026-03-01T12:00:00Z  put     ops         5  4f",
            ],
            self.nodes.lines,
        )


class TestChange(SettingsCase):
    def test_put_waits_until_every_node_has_it_in_force(self) -> None:
        old = {"teams": [{"team": "salt-fog", "version": 7}]}
        self.nodes.add("certs-1", **{PUT: ACCEPTED, "GET_settings": IN_FORCE})
        self.nodes.add("certs-2", GET_settings=[old, IN_FORCE])
        self.file.write_text(add_version_line("salt-fog", 7, TEXT))
        self.assertEqual(ExitCode.DONE, self.put())
        (sent,) = self.nodes.sent_bodies("PUT")
        self.assertEqual((7, TEXT), (sent["expected_version"], sent["text"]))
        self.assertEqual(
            [
                "accepted as version 9 of salt-fog",
                "in force on 1 of 2 nodes",
                "in force on 2 of 2 nodes",
            ],
            self.nodes.notes,
        )

    def test_put_names_nodes_where_it_is_not_in_force(self) -> None:
        self.nodes.add("certs-1", **{PUT: ACCEPTED, "GET_settings": IN_FORCE})
        self.assertEqual(ExitCode.INCOMPLETE, self.put("--wait=50ms"))
        self.assertIn("not seen in force on certs-2", self.nodes.notes_text)

    def test_put_without_a_version_expects_no_settings(self) -> None:
        self.nodes.add("certs-1", **{PUT: ACCEPTED})
        self.assertEqual(ExitCode.DONE, self.put("--wait=0s"))
        self.assertEqual(
            [0], [s["expected_version"] for s in self.nodes.sent_bodies("PUT")]
        )

    def test_conflict_shows_the_concurrent_change(self) -> None:
        conflict = {
            "error": "conflict",
            "team": "salt-fog",
            "version": 8,
            "by": "ops",
            "diff": "-theirs\n+ours",
            "expected_version": 7,
        }
        self.nodes.add("certs-1", **{PUT: (409, conflict)})
        self.assertEqual(ExitCode.CONFLICT, self.put("--version=7"))
        self.assertEqual(["-theirs", "+ours"], self.nodes.lines)
        self.assertIn(
            "version 8 of salt-fog is current, made by ops", self.nodes.notes_text
        )
        self.assertIn("--version 8", self.nodes.notes_text)

    def test_lost_answer_is_retried_with_the_same_change_id(self) -> None:
        lost = httpx.ReadTimeout("timed out")
        self.nodes.add("certs-1", **{PUT: [lost, ACCEPTED], "GET_settings": IN_FORCE})
        self.nodes.add("certs-2", **{PUT: UNSETTLED, "GET_settings": IN_FORCE})
        self.assertEqual(ExitCode.DONE, self.put())
        ids = {sent["change_id"] for sent in self.nodes.sent_bodies("PUT")}
        self.assertEqual(1, len(ids))
        self.assertEqual(3, len(self.nodes.sent_bodies("PUT")))

    def test_unknown_outcome_names_the_change_id_to_repeat(self) -> None:
        self.nodes.add("certs-1", **{PUT: UNSETTLED})
        code = self.put("--wait=50ms", "--timeout=50ms")
        self.assertEqual(ExitCode.MAYBE_APPLIED, code)
        (sent,) = self.nodes.sent_bodies("PUT")
        self.assertIn(f"--change-id {sent['change_id']}", self.nodes.notes_text)

    def test_change_that_may_have_been_received_is_sent_as_a_repeat(self) -> None:
        lost = httpx.ReadTimeout("timed out")
        gone = httpx.ConnectError("connection refused")
        unsettled = (504, {**UNSETTLED[1], "expected_version": 12})
        self.nodes.add("certs-1", **{PUT: [gone, lost], "GET_settings": IN_FORCE})
        replies = [lost, unsettled, ACCEPTED]
        self.nodes.add("certs-2", **{PUT: replies, "GET_settings": IN_FORCE})
        self.assertEqual(ExitCode.DONE, self.put())
        sent = [
            (s.get("repeat"), s["expected_version"])
            for s in self.nodes.sent_bodies("PUT")
        ]
        repeats = [(True, 0), (True, 0), (True, 12), (True, 12)]
        self.assertEqual([(None, 0), (None, 0), *repeats], sent)

    def test_failed_repeat_with_a_given_id_may_have_been_applied(self) -> None:
        for status in (403, 503):
            self.nodes.requests.clear()
            self.nodes.add("certs-1", **{PUT: (status, {"detail": "no"})})
            code = self.put("--change-id=4f", "--version=7")
            self.assertEqual(ExitCode.MAYBE_APPLIED, code)
            (sent,) = self.nodes.sent_bodies("PUT")
            self.assertEqual((True, 7), (sent["repeat"], sent["expected_version"]))
            self.assertIn("--change-id 4f --version 7", self.nodes.notes_text)

    def test_platform_outage_changes_nothing_and_is_not_retried(self) -> None:
        reply = {"error": "platform-unavailable", "detail": "no answer", "next": "wait"}
        self.nodes.add("certs-1", **{PUT: (503, reply)})
        self.assertEqual(ExitCode.PLATFORM_DOWN, self.put())
        self.assertEqual(1, len(self.nodes.sent_bodies("PUT")))
        self.assertIn("next: wait", self.nodes.notes_text)

    def test_invalid_settings_are_not_sent(self) -> None:
        self.file.write_text("# one\n[certs/issue]\npriority = 11\n")
        self.assertEqual(ExitCode.INVALID_SETTINGS, self.put())
        self.assertEqual([], self.nodes.requests)
        self.assertIn(f"{self.file}:3:", "".join(self.nodes.lines))

    def test_delete_requires_yes_and_the_version(self) -> None:
        self.nodes.add("certs-1", **{DELETE: ACCEPTED})
        words = ["settings", "delete", "salt-fog", "--wait=0s"]
        self.assertEqual(ExitCode.USAGE, self.nodes.run(*words, "--yes"))
        self.assertEqual(ExitCode.USAGE, self.nodes.run(*words, "--version=7"))
        self.assertEqual([], self.nodes.requests)
        self.nodes.run(*words, "--yes", "--version=7")
        self.assertEqual(
            [7], [s["expected_version"] for s in self.nodes.sent_bodies("DELETE")]
        )
