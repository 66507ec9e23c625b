"""Admission levels that the services downstream of a route have reported.

The downstream services of a route are those that its calls call in turn.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.admission.position import OPEN_POSITION, position_of
from fuchsiagap.core.calls.head import N_COHORTS

if TYPE_CHECKING:
    from fuchsiagap.core.admission.settings import GateSettings
    from fuchsiagap.core.calls.head import CallHead, ServiceName
    from fuchsiagap.core.calls.outcome import LoadReport
    from fuchsiagap.core.clock import Clock, Milliseconds

# Weight of a new report in the moving average, and of one whose level is more than a
# whole priority higher.
_SMOOTHING = 0.3
_OPENING_SMOOTHING = 0.7


@dataclass(slots=True)
class _DownstreamLevel:
    """The level of one service.

    Parameters
    ----------
    position : float
        Moving average over the reports of the service's instances.
    chain_position : float
        Highest recent position, for calls within a chain; falls more slowly than
        `position`.
    reported_at : float
        Time of the last report in milliseconds.
    next_probe_at : float
        Time in milliseconds from which one call may pass as a probe for a fresh report.
    """

    position: float
    chain_position: float
    reported_at: Milliseconds
    next_probe_at: Milliseconds


class DownstreamLevels:
    """Admission levels of the services downstream of each route.

    Parameters
    ----------
    cfg : GateSettings
        Settings of the gate.
    clock : Clock
        Clock of the process.
    """

    def __init__(self, cfg: GateSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._services: dict[str, set[ServiceName]] = {}
        self._levels: dict[ServiceName, _DownstreamLevel] = {}

    def adopt(self, cfg: GateSettings) -> None:
        """Apply changed settings."""
        self._cfg = cfg

    def record(self, route: str, service: ServiceName, load: LoadReport) -> None:
        """Record the load report of a service downstream of a route.

        The reported level applies to every route that calls the service, since a
        route whose calls are all refused receives no reports of its own.

        Parameters
        ----------
        route : str
            Route of the upstream call.
        service : ServiceName
            The called service.
        load : LoadReport
            Load report of its answer or refusal.
        """
        self._services.setdefault(route, set()).add(service)
        now = self._clock.now()
        position = position_of(load.level_priority, load.level_cohort)
        level = self._levels.get(service)
        if level is None:
            self._levels[service] = _DownstreamLevel(position, position, now, 0.0)
            return
        # Instances of one service differ by some cohorts; a difference of more than a
        # whole priority means that the service has opened.
        has_opened = position > level.position + N_COHORTS
        smoothing = _OPENING_SMOOTHING if has_opened else _SMOOTHING
        level.position += smoothing * (position - level.position)
        if abs(position - level.position) < 1.0:
            # A moving average never quite reaches its target; a difference of less than
            # one cohort has no effect.
            level.position = position
        fallen = min((now - level.reported_at) / self._cfg.chain_ms, 1.0)
        level.chain_position -= fallen * (level.chain_position - level.position)
        level.chain_position = max(level.chain_position, level.position)
        level.reported_at = now

    def position(self, route: str) -> float:
        """Return the lowest position among the services downstream of a route."""
        services = self._services.get(route)
        if not services:
            return OPEN_POSITION
        return min(self._levels[service].position for service in services)

    def chain_position(self, route: str) -> float:
        """Return the lowest position for calls within a chain.

        For each service downstream of the route, its highest recent position counts.
        """
        services = self._services.get(route)
        if not services:
            return OPEN_POSITION
        return min(self._levels[service].chain_position for service in services)

    def may_probe(self, head: CallHead) -> bool:
        """Whether a call passes although a downstream level rejects it.

        Downstream services send load reports only in reply to calls. So one call passes
        every `GateSettings.probe_ms` and returns a fresh report.
        """
        now = self._clock.now()
        wanted = position_of(head.priority, head.cohort)
        rejecting = [
            level
            for service in self._services.get(head.route, ())
            if (level := self._levels[service]).position < wanted
        ]
        if any(
            now < max(level.reported_at + self._cfg.probe_ms, level.next_probe_at)
            for level in rejecting
        ):
            return False
        for level in rejecting:
            level.next_probe_at = now + self._cfg.probe_ms
        return True
