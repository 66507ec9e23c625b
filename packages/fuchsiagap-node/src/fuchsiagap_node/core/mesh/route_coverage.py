"""Call trees of a route that the retry budgets of the services on it cover."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.retries.rank_coverage import N_SAMPLING_KEYS
from fuchsiagap.core.retries.tree_coverage import (
    ALL_ADMITTED,
    CoveredAdmission,
    TreeCoverage,
    n_admitted_keys,
)
from fuchsiagap.core.shedding.allocation import MIN_GUARANTEED_SHARE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.placement.choice import Target
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap_node.core.mesh.contention_scope import ContentionScope
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import DownstreamSummary
    from fuchsiagap_node.core.mesh.peers import Peers
    from fuchsiagap_node.core.mesh.route_loads import RouteLoads

# Milliseconds between two steps.
STEP_MS = 100.0


class RouteCoverage:
    """Tracks the coverage of call trees along the call graph, by route and rank.

    Parameters
    ----------
    scope : ContentionScope
        Outside of it, all call trees count as covered.
    peers : Peers
        Backend servers and their failures.
    retry_ratio : callable
        Returns the retries per request that the budget allows.
    route_loads : RouteLoads
        Nested calls that the requests of a route make.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log.

    Attributes
    ----------
    is_in_scope : bool
        Whether the control of contention is in force.
    """

    def __init__(
        self,
        scope: ContentionScope,
        peers: Peers,
        retry_ratio: Callable[[], float],
        route_loads: RouteLoads,
        clock: Clock,
        event_log: EventLog,
    ) -> None:
        self._scope = scope
        self._peers = peers
        self._retry_ratio = retry_ratio
        self._is_in_force = False
        self._route_loads = route_loads
        self._clock = clock
        self._event_log = event_log
        self._coverage = TreeCoverage()
        self._restricted: set[tuple[str, str]] = set()
        self.is_in_scope = False

    def step(self) -> None:
        """Update the scope, and log where the coverage begins or stops to restrict."""
        self.is_in_scope = self._scope.applies()
        was_in_force, self._is_in_force = self._is_in_force, self._has_failures()
        if was_in_force and not self._is_in_force:
            self._coverage.forget()
        now = self._clock.now()
        known = {
            (service, kind): share
            for service, kind, share in self.shares()
            if self.is_in_scope
        }
        restricted = {key for key, share in known.items() if share < 1.0}
        for service, kind in sorted(restricted ^ self._restricted):
            self._event_log.event(
                "coverage-changed",
                service=service,
                route=kind,
                covered=round(known.get((service, kind), 1.0), 3),
                age=round(self._coverage.age(service, kind, now)),
                restricted=(service, kind) in restricted,
            )
        self._restricted = restricted

    def _has_failures(self) -> bool:
        """Whether any reachable server fails more often than the budget repairs.

        Servers report it at once. Replies of the few call trees that are admitted would
        show seconds later that the failures have ended.
        """
        ratio = self._retry_ratio()
        repairable = ratio / (1.0 + ratio)
        return self.is_in_scope and any(
            target.failing > repairable for target in self._peers.reached()
        )

    def record_sent(self, service: str, route: str, rank: int) -> None:
        """Record that a call was sent.

        Parameters
        ----------
        service : str
            Service of the call.
        route : str
            Route of the call.
        rank : int
            Priority rank of the root request of its call tree.
        """
        if self._is_in_force:
            self._coverage.record_sent(service, _kind(route, rank), self._clock.now())

    def record_reply(
        self, target: Target, route: str, rank: int, below: DownstreamSummary
    ) -> None:
        """Update a route from the summary in a reply.

        Parameters
        ----------
        target : Target
            Server to which the call was sent.
        route : str
            Route of the call.
        rank : int
            Priority rank of the root request of its call tree.
        below : DownstreamSummary
            Summary in the reply.
        """
        keys = below.covered_keys
        if not self._is_in_force:
            return
        kind = _kind(route, rank)
        self._coverage.record(target.service, kind, keys, self._clock.now())

    def downstream_keys(self, route: str, rank: int) -> int:
        """Return the keys that are covered by all services that a route calls.

        Parameters
        ----------
        route : str
            Route of requests that run at the local server.
        rank : int
            Priority rank of the root requests of their call trees.
        """
        if not self._is_in_force:
            return N_SAMPLING_KEYS
        now = self._clock.now()
        keys = (
            self._coverage.covered_keys(service, _kind(called, rank), now)
            for service, called in self._route_loads.nested_calls(route)
        )
        return round(min(keys, default=float(N_SAMPLING_KEYS)))

    def admission(self, service: str, route: Route) -> CoveredAdmission:
        """Return how many of a route's new requests are admitted, and with which keys.

        Idempotent requests are all admitted: they may be repeated if they fail, some
        succeed without retries, and their calls earn retries for the more important
        requests. If they were refused too, the budget would shrink with its use: in
        three windows of refusals, a tenth as many call trees complete.

        Requests that make no calls are admitted as well. One that is refused by the
        server has done no work, and without any retry more of them are answered than
        the budget covers.

        Parameters
        ----------
        service : str
            Service of the requests.
        route : Route
            Their route.
        """
        if not self._is_in_force or not self._route_loads.makes_calls(
            service, route.name
        ):
            return ALL_ADMITTED
        now = self._clock.now()
        kind = _kind(route.name, route.priority)
        if route.idempotent:
            keys = round(self._coverage.covered_keys(service, kind, now))
            return CoveredAdmission(1.0, covered_keys=keys)
        share = self._coverage.share(service, kind, MIN_GUARANTEED_SHARE, now)
        return CoveredAdmission(share, n_admitted_keys(share))

    def shares(self) -> Iterator[tuple[str, str, float]]:
        """Yield service, route with rank, and covered share, as far as known."""
        for service, kind, keys in self._coverage.all(self._clock.now()):
            yield service, kind, round(keys) / N_SAMPLING_KEYS


def _kind(route: str, rank: int) -> str:
    """Return the name under which the calls of a route and rank are known."""
    return f"{route} at {rank}"
