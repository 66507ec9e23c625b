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

# Shares of the bound; see `Patience`.
_AGAIN_SHARE = 0.2
_PROBE_SHARE = 0.6
_PAUSE_SHARE = 0.075
_MOST_PAUSE_SHARE = 0.25
_MOST_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Patience:
    """Waits for the store, in milliseconds.

    Parameters
    ----------
    again : float
        Until a question that has no answer is asked once more beside it.
    probe : float
        Between two probes of the store while a watch waits.
    pause, most_pause : float
        Until a store that turned a question away is asked again, at first and at most.
    """

    again: Milliseconds
    probe: Milliseconds
    pause: Milliseconds
    most_pause: Milliseconds

    def after(self, n_failed: int) -> Milliseconds:
        """Return the pause after so many failures in a row."""
        doubled = self.pause * 2.0 ** min(n_failed - 1, _MOST_DOUBLINGS)
        return min(doubled, self.most_pause)


def patience_within(bound: Milliseconds) -> Patience:
    """Return the waits that leave a change time to be in force within a bound.

    Parameters
    ----------
    bound : float
        Milliseconds from the acknowledgement of a change until it is in force.
    """
    return Patience(
        bound * _AGAIN_SHARE,
        bound * _PROBE_SHARE,
        bound * _PAUSE_SHARE,
        bound * _MOST_PAUSE_SHARE,
    )
