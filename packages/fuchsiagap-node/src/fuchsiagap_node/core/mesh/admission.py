"""What the entry refuses before any work is done for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.pressure.evenly import EvenShares
from fuchsiagap.core.pressure.kept import deepest_cut, kept_share, share_of
from fuchsiagap.core.pressure.level import RefusalLevel
from fuchsiagap.core.pressure.order import RefusalOrder

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.pressure.evenly import CallerTurn
    from fuchsiagap.core.pressure.served import ServedShares
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.pressures import Pressures

# Milliseconds between two steps of the levels: a few within one reaction time.
STEP_MS = 100.0
# Shares of a route's latency objective after which a refused caller may come back, at
# least and at most: its answer counts from its first attempt, so one that is let in
# then can still be in time. Spread, so that those refused together do not come
# together.
_RETRY_AFTER_SHARES = (0.2, 0.4)
# Milliseconds that a refused caller stays away at least.
_LEAST_RETRY_AFTER_MS = 40.0


class Admission:
    """Refusal levels of the routes of requests that begin at this node.

    Parameters
    ----------
    pressures : Pressures
        Fullness of the services that a route leads to.
    served : ServedShares
        What the callers of this node got.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Spreads the first refusals of the nodes, and when callers come back.
    event_log : EventLog
        Logs.
    """

    def __init__(
        self,
        pressures: Pressures,
        served: ServedShares,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        self._pressures = pressures
        self._served = served
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._levels: dict[tuple[str, str], RefusalLevel] = {}
        self._order = RefusalOrder()
        self._stepped_at = clock.now()
        self._even = EvenShares(rng)
        self._shares: dict[tuple[str, str], float] = {}
        # Names of routes by the kinds of their requests.
        self._routes: dict[str, str] = {}

    def step(self) -> None:
        """Let each level follow the fullness of its service."""
        now = self._clock.now()
        elapsed, self._stepped_at = now - self._stepped_at, now
        self._order.forget(now)
        self._learn_calls()
        steps = self._order.steps_from_worst()
        kinds = self._order.loads(now)
        kept = kept_share(self._served.whole(now))
        worst = deepest_cut(0, kinds, kept)
        for (service, kind), level in self._levels.items():
            was_open = level.cut == 0.0
            fullness = self._pressures.of(service, self._routes[kind])
            step = steps.get(kind)
            most = deepest_cut(step or 0, kinds, kept)
            level.step(fullness, min(elapsed, 5 * STEP_MS), worst, most)
            if step is None:
                # Asked for too seldom to have a place among the kinds, or to matter.
                self._shares[service, kind] = 1.0
            else:
                room = level.room(is_worst=step == 0)
                self._shares[service, kind] = share_of(step, room, kinds, kept)
            if was_open != (level.cut == 0.0):
                self._event_log.event(
                    "admission-changed",
                    service=service,
                    route=kind,
                    fullness=round(fullness, 2),
                    refusing=was_open,
                )

    def _learn_calls(self) -> None:
        """Take in what requests make, of a split route at whichever service is most."""
        most: dict[str, float] = {}
        for service, kind in self._levels:
            calls = self._pressures.calls(service, self._routes[kind])
            most[kind] = max(most.get(kind, 0.0), calls)
        for kind, calls in most.items():
            self._order.note_calls(kind, calls)

    def admitted_share(self, service: str, route: Route) -> float:
        """Return the share of a route's requests that is let in now."""
        asked = service, route.kind
        if asked not in self._levels:
            self._routes[route.kind] = route.name
            self._levels[asked] = RefusalLevel()
            self._shares[asked] = 1.0
        self._order.note_request(route, self._clock.now())
        return self._shares[asked]

    def shares(self) -> Iterator[tuple[str, str, float]]:
        """Yield service, kind and admitted share of what was asked for so far."""
        for (service, kind), share in sorted(self._shares.items()):
            yield service, kind, share

    def route_of(self, kind: str) -> str:
        """Return the name of the route of a kind that was asked for."""
        return self._routes[kind]

    def admits(self, route: Route, share: float, turn: CallerTurn) -> bool:
        """Return whether one request is let in.

        Whether a caller comes back after a refusal makes no difference: nothing in a
        request tells so where callers differ in how long they wait.

        Parameters
        ----------
        route : Route
            Its route.
        share : float
            Admitted share of its rank.
        turn : CallerTurn
            What its caller is owed.
        """
        return self._even.admits(route.kind, share, turn)

    def retry_after(self, route: Route) -> Milliseconds:
        """Return when a refused caller may come back."""
        wait = route.objective * self._rng.uniform(*_RETRY_AFTER_SHARES)
        return max(wait, _LEAST_RETRY_AFTER_MS)
