"""How well one backend server does, as the node beside it sees."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Weight of one request in the running share of failures: about the last 30 count.
_FAILURE_WEIGHT = 0.03
# Milliseconds in which the share of failures of an unused server fades to 1/e, so that
# it is tried again.
_FAILURE_FADE_MS = 4_000.0
# Milliseconds for which a server that took no connection is left alone.
_DOWN_MS = 400.0
# Heartbeats that may be missing before a server that answers nothing counts as gone.
_MISSED_BEATS = 3.0
# Milliseconds since the last answer within which a server is alive whatever its
# heartbeats say.
_ANSWERED_MS = 1_500.0


class ServerHealth:
    """Share of failures, and whether the server lives.

    Parameters
    ----------
    now : float
        Time at the start, in milliseconds.
    """

    def __init__(self, now: Milliseconds) -> None:
        self._failing = 0.0
        self._failing_at = now
        self._down_until = 0.0
        self._beat_at = now
        self._answered_at = float("-inf")

    def note_beat(self, now: Milliseconds) -> None:
        """Take in that the server was heard of."""
        self._beat_at = now
        self._down_until = 0.0

    def note_answer(self, now: Milliseconds) -> None:
        """Take in that the server answered a request, however."""
        self._answered_at = now

    def note_unreachable(self, now: Milliseconds) -> None:
        """Take in that the server took no connection."""
        self._down_until = now + _DOWN_MS

    def note_outcome(self, failed: bool, now: Milliseconds) -> None:
        """Take in how a request ended."""
        known = self.failing(now)
        self._failing = known + (float(failed) - known) * _FAILURE_WEIGHT

    def forget_failures(self) -> None:
        """Begin anew, as for another incarnation."""
        self._failing = 0.0

    def failing(self, now: Milliseconds) -> float:
        """Return the share of recent requests that ended refused or broken."""
        self._failing *= math.exp((self._failing_at - now) / _FAILURE_FADE_MS)
        self._failing_at = now
        return self._failing

    def heartbeat_age(self, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds since the server was heard of, or the start."""
        return now - self._beat_at

    def is_usable(self, now: Milliseconds, heartbeat: Milliseconds) -> bool:
        """Whether the server lives and takes connections.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        heartbeat : float
            Milliseconds between two heartbeats of the server.
        """
        return now >= self._down_until and self.is_heard(now, heartbeat)

    def is_heard(self, now: Milliseconds, heartbeat: Milliseconds) -> bool:
        """Whether the server was heard of lately, by a heartbeat or an answer.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        heartbeat : float
            Milliseconds between two heartbeats of the server.
        """
        if now - self._beat_at < _MISSED_BEATS * heartbeat:
            return True
        return now - self._answered_at < _ANSWERED_MS
