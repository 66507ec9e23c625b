"""The stored form of a team's text: its change records, then the text itself.

The records stand in comment lines at the head of the same object as the text, so one
conditional update changes both: a change and its audit trail cannot part, and reading
the object back tells whether a change with a given id took effect.
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
    """What a change did."""

    PUT = "put"
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Who changed a team's settings, when, and under which id.

    Parameters
    ----------
    change_id : str
        Chosen by who asked for the change; the same for a repeat of it.
    action : Action
        What the change did.
    by : str
        Name of the token used.
    at : str
        Time of day in ISO 8601, for people.
    replaced : int
        The version that was in its place; 0 if there was none.
    digest : str
        Of the text; tells a repeat from another change under the same id.
    """

    change_id: str
    action: Action
    by: str
    at: str
    replaced: int
    digest: str


@dataclass(frozen=True, slots=True)
class StoredText:
    """The stored form taken apart.

    Parameters
    ----------
    records : tuple of ChangeRecord
        Newest first, at most `MAX_RECORDS`; empty if somebody wrote the object
        without them.
    body : str
        The text as its author wrote it; empty after a deletion.
    """

    records: tuple[ChangeRecord, ...]
    body: str

    @property
    def deleted(self) -> bool:
        """Whether the newest change was a deletion."""
        return bool(self.records) and self.records[0].action is Action.DELETE

    def find(self, change_id: str, version: int) -> tuple[ChangeRecord, int] | None:
        """Return the record of a change and the version it made, if it is there.

        Parameters
        ----------
        change_id : str
            The change.
        version : int
            Version of the stored object.
        """
        for record in self.records:
            if record.change_id == change_id:
                return record, version
            version = record.replaced
        return None


def text_digest(text: str) -> str:
    """Return the digest of a text that stands in its change record."""
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()[:16]


def is_change_id(text: str) -> bool:
    """Whether a text may be used as a change id."""
    return _CHANGE_ID.fullmatch(text) is not None


def parse_stored_text(text: str) -> StoredText:
    """Take the stored form apart.

    Parameters
    ----------
    text : str
        Value of the object. A text without records is all body.

    Returns
    -------
    StoredText
        Its parts.
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
        The change.
    earlier : tuple of ChangeRecord
        Records of the object that is replaced, newest first.
    body : str
        The text as its author wrote it.
    """
    records = (record, *earlier)[:MAX_RECORDS]
    lines = [f"; fuchsiagap: {len(records)} changes, newest first"]
    lines += [
        f"; {r.action.value} {r.change_id} by {r.by} at {r.at} replacing {r.replaced}"
        f" text {r.digest}"
        for r in records
    ]
    return "\n".join([*lines, body])
