"""The admission level as one number, so that it can be averaged and moved gradually.

A call of priority ``p`` and cohort ``c`` has the position ``p * N_COHORTS + c``. It
is admitted if its position is at most that of the level.
"""

from __future__ import annotations

from fuchsiagap.core.calls.head import LEAST_PRIORITY, N_COHORTS

# Position of a level that admits every call.
OPEN_POSITION = (LEAST_PRIORITY + 1) * N_COHORTS - 1


def position_of(priority: int, cohort: int) -> int:
    """Return the position of a call or level.

    Parameters
    ----------
    priority : int
        As in `CallHead`.
    cohort : int
        As in `CallHead`.

    Returns
    -------
    int
        0 to `OPEN_POSITION`.
    """
    return priority * N_COHORTS + cohort


def level_at(position: float) -> tuple[int, int]:
    """Return the (priority, cohort) pair of a position.

    Parameters
    ----------
    position : float
        Rounded down and clipped to the range from 0 to `OPEN_POSITION`.

    Returns
    -------
    tuple of (int, int)
        Priority and cohort.
    """
    whole = min(max(int(position), 0), OPEN_POSITION)
    return divmod(whole, N_COHORTS)
