"""What the entry refuses before any work is done for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.pressure.level import RefusalLevel

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap_node.core.mesh.pressures import Pressures
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds between two steps of the levels: a few within one reaction time.
STEP_MS = 100.0
# Milliseconds after which a refused caller may come back, at least and at most; in
# between it follows the share that is refused.
_RETRY_AFTER_MS = (300.0, 1_500.0)


# Share of the longest wait of a route below which a request has been here before: its
# caller has spent the rest on an earlier attempt.
_CAME_BACK = 0.97
# How much faster the share of those that came back falls than that of new ones. Whoever
# was refused once is refused again while load is shed: each let in would be paid for by
# a new request, that would then be served late, or not at all.
_CAME_BACK_FALL = 3.0


class Admission:
    """Refusal levels of the routes of requests that begin at this node.

    Parameters
    ----------
    pressures : Pressures
        Fullness of the services that a route leads to.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Spreads the first refusals of the nodes, and when callers come back.
    teller : Teller
        Logs.
    """

    def __init__(
        self, pressures: Pressures, clock: Clock, rng: random.Random, teller: Teller
    ) -> None:
        self._pressures = pressures
        self._clock = clock
        self._rng = rng
        self._tell = teller
        self._levels: dict[tuple[str, str], RefusalLevel] = {}
        self._steps_from_worst: dict[str, int] = {}
        self._stepped_at = clock.now()
        self._longest: dict[str, Milliseconds] = {}
        self._credit: dict[tuple[str, bool], float] = {}

    def came_back(self, route: Route, wait: Milliseconds | None) -> bool:
        """Whether a request's remaining time tells of an earlier attempt."""
        if wait is None:
            return False
        longest = self._longest.get(route.name, 0.0)
        if wait >= longest:
            self._longest[route.name] = wait
        return wait < _CAME_BACK * longest

    def step(self) -> None:
        """Let each level follow the fullness of its service."""
        now = self._clock.now()
        elapsed, self._stepped_at = now - self._stepped_at, now
        for (service, route), level in self._levels.items():
            was_open = level.cut == 0.0
            fullness = self._pressures.of(service, route)
            level.step(fullness, min(elapsed, 5 * STEP_MS))
            level.hold_within(self._steps_from_worst.get(route, 0))
            if was_open != (level.cut == 0.0):
                self._tell.event(
                    "admission-changed",
                    service=service,
                    route=route,
                    fullness=round(fullness, 2),
                    refusing=was_open,
                )

    def admitted_share(self, service: str, route: Route, lowest_rank: int) -> float:
        """Return the share of a route's requests that is let in now."""
        level = self._levels.get((service, route.name))
        if level is None:
            level = self._levels[service, route.name] = RefusalLevel()
        steps = max(lowest_rank - route.priority, 0)
        self._steps_from_worst[route.name] = steps
        return 1.0 if level.cut == 0.0 else level.admitted(steps)

    def shares(self) -> Iterator[tuple[str, str, float]]:
        """Yield service, route and admitted share of what was asked for so far."""
        for (service, route), level in sorted(self._levels.items()):
            steps = self._steps_from_worst.get(route, 0)
            yield service, route, 1.0 if level.cut == 0.0 else level.admitted(steps)

    def admits(self, route: Route, share: float, came_back: bool) -> bool:
        """Return whether one request is let in.

        Requests are let in evenly: draws of their own for each would swing by a
        third at the ten requests a second that one node sees of a route.

        Parameters
        ----------
        route : Route
            Its route.
        share : float
            Admitted share of its rank.
        came_back : bool
            Whether its caller has tried before.
        """
        if share >= 1.0:
            return True
        if came_back:
            share = max(1.0 - _CAME_BACK_FALL * (1.0 - share), 0.0)
        credit = self._credit.get((route.name, came_back), self._rng.random())
        credit += share
        admitted = credit >= 1.0
        self._credit[route.name, came_back] = credit - admitted
        return admitted

    def retry_after(self, share: float) -> Milliseconds:
        """Return when a refused caller may come back."""
        least, most = _RETRY_AFTER_MS
        wait = least + (most - least) * (1.0 - share)
        return wait * (0.8 + 0.4 * self._rng.random())
