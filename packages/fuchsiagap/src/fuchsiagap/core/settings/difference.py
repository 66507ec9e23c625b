"""The difference between two texts, for people."""

from __future__ import annotations

import difflib

MAX_OUTPUT_LINES = 2000
MAX_INPUT_LINES = 5000


def difference(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified difference; empty if the texts are equal.

    Parameters
    ----------
    old, new : str
        The texts.
    old_name, new_name : str
        How to call them in the head of the difference.

    Returns
    -------
    str
        At most `MAX_OUTPUT_LINES` lines; only a remark if a text has more than
        `MAX_INPUT_LINES` lines, since comparing takes long then.
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
