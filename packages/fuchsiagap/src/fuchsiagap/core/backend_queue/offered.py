"""The load that is offered to one backend server, as a share of its places."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Milliseconds over which arrivals are averaged (to 1/e): some hundred calls of a busy
# server, and less than a tree of calls takes to come down to it.
AVERAGED_MS = 200.0
# Milliseconds in which what waits is to be worked off, beside what arrives.
BACKLOG_MS = 100.0


class OfferedLoad:
    """Places that the requests arriving at a server would fill.

    The count of requests that run or wait says that a server is too full, not by how
    much too many arrive: a queue grows with every excess, however small, and shrinks
    only once far too few are let in. What arrives, times how long it holds a place, is
    proportional to what the entries let in, below and above the server's capacity.
    """

    def __init__(self) -> None:
        self._arrivals = 0.0
        self._at: Milliseconds = 0.0

    def note_arrival(self, now: Milliseconds) -> None:
        """Count a request that arrives, whether or not there is room for it."""
        self._fade(now)
        self._arrivals += 1.0

    def places(
        self, now: Milliseconds, service_ms: Milliseconds, waiting: int
    ) -> float:
        """Return how many places are asked for.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        service_ms : float
            Milliseconds that a request holds a place.
        waiting : int
            Requests that wait for one.
        """
        self._fade(now)
        return service_ms * (self._arrivals / AVERAGED_MS + waiting / BACKLOG_MS)

    def _fade(self, now: Milliseconds) -> None:
        self._arrivals *= math.exp((self._at - now) / AVERAGED_MS)
        self._at = now
