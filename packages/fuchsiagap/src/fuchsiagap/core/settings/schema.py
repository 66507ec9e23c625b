"""Schemas of sections, used for validation, defaults and the settings page."""

from __future__ import annotations

import difflib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.settings.faults import Fault
from fuchsiagap.core.settings.values import BadValue, ValueType

if TYPE_CHECKING:
    from fuchsiagap.core.settings.ini import Entry, Section

# Number of characters of an unknown name that are compared with the known ones.
MAX_NAME = 40
# Number of errors after which no closest match is searched, since each search compares
# a name with all known ones.
MAX_HINTS = 100


@dataclass(frozen=True, slots=True)
class Key:
    """Schema of one key of a section.

    Parameters
    ----------
    name : str
        Name in the text.
    value_type : ValueType
        Type of the values.
    default : str or None
        Default as written in a text; None if the key is required.
    doc : str
        Description for the settings page.
    inherited : bool
        Whether more specific sections inherit the value unless they set their own.

    Attributes
    ----------
    field : str
        Key of the value in the results of `read_entries` and `with_defaults`: the
        name with underscores.
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
    """Schema of one kind of section.

    Parameters
    ----------
    title : str
        Name of the section on the settings page.
    doc : str
        Description for the settings page.
    keys : tuple of Key
        Keys of the section.
    """

    title: str
    doc: str
    keys: tuple[Key, ...]

    def key(self, name: str) -> Key | None:
        """Return the key of the given name; None if there is none."""
        for key in self.keys:
            if key.name == name:
                return key
        return None


def describe_unknown_name(name: str, known: list[str], what: str) -> str:
    """Return what was expected instead of an unknown name, with the closest match."""
    near = difflib.get_close_matches(name[:MAX_NAME], known, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"{what}: {', '.join(known)}{hint}"


def read_entries(
    path: str, schema: SectionSchema, section: Section, faults: list[Fault]
) -> dict[str, Any]:
    """Parse the entries of a section.

    Parameters
    ----------
    path : str
        File name, or path on the platform, for the error messages.
    schema : SectionSchema
        Schema of the section.
    section : Section
        Section to parse.
    faults : list of Fault
        List to which the errors are appended.

    Returns
    -------
    dict
        Values of the valid entries, by field.
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
    """Return `values` with the defaults of the keys that are not set.

    Parameters
    ----------
    path : str
        File name, or path on the platform, for the error messages.
    schema : SectionSchema
        Schema of the section.
    section : Section
        Section that the values were parsed from.
    values : dict
        Values by field, as from `read_entries`.
    faults : list of Fault
        List to which an error is appended for each missing key that is required.
    """
    given = {entry.key for entry in section.entries}
    completed = dict(values)
    for key in schema.keys:
        if key.field in completed:
            continue
        if key.default is not None:
            completed[key.field] = key.value_type.read(key.default)
        elif key.name not in given:
            expected = f"this key, which must be given: {key.value_type.expected}"
            faults.append(
                Fault(path, section.name, key.name, "", expected, section.line)
            )
    return completed


def _fault(path: str, section: Section, entry: Entry, expected: str) -> Fault:
    origin = entry.origin or path
    return Fault(origin, section.name, entry.key, entry.value, expected, entry.line)
