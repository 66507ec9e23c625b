from __future__ import annotations

import importlib.util
from pathlib import Path
from typing import TYPE_CHECKING

from testtools import TestCase

from fuchsiagap.core.settings.model import TeamSettings
from fuchsiagap.core.settings.parse import parse_team
from fuchsiagap.core.settings.team_schema import TEAM_SCHEMAS
from fuchsiagap.core.settings.values import BadValue
from fuchsiagap_node.core.config_schema import NODE_SCHEMAS

if TYPE_CHECKING:
    from types import ModuleType

    from fuchsiagap.core.settings.schema import SectionSchema

ROOT = Path(__file__).resolve().parents[5]


def _tool() -> ModuleType:
    path = ROOT / "tools" / "settings_page.py"
    spec = importlib.util.spec_from_file_location("settings_page", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _tables() -> list[SectionSchema]:
    return [*TEAM_SCHEMAS, *NODE_SCHEMAS.values()]


class SettingsPageTest(TestCase):
    def test_the_page_is_what_the_tables_say(self) -> None:
        self.assertEqual(0, _tool().main(["--check"]), "run tools/settings_page.py")

    def test_the_example_of_the_page_is_valid(self) -> None:
        page = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
        text = page.split("```ini\n")[1].split("```")[0]
        settings = parse_team("salt-fog", text)
        self.assertIsInstance(settings, TeamSettings, str(settings))

    def test_every_default_is_a_value_of_its_kind(self) -> None:
        for table in _tables():
            for key in table.keys:
                if key.default is not None:
                    value = key.value_type.read(key.default)
                    self.assertNotIsInstance(value, BadValue, f"{table.title} {key}")
