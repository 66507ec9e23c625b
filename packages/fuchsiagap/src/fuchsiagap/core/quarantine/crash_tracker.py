"""Tracks which requests were in flight at a server when it crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Maximum number of unanswered requests that are remembered per server.
_MAX_UNANSWERED = 1_024
# Maximum milliseconds from the end of the other connections until an answer that was
# sent before the crash is read.
_LATE_READ_MS = 100.0


class CrashTracker:
    """Requests of one server that ended without an answer, until it answers again.

    When a server crashes, all its connections end at once, including those of requests
    that did not cause the crash; and a connection may end while its server lives. So
    requests are remembered until the server answers another one or is known to have
    crashed.

    Attributes
    ----------
    incarnation : str
        Identifies the current run of the server; empty until one is known.
    has_crashed : bool
        Whether this incarnation is known to have crashed.
    """

    def __init__(self) -> None:
        self.incarnation = ""
        self.has_crashed = False
        self._started_at: Milliseconds = 0.0
        self._unanswered: dict[bytes, Milliseconds] = {}
        self._previous_crashed = ""
        self._reported: set[bytes] = set()

    @property
    def has_unanswered(self) -> bool:
        """Whether a request ended without an answer since the last answer."""
        return bool(self._unanswered)

    def start_incarnation(self, incarnation: str, now: Milliseconds) -> None:
        """Start tracking another incarnation."""
        self._previous_crashed = self.incarnation if self.has_crashed else ""
        self.incarnation = incarnation
        self.has_crashed = False
        self._started_at = now
        self._unanswered.clear()

    def record_answer(self, now: Milliseconds) -> None:
        """Record that the server answered a request."""
        if self._unanswered:
            before = now - _LATE_READ_MS
            self._unanswered = {f: t for f, t in self._unanswered.items() if t > before}

    def record_unanswered(
        self, fingerprint: bytes, started: Milliseconds, now: Milliseconds
    ) -> str:
        """Record that a request ended without an answer.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the request.
        started : float
            Time in milliseconds at which it was sent to the server.
        now : float
            Time in milliseconds.

        Returns
        -------
        str
            The crashed incarnation that ran the request, if its crash is known and the
            request has not been reported with it yet; else empty.
        """
        crashed = self.incarnation if self.has_crashed else ""
        if started < self._started_at:
            crashed = self._previous_crashed
        elif not crashed:
            self._remember(fingerprint, now)
        if not crashed or fingerprint in self._reported:
            return ""
        self._reported.add(fingerprint)
        return crashed

    def _remember(self, fingerprint: bytes, now: Milliseconds) -> None:
        if len(self._unanswered) < _MAX_UNANSWERED:
            self._unanswered[fingerprint] = now

    def record_crash(
        self, in_flight: frozenset[bytes] = frozenset()
    ) -> frozenset[bytes]:
        """Record that the server has crashed.

        Parameters
        ----------
        in_flight : frozenset of bytes
            Fingerprints of requests that are still without an answer.

        Returns
        -------
        frozenset of bytes
            Fingerprints of all requests that the server ran; empty if the crash was
            already known.
        """
        if self.has_crashed:
            return frozenset()
        self.has_crashed = True
        self._reported = set(self._unanswered) | in_flight
        self._unanswered.clear()
        return frozenset(self._reported)
