from __future__ import annotations

import importlib.util
from pathlib import Path
from typing import TYPE_CHECKING

from testtools import TestCase

if TYPE_CHECKING:
    from types import ModuleType

ROOT = Path(__file__).resolve().parents[5]


def _tool() -> ModuleType:
    path = ROOT / "tools" / "check_names.py"
    spec = importlib.util.spec_from_file_location("check_names", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class TestRetiredNames(TestCase):
    def test_a_retired_identifier_is_found_with_its_line(self) -> None:
        text = "x = 1\n\n\ndef f(teller):\n    return x\n"
        self.assertEqual([(4, "teller")], list(_tool().find_retired(text)))

    def test_every_occurrence_in_a_line_is_found(self) -> None:
        text = "log = Teller(x.turn_away)\n"
        self.assertEqual(
            [(1, "Teller"), (1, "turn_away")], [*_tool().find_retired(text)]
        )

    def test_only_whole_identifiers_count(self) -> None:
        text = "def story_teller(lot_size, allot):\n    MyTeller = 1\n"
        self.assertEqual([], list(_tool().find_retired(text)))

    def test_strings_docstrings_and_comments_do_not_count(self) -> None:
        text = '"""A teller."""\nx = "Teller"  # the lot\ny = """\nteller\n"""\n'
        self.assertEqual([], list(_tool().find_retired(text)))

    def test_no_name_in_use_is_itself_retired(self) -> None:
        retired = _tool().RETIRED
        self.assertEqual(set(), set(retired) & set(retired.values()))


class TestReport(TestCase):
    def test_a_retired_name_is_reported_with_its_path_and_the_term_in_use(self) -> None:
        path = ROOT / "tools" / "some_tool.py"
        lines = _tool().report_retired(path, "\nteller = 1\n")
        self.assertEqual(
            ["tools/some_tool.py:2: teller is retired, use event_log"], list(lines)
        )

    def test_the_code_base_has_no_faults(self) -> None:
        self.assertEqual([], list(_tool().find_faults()))
