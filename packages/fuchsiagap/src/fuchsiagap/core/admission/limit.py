"""The concurrency limit of one backend server, found from what can be measured.

See Also
--------
fuchsiagap.core.admission.limit_rules : How it moves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.admission.limit_rules import RULES, Epoch, LimitState
from fuchsiagap.core.admission.settings import LimitPolicy

if TYPE_CHECKING:
    from fuchsiagap.core.admission.settings import GateSettings
    from fuchsiagap.core.clock import Milliseconds

_REFERENCE_CALLS = 100
_LEAST_LATENCY = 0.1
_LEAST_SAMPLES = 40
_MANY_SAMPLES = 100
_EPOCH_MS = 400.0
_SHED = 0.8


@dataclass(slots=True)
class _References:
    """Reference latency of each route, by which a mix of routes can be averaged.

    A reference is the mean of a route's first calls and stays: what comes later is
    measured against it.
    """

    by_route: dict[str, tuple[int, Milliseconds]] = field(default_factory=dict)

    def relative(self, route: str, latency: Milliseconds) -> float:
        """Return a latency as a multiple of the route's reference."""
        latency = max(latency, _LEAST_LATENCY)
        n_calls, mean = self.by_route.get(route, (0, latency))
        if n_calls < _REFERENCE_CALLS:
            n_calls += 1
            mean += (latency - mean) / n_calls
            self.by_route[route] = (n_calls, mean)
        return latency / mean


class ConcurrencyLimit:
    """How many calls the backend server may work on at a time.

    Parameters
    ----------
    cfg : GateSettings
        Settings of the gate.
    """

    def __init__(self, cfg: GateSettings) -> None:
        self._cfg = cfg
        self._rule = RULES[cfg.limit_policy]
        self._state = LimitState(float(cfg.start_limit))
        self._epoch = Epoch(0.0)
        self._references = _References()
        self._reported = 0

    @property
    def value(self) -> int:
        """The limit now."""
        if self._cfg.limit_policy is LimitPolicy.NONE:
            return self._cfg.max_limit
        return int(self._state.limit)

    def apply_report(self, slots: int) -> None:
        """Take the slots the backend server reports as a start value.

        Only a change of the report counts: a report that is frozen steers nothing.
        """
        if slots <= 0 or slots == self._reported:
            return
        self._reported = slots
        self._state = LimitState(self._bounded(slots))

    def started(self, now: Milliseconds) -> None:
        """Count a call that starts now."""
        if self._epoch.closed is None:
            self._epoch.n_started += 1

    def ended(
        self,
        route: str,
        started: Milliseconds,
        latency: Milliseconds | None,
        in_flight: int,
    ) -> None:
        """Take in a call that has ended.

        Parameters
        ----------
        route : str
            Route of the call.
        started : float
            When it started.
        latency : float or None
            Milliseconds at the backend server; None if they say nothing of it.
        in_flight : int
            Calls in progress when it started, itself included.
        """
        epoch = self._epoch
        is_sample = epoch.holds(started)
        epoch.n_ended += is_sample
        if latency is None:
            return
        relative = self._references.relative(route, latency)
        if is_sample:
            epoch.add(relative, in_flight, self._state.limit)

    def shed(self, in_flight: int) -> None:
        """Take in that the backend server refused a call it was handed.

        Parameters
        ----------
        in_flight : int
            Calls in progress when the call was handed over, itself included.
        """
        lower = max(in_flight - 1.0, self._state.limit * _SHED)
        self._state.limit = self._bounded(min(self._state.limit, lower))

    def adopt(self, cfg: GateSettings) -> None:
        """Go on under other settings."""
        self._cfg = cfg
        self._rule = RULES[cfg.limit_policy]
        self._state.limit = self._bounded(self._state.limit)

    def step(self, now: Milliseconds) -> None:
        """Adjust the limit, if enough has been measured under the one in force."""
        epoch = self._epoch
        is_full = epoch.n_started >= self._samples_needed()
        if epoch.closed is None and is_full and now - epoch.began >= _EPOCH_MS:
            epoch.closed = now
        if not epoch.is_complete:
            return
        if epoch.n_calls >= epoch.n_started // 2:
            self._rule(self._state, epoch, now)
            self._state.limit = self._bounded(self._state.limit)
        self._epoch = Epoch(now)

    def _samples_needed(self) -> int:
        is_probe = self._state.probe == "higher"
        least = _MANY_SAMPLES if is_probe else _LEAST_SAMPLES
        return max(least, int(min(self._state.limit, _MANY_SAMPLES)))

    def _bounded(self, limit: float) -> float:
        return min(max(float(limit), self._cfg.min_limit), self._cfg.max_limit)
