"""Fullness of the services that the requests of a route reach, directly or nested.

The fullness of a service is its offered load relative to its capacity.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.placement.choice import service_failure_load, service_fullness
from fuchsiagap_node.core.mesh.messages import NO_CALLS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.messages import DownstreamSummary
    from fuchsiagap_node.core.mesh.peers import Peers

# Milliseconds after the last call to a service for which it counts as called by a
# route.
_CALL_RETENTION_MS = 10_000.0
# Milliseconds for which a computed fullness is reused, since many answers carry it.
_CACHE_MS = 50.0
# Time constants (to 1/e) in milliseconds: of the smoothing of reported values, and of
# their decay once no more replies arrive.
_SMOOTHING_MS = 60.0
_DECAY_MS = 2_000.0
# Loss of fullness from a service to its caller: a constant, and a share of the excess
# above 1. Services may call each other in a cycle, in which a fullness would never fall
# without a loss. A loss in proportion to the whole fullness would make a service look
# nine percent fuller to its direct callers than to callers three services above it, so
# that the direct ones would be refused first.
_HOP_LOSS = 0.01
_HOP_LOSS_OF_EXCESS = 0.03
# Weight of one request in the moving average of the number of nested calls of a route,
# which spans about the last 20 requests.
_CALLS_WEIGHT = 0.05


@dataclass(slots=True)
class _CallSummary:
    """Summary, from replies, of the nested calls that a route's requests make.

    Parameters
    ----------
    value : float
        Smoothed fullness of the services that are called; `NO_CALLS` if there are none.
    at : float
        Local time in milliseconds of the last reply.
    calls : float
        Average number of nested calls of a request, at all depths.
    """

    value: float
    at: Milliseconds
    calls: float


@dataclass(slots=True)
class _CachedFullness:
    """A cached fullness.

    Parameters
    ----------
    value : float
        The fullness.
    at : float
        Local time in milliseconds of its computation.
    """

    value: float
    at: Milliseconds


class RouteLoads:
    """Tracks the fullness of services along the call graph, separately for each route.

    Two routes to one service may differ in the services that they call. A request is
    not refused for the load of a service that it does not reach.

    Parameters
    ----------
    peers : Peers
        Backend servers and their load.
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._summaries: dict[tuple[str, str], _CallSummary] = {}
        self._calls_by_route: dict[str, dict[tuple[str, str], Milliseconds]] = {}
        self._cache: dict[str, _CachedFullness] = {}

    def record_reply(self, service: str, route: str, below: DownstreamSummary) -> None:
        """Update a route from the summary of nested calls in a reply."""
        fullness, calls, failed, _ = below
        now = self._clock.now()
        known = self._summaries.get((service, route))
        if known is None:
            self._summaries[service, route] = _CallSummary(fullness, now, calls)
            return
        weight = 1.0 - math.exp((known.at - now) / _SMOOTHING_MS)
        known.value += (fullness - known.value) * weight
        if not failed or calls > known.calls:
            # A failed call tree was abandoned early, so its number of calls is only a
            # lower bound.
            known.calls += (calls - known.calls) * _CALLS_WEIGHT
        known.at = now

    def record_nested_call(self, parent_route: str, service: str, route: str) -> None:
        """Record a nested call made by a request that runs on this host."""
        calls = self._calls_by_route.setdefault(parent_route, {})
        calls[service, route] = self._clock.now()

    def nested_calls(self, route: str) -> Iterable[tuple[str, str]]:
        """Return service and route of the calls that a route's requests here make."""
        return self._calls_by_route.get(route, ())

    def makes_calls(self, service: str, route: str) -> bool:
        """Whether requests of a route make nested calls when a service runs them."""
        known = self._summaries.get((service, route))
        # The value is smoothed between `NO_CALLS`, which is negative, and a fullness.
        return known is not None and known.value > NO_CALLS / 2

    def calls(self, service: str, route: str) -> float:
        """Return the average number of nested calls of a request, at all depths."""
        known = self._summaries.get((service, route))
        return 0.0 if known is None else known.calls

    def reply_age(self, service: str, route: str) -> Milliseconds:
        """Return the milliseconds since the last reply; infinity before the first."""
        known = self._summaries.get((service, route))
        return math.inf if known is None else self._clock.now() - known.at

    def fullness(self, service: str, route: str) -> float:
        """Return the highest fullness among a service and those that it calls."""
        own = service_fullness(self._peers.targets(service))
        known = self._summaries.get((service, route))
        if known is None or known.value <= 0.0:
            return own
        age = self._clock.now() - known.at
        return max(own, known.value * math.exp(-age / _DECAY_MS))

    def downstream_fullness(self, route: str) -> float:
        """Return the fullness of the services that a route's requests here call.

        Failure shares count as additional fullness. The result is reduced by the loss
        of one hop.

        Parameters
        ----------
        route : str
            Route of the requests.

        Returns
        -------
        float
            `NO_CALLS` if they make no calls.
        """
        calls = self._calls_by_route.get(route)
        if not calls:
            return NO_CALLS
        now = self._clock.now()
        cached = self._cache.get(route)
        if cached is None or now - cached.at >= _CACHE_MS:
            self._drop_old(calls, now)
            fullest = max(
                (self._fullness_with_failures(*call) for call in calls), default=0.0
            )
            cached = _CachedFullness(round(_propagated(fullest), 3), now)
            self._cache[route] = cached
        return cached.value

    def _fullness_with_failures(self, service: str, route: str) -> float:
        failing = service_failure_load(self._peers.targets(service))
        return self.fullness(service, route) + failing

    @staticmethod
    def _drop_old(
        calls: dict[tuple[str, str], Milliseconds], now: Milliseconds
    ) -> None:
        for call in [c for c, at in calls.items() if now - at > _CALL_RETENTION_MS]:
            del calls[call]


def _propagated(fullness: float) -> float:
    """Return the fullness that a service passes on to its caller."""
    lost = _HOP_LOSS + _HOP_LOSS_OF_EXCESS * max(fullness - 1.0, 0.0)
    return max(fullness - lost, 0.0)
