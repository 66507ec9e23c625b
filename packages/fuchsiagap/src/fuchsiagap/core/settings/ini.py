"""INI parser that reports line numbers and all errors of a text.

`configparser` parses the text, but does not report line numbers and merges duplicates.
So a scan of the lines runs first, which finds line numbers and errors.
"""

from __future__ import annotations

import configparser
import re
from dataclasses import dataclass

from fuchsiagap.core.settings.faults import Fault

_SECTION = configparser.RawConfigParser.SECTCRE
_ENTRY = re.compile(r"(?P<key>[^=:]+?)\s*[=:]")
_COMMENTS = ("#", ";")


@dataclass(frozen=True, slots=True)
class Entry:
    """One ``key = value`` entry of a section.

    Parameters
    ----------
    key, value : str
        Key in lower case, and value as written.
    line : int
        Line number from 1; 0 if the entry is not from the text.
    origin : str
        Source of an entry that is not from the text, for example a command-line
        flag; else empty.
    """

    key: str
    value: str
    line: int
    origin: str = ""


@dataclass(frozen=True, slots=True)
class Section:
    """One section of an INI text.

    Parameters
    ----------
    name : str
        Name between the brackets.
    line : int
        Line number from 1; 0 for a section that is not in the text.
    entries : tuple of Entry
        Entries in the order of the text.
    """

    name: str
    line: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ParsedIni:
    """Sections and syntax errors of an INI text.

    Parameters
    ----------
    sections : tuple of Section
        Sections in the order of the text.
    faults : tuple of Fault
        Syntax errors: duplicates, lines before the first section, and lines that
        are neither a section nor an entry.
    """

    sections: tuple[Section, ...]
    faults: tuple[Fault, ...]


def read_ini(path: str, text: str) -> ParsedIni:
    """Parse an INI text.

    Parameters
    ----------
    path : str
        File name, or path on the platform, for the error messages.
    text : str
        INI text.

    Returns
    -------
    ParsedIni
        Sections without the invalid lines, and the errors.
    """
    lines = text.splitlines()
    line_numbers, faults = _scan(path, lines)
    parser = configparser.RawConfigParser(
        strict=False, default_section="", delimiters=("=", ":")
    )
    try:
        parser.read_string("\n".join(lines))
    except configparser.Error as exc:  # an error that the scan does not detect
        faults.append(Fault(path, "", "", str(exc), "an INI text"))
        return ParsedIni((), tuple(faults))
    sections = []
    for name in parser.sections():
        entries = tuple(
            Entry(key, value, line_numbers.get((name, key), 0))
            for key, value in parser.items(name)
        )
        sections.append(Section(name, line_numbers.get((name, ""), 0), entries))
    return ParsedIni(tuple(sections), tuple(faults))


def _scan(
    path: str, lines: list[str]
) -> tuple[dict[tuple[str, str], int], list[Fault]]:
    """Return the line number of each section and key, and the errors.

    Invalid lines are replaced by empty ones in `lines`.
    """
    line_numbers: dict[tuple[str, str], int] = {}
    faults: list[Fault] = []
    section: str | None = None
    in_value = False
    for index, line in enumerate(lines):
        number = index + 1
        stripped = line.strip()
        if not stripped or stripped.startswith(_COMMENTS):
            continue
        if in_value and line[0].isspace():
            continue  # continuation of the value above
        if line[0].isspace():
            expected = "no space before a section or its first key"
            faults.append(Fault(path, section or "", "", stripped, expected, number))
            lines[index] = ""
            continue
        found = _SECTION.match(stripped)
        if found is not None:
            section = found["header"]
            place, key = (section, ""), ""
        elif section is None:
            expected = "a [section] before the first entry"
            faults.append(Fault(path, "", "", stripped, expected, number))
            lines[index] = ""
            continue
        elif (entry := _ENTRY.match(stripped)) is None:
            expected = "[section] or key = value"
            faults.append(Fault(path, section, "", stripped, expected, number))
            lines[index] = ""
            continue
        else:
            key = entry["key"].lower()
            place = (section, key)
        in_value = found is None
        if place in line_numbers:
            expected = f"only one; the other is in line {line_numbers[place]}"
            faults.append(Fault(path, section, key, stripped, expected, number))
        line_numbers.setdefault(place, number)
    return line_numbers, faults
