"""Tables of keys: the one source of validation, defaults and the settings page."""

from __future__ import annotations

import difflib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.settings.faults import Fault
from fuchsiagap.core.settings.values import BadValue, ValueType

if TYPE_CHECKING:
    from fuchsiagap.core.settings.ini import Entry, Section

MAX_NAME = 40
MAX_HINTS = 100


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a section.

    Parameters
    ----------
    name : str
        As written in the text.
    kind : ValueType
        What values it takes.
    default : str or None
        What holds if the key is not given, as one would write it; None if the
        key must be given.
    doc : str
        What it does, for the settings page.
    inherited : bool
        Whether a section below takes the value over unless it gives its own.
    field : str
        Name of the data class field the value goes to.
    """

    name: str
    value_type: ValueType
    default: str | None
    doc: str
    inherited: bool = False
    field: str = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "field", self.name.replace(" ", "_"))


@dataclass(frozen=True, slots=True)
class SectionSchema:
    """The keys of one kind of section.

    Parameters
    ----------
    title : str
        How the section's name is written on the settings page.
    doc : str
        What the section is for.
    keys : tuple of Key
        Its keys.
    """

    title: str
    doc: str
    keys: tuple[Key, ...]

    def key(self, name: str) -> Key | None:
        """Return the key of that name, if the section has it."""
        for key in self.keys:
            if key.name == name:
                return key
        return None


def describe_unknown_name(name: str, known: list[str], what: str) -> str:
    """Say what was expected in place of an unknown name, with the nearest one."""
    near = difflib.get_close_matches(name[:MAX_NAME], known, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"{what}: {', '.join(known)}{hint}"


def read_entries(
    path: str, schema: SectionSchema, section: Section, faults: list[Fault]
) -> dict[str, Any]:
    """Read the entries of a section; faults are added to `faults`.

    Parameters
    ----------
    path : str
        Where the text comes from.
    schema : SectionSchema
        The keys the section may have.
    section : Section
        The section.
    faults : list of Fault
        Grows by what is wrong.

    Returns
    -------
    dict
        Values by field for the entries that were given and are valid.
    """
    values: dict[str, Any] = {}
    for entry in section.entries:
        key = schema.key(entry.key)
        if key is None:
            names = [key.name for key in schema.keys]
            expected = "a key of this section"
            if len(faults) < MAX_HINTS:
                expected = describe_unknown_name(entry.key, names, expected)
            faults.append(_fault(path, section, entry, expected))
            continue
        value = key.value_type.read(entry.value)
        if isinstance(value, BadValue):
            faults.append(_fault(path, section, entry, key.value_type.expected))
        else:
            values[key.field] = value
    return values


def with_defaults(
    path: str,
    schema: SectionSchema,
    section: Section,
    values: dict[str, Any],
    faults: list[Fault],
) -> dict[str, Any]:
    """Return `values` completed by the table's defaults; a missing key is a fault."""
    given = {entry.key for entry in section.entries}
    whole = dict(values)
    for key in schema.keys:
        if key.field in whole:
            continue
        if key.default is not None:
            whole[key.field] = key.value_type.read(key.default)
        elif key.name not in given:
            expected = f"this key, which must be given: {key.value_type.expected}"
            faults.append(
                Fault(path, section.name, key.name, "", expected, section.line)
            )
    return whole


def _fault(path: str, section: Section, entry: Entry, expected: str) -> Fault:
    origin = entry.origin or path
    return Fault(origin, section.name, entry.key, entry.value, expected, entry.line)
