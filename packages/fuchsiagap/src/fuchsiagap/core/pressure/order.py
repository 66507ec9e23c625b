"""The order in which kinds of requests give way."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routes.model import Route

# A request is light if it makes fewer calls than this share of the heaviest of its
# rank. At a full service ten light requests take the room of one heavy one, so the
# heavy ones give way first. Ranks whose kinds differ by less stay together: their
# shares would swap places with every sample.
LIGHT_SHARE = 0.25
# Milliseconds without a request after which a kind no longer counts: a kind that nobody
# asks for would be a step at which refusing changes nothing, while queues grow.
FORGOTTEN_MS = 5_000.0


@dataclass(slots=True)
class _Kind:
    """What is known of the requests of a route."""

    rank: int
    asked_at: Milliseconds
    calls: float = 0.0


class RefusalOrder:
    """Ranks the kinds of requests that come to one entry.

    First by the priority of their route, then, of one priority, those whose requests
    make many calls before those that make few. Only kinds that are asked for count: a
    rank without requests is no step that has to be refused first.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}
        self._steps: dict[str, int] = {}

    def note_request(self, route: Route, now: Milliseconds) -> None:
        """Take in that a request of a route comes."""
        kind = self._kinds.get(route.name)
        if kind is None or kind.rank != route.priority:
            self._kinds[route.name] = _Kind(route.priority, now)
            self._steps.clear()
        else:
            kind.asked_at = now

    def note_calls(self, route: str, calls: float) -> None:
        """Take in how many calls a request of a route makes, with those below."""
        kind = self._kinds.get(route)
        if kind is not None:
            kind.calls = calls
            self._steps.clear()

    def forget(self, now: Milliseconds) -> None:
        """Forget the kinds that were not asked for of late."""
        old = [
            name
            for name, kind in self._kinds.items()
            if now - kind.asked_at > FORGOTTEN_MS
        ]
        for name in old:
            del self._kinds[name]
            self._steps.clear()

    def steps_from_worst(self, route: str) -> int:
        """Return how many kinds are refused before those of a route.

        0 for the worst, and for a route that nobody asked for of late.
        """
        if not self._steps:
            self._rank_all()
        return self._steps.get(route, 0)

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
