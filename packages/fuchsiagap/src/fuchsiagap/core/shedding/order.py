"""The order in which kinds of requests give way."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.shedding.allocation import KindLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routes.model import Route

# A request is light if it makes fewer calls than this share of the heaviest of its
# rank. At a full service ten light requests take the room of one heavy one, so the
# heavy ones give way first. Ranks whose kinds differ by less stay together: their
# shares would swap places with every sample.
LIGHT_SHARE = 0.25
# Milliseconds without a request after which a kind no longer counts: a kind that nobody
# asks for would be a step at which refusing changes nothing, while queues grow.
IDLE_KIND_MS = 5_000.0
# Milliseconds over which requests are counted (to 1/e): some fifty of a kind at ten a
# second.
DECAY_MS = 5_000.0


@dataclass(slots=True)
class _Kind:
    """What is known of the requests of a route."""

    rank: int
    asked_at: Milliseconds
    calls: float = 0.0
    asked: float = 0.0

    def record_request(self, now: Milliseconds) -> None:
        """Count a request."""
        self.asked = 1.0 + self.asked * math.exp((self.asked_at - now) / DECAY_MS)
        self.asked_at = now

    def load(self, now: Milliseconds) -> float:
        """Return the load of its requests, with the calls that they make."""
        kept = math.exp((self.asked_at - now) / DECAY_MS)
        return self.asked * kept * (1.0 + self.calls)


class SheddingOrder:
    """Ranks the kinds of requests that come to one entry.

    First by the priority of their route, then, of one priority, those whose requests
    make many calls before those that make few. Only kinds that are asked for count: a
    rank without requests is no step that has to be refused first.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}
        self._steps: dict[str, int] = {}

    def record_request(self, route: Route, now: Milliseconds) -> None:
        """Take in that a request of a route comes."""
        kind = self._kinds.get(route.kind)
        if kind is None or kind.rank != route.priority:
            kind = self._kinds[route.kind] = _Kind(route.priority, now)
            self._steps.clear()
        kind.record_request(now)

    def record_calls(self, name: str, calls: float) -> None:
        """Take in how many calls a request of a kind makes, with those below."""
        kind = self._kinds.get(name)
        if kind is not None:
            kind.calls = calls
            self._steps.clear()

    def forget(self, now: Milliseconds) -> None:
        """Forget the kinds that were not asked for of late."""
        old = [
            name
            for name, kind in self._kinds.items()
            if now - kind.asked_at > IDLE_KIND_MS
        ]
        for name in old:
            del self._kinds[name]
            self._steps.clear()

    def step_by_kind(self) -> Mapping[str, int]:
        """Return how many steps give way before each kind asked for of late."""
        if not self._steps:
            self._rank_all()
        return self._steps

    def loads(self, now: Milliseconds) -> list[KindLoad]:
        """Return the load of each kind that was asked for of late."""
        steps = self.step_by_kind()
        return [
            KindLoad(steps[name], kind.load(now)) for name, kind in self._kinds.items()
        ]

    def _rank_all(self) -> None:
        heaviest: dict[int, float] = {}
        for kind in self._kinds.values():
            heaviest[kind.rank] = max(heaviest.get(kind.rank, 0.0), kind.calls)
        places = {
            name: (kind.rank, kind.calls >= LIGHT_SHARE * heaviest[kind.rank])
            for name, kind in self._kinds.items()
        }
        order = sorted(set(places.values()), reverse=True)
        self._steps = {name: order.index(place) for name, place in places.items()}
