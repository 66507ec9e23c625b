"""The concurrency limit of one backend server, derived from measured latency.

See Also
--------
fuchsiagap.core.admission.limit_rules : How the limit is adjusted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.admission.limit_rules import RULES, LimitState, SampleWindow
from fuchsiagap.core.admission.settings import LimitPolicy

if TYPE_CHECKING:
    from fuchsiagap.core.admission.settings import GateSettings
    from fuchsiagap.core.clock import Milliseconds

# Calls of a route that define its reference latency.
_N_REFERENCE_CALLS = 100
_MIN_LATENCY_MS = 0.1
# Minimum calls of a sample window; the larger number while a higher limit is probed.
_MIN_SAMPLES = 40
_PROBE_SAMPLES = 100
_MIN_WINDOW_MS = 400.0
# Factor of the limit after the backend server refused a call.
_REFUSAL_BACKOFF = 0.8


@dataclass(slots=True)
class _ReferenceLatencies:
    """Reference latency of each route, so that latencies of all routes compare.

    A reference is the mean latency of a route's first calls and does not change
    afterwards.
    """

    by_route: dict[str, tuple[int, Milliseconds]] = field(default_factory=dict)

    def relative(self, route: str, latency: Milliseconds) -> float:
        """Return a latency as a multiple of the route's reference."""
        latency = max(latency, _MIN_LATENCY_MS)
        n_calls, mean = self.by_route.get(route, (0, latency))
        if n_calls < _N_REFERENCE_CALLS:
            n_calls += 1
            mean += (latency - mean) / n_calls
            self.by_route[route] = (n_calls, mean)
        return latency / mean


class ConcurrencyLimit:
    """How many calls may be in progress at the backend server.

    Parameters
    ----------
    cfg : GateSettings
        Settings of the gate.
    """

    def __init__(self, cfg: GateSettings) -> None:
        self._cfg = cfg
        self._rule = RULES[cfg.limit_policy]
        self._state = LimitState(float(cfg.start_limit))
        self._window = SampleWindow(0.0)
        self._references = _ReferenceLatencies()
        self._reported_slots = 0

    @property
    def value(self) -> int:
        """Current limit."""
        if self._cfg.limit_policy is LimitPolicy.NONE:
            return self._cfg.max_limit
        return int(self._state.limit)

    def apply_report(self, slots: int) -> None:
        """Restart from the slots that the backend server reports.

        Only a change of the reported slots counts, so that a constant and wrong report
        does not override the measured limit.
        """
        if slots <= 0 or slots == self._reported_slots:
            return
        self._reported_slots = slots
        self._state = LimitState(self._bounded(slots))

    def record_start(self, now: Milliseconds) -> None:
        """Count a call that starts now."""
        if self._window.closed_at is None:
            self._window.n_started += 1

    def record_end(
        self,
        route: str,
        started: Milliseconds,
        latency: Milliseconds | None,
        in_flight: int,
    ) -> None:
        """Record a call that has ended.

        Parameters
        ----------
        route : str
            Route of the call.
        started : float
            Start time in milliseconds.
        latency : float or None
            Milliseconds at the backend server; None if not meaningful.
        in_flight : int
            Calls in progress when it started, including itself.
        """
        window = self._window
        is_sample = window.includes(started)
        window.n_ended += is_sample
        if latency is None:
            return
        relative = self._references.relative(route, latency)
        if is_sample:
            window.add(relative, in_flight, self._state.limit)

    def record_refusal(self, in_flight: int) -> None:
        """Lower the limit after the backend server refused a call.

        Parameters
        ----------
        in_flight : int
            Calls in progress when the call was handed over, including itself.
        """
        lower = max(in_flight - 1.0, self._state.limit * _REFUSAL_BACKOFF)
        self._state.limit = self._bounded(min(self._state.limit, lower))

    def adopt(self, cfg: GateSettings) -> None:
        """Apply changed settings."""
        self._cfg = cfg
        self._rule = RULES[cfg.limit_policy]
        self._state.limit = self._bounded(self._state.limit)

    def step(self, now: Milliseconds) -> None:
        """Adjust the limit once enough calls were measured under the current one."""
        window = self._window
        is_full = window.n_started >= self._samples_needed()
        if (
            window.closed_at is None
            and is_full
            and now - window.opened_at >= _MIN_WINDOW_MS
        ):
            window.closed_at = now
        if not window.is_complete:
            return
        if window.n_calls >= window.n_started // 2:
            self._rule(self._state, window, now)
            self._state.limit = self._bounded(self._state.limit)
        self._window = SampleWindow(now)

    def _samples_needed(self) -> int:
        is_probe = self._state.probe == "higher"
        at_least = _PROBE_SAMPLES if is_probe else _MIN_SAMPLES
        return max(at_least, int(min(self._state.limit, _PROBE_SAMPLES)))

    def _bounded(self, limit: float) -> float:
        return min(max(float(limit), self._cfg.min_limit), self._cfg.max_limit)
