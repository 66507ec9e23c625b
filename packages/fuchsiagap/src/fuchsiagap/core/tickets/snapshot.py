"""A window as parts that can be sent, and put together again."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from fuchsiagap.core.tickets.records import RunRecord, run_key
from fuchsiagap.core.tickets.sparse_bitmap import PAGE_BITS, SparseBitmap

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiagap.core.calls.outcome import Answered, Unknown
    from fuchsiagap.core.tickets.window import TicketWindow

_PAGE_BYTES = PAGE_BITS // 8


class MarkKind(Enum):
    """The sets of marks of a window."""

    USED = "used"
    BURNT = "burnt"
    PARENTS = "parents"
    SEALED = "sealed"


@dataclass(frozen=True, slots=True)
class MarkPage:
    """One page of marks.

    Parameters
    ----------
    kind : MarkKind
        Of which set.
    number : int
        Number of the page.
    bits : bytes
        The page.
    """

    kind: MarkKind
    number: int
    bits: bytes


@dataclass(frozen=True, slots=True)
class RecordCopy:
    """One run of a window.

    Parameters
    ----------
    sequence : int
        Sequence of the root's ticket.
    child_key : str
        Key of the child call; empty for the root call.
    fingerprint : bytes
        Digest of the request.
    burn : bool
        Whether a true refusal shall burn the ticket.
    outcome : Answered or Unknown or None
        None while the run is in progress.
    """

    sequence: int
    child_key: str
    fingerprint: bytes
    burn: bool
    outcome: Answered | Unknown | None


def bitmap_of(window: TicketWindow, kind: MarkKind) -> SparseBitmap:
    """Return one set of marks of a window."""
    marks: SparseBitmap = getattr(window, kind.value)
    return marks


def bitmap_pages(window: TicketWindow) -> Iterator[MarkPage]:
    """Yield the pages of a window."""
    for kind in MarkKind:
        for number, bits in sorted(bitmap_of(window, kind).pages.items()):
            yield MarkPage(kind, number, bytes(bits))


def record_copies(window: TicketWindow) -> Iterator[RecordCopy]:
    """Yield the runs of a frozen window, the oldest first.

    A run that was refused or forgotten since is among them, as one in progress or
    with its outcome: the marks that were sent before do not show it.
    """
    for record in window.frozen_records:
        yield copy_record(record)


def copy_record(record: RunRecord) -> RecordCopy:
    """Return a run in the form that can be sent."""
    if isinstance(record.key, int):
        sequence, child_key = record.key, ""
    else:
        sequence, child_key = record.key
    return RecordCopy(
        sequence, child_key, record.fingerprint, record.burn, record.outcome
    )


def put_page(window: TicketWindow, page: MarkPage) -> bool:
    """Put a page into a window that is being put together.

    Returns
    -------
    bool
        Whether the page has the right size.
    """
    if len(page.bits) != _PAGE_BYTES:
        return False
    bitmap_of(window, page.kind).pages[page.number] = bytearray(page.bits)
    return True


def put_record(window: TicketWindow, copy: RecordCopy) -> None:
    """Put a run into a window that is being put together."""
    key = run_key(copy.sequence, copy.child_key)
    record = RunRecord(key, copy.fingerprint, burn=copy.burn, is_remote=True)
    window.records[key] = record
    (window.parents if copy.child_key else window.used).add(copy.sequence)
    if copy.outcome is not None:
        window.finish(record, copy.outcome)
