"""Division of the admitted load among the kinds of requests.

A kind is a route, or its requests at one workspace priority; see `Route.kind`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Guaranteed share of each kind, relative to the share of all requests that succeeds.
# Each kind should get at least a quarter of the success rate of all callers; the excess
# over a quarter is a margin for estimation errors of an entry node within a few
# seconds.
GUARANTEED_PART = 0.3
# Minimum share of each kind that is admitted, even if hardly any request succeeds:
# these requests show when there is capacity again.
MIN_GUARANTEED_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class KindLoad:
    """Load that the requests of a kind offer.

    Parameters
    ----------
    step : int
        Number of steps that are shed before this kind; 0 is shed first.
    load : float
        Load of its requests, in a unit common to all kinds.
    """

    step: int
    load: float


def guaranteed_share(success_share: float) -> float:
    """Return the minimum share of each kind that is admitted.

    It follows the success rate of all requests. A fixed admitted share, whatever the
    others get, would leave callers without any answer in 40 requests.

    Parameters
    ----------
    success_share : float
        Share of all requests that succeeded recently.

    Returns
    -------
    float
        Share, at least `MIN_GUARANTEED_SHARE`.
    """
    return max(GUARANTEED_PART * success_share, MIN_GUARANTEED_SHARE)


def share_of_step(
    step: int, load_share: float, kinds: Sequence[KindLoad], guaranteed: float
) -> float:
    """Return the share of the requests of one step that is admitted.

    Each kind gets its guaranteed share. What remains goes to the steps in order of
    importance: the load of a step is admitted in full before the next step gets more
    than its guaranteed share.

    Parameters
    ----------
    step : int
        The step; the highest is the most important.
    load_share : float
        Share of the load of all kinds that may be admitted.
    kinds : sequence of KindLoad
        All kinds with recent requests.
    guaranteed : float
        Share that is guaranteed to each kind.

    Returns
    -------
    float
        Share, from `guaranteed` to 1.
    """
    total = sum(kind.load for kind in kinds)
    better = sum(kind.load for kind in kinds if kind.step > step)
    own = sum(kind.load for kind in kinds if kind.step == step)
    if own <= 0.0 or load_share >= 1.0:
        return 1.0
    left = (load_share - guaranteed) * total - (1.0 - guaranteed) * better
    return min(max(guaranteed + left / own, guaranteed), 1.0)


def max_cut(step: int, kinds: Sequence[KindLoad], guaranteed: float) -> float:
    """Return the cut at which a step is reduced to its guaranteed share.

    Parameters
    ----------
    step : int
        The step.
    kinds : sequence of KindLoad
        All kinds with recent requests.
    guaranteed : float
        Share that is guaranteed to each kind.

    Returns
    -------
    float
        Cut of the total load as in `SheddingController.cut`, a natural logarithm.
    """
    total = sum(kind.load for kind in kinds)
    better = sum(kind.load for kind in kinds if kind.step > step)
    if total <= 0.0:
        return -math.log(guaranteed)
    return -math.log(guaranteed + (1.0 - guaranteed) * better / total)
