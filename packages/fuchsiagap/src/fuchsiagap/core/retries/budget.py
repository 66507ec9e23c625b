"""The retry budget: retries of a service are a share of its recent calls."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.clock import Clock, Milliseconds


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Settings of budget and backoff.

    Parameters
    ----------
    ratio : float
        Retries per recent call, where the route's settings say nothing.
    memory : float
        Milliseconds over which calls and retries are forgotten (to 1/e).
    least_per_s : float
        Retries a second that are allowed about, for services with few calls.
    backoff : float
        Mean wait in milliseconds before the second retry; doubled with each.
    backoff_max : float
        Longest wait in milliseconds.
    """

    ratio: float = 0.1
    memory: Milliseconds = 5_000.0
    least_per_s: float = 0.5
    backoff: Milliseconds = 4.0
    backoff_max: Milliseconds = 100.0


class _Recent:
    """Recent calls and retries of one service, both fading."""

    __slots__ = ("at", "calls", "retries")

    def __init__(self, at: Milliseconds) -> None:
        self.at = at
        self.calls = 0.0
        self.retries = 0.0


class RetryBudget:
    """Retries per service as a share of its recent calls.

    Parameters
    ----------
    cfg : RetrySettings
        Settings.
    clock : Clock
        Time in milliseconds.

    Examples
    --------
    >>> from fuchsiagap.core.clock import Clock
    >>> from fuchsiagap.core.calls.head import ServiceName
    >>> clock = Clock(now=lambda: 0.0, wall=lambda: 0.0)
    >>> budget = RetryBudget(RetrySettings(least_per_s=0.2), clock)
    >>> certs = ServiceName("salt-fog", "certs")
    >>> budget.spend(certs), budget.spend(certs)
    (True, False)
    """

    def __init__(self, cfg: RetrySettings, clock: Clock) -> None:
        self.cfg = cfg
        self._clock = clock
        self._recent: dict[ServiceName, _Recent] = {}

    def record_call(self, service: ServiceName) -> None:
        """Count a call, not its retries."""
        self._faded(service).calls += 1.0

    def try_spend(self, service: ServiceName, ratio: float | None = None) -> bool:
        """Pay for a retry.

        Parameters
        ----------
        service : ServiceName
            The called service.
        ratio : float, optional
            The retry budget of the route; by default that of the settings.

        Returns
        -------
        bool
            False if the budget is used up.
        """
        recent = self._faded(service)
        share = self.cfg.ratio if ratio is None else ratio
        least = self.cfg.least_per_s * self.cfg.memory / MS_PER_S
        if recent.retries >= recent.calls * share + least:
            return False
        recent.retries += 1.0
        return True

    def _faded(self, service: ServiceName) -> _Recent:
        now = self._clock.now()
        recent = self._recent.get(service)
        if recent is None:
            recent = self._recent[service] = _Recent(now)
            return recent
        elapsed = now - recent.at
        if elapsed > 0.0:
            kept = math.exp(-elapsed / self.cfg.memory)
            recent.calls *= kept
            recent.retries *= kept
            recent.at = now
        return recent
