"""A set of sequence numbers that takes one bit for each number."""

from __future__ import annotations

from dataclasses import dataclass, field

PAGE_BITS = 4096
_PAGE_BYTES = PAGE_BITS // 8


@dataclass(slots=True)
class SparseBitmap:
    """A set of non-negative integers, stored as a sparse bitmap.

    A page of `PAGE_BITS` bits is allocated when the first of its numbers is added.

    Parameters
    ----------
    pages : dict of int to bytearray
        Allocated pages by page number.

    Examples
    --------
    >>> bitmap = SparseBitmap()
    >>> bitmap.add(9)
    >>> 9 in bitmap, 8 in bitmap
    (True, False)
    """

    pages: dict[int, bytearray] = field(default_factory=dict)

    def add(self, number: int) -> None:
        """Add a number to the set."""
        page, bit = divmod(number, PAGE_BITS)
        bits = self.pages.get(page)
        if bits is None:
            bits = bytearray(_PAGE_BYTES)
            self.pages[page] = bits
        bits[bit >> 3] |= 1 << (bit & 7)

    def discard(self, number: int) -> None:
        """Remove a number from the set, if present."""
        page, bit = divmod(number, PAGE_BITS)
        bits = self.pages.get(page)
        if bits is not None:
            bits[bit >> 3] &= ~(1 << (bit & 7))

    def __contains__(self, number: int) -> bool:
        page, bit = divmod(number, PAGE_BITS)
        bits = self.pages.get(page)
        return bits is not None and bool(bits[bit >> 3] & (1 << (bit & 7)))

    def drop_below(self, low: int) -> None:
        """Free the pages that contain only numbers below `low`."""
        first_page = low // PAGE_BITS
        for page in [page for page in self.pages if page < first_page]:
            del self.pages[page]
