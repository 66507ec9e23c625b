"""Gauges of a node, and events for changes of level, limit and members."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.head import LEAST_PRIORITY, N_COHORTS
from fuchsiagap.core.clock import sleep_ms
from fuchsiagap.core.membership.member import MemberState
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Gauge

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.membership.member import Member
    from fuchsiagap_node.core.state import NodeState

# Level and limit change ten times a second under overload. Sampling them once a second
# keeps the timeline readable and the event ring from filling up.
POLL_INTERVAL_MS = 1_000.0
# Overload has ended when all calls have been admitted for this long.
OVERLOAD_END_DELAY_MS = 5_000.0
# Smaller changes of the limit, as a share of the limit recorded last, are not recorded.
_MIN_LIMIT_CHANGE_SHARE = 0.1

# Priority and cohort.
_Level = tuple[int, int]
_ALL_ADMITTED: _Level = (LEAST_PRIORITY, N_COHORTS - 1)


def register(state: NodeState) -> None:
    """Set gauges whenever they are read, and record changes of members as events."""
    state.telemetry.metrics.add_source(lambda: set_gauges(state))

    def record_member_change(before: Member | None, now: Member) -> None:
        if before is not None and _incarnation_and_state(
            before
        ) == _incarnation_and_state(now):
            return
        state.telemetry.ring.record(
            EventKind.MEMBER_CHANGED,
            node=now.node,
            state=now.state.value,
            before=before.state.value if before is not None else "unknown",
            incarnation=now.incarnation,
        )

    state.membership.on_change(record_member_change)


def _incarnation_and_state(member: Member) -> tuple[int, MemberState]:
    return member.incarnation, member.state


async def run(state: NodeState) -> None:
    """Record changes of level and limit periodically."""
    recorded = _LastRecorded(level=_ALL_ADMITTED, limit=state.gate.limit)
    while True:
        await sleep_ms(POLL_INTERVAL_MS)
        _record_limit_change(state, recorded)
        _record_level_change(state, recorded)


@dataclass(slots=True)
class _LastRecorded:
    """Values recorded last.

    Parameters
    ----------
    level : tuple of int
        Lowest admission level of all routes, as priority and cohort.
    limit : int
        The concurrency limit.
    last_overload_at : float or None
        Time in milliseconds when calls were last refused; None without overload.
    """

    level: _Level
    limit: int
    last_overload_at: Milliseconds | None = None


def _record_limit_change(state: NodeState, recorded: _LastRecorded) -> None:
    limit = state.gate.limit
    if (
        abs(limit - recorded.limit) < _MIN_LIMIT_CHANGE_SHARE * recorded.limit
        or limit == recorded.limit
    ):
        return
    state.telemetry.ring.record(
        EventKind.LIMIT_CHANGED, limit=limit, before=recorded.limit
    )
    recorded.limit = limit


def _record_level_change(state: NodeState, recorded: _LastRecorded) -> None:
    level, route = min(_route_levels(state))
    record = state.telemetry.ring.record
    now = state.clock.now()
    if level != recorded.level:
        record(EventKind.LEVEL_CHANGED, route=route, priority=level[0], cohort=level[1])
        recorded.level = level
    if level < _ALL_ADMITTED:
        if recorded.last_overload_at is None:
            record(EventKind.OVERLOAD_STARTED, route=route)
        recorded.last_overload_at = now
    elif (
        recorded.last_overload_at is not None
        and now - recorded.last_overload_at >= OVERLOAD_END_DELAY_MS
    ):
        record(EventKind.OVERLOAD_ENDED)
        recorded.last_overload_at = None


def _route_levels(state: NodeState) -> list[tuple[_Level, str]]:
    """Return the admission level of each route of the backend server's service."""
    service = state.cfg.service
    settings = state.book.team(service.team)
    routes = [service.name]
    if settings is not None:
        routes += [
            route_settings.route
            for route_settings in settings.routes
            if route_settings.service == service
        ]
    levels = []
    for route in routes:
        load = state.gate.report(route)
        levels.append(((load.level_priority, load.level_cohort), route))
    return levels


def set_gauges(state: NodeState) -> None:
    """Set all gauges to the current state of the node."""
    gauge = state.telemetry.metrics.gauge
    gauge(Gauge.IN_FLIGHT, state.gate.in_flight)
    gauge(Gauge.LIMIT, state.gate.limit)
    gauge(Gauge.QUEUED, state.gate.n_waiting)
    for (priority, cohort), route in _route_levels(state):
        gauge(Gauge.LEVEL, priority + (cohort + 1) / N_COHORTS, route)
    counts = Counter(member.state for member in state.membership.members())
    for member_state in MemberState:
        gauge(Gauge.MEMBERS, counts[member_state], member_state.value)
    events = state.telemetry.ring.counts
    gauge(Gauge.LINKS, events[EventKind.LINK_UP] - events[EventKind.LINK_DOWN])
