"""How long the store may be silent, from the bound on changes.

A change has to be in force everywhere within a bound of its acknowledgement, also where
the store was silent until just before it. So every wait for the store is a share of
that bound, and what is left is for the change to reach the other nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Shares of the bound; see `StoreTimeouts`.
_HEDGE_SHARE = 0.2
_PROBE_SHARE = 0.6
_BACKOFF_SHARE = 0.075
_MAX_BACKOFF_SHARE = 0.25
_MOST_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class StoreTimeouts:
    """Waits for the store, in milliseconds.

    Parameters
    ----------
    hedge_delay : float
        Until a request that has no answer is hedged by another one.
    probe_interval : float
        Between two probes of the store while a watch waits.
    initial_backoff, max_backoff : float
        Until a store that turned a request away is asked again, at first and at most.
    """

    hedge_delay: Milliseconds
    probe_interval: Milliseconds
    initial_backoff: Milliseconds
    max_backoff: Milliseconds

    def backoff(self, n_failed: int) -> Milliseconds:
        """Return the pause after so many failures in a row."""
        doubled = self.initial_backoff * 2.0 ** min(n_failed - 1, _MOST_DOUBLINGS)
        return min(doubled, self.max_backoff)


def timeouts_within(bound: Milliseconds) -> StoreTimeouts:
    """Return the waits that leave a change time to be in force within a bound.

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
