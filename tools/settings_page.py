"""Write ``docs/settings.md`` from the tables that validate settings.

With ``--check`` it writes nothing and exits with 1 if the page is out of date.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from fuchsiagap.core.settings.team_schema import TEAM_SCHEMAS
from fuchsiagap_node.core.config_schema import NODE_SCHEMAS

if TYPE_CHECKING:
    from fuchsiagap.core.settings.schema import Key, SectionSchema

PAGE = Path(__file__).resolve().parent.parent / "docs" / "settings.md"
HEAD = """\
# Settings

Written by `tools/settings_page.py` from the tables that validate settings; change
those, not this page. `fuchsiagap settings check TEAM FILE` checks a team's text, and
`fuchsiagap-node --check --config FILE` a node's file. Both name every fault at once,
each with its line, section, key, value and what was expected.

Both are INI: `[section]`, then `key = value`. Lines that begin with `#` or `;` are
comments. A line that begins with a space continues the value above it. No section and
no key may stand twice.
"""
TEAM_HEAD = """
## A team's settings

One text per team, kept on the platform at `/settings/TEAM` and changed by
`fuchsiagap settings put`. A call is ruled by the most specific route section of its
service; where none matches, by the service's section; and for a service without any
section by the defaults of `[team]`. A key that a section leaves out is taken from the
section above it: route, service, team, and then the default given here. Calls to a team
without settings are refused as not run.

```ini
[team]
weight = goodput
tokens = ops 6a1f2b4c8d0e3f5a7b9c1d2e4f6a8b0c3d5e7f9a1b2c4d6e8f0a2b4c6d8e0f1a

[certs]
priority = 5
timeout = 2s

[certs/issue]
match = POST /certificates
priority = 0
idempotent = no

[certs/read]
match = GET|HEAD /certificates/*
attempts = 2
```
"""
NODE_HEAD = """
## A node's settings

One file per node, given by `--config FILE`; `--set SECTION.KEY=VALUE` overrides it
(an underscore stands for a space). They hold for the life of the process.
"""


def render() -> str:
    parts = [HEAD, TEAM_HEAD]
    parts += [_section(table) for table in TEAM_SCHEMAS]
    parts.append(NODE_HEAD)
    parts += [_section(table) for table in NODE_SCHEMAS.values()]
    return "".join(parts)


def _section(table: SectionSchema) -> str:
    rows = "".join(_row(key) for key in table.keys)
    return (
        f"\n### `{table.title}`\n\n{table.doc}\n\n"
        f"| key | value | default | what it does |\n|---|---|---|---|\n{rows}"
    )


def _row(key: Key) -> str:
    default = "must be given" if key.default is None else f"`{key.default or ' '}`"
    inherited = " Inherited." if key.inherited else ""
    cells = (f"`{key.name}`", key.value_type.expected, default, key.doc + inherited)
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |\n"


def main(argv: list[str]) -> int:
    if "--check" in argv:
        return 0 if PAGE.read_text(encoding="utf-8") == render() else 1
    PAGE.write_text(render(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
