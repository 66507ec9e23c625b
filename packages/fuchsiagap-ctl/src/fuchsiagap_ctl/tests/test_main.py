"""Parsing of the command line, its errors, and handling of the token."""

from __future__ import annotations

import json
import socket

from testtools import TestCase

from fuchsiagap.core.build_info import build_info
from fuchsiagap_ctl.commands.table import COMMANDS
from fuchsiagap_ctl.exit_codes import MEANINGS, ExitCode
from fuchsiagap_ctl.invocation import UsageFault, parse_duration
from fuchsiagap_ctl.main import main
from fuchsiagap_ctl.output import Output
from fuchsiagap_ctl.tests.fake_nodes import (
    FakeNodes,
    member_record,
    status_body,
    temp_folder,
)


class TestMain(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.nodes = FakeNodes()

    def test_help_names_every_command_and_its_flags(self) -> None:
        self.assertEqual(ExitCode.DONE, self.nodes.run("--help"))
        text = "\n".join(self.nodes.lines)
        for command in COMMANDS:
            self.assertIn(command.usage, text)
            self.assertEqual(
                ExitCode.DONE, self.nodes.run(*command.name.split(), "--help")
            )
            for flag in command.flags:
                self.assertIn(f"--{flag} ", "\n".join(self.nodes.lines))

    def test_version_names_the_digest_of_the_sources(self) -> None:
        self.assertEqual(ExitCode.DONE, self.nodes.run("--version", nodes=()))
        self.assertEqual([str(build_info())], self.nodes.lines)

    def test_usage_errors_say_what_to_do(self) -> None:
        for words in (
            ["frobnicate"],
            ["settings"],
            ["settings", "get"],
            ["drain", "a", "b"],
            ["status", "--colour"],
            ["status", "--timeout", "5"],
            ["timeline", "--since", "soon"],
            ["status", "--token-file", "/nowhere/token"],
        ):
            self.assertEqual(ExitCode.USAGE, self.nodes.run(*words), words)
            self.assertTrue(self.nodes.notes_text, words)
        self.assertEqual(ExitCode.USAGE, self.nodes.run("status", nodes=()))
        self.assertIn("--node IP:PORT", self.nodes.notes_text)

    def test_every_online_command_reports_that_no_node_answers(self) -> None:
        path = temp_folder(self) / "team.ini"
        path.write_text("[team]\n")
        words = {"TEAM": "salt-fog", "FILE": str(path), "TICKET": "n1.1.1"}
        for command in COMMANDS:
            if command.offline:
                continue
            arguments = [words.get(name, "x") for name in command.arguments]
            code = self.nodes.run(
                *command.name.split(), *arguments, "--yes", "--version=1"
            )
            self.assertEqual(ExitCode.NO_NODE, code, command.name)
            self.assertIn("connection refused", self.nodes.notes_text)
            self.assertIn("next: ", self.nodes.notes_text)

    def test_token_is_sent_only_where_it_is_needed(self) -> None:
        path = temp_folder(self) / "token"
        path.write_text("s3cret\n")
        self.nodes.add(
            "certs-1", GET_status=status_body("certs-1", member_record("certs-1"))
        )
        for command in ("status", "timeline", "top"):
            self.nodes.run(command, "--count=1", f"--token-file={path}")
        self.assertTrue(self.nodes.requests)
        for req in self.nodes.requests:
            self.assertNotIn("authorization", req.headers, req.url)

    def test_closed_port_is_reported_with_the_system_error(self) -> None:
        with socket.socket() as sock:
            # Bound but not listening, so that no other process can listen on the port.
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
            notes: list[str] = []
            output = Output(notes.append, notes.append)
            argv = ["fuchsiagap", "status", f"--node=127.0.0.1:{port}"]
            self.assertEqual(ExitCode.NO_NODE, main(argv, output))
        self.assertIn(f"127.0.0.1:{port}: connection refused", notes[0])

    def test_address_without_an_administration_api(self) -> None:
        self.nodes.add("certs-1", GET_status="<html>hello</html>")
        self.assertEqual(ExitCode.NO_NODE, self.nodes.run("status"))
        self.assertIn("not a node's administration API", self.nodes.notes_text)

    def test_team_is_quoted_as_one_path_segment(self) -> None:
        self.nodes.add("certs-1")
        code = self.nodes.run("settings", "get", "../status")
        self.assertEqual(ExitCode.NOT_FOUND, code)
        (req,) = self.nodes.requests
        self.assertEqual(b"/v1/settings/..%2Fstatus?source=node", req.url.raw_path)

    def test_every_exit_code_has_a_meaning(self) -> None:
        self.assertEqual(set(ExitCode), set(MEANINGS))

    def test_durations(self) -> None:
        texts = ("500ms", "30s", "1.5m", "2h")
        expected = [500.0, 30_000.0, 90_000.0, 7_200_000.0]
        self.assertEqual(expected, [parse_duration(text) for text in texts])
        for text in ("", "5", "s", "-1s", "nans", "infs", "1d", "1ss"):
            self.assertIsInstance(parse_duration(text), UsageFault, text)

    def test_settings_check_is_offline_and_lists_every_fault(self) -> None:
        path = temp_folder(self) / "team.ini"
        path.write_text("[certs/issue]\nmatch = POST /issue\npriority = 11\nfoo = 1\n")
        words = ["settings", "check", "salt-fog", str(path)]
        code = self.nodes.run(*words, nodes=())
        self.assertEqual(ExitCode.INVALID_SETTINGS, code)
        self.assertEqual(2, len(self.nodes.lines))
        self.assertIn(f"{path}:3: [certs/issue] priority = '11'", self.nodes.lines[0])
        self.nodes.run(*words, "--json", nodes=())
        self.assertEqual([3, 4], [one["line"] for one in self.nodes.json["faults"]])
        path.write_text("[certs/issue]\nmatch = POST /issue\n")
        self.assertEqual(ExitCode.DONE, self.nodes.run(*words, nodes=()))
        self.assertEqual([f"{path}: valid"], self.nodes.lines)
        self.assertEqual([], self.nodes.requests)

    def test_token_of_the_file_is_sent_and_never_shown(self) -> None:
        path = temp_folder(self) / "token"
        path.write_text("s3cret\n")
        reply = (403, {"detail": "the token is none of salt-fog"})
        self.nodes.add("certs-1", **{"GET_settings_salt-fog": reply})
        words = ["settings", "get", "salt-fog", f"--token-file={path}"]
        self.assertEqual(ExitCode.NOT_ALLOWED, self.nodes.run(*words))
        (req,) = self.nodes.requests
        self.assertEqual("Bearer s3cret", req.headers["authorization"])
        self.assertIn("--token-file", self.nodes.notes_text)
        shown = json.dumps([self.nodes.lines, self.nodes.notes])
        self.assertNotIn("s3cret", shown)
