"""Client-side retry budget: retries of a service as a share of its recent calls."""

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
    """Settings of the retry budget and of the backoff.

    Parameters
    ----------
    ratio : float, default=0.1
        Retries per recent call, unless the route sets its own ratio.
    memory : float, default=5000.0
        Time constant (to 1/e) of the counts of calls and retries, in milliseconds.
    least_per_s : float, default=0.5
        Retries per second that are allowed on average to services with few calls.
    backoff : float, default=4.0
        Mean delay in milliseconds before the second retry; doubled with each further
        one.
    backoff_max : float, default=100.0
        Maximum delay in milliseconds.
    """

    ratio: float = 0.1
    memory: Milliseconds = 5_000.0
    least_per_s: float = 0.5
    backoff: Milliseconds = 4.0
    backoff_max: Milliseconds = 100.0


class _Recent:
    """Decaying counts of the calls and retries of one service."""

    __slots__ = ("at", "calls", "retries")

    def __init__(self, at: Milliseconds) -> None:
        self.at = at
        self.calls = 0.0
        self.retries = 0.0


class RetryBudget:
    """Limits the retries of each service to a share of its recent calls.

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
    >>> budget.try_spend(certs), budget.try_spend(certs)
    (True, False)
    """

    def __init__(self, cfg: RetrySettings, clock: Clock) -> None:
        self.cfg = cfg
        self._clock = clock
        self._recent: dict[ServiceName, _Recent] = {}

    def record_call(self, service: ServiceName) -> None:
        """Count a call; its retries are not counted as calls."""
        self._decayed(service).calls += 1.0

    def try_spend(self, service: ServiceName, ratio: float | None = None) -> bool:
        """Spend budget on a retry, if there is any left.

        Parameters
        ----------
        service : ServiceName
            The called service.
        ratio : float, optional
            Retries per recent call for the route; by default `RetrySettings.ratio`.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        recent = self._decayed(service)
        share = self.cfg.ratio if ratio is None else ratio
        minimum = self.cfg.least_per_s * self.cfg.memory / MS_PER_S
        if recent.retries >= recent.calls * share + minimum:
            return False
        recent.retries += 1.0
        return True

    def _decayed(self, service: ServiceName) -> _Recent:
        now = self._clock.now()
        recent = self._recent.get(service)
        if recent is None:
            recent = self._recent[service] = _Recent(now)
            return recent
        elapsed = now - recent.at
        if elapsed > 0.0:
            factor = math.exp(-elapsed / self.cfg.memory)
            recent.calls *= factor
            recent.retries *= factor
            recent.at = now
        return recent
