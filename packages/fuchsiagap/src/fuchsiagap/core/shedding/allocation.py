"""How the room that there is goes to the kinds of requests."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Part of what all callers are served that those of each kind get at least: above the
# quarter that is promised, by what an entry may misjudge in a few seconds.
GUARANTEED_PART = 0.3
# Least share that is let in of a kind, where hardly anything is served at all: its
# requests are what shows when there is room again.
MIN_GUARANTEED_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class KindLoad:
    """What the requests of a kind ask for.

    Parameters
    ----------
    step : int
        How many steps give way before it; 0 gives way first.
    load : float
        Load that its requests would make, in any unit.
    """

    step: int
    load: float


def guaranteed_share(whole: float) -> float:
    """Return the share of each kind that is let in at least.

    A share of what is let in, whatever all others got, left callers without any answer
    in 40 requests.

    Parameters
    ----------
    whole : float
        Share of all requests that was served.
    """
    return max(GUARANTEED_PART * whole, MIN_GUARANTEED_SHARE)


def share_of_step(
    step: int, room: float, kinds: Sequence[KindLoad], kept: float
) -> float:
    """Return the share that is let in of the kinds of one step.

    Each kind has what is kept for it; of the room left, the best get all they ask for
    before the next ones get more.

    Parameters
    ----------
    step : int
        The step.
    room : float
        Share of the load of all kinds that may come in.
    kinds : sequence of KindLoad
        All kinds that are asked for.
    kept : float
        Share that is kept of each.
    """
    whole = sum(kind.load for kind in kinds)
    better = sum(kind.load for kind in kinds if kind.step > step)
    own = sum(kind.load for kind in kinds if kind.step == step)
    if own <= 0.0 or room >= 1.0:
        return 1.0
    left = (room - kept) * whole - (1.0 - kept) * better
    return min(max(kept + left / own, kept), 1.0)


def max_cut(step: int, kinds: Sequence[KindLoad], kept: float) -> float:
    """Return the cut, as a logarithm, at which a step has only what is kept of it."""
    whole = sum(kind.load for kind in kinds)
    better = sum(kind.load for kind in kinds if kind.step > step)
    if whole <= 0.0:
        return -math.log(kept)
    return -math.log(kept + (1.0 - kept) * better / whole)
