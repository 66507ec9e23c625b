"""Speed at which the peer of a connection reads what is sent to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Milliseconds for which data has to wait for a peer before its speed is known. A
# receive window opens in steps, so shorter observations are too coarse.
_MIN_OBSERVED_MS = 250.0


class ReadingSpeed:
    """Speed of a peer, observed only while data waits for it.

    At other times the sender is the slower one.

    Examples
    --------
    >>> speed = ReadingSpeed()
    >>> speed.observe(0.0, n_sent=1_000, n_waiting=900)
    >>> speed.observe(500.0, n_sent=1_000, n_waiting=400)
    >>> speed.time_to_read(400)
    400.0
    """

    __slots__ = ("_at", "_is_waiting", "_n_acknowledged", "_n_bytes", "_observed_ms")

    def __init__(self) -> None:
        self._at: Milliseconds = 0.0
        self._n_acknowledged = 0
        self._is_waiting = False
        self._observed_ms: Milliseconds = 0.0
        self._n_bytes = 0

    def observe(self, now: Milliseconds, n_sent: int, n_waiting: int) -> None:
        """Record the progress of the peer.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        n_sent : int
            Bytes sent on the connection so far.
        n_waiting : int
            Bytes of these that the peer has not acknowledged.
        """
        n_acknowledged = n_sent - n_waiting
        if self._is_waiting:
            self._observed_ms += now - self._at
            self._n_bytes += n_acknowledged - self._n_acknowledged
        self._at = now
        self._n_acknowledged = n_acknowledged
        self._is_waiting = n_waiting > 0

    def time_to_read(self, n_bytes: int) -> Milliseconds:
        """Return the milliseconds in which the peer reads a number of bytes.

        0 while its speed is unknown; infinity if it reads nothing.
        """
        if not n_bytes or self._observed_ms < _MIN_OBSERVED_MS:
            return 0.0
        if self._n_bytes <= 0:
            return float("inf")
        return n_bytes / self._n_bytes * self._observed_ms
