"""Generate ``docs/cli.md`` and the page of metrics and logs from the code's tables.

With ``--check`` it writes nothing and exits with 1 if a page is out of date.
"""

from __future__ import annotations

import sys
from pathlib import Path

from fuchsiagap.core.telemetry.event_table import EVENTS, INVARIANTS
from fuchsiagap.core.telemetry.events import LOGGED_KINDS
from fuchsiagap.core.telemetry.metric_table import (
    COUNTERS,
    GAUGES,
    MEASURES,
    MetricSpec,
)
from fuchsiagap_ctl.commands.table import COMMANDS
from fuchsiagap_ctl.exit_codes import MEANINGS
from fuchsiagap_ctl.invocation import define_flags

DOCS = Path(__file__).resolve().parent.parent / "docs"
CLI = DOCS / "cli.md"
METRICS = DOCS / "operators" / "metrics-and-logs.md"
TEMPLATES = Path(__file__).resolve().parent / "pages"
_HIDDEN_FLAGS = ("h",)


def render_cli_page() -> str:
    flag_definitions = define_flags()
    commands = [
        (
            f"`{command.usage}`",
            command.summary,
            " ".join(f"`--{name}`" for name in command.flags) or "-",
        )
        for command in COMMANDS
    ]
    flags = [
        (
            f"`--{name}`",
            _one_line(flag_definitions[name].help),
            _format_default(flag_definitions[name].default),
        )
        for name in flag_definitions
        if name not in _HIDDEN_FLAGS
    ]
    codes = [(str(int(code)), meaning) for code, meaning in MEANINGS.items()]
    return _fill_template(
        "cli.md",
        commands=_table(("command", "what it does", "specific flags"), commands),
        flags=_table(("flag", "what it does", "default"), flags),
        codes=_table(("code", "meaning"), codes),
    )


def render_metrics_page() -> str:
    kinds = [
        (f"`{kind}`", "yes" if kind in LOGGED_KINDS else "", meaning)
        for kind, meaning in EVENTS.items()
    ]
    invariants = [(f"`{name}`", meaning) for name, meaning in INVARIANTS.items()]
    return _fill_template(
        "metrics-and-logs.md",
        counters=_metrics_table(COUNTERS, "_total"),
        gauges=_metrics_table(GAUGES, ""),
        measures=_metrics_table(MEASURES, "_seconds"),
        events=_table(("event", "log line", "meaning"), kinds),
        invariants=_table(("invariant", "meaning"), invariants),
    )


def _metrics_table(table: dict[str, MetricSpec], suffix: str) -> str:
    rows = [
        (f"`{name}{suffix}`", ", ".join(spec.labels) or "-", spec.help)
        for name, spec in table.items()
    ]
    return _table(("metric", "labels", "meaning"), rows)


def _format_default(value: object) -> str:
    return f"`{value}`" if value and value != -1 else "-"


def _one_line(text: str | None) -> str:
    return (text or "").partition(";\n")[0].replace("|", "\\|")


def _table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = [header, ("---",) * len(header), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def _fill_template(name: str, **tables: str) -> str:
    text = (TEMPLATES / name).read_text(encoding="utf-8")
    for key, table in tables.items():
        text = text.replace(f"{{{{{key}}}}}", table)
    return text


def main(argv: list[str]) -> int:
    pages = {CLI: render_cli_page(), METRICS: render_metrics_page()}
    if "--check" in argv:
        is_current = all(
            path.read_text(encoding="utf-8") == pages[path] for path in pages
        )
        return 0 if is_current else 1
    for path, text in pages.items():
        path.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
