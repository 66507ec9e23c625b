"""Errors in a settings text, each with its location."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SHOWN_VALUE = 80


@dataclass(frozen=True, slots=True)
class Fault:
    """One error in a settings text.

    Parameters
    ----------
    path : str
        File name, or path on the platform.
    section, key : str
        Section and key of the error; empty if it has none.
    value : str
        Invalid value.
    expected : str
        Description of valid values.
    line : int
        Line number from 1; 0 if unknown, as for a missing key.

    Examples
    --------
    >>> print(Fault("a.ini", "team", "weight", "2", "a number from 0 to 1", 3))
    a.ini:3: [team] weight = '2': expected a number from 0 to 1
    """

    path: str
    section: str
    key: str
    value: str
    expected: str
    line: int = 0

    def __str__(self) -> str:
        place = f"{self.path}:{self.line}" if self.line else self.path
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key} =" if self.key else ""
        shown = self.value
        if len(shown) > MAX_SHOWN_VALUE:
            shown = f"{shown[:MAX_SHOWN_VALUE]}..."
        return f"{place}:{section}{key} {shown!r}: expected {self.expected}"


@dataclass(frozen=True, slots=True)
class SettingsFaults:
    """All errors in an invalid settings text, which is rejected as a whole.

    Parameters
    ----------
    path : str
        File name, or path on the platform.
    faults : tuple of Fault
        Errors in the order of the text; never empty.
    """

    path: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)
