"""Admission control at the entry node, by the load of the services on a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.shedding.allocation import guaranteed_share, max_cut, share_of_step
from fuchsiagap.core.shedding.controller import SheddingController
from fuchsiagap.core.shedding.fair_admission import FairAdmission
from fuchsiagap.core.shedding.order import SheddingOrder
from fuchsiagap_node.core.mesh.rate_limits import RateLimits

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.shedding.fair_admission import CallerCredit
    from fuchsiagap.core.shedding.served import ServedShares
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.route_loads import RouteLoads

# Milliseconds between two steps of the shedding controllers; a few steps fit into the
# reaction time of a controller.
STEP_MS = 100.0
# Bounds of the retry-after time, as shares of a route's latency objective. The
# objective counts from the caller's first attempt, so a request that is admitted when
# it is retried can still meet it. The time is drawn at random between the bounds, so
# that callers refused together do not come back together.
_RETRY_AFTER_SHARES = (0.2, 0.4)
# Lower bound of the retry-after time in milliseconds.
_MIN_RETRY_AFTER_MS = 40.0


class Admission:
    """Decides which of the requests that enter at this node are admitted.

    Keeps a shedding controller for each service and kind of request.

    Parameters
    ----------
    route_loads : RouteLoads
        Fullness of the services that a route's requests reach.
    served : ServedShares
        Shares of the requests of this node's callers that succeeded, by route.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Staggers the first refusals across nodes, and the retry-after times.
    event_log : EventLog
        Event log.
    in_scope : callable, optional
        Returns whether requests are admitted by rate; see `ContentionScope`. By default
        they are not.
    has_restarted : bool, default=True
        Whether the process starts in a deployment that was in use before.

    Attributes
    ----------
    limits : RateLimits
        Admission by rate.
    """

    def __init__(
        self,
        route_loads: RouteLoads,
        served: ServedShares,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
        in_scope: Callable[[], bool] = lambda: False,
        has_restarted: bool = True,
    ) -> None:
        self._route_loads = route_loads
        self._served = served
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._controllers: dict[tuple[str, str], SheddingController] = {}
        self._order = SheddingOrder()
        self._stepped_at = clock.now()
        self._fair_admission = FairAdmission(rng)
        self._shares: dict[tuple[str, str], float] = {}
        # Route names by kind of request.
        self._routes: dict[str, str] = {}
        self._in_scope = in_scope
        self.limits = RateLimits(route_loads, event_log, has_restarted)

    def step(self) -> None:
        """Update each shedding controller from the fullness of its service."""
        now = self._clock.now()
        elapsed, self._stepped_at = now - self._stepped_at, now
        self._order.forget(now)
        self._update_call_counts()
        steps = self._order.step_by_kind()
        kinds = self._order.loads(now)
        guaranteed = guaranteed_share(self._served.overall_share(now))
        max_cut_of_lowest = max_cut(0, kinds, guaranteed)
        controllers = self._controllers
        by_rate = self.limits.step(
            self._in_scope(), elapsed, self._order, controllers, self._routes
        )
        for (service, kind), controller in self._controllers.items():
            was_admitting_all = controller.cut == 0.0
            fullness = self._route_loads.fullness(service, self._routes[kind])
            step = steps.get(kind)
            max_cut_of_kind = max_cut(step or 0, kinds, guaranteed)
            corrected, leak = self.limits.correction((service, kind), fullness)
            controller.step(
                corrected,
                min(elapsed, 5 * STEP_MS),
                max_cut_of_lowest,
                max_cut_of_kind,
                leak,
            )
            if step is None:
                # Requested too rarely to be ranked among the kinds; all are admitted,
                # which adds hardly any load.
                self._shares[service, kind] = 1.0
            else:
                is_worst = step == 0
                load_share = controller.load_share(is_worst)
                if by_rate:
                    target = service, kind
                    load_share = self.limits.load_share(target, load_share, is_worst)
                self._shares[service, kind] = share_of_step(
                    step, load_share, kinds, guaranteed
                )
            if was_admitting_all != (controller.cut == 0.0):
                self._event_log.event(
                    "admission-changed",
                    service=service,
                    route=kind,
                    fullness=round(fullness, 2),
                    refusing=was_admitting_all,
                )

    def _update_call_counts(self) -> None:
        """Update the number of nested calls that one request of each kind makes.

        For a route that is split over several services, the largest of their numbers
        is used.
        """
        max_calls: dict[str, float] = {}
        for service, kind in self._controllers:
            calls = self._route_loads.calls(service, self._routes[kind])
            max_calls[kind] = max(max_calls.get(kind, 0.0), calls)
        for kind, calls in max_calls.items():
            self._order.record_calls(kind, calls)

    def admitted_share(self, service: str, route: Route) -> float:
        """Return the share of a route's requests that is admitted now."""
        key = service, route.kind
        if key not in self._controllers:
            self._routes[route.kind] = route.name
            self._controllers[key] = SheddingController()
            self._shares[key] = 1.0
        self._order.record_request(route, self._clock.now())
        return self._shares[key]

    def shares(self) -> Iterator[tuple[str, str, float]]:
        """Yield service, kind and admitted share of each kind requested so far."""
        for (service, kind), share in sorted(self._shares.items()):
            yield service, kind, share

    def route_of(self, kind: str) -> str:
        """Return the route name of a kind that has been requested."""
        return self._routes[kind]

    def admits(
        self,
        route: Route,
        share: float,
        credit: CallerCredit,
        workspace_credit: CallerCredit | None = None,
    ) -> bool:
        """Return whether a request is admitted.

        First attempts and retries after a refusal are treated alike: callers differ in
        how long they wait, so a request does not show whether it is a retry.

        Parameters
        ----------
        route : Route
            Route of the request.
        share : float
            Admitted share of its kind, from `admitted_share`, or of its workspace.
        credit : CallerCredit
            Admissions that its caller is owed, for fairness among callers.
        workspace_credit : CallerCredit, optional
            Admissions that its workspace is owed, if `share` is that of the workspace.
        """
        admitted = self._fair_admission.admits(
            route.kind, share, credit, workspace_credit
        )
        self.limits.record(route.kind, admitted)
        return admitted

    def retry_after(self, route: Route) -> Milliseconds:
        """Return the milliseconds after which a refused caller may retry."""
        wait = route.objective * self._rng.uniform(*_RETRY_AFTER_SHARES)
        return max(wait, _MIN_RETRY_AFTER_MS)
