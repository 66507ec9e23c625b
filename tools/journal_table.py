"""Print a Markdown table of the days recorded in journal entries.

``tools/journal_table.py FILE...`` prints for each day its worth and score, the credit
of the whole day and of each class of request, the largest prices, the missed minimums,
broken rules and faults, and the CPU time in seconds.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

# Maximum number of prices shown for a day, and the smallest price shown.
_MAX_PRICES_SHOWN = 3
_MIN_PRICE_SHOWN = 0.01


def _format_prices(day: dict[str, Any]) -> str:
    prices = sorted(day["prices"], key=lambda price: -float(price[2]))
    shown = [p for p in prices[:_MAX_PRICES_SHOWN] if float(p[2]) >= _MIN_PRICE_SHOWN]
    return ", ".join(f"{name} {float(worth):.3f}" for name, _, worth in shown)


def _format_failures(day: dict[str, Any]) -> str:
    found = [str(text) for text in day["short"]]
    found += [f"{rule} {times}" for rule, times in day["rules"].items()]
    if day["fault"]:
        found.append(str(day["fault"]))
    return "; ".join(found) or "-"


def _format_credit_by_class(day: dict[str, Any]) -> str:
    """Return the credit of each class of request, in the order of the site's sheet."""
    return " ".join(f"{share:.2f}" for share in day["by_class"] if share is not None)


def format_row(day: dict[str, Any]) -> str:
    """Return a day as a row of the table."""
    cells = [
        day["name"],
        f"{day['G']:.3f}",
        f"{day['score']:.2f}",
        f"{day['parts'][0][2]:.2f}",
        _format_credit_by_class(day),
        _format_prices(day),
        _format_failures(day),
        f"{day['cpu_s']:.0f}",
    ]
    return "| " + " | ".join(cells) + " |"


def main(paths: list[str]) -> int:
    print("| day | worth | score | credit | by kind | prices | missed | cpu s |")
    print("|---|---|---|---|---|---|---|---|")
    for path in paths:
        entry = json.loads(Path(path).read_text())
        for day in entry["days"]:
            print(format_row(day))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
