"""Output, exit status and flags of the command line of the fault injection bench."""

from __future__ import annotations

import io
import json
import logging
from contextlib import redirect_stderr, redirect_stdout

from testtools import TestCase

from fuchsiagap_standins.bench.faults.cli import main
from fuchsiagap_standins.bench.faults.plan import FaultKind

KEYS = [
    "runs",
    "requests",
    "faults_by_kind",
    "invariants_checked",
    "violations",
    "double_runs",
    "false_not_run",
    "wrong_answers",
    "cut_by_planned_stop",
    "reverted_settings",
    "work_after_leaving",
]


class CommandTest(TestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(logging.disable, logging.NOTSET)

    def command(self, *argv: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            status = main(list(argv))
        return status, out.getvalue(), err.getvalue()

    def test_json_has_exactly_the_documented_keys(self):
        status, out, err = self.command("--seed", "1", "--runs", "1", "--json")
        found = json.loads(out)
        self.assertEqual(KEYS, list(found))
        self.assertEqual(
            {kind.value for kind in FaultKind}, set(found["faults_by_kind"])
        )
        self.assertEqual((0, 0), (status, found["violations"]), err)
        self.assertGreater(found["invariants_checked"], found["requests"])

    def test_a_planted_bug_is_printed_with_its_seed_and_timeline(self):
        flags = ("--break", "swap-answers", "--runs", "3", "--seed", "5")
        status, _, err = self.command(*flags)
        self.assertEqual(0, status)
        self.assertIn("seed 5 failed; repeat it with --seed 5 --runs 1", err)
        self.assertIn("call-received", err)

    def test_invalid_flags_are_reported(self):
        for flag in ("--runs=0", "--break=nothing", "extra"):
            status, _, err = self.command(flag)
            self.assertEqual(2, status)
            self.assertTrue(err.strip(), flag)
