"""Mean latency of calls at the backend server, by route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Weight of a new sample in the moving averages.
_SMOOTHING = 0.1


class ServiceTimes:
    """Moving averages of the latency of answered calls."""

    def __init__(self) -> None:
        self._by_route: dict[str, Milliseconds] = {}
        self._overall: Milliseconds = 0.0

    @property
    def overall(self) -> Milliseconds:
        """Average over all routes in milliseconds; 0 before the first answer."""
        return self._overall

    def add(self, route: str, latency: Milliseconds) -> None:
        """Record the latency of an answered call."""
        self._overall = _smoothed(self._overall, latency)
        self._by_route[route] = _smoothed(self._by_route.get(route, 0.0), latency)

    def expected(self, route: str) -> Milliseconds:
        """Return the expected latency of a route's calls; 0 if unknown."""
        return self._by_route.get(route, 0.0)


def _smoothed(average: Milliseconds, sample: Milliseconds) -> Milliseconds:
    if average == 0.0:
        return sample
    return average + _SMOOTHING * (sample - average)
