"""Check that collected node logs contain no unexpected exceptions.

``tools/check_logs.py FILE...`` reads log lines, which may have a prefix; ``-`` reads
standard input. It prints each line that reports an unexpected exception, and exits
with 1 if there is one.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_FAULT_FIELD = '"event": "fault"'
# Maximum number of characters printed of a line.
_SHOWN_CHARS = 2_000


def find_fault_lines(lines: Iterable[str]) -> list[str]:
    """Return the log lines of event ``fault``."""
    return [line.rstrip("\n") for line in lines if _FAULT_FIELD in line]


def main(paths: list[str]) -> int:
    found: list[str] = []
    for path in paths:
        if path == "-":
            found += find_fault_lines(sys.stdin)
            continue
        with open(path, errors="replace") as lines:
            found += find_fault_lines(lines)
    for line in found:
        print(line[:_SHOWN_CHARS])
    print(f"{len(found)} fault lines in {len(paths)} files")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
