"""The share of the load that an entry lets in, from the load below."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Load offered to each place that the entries aim at: just below what the servers bear.
# Queues are short there, since what arrives is counted, not what waits. At 0.92 places
# stayed empty: a day of high load was worth 0.317, at 0.98 0.336; a day of failing and
# leaving servers 0.393 and 0.392.
TARGET_FULLNESS = 0.97
# Milliseconds in which the room follows an excess by a factor e. What is let in shows
# below only once the trees before it have ended, 0.5 to 1.2 s later. Steered twice as
# fast, the room swings for good from a delay of 0.8 s on, between 0.5 and 1.7 of what
# there is (`test_level`): trees let in at its height fail, and at its depth places are
# empty. Lookups of twelve calls: 0.18 served so, 0.50 with this (real processes, 1.6
# times the load of a sheet).
REACTION_MS = 1_200.0
# Part of an excess that is cut at once, before its effect shows. Twice the load is down
# to 1.2 after half a second in place of 1.4, and the swing at a delay of 1.2 s is 0.8
# to 1.1 in place of 0.7 to 1.2; with 0.5, it begins to swing at 0.8 s.
PROPORTIONAL_GAIN = 0.3
# The same once the worst kinds are cut as deep as they can be: what they sent before is
# still on its way, and the better ones are not to pay for that.
DEEP_REACTION_MS = 2_400.0
# The least load that the way back follows: services that are nearly empty, as when
# their servers stop failing, let in 3.7 times as much each second.
MIN_FULLNESS = 0.2
# Excess that each factor e of a cut stands for: the deeper the cut, the higher the load
# at which it stands. All entries see the same load, and without this what differs
# between their cuts, from noise or from a link that was cut for a while, would stay for
# good: data centres were left with a third of the share of others. It fades within
# `REACTION_MS / FADE`.
CUT_LEAK = 0.06


class SheddingController:
    """Share of the load of one kind's way that may come in.

    The state is one number on a logarithmic scale, of the whole load and not of one
    kind, so that it follows an excess equally fast whichever kind gives way. As a depth
    to which one kind was cut after the other, it had to cut a kind that asks for next
    to nothing to its least, at a standing overload of a quarter, before the next one
    gave way: trees with little time to spare never got through.

    Attributes
    ----------
    cut : float
        How far the load is cut, as a natural logarithm; 0 admits all.
    """

    def __init__(self) -> None:
        self.cut = 0.0
        self._at_once = 0.0

    def step(
        self, fullness: float, elapsed: Milliseconds, worst: float, most: float
    ) -> None:
        """Follow the load on the service and on those below it.

        Parameters
        ----------
        fullness : float
            Load offered to each place, the larger of own and below.
        elapsed : float
            Milliseconds since the last step.
        worst : float
            The cut at which the kinds that give way first have only what is kept.
        most : float
            The cut beyond which nothing more would change: it would have to be taken
            back first once a surge ends.
        """
        excess = math.log(max(fullness, MIN_FULLNESS) / TARGET_FULLNESS)
        excess -= CUT_LEAK * self.cut
        is_deep = excess > 0.0 and self.cut >= worst
        reaction = DEEP_REACTION_MS if is_deep else REACTION_MS
        self.cut = max(0.0, self.cut + excess * elapsed / reaction)
        self.cut = min(self.cut, most)
        self._at_once = PROPORTIONAL_GAIN * excess

    def load_share(self, is_worst: bool = True) -> float:
        """Return the share of the load that may come in.

        Parameters
        ----------
        is_worst : bool, default=True
            Whether it is for the kinds that give way first.
        """
        at_once = self._at_once if is_worst else 0.0
        return math.exp(-max(self.cut + at_once, 0.0))
