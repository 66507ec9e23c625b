"""Feedback controller for the share of the load that an entry node admits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Offered load per slot that entry nodes aim at, just below the capacity. Queues stay
# short at that load, since arrivals are counted and not queued requests. A target of
# 0.92 leaves slots idle: the overall score (higher is better) under high load is 0.317,
# against 0.336 at 0.98. With failing and departing servers the scores are nearly equal
# (0.393 and 0.392).
TARGET_FULLNESS = 0.97
# Milliseconds in which an excess by a factor of e reduces the admitted share by a
# factor of e (integral term). Admissions take effect downstream only once earlier call
# trees have ended, 0.5 to 1.2 s later. With half this time, the admitted load
# oscillates permanently from a delay of 0.8 s on, between 0.5 and 1.7 of the capacity:
# call trees admitted at the peaks fail, and slots are idle in the troughs. Of requests
# with twelve calls at 1.6 times the nominal load, 0.18 succeed that way and 0.50 with
# this value.
REACTION_MS = 1_200.0
# Share of an excess that is cut at once, before the integral term (proportional term).
# It reduces a load of twice the capacity to 1.2 within half a second in place of 1.4,
# and narrows the range of the oscillation at a delay of 1.2 s from 0.7-1.2 to 0.8-1.1.
# At 0.5, oscillation begins at a delay of 0.8 s.
PROPORTIONAL_GAIN = 0.3
# Reaction time in milliseconds once the least important kinds are down to their
# guaranteed share: their earlier requests are still in progress, and more important
# kinds must not be cut because of these.
DEEP_REACTION_MS = 2_400.0
# Lower bound of the fullness in the control law. It limits recovery: for nearly idle
# services, such as after their servers stop failing, the admitted share grows by a
# factor of 3.7 each second.
MIN_FULLNESS = 0.2
# Excess (as a logarithm) that is tolerated per unit of cut, so that a deeper cut
# settles at a higher load. All entry nodes see the same load; without this leak,
# differences between their cuts, from noise or a link failure, would persist and leave
# some data centres with a third of the share of others. With it, they decay with a time
# constant of `REACTION_MS / CUT_LEAK` milliseconds.
CUT_LEAK = 0.06


class SheddingController:
    """Controls the share of the load on a kind's call path that may be admitted.

    The state is a single number on a logarithmic scale that refers to the total load
    and not to one kind, so that it follows an excess equally fast whichever kind is
    shed. If the kinds had a cut each, deepened one after the other, then under a
    sustained overload of a quarter a kind with next to no load would have to be cut to
    its minimum before the next one, and call trees with little time to spare would
    never complete.

    Attributes
    ----------
    cut : float
        Natural logarithm of the factor by which the load is reduced; 0 admits all.
    """

    def __init__(self) -> None:
        self.cut = 0.0
        self._proportional = 0.0

    def step(
        self,
        fullness: float,
        elapsed: Milliseconds,
        least_important_cut: float,
        max_cut: float,
        leak: float = CUT_LEAK,
    ) -> None:
        """Adjust the cut to the load on the service and on those downstream of it.

        Parameters
        ----------
        fullness : float
            Offered load per slot, the larger of that of the service itself and that of
            the services downstream.
        elapsed : float
            Milliseconds since the last step.
        least_important_cut : float
            Cut at which the kinds that are shed first are at their guaranteed share.
        max_cut : float
            Cut beyond which nothing more would be shed. A deeper one would only delay
            recovery after a surge.
        leak : float, default=CUT_LEAK
            Excess that is tolerated per unit of cut.
        """
        excess = math.log(max(fullness, MIN_FULLNESS) / TARGET_FULLNESS)
        excess -= leak * self.cut
        is_deep = excess > 0.0 and self.cut >= least_important_cut
        reaction = DEEP_REACTION_MS if is_deep else REACTION_MS
        self.cut = max(0.0, self.cut + excess * elapsed / reaction)
        self.cut = min(self.cut, max_cut)
        self._proportional = PROPORTIONAL_GAIN * excess

    def load_share(self, is_worst: bool = True) -> float:
        """Return the share of the total load that may be admitted.

        Parameters
        ----------
        is_worst : bool, default=True
            Whether it is for the kinds that are shed first. Only these are subject to
            the proportional term.

        Returns
        -------
        float
            Share above 0, at most 1.
        """
        proportional = self._proportional if is_worst else 0.0
        return math.exp(-max(self.cut + proportional, 0.0))
