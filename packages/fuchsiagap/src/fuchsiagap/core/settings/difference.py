"""Unified diff of two settings texts."""

from __future__ import annotations

import difflib

MAX_OUTPUT_LINES = 2000
MAX_INPUT_LINES = 5000


def difference(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return the unified diff of two texts; empty if they are equal.

    Parameters
    ----------
    old : str
        Text to compare with.
    new : str
        Text to compare.
    old_name : str
        Name of the old text in the header of the diff.
    new_name : str
        Name of the new text in the header of the diff.

    Returns
    -------
    str
        Diff, truncated after `MAX_OUTPUT_LINES` lines. If a text has more than
        `MAX_INPUT_LINES` lines, a notice instead, since comparing would take too long.
    """
    if max(old.count("\n"), new.count("\n")) > MAX_INPUT_LINES:
        return f"not compared: a text has more than {MAX_INPUT_LINES} lines"
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    shown = list(lines)
    if len(shown) > MAX_OUTPUT_LINES:
        left_out = len(shown) - MAX_OUTPUT_LINES
        shown = [*shown[:MAX_OUTPUT_LINES], f"... {left_out} more lines"]
    return "\n".join(shown)
