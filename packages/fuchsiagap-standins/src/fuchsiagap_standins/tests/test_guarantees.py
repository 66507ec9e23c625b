"""The guarantees page names existing tests and every planted bug."""

from __future__ import annotations

import re
from pathlib import Path

from testtools import TestCase

from fuchsiagap_standins.bench.faults import breaks
from fuchsiagap_standins.model import table

ROOT = Path(__file__).resolve().parents[5]


class GuaranteesPageTest(TestCase):
    def setUp(self):
        super().setUp()
        self.page = (ROOT / "docs" / "guarantees.md").read_text()

    def test_each_named_test_exists(self):
        folders = ("packages/*/src/*/tests", "platform/src/*/tests")
        sources = [path for f in folders for path in ROOT.glob(f"{f}/**/test_*.py")]
        found = set(
            re.findall(r"def (test_\w+)", "".join(map(Path.read_text, sources)))
        )
        named = set(re.findall(r"`(test_\w+)`", self.page)) - {Path(__file__).stem}
        self.assertEqual(set(), named - found)
        self.assertTrue(named)

    def test_each_planted_bug_belongs_to_a_guarantee(self):
        planted = set(breaks.BREAKS) | set(table.BREAKS)
        lists = re.findall(r"Planted: ([^.]*)\.", self.page)
        named = {name.strip() for names in lists for name in names.split(",")}
        self.assertEqual(planted, named)
