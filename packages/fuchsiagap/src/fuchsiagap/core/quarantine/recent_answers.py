"""Requests that were answered of late."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


class RecentAnswers:
    """Remembers fingerprints for a time, in bounded memory.

    Two generations take turns, so that remembering one more is a single look-up on the
    path of each answer.

    Parameters
    ----------
    memory_ms : float
        Milliseconds for which a fingerprint is remembered, at least, unless more come
        than there is room for.
    most : int
        Fingerprints of each generation.
    """

    def __init__(self, memory_ms: Milliseconds, most: int) -> None:
        self._memory_ms = memory_ms
        self._most = most
        self._young: set[bytes] = set()
        self._old: set[bytes] = set()
        self._rotated_at = float("-inf")

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._young or fingerprint in self._old

    def add(self, fingerprint: bytes, now: Milliseconds) -> None:
        """Remember a fingerprint."""
        if len(self._young) >= self._most or now - self._rotated_at > self._memory_ms:
            self.rotate(now)
        self._young.add(fingerprint)

    def rotate(self, now: Milliseconds) -> None:
        """Forget what was not added since the last turn."""
        if now - self._rotated_at > 2.0 * self._memory_ms:
            self._young = set()
        self._old, self._young = self._young, set()
        self._rotated_at = now
