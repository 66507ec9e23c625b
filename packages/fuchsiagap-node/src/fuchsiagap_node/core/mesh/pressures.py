"""How full the services are that the requests of a route lead to."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.placement.choice import service_failing, service_fullness
from fuchsiagap_node.core.mesh.messages import NO_CALLS

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.messages import DownstreamSummary
    from fuchsiagap_node.core.mesh.peers import Peers

# Milliseconds after its last call for which a service counts as called.
_CALLED_MS = 10_000.0
# Milliseconds for which a computed fullness is good: many answers carry it.
_FRESH_MS = 50.0
# Milliseconds over which what replies say is smoothed (to 1/e), and forgotten once no
# more replies come.
_SMOOTHED_MS = 60.0
_FORGOTTEN_MS = 2_000.0
# What a fullness loses from one service to the next one up, and the share that it loses
# of what is above 1. Services may call each other in a circle, and without a loss on
# the way round a fullness in it would never fall. A loss by a share of the whole made
# the same service look fuller, by 9 of 100, to its direct callers than to those three
# services above it, so the direct ones were refused first.
_LOST = 0.01
_LOST_OF_EXCESS = 0.03
# Weight of one request in the mean number of calls of its route: about the last 20.
_CALLS_WEIGHT = 0.05


@dataclass(slots=True)
class _Below:
    """What replies said of the services below a route, and when."""

    value: float
    at: Milliseconds
    calls: float


@dataclass(slots=True)
class _Computed:
    """A fullness computed at a time."""

    value: float
    at: Milliseconds


class Pressures:
    """Follows fullness from service to called service, for each route by itself.

    Two routes to one service may differ in what they call: what a request does not
    lead to is no reason to refuse it.

    Parameters
    ----------
    peers : Peers
        Doors and their fullness.
    clock : Clock
        Time in milliseconds.
    """

    def __init__(self, peers: Peers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._below: dict[tuple[str, str], _Below] = {}
        self._called: dict[str, dict[tuple[str, str], Milliseconds]] = {}
        self._computed: dict[str, _Computed] = {}

    def note_reply(self, service: str, route: str, below: DownstreamSummary) -> None:
        """Take in what a reply says of the services below its route."""
        fullness, calls, failed = below
        now = self._clock.now()
        known = self._below.get((service, route))
        if known is None:
            self._below[service, route] = _Below(fullness, now, calls)
            return
        weight = 1.0 - math.exp((known.at - now) / _SMOOTHED_MS)
        known.value += (fullness - known.value) * weight
        if not failed or calls > known.calls:
            # A tree that was given up says less than what a whole one makes.
            known.calls += (calls - known.calls) * _CALLS_WEIGHT
        known.at = now

    def note_call(self, parent_route: str, service: str, route: str) -> None:
        """Count a call made by a request of a route that runs here."""
        calls = self._called.setdefault(parent_route, {})
        calls[service, route] = self._clock.now()

    def makes_calls(self, service: str, route: str) -> bool:
        """Whether requests of a route make calls at a service."""
        known = self._below.get((service, route))
        return known is not None and known.value > NO_CALLS / 2

    def calls(self, service: str, route: str) -> float:
        """Return how many calls a request of a route makes, with those below."""
        known = self._below.get((service, route))
        return 0.0 if known is None else known.calls

    def of(self, service: str, route: str) -> float:
        """Return the fullness that requests of a route meet at a service and below."""
        own = service_fullness(self._peers.targets(service))
        known = self._below.get((service, route))
        if known is None or known.value <= 0.0:
            return own
        age = self._clock.now() - known.at
        return max(own, known.value * math.exp(-age / _FORGOTTEN_MS))

    def below(self, route: str) -> float:
        """Return the fullness below requests of a route that run here.

        Returns
        -------
        float
            `NO_CALLS` if they make none.
        """
        calls = self._called.get(route)
        if not calls:
            return NO_CALLS
        now = self._clock.now()
        computed = self._computed.get(route)
        if computed is None or now - computed.at >= _FRESH_MS:
            self._drop_old(calls, now)
            fullest = max((self._met(*call) for call in calls), default=0.0)
            computed = _Computed(round(_passed_on(fullest), 3), now)
            self._computed[route] = computed
        return computed.value

    def _met(self, service: str, route: str) -> float:
        failing = service_failing(self._peers.targets(service))
        return self.of(service, route) + failing

    @staticmethod
    def _drop_old(
        calls: dict[tuple[str, str], Milliseconds], now: Milliseconds
    ) -> None:
        for call in [c for c, at in calls.items() if now - at > _CALLED_MS]:
            del calls[call]


def _passed_on(fullness: float) -> float:
    """Return what a fullness counts for one service further up."""
    lost = _LOST + _LOST_OF_EXCESS * max(fullness - 1.0, 0.0)
    return max(fullness - lost, 0.0)
