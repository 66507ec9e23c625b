"""Admission of a share of the requests of a kind, evenly over time and clients."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Maximum credit and debt of a caller, and maximum of either for a kind, in requests.
# Older arrivals and admissions do not reflect the capacity available now.
_MAX_CALLER_CREDIT = 2.0
_MAX_CALLER_DEBT = 1.0
_MAX_KIND_CREDIT = 3.0
# Maximum distance, in requests, of a random threshold from one request. It keeps
# clients that send requests in a fixed order from being admitted at the same point of
# every round.
_THRESHOLD_SPREAD = 0.5


@dataclass(slots=True)
class CallerCredit:
    """Admission credit of one caller, for as long as its connection lasts.

    Also that of all callers of a workspace together, if workspaces have different
    shares.

    Parameters
    ----------
    owed : float, default=0.0
        Sum of the admitted shares at its requests so far, less its admitted requests;
        within `_MAX_CALLER_CREDIT` and ``-_MAX_CALLER_DEBT``.
    """

    owed: float = 0.0

    def record(self, share: float, admitted: bool) -> None:
        """Count a request with its share, and whether it was admitted."""
        owed = self.owed + share - admitted
        self.owed = min(max(owed, -_MAX_CALLER_DEBT), _MAX_CALLER_CREDIT)


class FairAdmission:
    """Admits a share of each kind of requests, evenly over time and callers.

    Independent random draws would vary by a third at the ten requests of a kind that
    one node gets each second, so admissions are counted against the sum of the shares.
    The caller's credit and a random threshold are needed as well: with the counts
    alone, 43 of 100 callers in steady rotation get less than a quarter of their share
    in 200 requests each, and most of these get none.

    Parameters
    ----------
    rng : random.Random
        Source of the thresholds.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credit: dict[str, float] = {}
        self._thresholds: dict[str, float] = {}

    def admits(
        self,
        kind: str,
        share: float,
        caller: CallerCredit,
        workspace: CallerCredit | None = None,
    ) -> bool:
        """Decide whether one request is admitted.

        Parameters
        ----------
        kind : str
            Kind of the request.
        share : float
            Share of the kind that is admitted now, from 0 to 1; that of the workspace
            if there is one.
        caller : CallerCredit
            Credit of its caller; updated.
        workspace : CallerCredit, optional
            Credit of its workspace; updated. Without it, a workspace with a low share
            is admitted on the credit that others with a high share add to the kind.

        Returns
        -------
        bool
            Whether the request is admitted.
        """
        if share >= 1.0:
            return True
        credit = self._credit.get(kind)
        if credit is None:
            credit = self._rng.random()
            self._draw_threshold(kind)
        credit = min(credit + share, _MAX_KIND_CREDIT)
        owed = caller.owed if workspace is None else caller.owed + workspace.owed
        admitted = credit + owed >= self._thresholds[kind]
        if admitted:
            credit = max(credit - 1.0, -_MAX_KIND_CREDIT)
            self._draw_threshold(kind)
        self._credit[kind] = credit
        caller.record(share, admitted)
        if workspace is not None:
            workspace.record(share, admitted)
        return admitted

    def _draw_threshold(self, kind: str) -> None:
        """Draw the credit at which the next request of a kind is admitted."""
        spread = self._rng.uniform(-_THRESHOLD_SPREAD, _THRESHOLD_SPREAD)
        self._thresholds[kind] = 1.0 + spread
