"""Admission at the rate that the services on a route have room for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.shedding.controller import TARGET_FULLNESS

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Share of the load that a node admits before it has an estimate. During a peak, in
# which all nodes may have started together, 1.4 of the capacity is requested.
START_SHARE = 0.6
# Milliseconds of the admitted rate that the bucket holds, and that it may be in debt.
# Arrivals at one node vary by a third within a second; but what the buckets hold is
# admitted in excess at the onset of a surge: at 400 ms, 0.08 of the trees fail there.
BURST_MS = 200.0
# Requests of the heaviest kind that the bucket holds at least, for nodes with few.
MIN_BURST_REQUESTS = 2.0
# Milliseconds within which the content of the bucket, or its debt, is used up.
SPREAD_MS = 400.0
# Exponent by which a node that refuses much gets a larger part of the capacity. Parts
# of entry nodes are proportional to what they admitted before, so that differences
# from random arrivals would persist: the admitted shares of 60 nodes differ by 0.19
# (standard deviation) with 0, and by 0.07 with this value.
EQUALIZING = 0.1
# Exponent of the controller's correction for kinds that are not shed first. With 1, and
# with debts that count for all kinds, 0.4 of the most important requests are refused in
# a burst to 2.6 times the capacity; with 0, more trees fail in it.
BETTER_CORRECTION = 0.25


class RateAdmission:
    """Token bucket of one service and kind of requests, in units of load.

    It gives the share of the load that may be admitted and not a verdict on each
    request, so that the allocation among kinds (`allocation.share_of_step`), their
    guaranteed shares and the fairness among callers hold as they do for the controller.

    Attributes
    ----------
    rate : float
        Refill rate in load per millisecond.
    share : float
        Share of the load that is admitted since the last step.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self.share = 1.0
        self._tokens = 0.0

    def load_share(
        self,
        room: float,
        demand: float,
        mean_demand: float,
        admitted: float,
        largest: float,
        correction: float,
        elapsed: Milliseconds,
        is_worst: bool = True,
    ) -> float:
        """Return the share of the load that may be admitted until the next step.

        Parameters
        ----------
        room : float
            Estimated room in load per millisecond.
        demand : float
            Load of all requests in load per millisecond.
        mean_demand : float
            The same, averaged over seconds.
        admitted : float
            Load that was admitted since the last step.
        largest : float
            Load of one request of the heaviest kind.
        correction : float
            Factor of the rate by the shedding controller, at most 1.
        elapsed : float
            Milliseconds since the last step.
        is_worst : bool, default=True
            Whether it is for the kinds that are shed first. Only these make up for a
            debt and are subject to the whole correction.

        Returns
        -------
        float
            Share from 0 to 1.
        """
        self.rate = TARGET_FULLNESS * room * correction
        if 0.0 < room < mean_demand:
            self.rate *= (mean_demand / room) ** EQUALIZING
        capacity = max(self.rate * BURST_MS, MIN_BURST_REQUESTS * largest)
        tokens = self._tokens + self.rate * elapsed - admitted
        self._tokens = min(max(tokens, -capacity), capacity)
        if is_worst:
            allowed = max(self.rate + self._tokens / SPREAD_MS, 0.0)
        else:
            relief = correction ** (1.0 - BETTER_CORRECTION)
            allowed = self.rate / relief + max(self._tokens, 0.0) / SPREAD_MS
        self.share = min(allowed / demand, 1.0) if demand > 0.0 else 1.0
        return self.share
