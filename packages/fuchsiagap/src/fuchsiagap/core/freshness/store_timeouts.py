"""Timeouts of store requests, derived from the bound within which changes apply.

A change has to be in force everywhere within a bound of its acknowledgement, even if
the store did not respond until shortly before. So every timeout is a share of that
bound, and the rest remains for the change to reach the other nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Shares of the bound, in the order of the fields of `StoreTimeouts`.
_HEDGE_SHARE = 0.2
_PROBE_SHARE = 0.6
_BACKOFF_SHARE = 0.075
_MAX_BACKOFF_SHARE = 0.25
# Bounds the exponent of the backoff, so that it cannot overflow.
_MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class StoreTimeouts:
    """Timeouts of requests to the store, in milliseconds.

    Parameters
    ----------
    hedge_delay : float
        Delay after which a request without an answer is hedged by a second one.
    probe_interval : float
        Interval between two probes of the store while a watch is open.
    initial_backoff, max_backoff : float
        First and longest delay until a store that rejected a request is queried again.
    """

    hedge_delay: Milliseconds
    probe_interval: Milliseconds
    initial_backoff: Milliseconds
    max_backoff: Milliseconds

    def backoff(self, n_failed: int) -> Milliseconds:
        """Return the delay in milliseconds after consecutive failures.

        Parameters
        ----------
        n_failed : int
            Number of consecutive failures, at least 1.
        """
        doubled = self.initial_backoff * 2.0 ** min(n_failed - 1, _MAX_DOUBLINGS)
        return min(doubled, self.max_backoff)


def timeouts_within(bound: Milliseconds) -> StoreTimeouts:
    """Return the timeouts that let a change be in force within a bound.

    Parameters
    ----------
    bound : float
        Milliseconds from the acknowledgement of a change until it is in force.
    """
    return StoreTimeouts(
        bound * _HEDGE_SHARE,
        bound * _PROBE_SHARE,
        bound * _BACKOFF_SHARE,
        bound * _MAX_BACKOFF_SHARE,
    )
