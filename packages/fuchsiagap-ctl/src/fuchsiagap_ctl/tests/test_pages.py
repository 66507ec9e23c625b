"""The operators' pages match the program, and the commands on them are valid."""

from __future__ import annotations

import importlib.util
import shlex
from pathlib import Path
from typing import TYPE_CHECKING

from testtools import TestCase

from fuchsiagap.core.telemetry.event_table import EVENTS, INVARIANTS
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap_ctl.exit_codes import ExitCode
from fuchsiagap_ctl.tests.fake_nodes import FakeNodes

if TYPE_CHECKING:
    from types import ModuleType

ROOT = Path(__file__).resolve().parents[5]


def _tool() -> ModuleType:
    path = ROOT / "tools" / "operator_pages.py"
    spec = importlib.util.spec_from_file_location("operator_pages", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _commands(page: Path) -> list[list[str]]:
    """Return the lines of a page's shell blocks that run the program."""
    blocks = page.read_text().split("```sh\n")[1:]
    lines = [line for block in blocks for line in block.split("```")[0].splitlines()]
    return [
        shlex.split(line, comments=True)
        for line in lines
        if line.startswith("fuchsiagap ")
    ]


class TestPages(TestCase):
    def test_generated_tables_are_up_to_date(self) -> None:
        self.assertEqual(0, _tool().main(["--check"]), "run tools/operator_pages.py")

    def test_every_event_and_invariant_has_a_meaning(self) -> None:
        self.assertEqual(set(EventKind), set(EVENTS))
        self.assertEqual(set(Invariant), set(INVARIANTS))

    def test_commands_on_the_pages_are_valid(self) -> None:
        pages = [ROOT / "docs" / "cli.md", *(ROOT / "docs/operators").glob("*.md")]
        nodes = FakeNodes()
        for page in pages:
            for words in _commands(page):
                words = [word.split("|")[0].split(">")[0] for word in words[1:]]
                code = nodes.run(*_before_redirection(words), "--help")
                self.assertEqual(ExitCode.DONE, code, f"{page.name}: {words}")
                self.assertIn("usage: fuchsiagap", nodes.lines[0])
                self.assertNotIn("COMMAND", nodes.lines[0], f"{page.name}: {words}")


def _before_redirection(words: list[str]) -> list[str]:
    return words[: words.index("")] if "" in words else words
