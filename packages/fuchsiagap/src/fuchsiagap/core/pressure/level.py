"""The share of requests refused at the entry, by rank, from the load below."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Load offered to each place that the entries aim at: just below what the servers bear.
# Queues are short there, since what arrives is counted, not what waits. At 0.92 places
# stayed empty: a day of high load was worth 0.317, at 0.98 0.336; a day of failing and
# leaving servers 0.393 and 0.392.
AIM = 0.97
# Milliseconds in which the admitted share follows an excess by a factor e: somewhat
# more than the time from an admission to its effect at the deepest service.
REACTION_MS = 600.0
# The same once the worst rank is cut as deep as it can be: what it sent before is still
# on its way, and the next rank is not to pay for that.
DEEP_REACTION_MS = 2_000.0
# The least load that the way back follows: services that are nearly empty, as when
# their servers stop failing, let in 12 times as much each second.
LEAST_FULLNESS = 0.2
# Excess that each factor e of a cut stands for: the deeper the cut, the higher the load
# at which it stands. All entries see the same load, and without this what differs
# between their cuts, from noise or from a link that was cut for a while, would stay for
# good: data centres were left with a third of the share of others. It fades within
# `REACTION_MS / FADE`.
FADE = 0.06
# The least share of a rank that is let in before the next better one is refused too,
# so that no kind of request is shut out altogether.
LEAST_SHARE = 0.2
# The same for the worst rank, in a surge: what it gives up is worth least.
SURGE_SHARE = 0.05
# Milliseconds over which the admitted share of the worst rank is averaged, and the mean
# below which it is no longer cut to `SURGE_SHARE`: a surge that stays is no surge.
_MEAN_MS = 20_000.0
_LEAST_MEAN = 0.25
# The share below which nothing is cut further.
FLOOR = 0.03
# Kinds of requests above the worst that may be cut one after the other; those beyond,
# which are refused last of all, are left to the queues.
_MOST_STEPS = 4
_DEPTH = -math.log(LEAST_SHARE)
_SURGE_DEPTH = -math.log(SURGE_SHARE)


class RefusalLevel:
    """Admitted share of each rank for the requests of one service.

    The state is one number: the share of all load that may come in, on a logarithmic
    scale. The worst rank is cut first, down to `SURGE_SHARE` or, when the surge
    stays, to `LEAST_SHARE`; then the next one.

    Attributes
    ----------
    cut : float
        How far the admitted share is cut, as a natural logarithm; 0 admits all.
    """

    def __init__(self) -> None:
        self.cut = 0.0
        self._mean = 1.0

    def step(self, fullness: float, elapsed: Milliseconds) -> None:
        """Follow the load on the service and on those below it.

        Parameters
        ----------
        fullness : float
            Load offered to each place, the larger of own and below.
        elapsed : float
            Milliseconds since the last step.
        """
        excess = math.log(max(fullness, LEAST_FULLNESS) / AIM)
        is_deep = excess > 0.0 and self.cut >= self._worst_depth()
        reaction = DEEP_REACTION_MS if is_deep else REACTION_MS
        excess -= FADE * self.cut
        self.cut = max(0.0, self.cut + excess * elapsed / reaction)
        self.cut = min(self.cut, self._worst_depth() + _MOST_STEPS * _DEPTH)
        weight = 1.0 - math.exp(-elapsed / _MEAN_MS)
        self._mean += (self.admitted(0) - self._mean) * weight

    def hold_within(self, steps_from_worst: int) -> None:
        """Do not cut deeper than the requests of one rank can be cut.

        Further cuts would change nothing while the surge lasts, and would have to be
        taken back first once it ends: a route of the worst rank stood at its least
        share for 12 s while the service below it was at a fifth of its places.

        Parameters
        ----------
        steps_from_worst : int
            Rank of the requests, as for `admitted`.
        """
        self.cut = min(self.cut, self._worst_depth() + steps_from_worst * _DEPTH)

    def _worst_depth(self) -> float:
        """Return how deep the worst rank is cut before the next one."""
        return _SURGE_DEPTH if self._mean > _LEAST_MEAN else _DEPTH

    def admitted(self, steps_from_worst: int) -> float:
        """Return the admitted share of a rank.

        Parameters
        ----------
        steps_from_worst : int
            0 for the worst rank in use, 1 for the next better one, and so on.

        Returns
        -------
        float
            Between `FLOOR` and 1.
        """
        depth = self._worst_depth()
        above = 0.0
        if steps_from_worst:
            above = depth + (steps_from_worst - 1) * _DEPTH
            depth = _DEPTH
        mine = min(max(self.cut - above, 0.0), depth)
        return max(math.exp(-mine), FLOOR)
