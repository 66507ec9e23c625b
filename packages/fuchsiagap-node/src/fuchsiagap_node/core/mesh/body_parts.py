"""Body of a message, collected from the parts in which it arrives."""

from __future__ import annotations

# Minimum size in bytes of a part that is kept as it came. Smaller ones are joined, as
# each `bytes` object takes 33 bytes more than its content.
_MIN_PART_BYTES = 4_096
# Number of parts that a body may have, and the minimum of their mean size in bytes if
# it has more. Each part takes processor time, whatever its size.
_MAX_SMALL_PARTS = 16_384
_MIN_MEAN_BYTES = 16


class BodyParts:
    """Parts of a body in the order of their arrival.

    Attributes
    ----------
    size : int
        Number of bytes so far.
    """

    __slots__ = ("_n_parts", "_parts", "_tail", "size")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        self._n_parts = self.size = 0

    def append(self, part: bytes) -> None:
        """Append a part."""
        self.size += len(part)
        self._n_parts += 1
        if self._parts and len(part) < _MIN_PART_BYTES:
            self._tail += part
            return
        if self._tail:
            self._join_tail()
        self._parts.append(part)

    @property
    def has_too_small_parts(self) -> bool:
        """Whether the parts are so many and so small that reading them costs most."""
        return (
            self._n_parts > _MAX_SMALL_PARTS
            and self.size < self._n_parts * _MIN_MEAN_BYTES
        )

    def take(self) -> bytes:
        """Return the whole body, and drop it."""
        if self._n_parts <= 1:
            self._n_parts = self.size = 0
            return self._parts.pop() if self._parts else b""
        if self._tail:
            self._join_tail()
        body = b"".join(self._parts)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop the body."""
        self._parts = []
        self._tail = bytearray()
        self._n_parts = self.size = 0

    def _join_tail(self) -> None:
        self._parts.append(bytes(self._tail))
        self._tail = bytearray()
