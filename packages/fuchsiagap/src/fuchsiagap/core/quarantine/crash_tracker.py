"""Which requests were at work when a server crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Requests without an answer that are remembered of one server.
_MOST_UNANSWERED = 1_024
# Milliseconds by which an answer may be read later than the end of other connections
# that broke after it was sent.
_READ_LATE_MS = 100.0


class CrashTracker:
    """Requests of one server that ended without an answer, until it answers again.

    The connections of a server that crashes all end at once, those of requests that
    were merely at work there, too; and a connection may end while its server lives. So
    requests are remembered until the server answers another one, or is known to have
    crashed.

    Attributes
    ----------
    incarnation : str
        What names the start of the server; empty until one is known.
    has_crashed : bool
        Whether this incarnation is known to have crashed.
    """

    def __init__(self) -> None:
        self.incarnation = ""
        self.has_crashed = False
        self._began_at: Milliseconds = 0.0
        self._unanswered: dict[bytes, Milliseconds] = {}
        self._earlier = ""
        self._reported: set[bytes] = set()

    @property
    def has_unanswered(self) -> bool:
        """Whether a request ended without an answer since the last answer."""
        return bool(self._unanswered)

    def start_incarnation(self, incarnation: str, now: Milliseconds) -> None:
        """Follow another incarnation."""
        self._earlier = self.incarnation if self.has_crashed else ""
        self.incarnation = incarnation
        self.has_crashed = False
        self._began_at = now
        self._unanswered.clear()

    def record_answer(self, now: Milliseconds) -> None:
        """Record that the server answered a request."""
        if self._unanswered:
            before = now - _READ_LATE_MS
            self._unanswered = {f: t for f, t in self._unanswered.items() if t > before}

    def record_unanswered(
        self, fingerprint: bytes, started: Milliseconds, now: Milliseconds
    ) -> str:
        """Record that a request ended without an answer.

        Parameters
        ----------
        fingerprint : bytes
            The request.
        started : float
            When it was handed to the server.
        now : float
            Time in milliseconds.

        Returns
        -------
        str
            The incarnation that turns out to have crashed with it; else empty.
        """
        crashed = self.incarnation if self.has_crashed else ""
        if started < self._began_at:
            crashed = self._earlier
        elif not crashed:
            self._remember(fingerprint, now)
        if not crashed or fingerprint in self._reported:
            return ""
        self._reported.add(fingerprint)
        return crashed

    def _remember(self, fingerprint: bytes, now: Milliseconds) -> None:
        if len(self._unanswered) < _MOST_UNANSWERED:
            self._unanswered[fingerprint] = now

    def record_crash(self, at_work: frozenset[bytes] = frozenset()) -> frozenset[bytes]:
        """Record that the server has crashed.

        Parameters
        ----------
        at_work : frozenset of bytes
            Requests that it has still not answered.

        Returns
        -------
        frozenset of bytes
            All requests that it ran; none if its crash was known.
        """
        if self.has_crashed:
            return frozenset()
        self.has_crashed = True
        self._reported = set(self._unanswered) | at_work
        self._unanswered.clear()
        return frozenset(self._reported)
