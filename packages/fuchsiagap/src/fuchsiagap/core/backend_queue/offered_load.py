"""Estimate of the load offered to one backend server, in concurrency slots."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Time constant (to 1/e) of the arrival rate, in milliseconds: long enough to average
# about a hundred calls of a busy server, shorter than the time that a call tree takes
# to reach it.
AVERAGING_MS = 200.0
# Milliseconds within which queued requests should be run in addition to new arrivals.
BACKLOG_MS = 100.0


class OfferedLoad:
    """Estimates the slots needed by the requests that arrive at a backend server.

    The number of running and queued requests shows that a server is overloaded, but not
    by how much: a queue grows under any excess, however small, and shrinks only once
    far too few requests are admitted. The arrival rate times the service time is
    proportional to what the entry nodes admit, both below and above the capacity.

    Parameters
    ----------
    averaging_ms : float, default=AVERAGING_MS
        Time constant of the arrival rate in milliseconds.
    """

    def __init__(self, averaging_ms: Milliseconds = AVERAGING_MS) -> None:
        self._averaging_ms = averaging_ms
        self._arrivals = 0.0
        self._at: Milliseconds = 0.0

    def record_arrival(self, now: Milliseconds) -> None:
        """Count an arriving request, whether it is started, queued or rejected."""
        self._decay(now)
        self._arrivals += 1.0

    def places(
        self, now: Milliseconds, service_ms: Milliseconds, waiting: int
    ) -> float:
        """Return the number of slots that the offered load needs.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        service_ms : float
            Mean milliseconds that a request holds a slot.
        waiting : int
            Number of queued requests.

        Returns
        -------
        float
            Slots; above the server's limit if it is overloaded.
        """
        self._decay(now)
        return service_ms * (self._arrivals / self._averaging_ms + waiting / BACKLOG_MS)

    def _decay(self, now: Milliseconds) -> None:
        self._arrivals *= math.exp((self._at - now) / self._averaging_ms)
        self._at = now
