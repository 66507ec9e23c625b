"""Close of a connection whose peer may not have read all that was sent.

The kernel answers data that arrives at a closed socket, or that lies unread in it at
the close, with a reset, and drops what it has not delivered yet (RFC 9112, section
9.6). A connection is therefore closed in two steps: the sending direction first, the
rest once the peer has closed its end. Input is read and discarded in between.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.mesh.stream import Stream

# Milliseconds that a peer has to close its end after it has acknowledged all data.
END_TIMEOUT_MS = 5_000.0
# Milliseconds after the last acknowledgement, or the last use of the connection, for
# which an exit of the process waits: the peer may still read from its own buffer.
_READ_TIMEOUT_MS = 2_000.0


class GracefulClose:
    """Progress of a close that has begun by ending the sending direction.

    Parameters
    ----------
    stream : Stream
        The connection; its end of stream has been sent.
    now : float
        Time of the close in milliseconds.
    last_active_at : float
        Time of the last use of the connection in milliseconds.
    """

    __slots__ = ("_began_at", "_n_unacknowledged", "_progressed_at", "_stream")

    def __init__(
        self, stream: Stream, now: Milliseconds, last_active_at: Milliseconds
    ) -> None:
        self._stream = stream
        self._began_at = now
        self._progressed_at = last_active_at
        self._n_unacknowledged = self.n_unacknowledged()

    def n_unacknowledged(self) -> int:
        """Return the bytes without acknowledgement, besides the end of stream."""
        return max(self._stream.count_unacknowledged() - 1, 0)

    def is_timed_out(self, now: Milliseconds, idle_timeout: Milliseconds) -> bool:
        """Whether the peer neither acknowledges data nor closes its end.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        idle_timeout : float
            Milliseconds without an acknowledgement after which a peer is given up.
        """
        self._update(now)
        wait = idle_timeout
        if not self._n_unacknowledged:
            wait = min(idle_timeout, END_TIMEOUT_MS)
        return now - max(self._began_at, self._progressed_at) > wait

    def delays_exit(self, now: Milliseconds) -> bool:
        """Whether the peer may lose data if the process exits now (time in ms)."""
        self._update(now)
        is_reading = now - self._progressed_at < _READ_TIMEOUT_MS
        return self._n_unacknowledged > 0 or is_reading

    def _update(self, now: Milliseconds) -> None:
        """Record whether the peer has acknowledged more since the last call."""
        n_unacknowledged = self.n_unacknowledged()
        if n_unacknowledged != self._n_unacknowledged:
            self._n_unacknowledged = n_unacknowledged
            self._progressed_at = now
