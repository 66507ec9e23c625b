"""What the services below a route have reported."""

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

_SMOOTHING = 0.3
_OPENING = 0.7


@dataclass(slots=True)
class _Below:
    """What is known of one service.

    Parameters
    ----------
    position : float
        Smoothed over the reports of its instances.
    loose : float
        Where the position has been of late; it falls more slowly.
    at : float
        When it was last heard of.
    probe_at : float
        When a call may pass next, only to hear of it again.
    """

    position: float
    loose: float
    at: Milliseconds
    probe_at: Milliseconds


class DownstreamLevels:
    """Levels of the services that the calls of each route call in turn.

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
        self._noted: dict[ServiceName, _Below] = {}

    def adopt(self, cfg: GateSettings) -> None:
        """Go on under other settings."""
        self._cfg = cfg

    def note(self, route: str, service: ServiceName, load: LoadReport) -> None:
        """Take in one report.

        What one route's calls learn of a service holds for all routes that call it:
        a route which is shut has no calls of its own to learn from.
        """
        self._services.setdefault(route, set()).add(service)
        now = self._clock.now()
        position = position_of(load.level_priority, load.level_cohort)
        below = self._noted.get(service)
        if below is None:
            self._noted[service] = _Below(position, position, now, 0.0)
            return
        # Instances differ a little; a priority more is news.
        is_news = position > below.position + N_COHORTS
        smoothing = _OPENING if is_news else _SMOOTHING
        below.position += smoothing * (position - below.position)
        if abs(position - below.position) < 1.0:
            # A mean comes near and never arrives; half a cohort is no difference.
            below.position = position
        fallen = min((now - below.at) / self._cfg.chain_ms, 1.0)
        below.loose -= fallen * (below.loose - below.position)
        below.loose = max(below.loose, below.position)
        below.at = now

    def position(self, route: str) -> float:
        """Return the lowest position among the services below a route."""
        services = self._services.get(route)
        if not services:
            return OPEN_POSITION
        return min(self._noted[service].position for service in services)

    def chain_position(self, route: str) -> float:
        """Return the lowest position that the services below had of late."""
        services = self._services.get(route)
        if not services:
            return OPEN_POSITION
        return min(self._noted[service].loose for service in services)

    def may_probe(self, head: CallHead) -> bool:
        """Whether a call shall pass although it is shut out below.

        Without calls nothing is heard of the services below; so one passes now and
        then, and brings a fresh report.
        """
        now = self._clock.now()
        wanted = position_of(head.priority, head.cohort)
        stale = [
            below
            for service in self._services.get(head.route, ())
            if (below := self._noted[service]).position < wanted
        ]
        if any(now < max(b.at + self._cfg.probe_ms, b.probe_at) for b in stale):
            return False
        for below in stale:
            below.probe_at = now + self._cfg.probe_ms
        return True
