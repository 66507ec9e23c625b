"""Read an INI text into sections with line numbers, keeping every fault.

The text is parsed by `configparser`. A scan of its lines goes first, since the
parser stops at the first duplicate and gives no line numbers.
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
    """One ``key = value`` of a section.

    Parameters
    ----------
    key, value : str
        As written, the key in lower case.
    line : int
        Line number from 1; 0 if it did not come from a text.
    origin : str
        Where it comes from, if not from the text: a flag, for example.
    """

    key: str
    value: str
    line: int
    origin: str = ""


@dataclass(frozen=True, slots=True)
class Section:
    """One section.

    Parameters
    ----------
    name : str
        The name between the brackets.
    line : int
        Line number from 1.
    entries : tuple of Entry
        Its entries, in order.
    """

    name: str
    line: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ParsedIni:
    """What an INI text holds, and what is wrong with its form.

    Parameters
    ----------
    sections : tuple of Section
        In order of the text.
    faults : tuple of Fault
        Duplicates, lines before the first section, lines that are no entry.
    """

    sections: tuple[Section, ...]
    faults: tuple[Fault, ...]


def read_ini(path: str, text: str) -> ParsedIni:
    """Read an INI text.

    Parameters
    ----------
    path : str
        Where the text comes from, for the faults.
    text : str
        The text.

    Returns
    -------
    ParsedIni
        Sections and faults; what is faulty is left out of the sections.
    """
    lines = text.splitlines()
    line_numbers, faults = _scan(path, lines)
    parser = configparser.RawConfigParser(
        strict=False, default_section="", delimiters=("=", ":")
    )
    try:
        parser.read_string("\n".join(lines))
    except configparser.Error as exc:  # the scan left out what it knows of
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
    """Find the line of each section and key; blank out lines that are neither."""
    line_numbers: dict[tuple[str, str], int] = {}
    faults: list[Fault] = []
    section: str | None = None
    in_value = False
    for index, line in enumerate(lines):
        number = index + 1
        bare = line.strip()
        if not bare or bare.startswith(_COMMENTS):
            continue
        if in_value and line[0].isspace():
            continue  # continues the value above
        if line[0].isspace():
            expected = "no space before a section or its first key"
            faults.append(Fault(path, section or "", "", bare, expected, number))
            lines[index] = ""
            continue
        found = _SECTION.match(bare)
        if found is not None:
            section = found["header"]
            place, key = (section, ""), ""
        elif section is None:
            expected = "a [section] before the first entry"
            faults.append(Fault(path, "", "", bare, expected, number))
            lines[index] = ""
            continue
        elif (entry := _ENTRY.match(bare)) is None:
            expected = "[section] or key = value"
            faults.append(Fault(path, section, "", bare, expected, number))
            lines[index] = ""
            continue
        else:
            key = entry["key"].lower()
            place = (section, key)
        in_value = found is None
        if place in line_numbers:
            expected = f"only one; the other stands in line {line_numbers[place]}"
            faults.append(Fault(path, section, key, bare, expected, number))
        line_numbers.setdefault(place, number)
    return line_numbers, faults
