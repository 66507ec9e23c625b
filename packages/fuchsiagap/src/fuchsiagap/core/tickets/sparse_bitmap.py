"""A set of sequence numbers at one bit each, above a rising low mark."""

from __future__ import annotations

from dataclasses import dataclass, field

PAGE_BITS = 4096
_PAGE_BYTES = PAGE_BITS // 8


@dataclass(slots=True)
class SparseBitmap:
    """A sparse bitmap; a page of `PAGE_BITS` numbers is made with its first mark.

    Parameters
    ----------
    pages : dict of int to bytearray
        Pages by number.

    Examples
    --------
    >>> marks = SparseBitmap()
    >>> marks.add(9)
    >>> 9 in marks, 8 in marks
    (True, False)
    """

    pages: dict[int, bytearray] = field(default_factory=dict)

    def add(self, number: int) -> None:
        """Mark a number."""
        page, bit = divmod(number, PAGE_BITS)
        bits = self.pages.get(page)
        if bits is None:
            bits = bytearray(_PAGE_BYTES)
            self.pages[page] = bits
        bits[bit >> 3] |= 1 << (bit & 7)

    def discard(self, number: int) -> None:
        """Take the mark of a number away."""
        page, bit = divmod(number, PAGE_BITS)
        bits = self.pages.get(page)
        if bits is not None:
            bits[bit >> 3] &= ~(1 << (bit & 7))

    def __contains__(self, number: int) -> bool:
        page, bit = divmod(number, PAGE_BITS)
        bits = self.pages.get(page)
        return bits is not None and bool(bits[bit >> 3] & (1 << (bit & 7)))

    def drop_below(self, low: int) -> None:
        """Forget the pages that lie wholly below `low`."""
        first = low // PAGE_BITS
        for page in [page for page in self.pages if page < first]:
            del self.pages[page]
