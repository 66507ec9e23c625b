"""Every declared event, metric and invariant is used by the program."""

from __future__ import annotations

import re
from pathlib import Path

from testtools import TestCase

import fuchsiagap
import fuchsiagap_node
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter, Gauge, Measure
from fuchsiagap.core.telemetry.violations import Invariant

_TABLES = ("event_table.py", "metric_table.py")
_LOGGED_KINDS_TEXT = re.compile(r"LOGGED_KINDS = frozenset\(.*?\n\)", re.DOTALL)
# Not checked by the program itself; see the docstring of `Invariant`.
_CHECKED_EXTERNALLY = {Invariant.PRIORITY_INVERSION}


def _sources():
    for package in (fuchsiagap, fuchsiagap_node):
        for path in Path(package.__file__).parent.rglob("*.py"):
            if "tests" not in path.parts and path.name not in _TABLES:
                yield _LOGGED_KINDS_TEXT.sub("", path.read_text(encoding="utf-8"))


class TestNamesInUse(TestCase):
    def test_each_name_is_used(self):
        program = "\n".join(_sources())
        for names in (EventKind, Counter, Gauge, Measure, Invariant):
            unused = {
                member
                for member in names
                if f"{names.__name__}.{member.name}" not in program
            }
            self.assertEqual(set(), unused - _CHECKED_EXTERNALLY)
