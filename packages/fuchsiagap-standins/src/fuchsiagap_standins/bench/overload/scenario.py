"""What happens in one run: demand, surge and slowness over time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_standins.graphs import GraphRoute

_CALLER_TIMEOUT_FACTOR = 4.0
_MIN_CALLER_TIMEOUT_MS = 500.0
_MAX_RESPONSE_TIME_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run, in milliseconds from its start.

    Parameters
    ----------
    warm_up, surge, after : float
        Lengths of the three spells.
    base_load : float
        Demand before and after the surge, as a share of the capacity.
    factor : float
        Demand in the surge, as a multiple of the capacity.
    slow_service : str
        The service that becomes slow in the surge.
    slowness : float
        Factor on its own time.
    caller_retries : int
        Times a caller tries again.
    reports : str
        What backend servers report: ``honest``, ``high`` or ``low`` slots.
    """

    warm_up: Milliseconds = 6_000.0
    surge: Milliseconds = 30_000.0
    after: Milliseconds = 10_000.0
    base_load: float = 0.7
    factor: float = 3.0
    slow_service: str = ""
    slowness: float = 5.0
    caller_retries: int = 4
    reports: str = "honest"

    @property
    def surge_start(self) -> Milliseconds:
        """When the surge begins."""
        return self.warm_up

    @property
    def surge_end(self) -> Milliseconds:
        """When the surge ends."""
        return self.warm_up + self.surge

    @property
    def end(self) -> Milliseconds:
        """When callers stop."""
        return self.surge_end + self.after

    def is_surge(self, now: Milliseconds) -> bool:
        """Whether `now` is in the surge."""
        return self.surge_start <= now < self.surge_end

    def demand(self, capacity: float, now: Milliseconds) -> float:
        """Return the requests per millisecond that callers send."""
        share = self.factor if self.is_surge(now) else self.base_load
        return share * capacity / MS_PER_S

    def work_time(
        self, service: str, work: Milliseconds, now: Milliseconds
    ) -> Milliseconds:
        """Return how long work takes that starts now.

        A slow server works at a fraction of its speed while the spell lasts, so
        calls in progress slow down and speed up with it.
        """
        if service != self.slow_service or now >= self.surge_end:
            return work
        until_surge = max(self.surge_start - now, 0.0)
        if work <= until_surge:
            return work
        remaining_work = work - until_surge
        surge_remaining = self.surge_end - now - until_surge
        if remaining_work * self.slowness <= surge_remaining:
            return until_surge + remaining_work * self.slowness
        return (
            until_surge
            + surge_remaining
            + remaining_work
            - surge_remaining / self.slowness
        )


def caller_timeout(route: GraphRoute, chain_time: Milliseconds) -> Milliseconds:
    """Return how long a caller waits for one attempt: short, as callers are.

    Parameters
    ----------
    route : GraphRoute
        The called route; a caller never waits longer than its settings say.
    chain_time : float
        Mean time of the whole chain without any slowness.
    """
    timeout = _MIN_CALLER_TIMEOUT_MS + _CALLER_TIMEOUT_FACTOR * chain_time
    return min(timeout, route.timeout)


def max_response_time(timeout: Milliseconds) -> Milliseconds:
    """Return within what time of its first attempt an answer is in time."""
    return _MAX_RESPONSE_TIME_FACTOR * timeout
