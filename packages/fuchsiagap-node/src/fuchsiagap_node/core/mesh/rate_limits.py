"""Admission by rate of one entry node: its estimate of room and its token buckets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.shedding.controller import CUT_LEAK
from fuchsiagap.core.shedding.rate_admission import START_SHARE, RateAdmission
from fuchsiagap.core.shedding.room import STALE_MS, Room

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.shedding.controller import SheddingController
    from fuchsiagap.core.shedding.order import SheddingOrder
    from fuchsiagap.core.shedding.room import Target
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.route_loads import RouteLoads

# Share of the load to which a controller's cut is limited when the estimate ends.
_MIN_SHARE = 0.05
# Milliseconds without a limit after which a kind counts as unlimited. Random arrivals
# at one node cause limits of a few tenths of a second at a load just below capacity.
_UNLIMITED_MS = 2_000.0
# Fullness by which a controller corrects the admitted rate at most. A higher one is
# mostly the backlog of an excess that is over when it is known here.
MAX_CORRECTED = 1.6
# Requests per second from which the load that a node sees after its start may be part
# of a peak.
BUSY_PER_S = 8.0
# Milliseconds after the start of a process in which other nodes may have started with
# it, and fullness below which a service counts as idle.
YOUNG_MS = 5_000.0
IDLE_FULLNESS = 0.05
# Fullness of a service from which a node without an estimate is cautious.
CAUTIOUS_FULLNESS = 0.8
# Fullness below which nothing is limited: a burst by half of the load still fits. The
# estimate lags behind a load that rises from almost nothing, and half of the requests
# would be refused for a second where half of the capacity is used.
FREE_FULLNESS = 0.65
# Excess per unit of cut at which a controller settles that corrects the rate. With the
# usual leak, the cut persists for 2 s after an excess that the estimated room already
# accounts for, and a sixth of the capacity stays unused.
CORRECTION_LEAK = 1.0


class RateLimits:
    """Limits the load that an entry node admits to its estimated room.

    Parameters
    ----------
    route_loads : RouteLoads
        Fullness of the services that a route's requests reach.
    event_log : EventLog
        Event log.
    has_restarted : bool, default=True
        Whether the process starts in a deployment that was in use before.

    Attributes
    ----------
    room : Room
        Estimated room.
    """

    def __init__(
        self, route_loads: RouteLoads, event_log: EventLog, has_restarted: bool = True
    ) -> None:
        self._route_loads = route_loads
        self._event_log = event_log
        self._buckets: dict[Target, RateAdmission] = {}
        self._cautious: set[Target] = set()
        self._has_restarted = has_restarted
        self._age_ms = 0.0
        # Fullness as last reported.
        self._reported: dict[Target, float] = {}
        # Milliseconds since a target was last limited.
        self._limited: dict[Target, Milliseconds] = {}
        self._out_of_scope_ms = math.inf
        self._admitted = 0.0
        self._elapsed = 0.0
        self.room = Room()

    def record(self, kind: str, admitted: bool) -> None:
        """Count a request and whether it was admitted."""
        if self._is_recording:
            self.room.record(kind, admitted)

    def step(
        self,
        in_scope: bool,
        elapsed: Milliseconds,
        order: SheddingOrder,
        controllers: Mapping[Target, SheddingController],
        routes: Mapping[str, str],
    ) -> bool:
        """Update the estimate.

        The cut of a controller refers to the room while there is an estimate, and to
        the demand otherwise, so that it is converted when the estimate begins or ends.

        Parameters
        ----------
        in_scope : bool
            Whether requests may be admitted by rate.
        elapsed : float
            Milliseconds since the last step.
        order : SheddingOrder
            Kinds of requests with the load of a request of each.
        controllers : mapping of (str, str) to SheddingController
            Controllers of all services and kinds.
        routes : mapping of str to str
            Route names by kind.

        Returns
        -------
        bool
            Whether `load_share` is to be used until the next step.
        """
        self._age_ms += elapsed
        self._out_of_scope_ms = 0.0 if in_scope else self._out_of_scope_ms + elapsed
        if elapsed <= 0.0 or not self._is_recording:
            return in_scope
        self._admitted = self.room.step(elapsed, order.load_by_kind())
        self._elapsed = elapsed
        for target, controller in controllers.items():
            service, kind = target
            fullness = self._route_loads.fullness(service, routes[kind])
            age = self._route_loads.reply_age(service, routes[kind])
            self._reported[target] = fullness
            self.room.observe(target, fullness, age, elapsed)
            self._convert_cut(target, controller, in_scope)
        if not in_scope:
            for target in self._limited:
                self._report(target, refusing=False)
            self._limited.clear()
            if not self._is_recording:
                self.room = Room()
        return in_scope

    @property
    def _is_recording(self) -> bool:
        """Whether requests are counted: in scope, and as long as that is kept."""
        return self._out_of_scope_ms <= STALE_MS

    def _convert_cut(
        self, target: Target, controller: SheddingController, in_scope: bool
    ) -> None:
        """Convert a controller's cut when an estimate begins or ends."""
        has_estimate = in_scope and math.isfinite(self.room.room(target))
        if has_estimate == (target in self._buckets):
            return
        if has_estimate:
            self._buckets[target] = RateAdmission()
            controller.cut = 0.0
        else:
            share = self._buckets.pop(target).share
            controller.cut = -math.log(max(share, _MIN_SHARE))

    def correction(self, target: Target, fullness: float) -> tuple[float, float]:
        """Return the fullness and the leak with which a controller corrects the rate.

        Without an estimate these are the fullness itself and the usual leak.
        """
        if target not in self._buckets:
            return fullness, CUT_LEAK
        return min(fullness, MAX_CORRECTED), CORRECTION_LEAK

    def load_share(
        self, target: Target, controller_share: float, is_worst: bool
    ) -> float:
        """Return the share of the load that may be admitted.

        Parameters
        ----------
        target : tuple of (str, str)
            Service and kind of the requests.
        controller_share : float
            Share by the shedding controller.
        is_worst : bool
            Whether it is for the kinds that are shed first.

        Returns
        -------
        float
            Share from 0 to 1.
        """
        share = controller_share
        if self._is_cautious(target):
            share *= START_SHARE
        bucket = self._buckets.get(target)
        if bucket is not None:
            share = bucket.load_share(
                self.room.room(target),
                self.room.demand(),
                self.room.mean_demand(),
                self._admitted,
                self.room.largest_load(),
                share,
                self._elapsed,
                is_worst,
            )
        self._update_limited(target, share)
        return share

    def _has_free_capacity(self, target: Target) -> bool:
        """Whether a service has been far from full, now and in the last seconds."""
        if self.room.age(target) > STALE_MS:
            return False
        fullness = self._reported.get(target, 0.0)
        return max(fullness, self.room.fullness(target)) < FREE_FULLNESS

    def _is_cautious(self, target: Target) -> bool:
        """Whether a node admits less than what is requested, without an estimate.

        It does so where replies have ceased or have just returned, and after its start
        if a service is reported to be full, or is idle after a restart, since all nodes
        may have restarted then. A node that starts beside others in a calm deployment
        refuses nothing.
        """
        if self.room.is_resuming(target):
            return True
        if not self.room.is_starting(target):
            self._cautious.discard(target)
            return False
        fullness = self._reported.get(target, 0.0)
        is_new = (
            self._has_restarted
            and self._age_ms < YOUNG_MS
            and self.room.requests_since_start_per_s() >= BUSY_PER_S
        )
        if fullness >= CAUTIOUS_FULLNESS or (is_new and fullness < IDLE_FULLNESS):
            self._cautious.add(target)
        return target in self._cautious

    def rooms(self) -> Iterator[tuple[str, str, float]]:
        """Yield service, kind and estimated room, in calls per second."""
        for service, kind in sorted(self._buckets):
            yield service, kind, self.room.room((service, kind)) * MS_PER_S

    def demand(self) -> float:
        """Return the load of all requests lately, in calls per second."""
        return self.room.demand() * MS_PER_S

    def _update_limited(self, target: Target, share: float) -> None:
        """Report when admission by rate begins or ends to limit a kind."""
        if share < 1.0:
            if target not in self._limited:
                self._report(target, refusing=True)
            self._limited[target] = 0.0
        elif target in self._limited:
            self._limited[target] += self._elapsed
            if self._limited[target] >= _UNLIMITED_MS:
                self._report(target, refusing=False)
                del self._limited[target]

    def _report(self, target: Target, refusing: bool) -> None:
        service, kind = target
        room, age = self.room.room(target) * MS_PER_S, self.room.age(target)
        self._event_log.event(
            "rate-admission-changed",
            service=service,
            route=kind,
            refusing=refusing,
            room=round(room) if math.isfinite(room) else None,
            demand=round(self.demand()),
            fullness=round(self.room.fullness(target), 2),
            age=round(age) if math.isfinite(age) else None,
        )
