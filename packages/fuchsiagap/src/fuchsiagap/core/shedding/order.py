"""Order in which the kinds of requests are shed."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.shedding.allocation import KindLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routes.model import Route

# A kind is light if its requests make fewer calls than this share of those of the
# heaviest kind of its rank. At a saturated service ten light requests need the capacity
# of one heavy request, so heavy kinds are shed first. Kinds of a rank that differ by
# less share a step: otherwise they would swap places with every sample.
LIGHT_SHARE = 0.25
# Milliseconds without a request after which a kind is dropped. A kind without requests
# would be a step at which shedding has no effect while queues grow.
IDLE_KIND_MS = 5_000.0
# Time constant (to 1/e) of the request counts, in milliseconds: about fifty requests of
# a kind at ten each second.
DECAY_MS = 5_000.0


@dataclass(slots=True)
class _Kind:
    """Recent requests of one kind.

    Parameters
    ----------
    rank : int
        Priority of its route; 0 is the most important.
    last_request_at : float
        Time of the last request in milliseconds.
    calls : float
        Calls that a request makes, including those further downstream.
    n_requests : float
        Decaying count of requests as of `last_request_at`.
    """

    rank: int
    last_request_at: Milliseconds
    calls: float = 0.0
    n_requests: float = 0.0

    def record_request(self, now: Milliseconds) -> None:
        """Count a request."""
        self.n_requests = 1.0 + self.n_requests * math.exp(
            (self.last_request_at - now) / DECAY_MS
        )
        self.last_request_at = now

    def load(self, now: Milliseconds) -> float:
        """Return the load of its requests, including the calls that they make."""
        factor = math.exp((self.last_request_at - now) / DECAY_MS)
        return self.n_requests * factor * (1.0 + self.calls)


class SheddingOrder:
    """Orders the kinds of requests that reach one entry node by importance.

    Kinds are ordered by the priority of their route; within a priority, kinds whose
    requests make many calls are shed before those that make few. Kinds that are shed
    together form a step. Only kinds with recent requests count, so that there is no
    step without any.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}
        self._steps: dict[str, int] = {}

    def record_request(self, route: Route, now: Milliseconds) -> None:
        """Count a request of a route.

        Parameters
        ----------
        route : Route
            Its route, which gives kind and priority.
        now : float
            Time in milliseconds.
        """
        kind = self._kinds.get(route.kind)
        if kind is None or kind.rank != route.priority:
            kind = self._kinds[route.kind] = _Kind(route.priority, now)
            self._steps.clear()
        kind.record_request(now)

    def record_calls(self, name: str, calls: float) -> None:
        """Set how many calls a request of a kind makes, including those downstream."""
        kind = self._kinds.get(name)
        if kind is not None:
            kind.calls = calls
            self._steps.clear()

    def load_by_kind(self) -> dict[str, float]:
        """Return the load of one request of each kind, including its calls."""
        return {name: 1.0 + kind.calls for name, kind in self._kinds.items()}

    def forget(self, now: Milliseconds) -> None:
        """Drop the kinds without requests in the last `IDLE_KIND_MS`."""
        idle = [
            name
            for name, kind in self._kinds.items()
            if now - kind.last_request_at > IDLE_KIND_MS
        ]
        for name in idle:
            del self._kinds[name]
            self._steps.clear()

    def step_by_kind(self) -> Mapping[str, int]:
        """Return the step of each kind with recent requests; 0 is shed first."""
        if not self._steps:
            self._assign_steps()
        return self._steps

    def loads(self, now: Milliseconds) -> list[KindLoad]:
        """Return the step and the load of each kind with recent requests."""
        steps = self.step_by_kind()
        return [
            KindLoad(steps[name], kind.load(now)) for name, kind in self._kinds.items()
        ]

    def _assign_steps(self) -> None:
        heaviest: dict[int, float] = {}
        for kind in self._kinds.values():
            heaviest[kind.rank] = max(heaviest.get(kind.rank, 0.0), kind.calls)
        places = {
            name: (kind.rank, kind.calls >= LIGHT_SHARE * heaviest[kind.rank])
            for name, kind in self._kinds.items()
        }
        order = sorted(set(places.values()), reverse=True)
        self._steps = {name: order.index(place) for name, place in places.items()}
