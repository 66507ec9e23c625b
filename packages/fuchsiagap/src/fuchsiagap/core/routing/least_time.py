"""Estimate of the minimum latency of each route, from recent answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.clock import Milliseconds

# Part of the distance to a new latency by which an estimate moves, before weighting.
_STEP = 0.1
# Quantile of the latencies that the estimates follow.
_QUANTILE = 0.1
# Milliseconds without answers after which an estimate has decayed to 0.
_MEMORY: Milliseconds = 2_000.0


class _Estimate:
    """Estimated minimum latency in milliseconds, and when it was last updated."""

    __slots__ = ("at", "value")

    def __init__(self, value: Milliseconds, at: Milliseconds) -> None:
        self.value = value
        self.at = at


class LeastTimes:
    """Estimates, by route, the time below which an attempt cannot be answered.

    An estimate follows a low quantile of the latencies of answered attempts. It decays
    without new answers, so that a slow phase cannot block a route permanently.
    """

    def __init__(self) -> None:
        self._estimates: dict[tuple[ServiceName, str], _Estimate] = {}

    def learn(
        self,
        service: ServiceName,
        route: str,
        latency: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Update the estimate of a route from an answered attempt.

        Parameters
        ----------
        service : ServiceName
            The called service.
        route : str
            Name of the route.
        latency : float
            Latency of the attempt in milliseconds.
        now : float
            Time in milliseconds on the clock of the process.
        """
        key = (service, route)
        estimate = self._estimates.get(key)
        if estimate is None:
            self._estimates[key] = _Estimate(latency, now)
            return
        estimate.at = now
        if latency < estimate.value:
            estimate.value += (latency - estimate.value) * _STEP * (1 - _QUANTILE)
        else:
            rise = min(latency - estimate.value, estimate.value)
            estimate.value += rise * _STEP * _QUANTILE

    def least(
        self, service: ServiceName, route: str, now: Milliseconds
    ) -> Milliseconds:
        """Return the estimated minimum latency of a route.

        Parameters
        ----------
        service : ServiceName
            The called service.
        route : str
            Name of the route.
        now : float
            Time in milliseconds on the clock of the process.

        Returns
        -------
        float
            Milliseconds; 0 if not known.
        """
        estimate = self._estimates.get((service, route))
        if estimate is None:
            return 0.0
        age = now - estimate.at
        return estimate.value * max(1.0 - age / _MEMORY, 0.0)
