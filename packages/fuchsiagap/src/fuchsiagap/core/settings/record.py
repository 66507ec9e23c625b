"""Stored form of the settings text of a team: change records, followed by the text.

The records are comment lines at the head of the object that contains the text, so one
conditional update writes both. The text and its audit trail thus cannot diverge, and
reading the object back shows whether a change with a given id took effect.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from enum import StrEnum

MAX_RECORDS = 20
_HEAD = re.compile(r"; fuchsiagap: (?P<count>[0-9]{1,3}) changes, newest first")
_RECORD = re.compile(
    r"; (?P<action>put|delete) (?P<id>[A-Za-z0-9_.-]{1,64}) by (?P<by>[a-z0-9-]{1,63})"
    r" at (?P<at>[0-9TZ:.-]{1,40}) replacing (?P<replaced>[0-9]{1,18})"
    r" text (?P<digest>[0-9a-f]{16})"
)
_CHANGE_ID = re.compile(r"[A-Za-z0-9_.-]{1,64}")
CHANGE_ID_EXPECTED = "1 to 64 letters, digits, dots, hyphens and underscores"


class Action(StrEnum):
    """Kind of a change."""

    PUT = "put"
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Audit record of one change to the settings of a team.

    Parameters
    ----------
    change_id : str
        Identifier chosen by the client; a retry of the change has the same one.
    action : Action
        Kind of the change.
    by : str
        Name of the token that authorized the change.
    at : str
        Date and time in ISO 8601, for information only.
    replaced : int
        Version that the change replaced; 0 if there was none.
    digest : str
        Digest of the text, which distinguishes a retry from another change with the
        same id.
    """

    change_id: str
    action: Action
    by: str
    at: str
    replaced: int
    digest: str


@dataclass(frozen=True, slots=True)
class StoredText:
    """Parts of a stored text.

    Parameters
    ----------
    records : tuple of ChangeRecord
        Newest first, at most `MAX_RECORDS`; empty if the object was written
        without records.
    body : str
        Settings text as submitted; empty after a deletion.
    """

    records: tuple[ChangeRecord, ...]
    body: str

    @property
    def deleted(self) -> bool:
        """Whether the newest change was a deletion."""
        return bool(self.records) and self.records[0].action is Action.DELETE

    def find(self, change_id: str, version: int) -> tuple[ChangeRecord, int] | None:
        """Return the record of a change and the version that it wrote.

        Parameters
        ----------
        change_id : str
            Identifier of the change.
        version : int
            Version of the stored object.

        Returns
        -------
        tuple of (ChangeRecord, int) or None
            None if there is no record of the change.
        """
        for record in self.records:
            if record.change_id == change_id:
                return record, version
            version = record.replaced
        return None


def text_digest(text: str) -> str:
    """Return the first 16 hexadecimal digits of the SHA-256 digest of a text."""
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()[:16]


def is_change_id(text: str) -> bool:
    """Return whether a text is a valid change id."""
    return _CHANGE_ID.fullmatch(text) is not None


def parse_stored_text(text: str) -> StoredText:
    """Parse a stored text.

    Parameters
    ----------
    text : str
        Value of the stored object.

    Returns
    -------
    StoredText
        Records and settings text. A value without valid records is all settings text.
    """
    head, _, rest = text.partition("\n")
    found = _HEAD.fullmatch(head)
    if found is None:
        return StoredText((), text)
    count = int(found["count"])
    lines = rest.split("\n", count)
    records = [_RECORD.fullmatch(line) for line in lines[:count]]
    if len(lines) <= count or None in records:
        return StoredText((), text)
    return StoredText(tuple(_record(line) for line in records if line), lines[count])


def _record(found: re.Match[str]) -> ChangeRecord:
    return ChangeRecord(
        change_id=found["id"],
        action=Action(found["action"]),
        by=found["by"],
        at=found["at"],
        replaced=int(found["replaced"]),
        digest=found["digest"],
    )


def format_stored_text(
    record: ChangeRecord, earlier: tuple[ChangeRecord, ...], body: str
) -> str:
    """Return the stored form of a change.

    Parameters
    ----------
    record : ChangeRecord
        Record of the change.
    earlier : tuple of ChangeRecord
        Records of the replaced object, newest first.
    body : str
        Settings text as submitted.
    """
    records = (record, *earlier)[:MAX_RECORDS]
    lines = [f"; fuchsiagap: {len(records)} changes, newest first"]
    lines += [
        f"; {r.action.value} {r.change_id} by {r.by} at {r.at} replacing {r.replaced}"
        f" text {r.digest}"
        for r in records
    ]
    return "\n".join([*lines, body])
