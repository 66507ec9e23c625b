"""Scenario of a run: demand, surge and slowdown over time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_standins.graphs import GraphRoute

_CALLER_TIMEOUT_FACTOR = 4.0
_CALLER_TIMEOUT_BASE_MS = 500.0
_MAX_RESPONSE_TIME_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Demand and slowdown over time, in milliseconds from the start of the run.

    Parameters
    ----------
    warm_up, surge, after : float
        Durations of the three phases.
    base_load : float
        Demand outside the surge, as a share of the capacity.
    factor : float
        Demand in the surge, as a multiple of the capacity.
    slow_service : str
        Service that is slow during the surge.
    slowness : float
        Factor on the own time of the slow service.
    caller_retries : int
        Maximum number of retries per request.
    reports : str
        Number of slots that backend servers report: the actual one (``honest``), ten
        times as many (``high``) or a tenth (``low``).
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
        """Start of the surge."""
        return self.warm_up

    @property
    def surge_end(self) -> Milliseconds:
        """End of the surge."""
        return self.warm_up + self.surge

    @property
    def end(self) -> Milliseconds:
        """Time at which callers send their last requests."""
        return self.surge_end + self.after

    def is_surge(self, now: Milliseconds) -> bool:
        """Whether `now` is within the surge."""
        return self.surge_start <= now < self.surge_end

    def demand(self, capacity: float, now: Milliseconds) -> float:
        """Return the requests per millisecond at `now`; `capacity` is per second."""
        share = self.factor if self.is_surge(now) else self.base_load
        return share * capacity / MS_PER_S

    def work_time(
        self, service: str, work: Milliseconds, now: Milliseconds
    ) -> Milliseconds:
        """Return how long work that starts at `now` takes.

        The slow service works at a fraction of its speed during the surge, which also
        affects calls that are in progress when the surge starts or ends.
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
    """Return the timeout of one attempt in milliseconds.

    Parameters
    ----------
    route : GraphRoute
        Called route; its timeout is the upper limit.
    chain_time : float
        Mean time of the whole call chain without slowdown, in milliseconds.
    """
    timeout = _CALLER_TIMEOUT_BASE_MS + _CALLER_TIMEOUT_FACTOR * chain_time
    return min(timeout, route.timeout)


def max_response_time(timeout: Milliseconds) -> Milliseconds:
    """Return the time after the first attempt within which an answer is in time."""
    return _MAX_RESPONSE_TIME_FACTOR * timeout
