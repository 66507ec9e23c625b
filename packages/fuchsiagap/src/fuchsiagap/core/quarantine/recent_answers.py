"""Fingerprints of requests that were answered recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


class RecentAnswers:
    """Remembers fingerprints for a limited time in bounded memory.

    Fingerprints are kept in two generations, so that adding one costs a single set
    insertion for each answer.

    Parameters
    ----------
    retention_ms : float
        Minimum milliseconds for which a fingerprint is remembered, unless more arrive
        than the generations hold.
    max_per_generation : int
        Fingerprints of each generation.
    """

    def __init__(self, retention_ms: Milliseconds, max_per_generation: int) -> None:
        self._retention_ms = retention_ms
        self._max_per_generation = max_per_generation
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._rotated_at = float("-inf")

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._current or fingerprint in self._previous

    def add(self, fingerprint: bytes, now: Milliseconds) -> None:
        """Remember a fingerprint."""
        if (
            len(self._current) >= self._max_per_generation
            or now - self._rotated_at > self._retention_ms
        ):
            self.rotate(now)
        self._current.add(fingerprint)

    def rotate(self, now: Milliseconds) -> None:
        """Start a new generation and drop the one before the current."""
        if now - self._rotated_at > 2.0 * self._retention_ms:
            self._current = set()
        self._previous, self._current = self._current, set()
        self._rotated_at = now
