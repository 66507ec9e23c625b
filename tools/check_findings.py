"""Check that ``docs/findings.md`` names the journal entry of each day that failed.

A day of a journal entry has failed if it broke a rule, ended with a fault or missed a
required minimum. The page must contain the identifier of the entry.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "findings.md"
JOURNAL = ROOT / "journal"


def list_failures(day: dict[str, Any]) -> str:
    """Return the failures of a day as text; empty if there are none."""
    found = [f"{rule} {times}" for rule, times in day["rules"].items()]
    found += [str(text) for text in day["short"]]
    if day["fault"] and not any("fault" in text for text in found):
        found.append(f"fault: {day['fault']}")
    return "; ".join(found)


def find_unreported(page: str, entries: list[dict[str, Any]]) -> list[str]:
    """Return a line for each failed day whose entry the page does not name."""
    lines = []
    for entry in entries:
        if entry["id"] in page:
            continue
        for day in entry.get("days") or []:
            failures = list_failures(day)
            if failures:
                name = f"{entry['id']} {entry['site']} {day['name']}"
                lines.append(f"{name}: {failures.splitlines()[0][:200]}")
    return lines


def main() -> int:
    entries = [json.loads(path.read_text()) for path in sorted(JOURNAL.glob("*.json"))]
    lines = find_unreported(PAGE.read_text(), entries)
    for line in lines:
        print(f"not in docs/findings.md: {line}")
    print(f"{len(entries)} entries, {len(lines)} days without a finding")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
