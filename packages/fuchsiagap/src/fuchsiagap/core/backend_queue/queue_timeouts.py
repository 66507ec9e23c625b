"""Weight of the nested calls that time out in the queue of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.rank_counts import RankCounts

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Increase of the load factor per unit of the share of a rank's nested calls that time
# out. A call that times out fails its call tree, which wastes on average half of its
# ten to fifteen calls, and call trees with little time to spare only complete at a
# lower load. Of trees that need 0.5 s of their 0.8 s, under three times the nominal
# load, 0.10 succeed without this, 0.15 at 10 and 0.18 at 20; the success rates of the
# best rank are then 0.98, 0.92 and 0.89.
LOAD_PER_TIMEOUT_SHARE = 20.0
# Upper bound of the factor. At 1.6, the same call trees succeed no more often (0.19 in
# place of 0.20, with a larger guaranteed share): the time is then lost elsewhere.
MAX_LOAD_FACTOR = 1.3
# Calls without a time-out that each rank is assumed to start with, so that the first
# few calls do not swing the share.
_PRIOR_CALLS = 20.0


class QueueTimeouts:
    """Counts nested calls that time out in a queue, and weights the load by them.

    The load offered to a backend server determines how long its queue grows, not
    whether the queued calls have the time to wait. With 97 of 100 slots in use a few
    calls wait for a long time, mostly those of the worst rank: 7 of 10 call trees that
    make ten calls and have little time to spare fail after half of their work is done.
    """

    def __init__(self) -> None:
        self._counts = RankCounts()

    def record_arrival(self, rank: int, now: Milliseconds) -> None:
        """Count the arrival of a nested call of a rank at a time in milliseconds."""
        self._counts.of(rank, now).arrivals += 1.0

    def record_timeout(self, rank: int, now: Milliseconds) -> None:
        """Count a nested call that expired or was cancelled before it got a slot."""
        self._counts.of(rank, now).matched += 1.0

    def load_factor(self, now: Milliseconds) -> float:
        """Return the factor by which time-outs increase the offered load.

        Parameters
        ----------
        now : float
            Time in milliseconds.

        Returns
        -------
        float
            From 1, without time-outs, to `MAX_LOAD_FACTOR`; the rank with the highest
            share of time-outs decides.
        """
        shares = (
            count.matched / (count.arrivals + _PRIOR_CALLS)
            for _, count in self._counts.all(now)
        )
        return min(
            1.0 + LOAD_PER_TIMEOUT_SHARE * max(shares, default=0.0), MAX_LOAD_FACTOR
        )
