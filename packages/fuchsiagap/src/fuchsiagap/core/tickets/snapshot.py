"""Serializable parts of a ticket window, for its hand-over to another node."""

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


class BitmapKind(Enum):
    """The bitmaps of a window; the value names the attribute of `TicketWindow`."""

    USED = "used"
    BURNT = "burnt"
    PARENTS = "parents"
    SEALED = "sealed"


@dataclass(frozen=True, slots=True)
class BitmapPage:
    """One page of a bitmap of a window.

    Parameters
    ----------
    kind : BitmapKind
        The bitmap the page belongs to.
    number : int
        Page number within the bitmap.
    bits : bytes
        Content of the page.
    """

    kind: BitmapKind
    number: int
    bits: bytes


@dataclass(frozen=True, slots=True)
class RecordCopy:
    """One run of a window, in the form sent to another node.

    Parameters
    ----------
    sequence : int
        Sequence of the root's ticket.
    child_key : str
        Key of the child call; empty for the root call.
    fingerprint : bytes
        Digest of the request.
    burn : bool
        Whether to burn the ticket if the run is refused.
    outcome : Answered or Unknown or None
        None while the run is in progress.
    """

    sequence: int
    child_key: str
    fingerprint: bytes
    burn: bool
    outcome: Answered | Unknown | None


def bitmap_of(window: TicketWindow, kind: BitmapKind) -> SparseBitmap:
    """Return one of the bitmaps of a window."""
    bitmap: SparseBitmap = getattr(window, kind.value)
    return bitmap


def bitmap_pages(window: TicketWindow) -> Iterator[BitmapPage]:
    """Yield the pages of all bitmaps of a window."""
    for kind in BitmapKind:
        for number, bits in sorted(bitmap_of(window, kind).pages.items()):
            yield BitmapPage(kind, number, bytes(bits))


def record_copies(window: TicketWindow) -> Iterator[RecordCopy]:
    """Yield the runs of a frozen window, the oldest first.

    Includes runs that were refused or evicted after the window was frozen, since the
    bitmap pages that were sent earlier do not reflect that. A run refused meanwhile is
    yielded as one in progress, an evicted one with its outcome.
    """
    for record in window.frozen_records:
        yield copy_record(record)


def copy_record(record: RunRecord) -> RecordCopy:
    """Return a run in the form sent to another node."""
    if isinstance(record.key, int):
        sequence, child_key = record.key, ""
    else:
        sequence, child_key = record.key
    return RecordCopy(
        sequence, child_key, record.fingerprint, record.burn, record.outcome
    )


def put_page(window: TicketWindow, page: BitmapPage) -> bool:
    """Add a received bitmap page to a window.

    Parameters
    ----------
    window : TicketWindow
        The window that is being received.
    page : BitmapPage
        The page.

    Returns
    -------
    bool
        False if the page has the wrong size and was not added.
    """
    if len(page.bits) != _PAGE_BYTES:
        return False
    bitmap_of(window, page.kind).pages[page.number] = bytearray(page.bits)
    return True


def put_record(window: TicketWindow, copy: RecordCopy) -> None:
    """Add a received run to a window."""
    key = run_key(copy.sequence, copy.child_key)
    record = RunRecord(key, copy.fingerprint, burn=copy.burn, is_remote=True)
    window.records[key] = record
    (window.parents if copy.child_key else window.used).add(copy.sequence)
    if copy.outcome is not None:
        window.finish(record, copy.outcome)
