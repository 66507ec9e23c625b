"""Output of commands as text, tables and JSON."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


# Placeholders for missing values in columns of numbers.
_MISSING_NUMBERS = frozenset({"?", "-"})


@dataclass(frozen=True, slots=True)
class Output:
    """Output streams of a command.

    Parameters
    ----------
    line : callable
        Writes one line of the result to standard output.
    note : callable
        Writes one line of progress or of an error to standard error.
    """

    line: Callable[[str], None]
    note: Callable[[str], None]

    def json(self, value: Any) -> None:
        """Write one JSON object on one line."""
        self.line(json.dumps(value, ensure_ascii=False))


def standard_output() -> Output:
    """Return an `Output` on standard output and error, flushed after each line."""

    def line(text: str) -> None:
        print(text, flush=True)

    def note(text: str) -> None:
        print(text, file=sys.stderr, flush=True)

    return Output(line, note)


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a text table, with columns of numbers right-aligned.

    Parameters
    ----------
    header : sequence of str
        Names of the columns.
    rows : sequence of sequence
        One value for each column.

    Returns
    -------
    list of str
        The header, then the rows.

    Examples
    --------
    >>> table(("node", "calls"), [("n1", 7)])
    ['node  calls', 'n1        7']
    """
    cells = [[_cell(value) for value in row] for row in rows]
    columns = list(zip(header, *cells, strict=True))
    widths = [max(len(cell) for cell in column) for column in columns]
    right_aligned = [
        _is_numeric([row[index] for row in rows]) for index in range(len(header))
    ]
    lines = []
    for cell_row in (list(header), *cells):
        padded = (
            cell.rjust(width) if align_right else cell.ljust(width)
            for cell, width, align_right in zip(
                cell_row, widths, right_aligned, strict=True
            )
        )
        lines.append("  ".join(padded).rstrip())
    return lines


def _is_numeric(values: Sequence[object]) -> bool:
    numbers = [value for value in values if isinstance(value, int | float)]
    others = {value for value in values if not isinstance(value, int | float)}
    return bool(numbers) and others <= _MISSING_NUMBERS


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}"
    return str(value)
