"""Rules that adjust the concurrency limit from what was measured under one limit.

Latency alone cannot distinguish a backend server that has become slow from one that
queues calls internally, and only the latter benefits from a lower limit. The probing
rule distinguishes them by the calls in progress and by trying other limits. The other
rules remain available as settings for comparison under the same load.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from fuchsiagap.core.admission.settings import LimitPolicy

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Samples near the limit that are needed to judge the latency there.
_MIN_HIGH_SAMPLES = 8
# Calls in progress, as shares of the limit: saturated, busy enough to judge the limit,
# and near the limit.
_SATURATED_SHARE = 0.9
_BUSY_SHARE = 0.5
_HIGH_SHARE = 0.85
# Relative latency, as a multiple of the baseline, that counts as a slowdown.
_SLOWDOWN_FACTOR = 1.3
# The same for a higher limit that is being probed; stricter if it was rejected before.
_MAX_PROBE_SLOWDOWN = 1.12
_MAX_REPEATED_PROBE_SLOWDOWN = 1.07
# Bound on the gradual rise of the baseline, as a multiple of its minimum.
_MAX_BASELINE_RISE = 1.15
_BASELINE_SMOOTHING = 0.2
# Latency grows with the calls in progress, to a power of about 1, if they queue.
_MIN_QUEUEING_EXPONENT = 0.5
_MAX_QUEUEING_EXPONENT = 1.5
# Growth of the calls in progress from which on the exponent is meaningful.
_MIN_IN_FLIGHT_GROWTH = 1.15
# Calls in progress, as a multiple of the proven number, at which a slowdown may be due
# to internal queueing.
_UNPROVEN_FACTOR = 1.25
# A lower limit that is probed, as a share of the calls in progress, and the share of
# the previous latency that confirms it.
_LOWER_PROBE_FACTOR = 0.6
_IMPROVED_LATENCY_SHARE = 0.8
# A higher limit that is probed, as a multiple of the limit.
_HIGHER_PROBE_FACTOR = 1.25
# Headroom of a lowered limit over the calls that fit without queueing.
_HEADROOM_FACTOR = 1.05
# Milliseconds until a higher limit is probed again after a failure; doubled each time.
_PROBE_DELAY_MS = 15_000.0
_MAX_PROBE_DELAY_MS = 60_000.0
_AIMD_BACKOFF = 0.9
_GRADIENT_SMOOTHING = 0.2
_MIN_GRADIENT = 0.5
# Avoids division by zero.
_EPSILON = 1e-9


@dataclass(slots=True)
class SampleWindow:
    """Latencies of the calls that started in a period under one limit.

    The sample is defined by when calls start. A sample of the first calls to end would
    be biased towards short ones.

    Parameters
    ----------
    opened_at : float
        Calls that started before are not counted, since they ran under another limit.
    closed_at : float or None
        When the sample was full; calls that start later are not counted.
    n_started, n_ended : int
        Calls of the sample that have started and ended.
    n_calls : int
        Calls of the sample whose latency was measured.
    relative_latency : float
        Sum of their latencies, each as a multiple of its route's reference.
    in_flight : float
        Sum of the calls in progress when they started.
    n_high, relative_latency_high, in_flight_high : int or float
        The same three figures for calls that started with almost all slots taken.
    """

    opened_at: Milliseconds
    closed_at: Milliseconds | None = None
    n_started: int = 0
    n_ended: int = 0
    n_calls: int = 0
    relative_latency: float = 0.0
    in_flight: float = 0.0
    n_high: int = 0
    relative_latency_high: float = 0.0
    in_flight_high: float = 0.0

    def add(self, relative_latency: float, in_flight: int, limit: float) -> None:
        """Add the latency of one call of the sample."""
        self.n_calls += 1
        self.relative_latency += relative_latency
        self.in_flight += in_flight
        if in_flight >= _HIGH_SHARE * limit:
            self.n_high += 1
            self.relative_latency_high += relative_latency
            self.in_flight_high += in_flight

    def includes(self, started: Milliseconds) -> bool:
        """Whether a call that started at a time belongs to the sample."""
        if started < self.opened_at:
            return False
        return self.closed_at is None or started <= self.closed_at

    @property
    def is_complete(self) -> bool:
        """Whether every call of a full sample has ended."""
        return self.closed_at is not None and self.n_ended >= self.n_started

    @property
    def mean_latency(self) -> float:
        """Mean latency as a multiple of the reference."""
        return self.relative_latency / max(self.n_calls, 1)

    @property
    def mean_in_flight(self) -> float:
        """Mean of the calls in progress at the start of a call."""
        return self.in_flight / max(self.n_calls, 1)


@dataclass(slots=True)
class LimitState:
    """State of a rule between two windows.

    Parameters
    ----------
    limit : float
        Current limit.
    lowest_rejected : float
        Lowest limit that was probed and found too high; accepting such a limit later
        takes stricter evidence.
    baseline : float
        Relative latency of the backend server without queueing; 0 if not known yet.
    min_baseline : float
        Minimum of the baseline since the server's own speed last changed.
    proven_in_flight : float
        Highest number of calls in progress that showed no latency above the baseline.
    probe : str
        What is being probed: ``""``, ``"lower"`` or ``"higher"``.
    limit_before_probe : float
        Limit before the probe.
    last_latency, last_in_flight : float
        Mean relative latency and calls in progress of the previous window.
    probe_delay : float
        Milliseconds until the next probe of a higher limit.
    next_probe_at : float
        Time of that probe in milliseconds.
    """

    limit: float
    lowest_rejected: float = math.inf
    baseline: float = 0.0
    min_baseline: float = 0.0
    proven_in_flight: float = 0.0
    probe: str = ""
    limit_before_probe: float = 0.0
    last_latency: float = 0.0
    last_in_flight: float = 0.0
    probe_delay: Milliseconds = _PROBE_DELAY_MS
    next_probe_at: Milliseconds = 0.0

    @property
    def was_rejected(self) -> bool:
        """Whether a limit as high as the probed one was found too high before."""
        return self.probe == "higher" and self.limit >= self.lowest_rejected


Rule: TypeAlias = Callable[[LimitState, SampleWindow, float], None]


def _keep(state: LimitState, window: SampleWindow, now: Milliseconds) -> None:
    """Leave the limit unchanged."""


def _probe(state: LimitState, window: SampleWindow, now: Milliseconds) -> None:
    """Distinguish a slow server from internal queueing, and probe higher limits."""
    latency = window.mean_latency
    in_flight = window.mean_in_flight
    _update_baseline(state, latency, in_flight)
    _update_proven(state, window)
    if state.probe == "lower":
        _evaluate_lower(state, latency, in_flight)
    elif state.probe == "higher":
        _evaluate_higher(state, latency, now)
    elif latency > _SLOWDOWN_FACTOR * state.baseline:
        # With few slots taken the limit is not the cause, and jitter is large.
        if in_flight >= _BUSY_SHARE * state.limit:
            _handle_slowdown(state, latency, in_flight, now)
    elif in_flight >= _SATURATED_SHARE * state.limit and now >= state.next_probe_at:
        _probe_higher(state)
    state.last_latency = latency
    state.last_in_flight = in_flight


def _update_baseline(state: LimitState, latency: float, in_flight: float) -> None:
    """Follow the server's own latency without absorbing that of its queue."""
    if state.baseline == 0.0 or latency < state.baseline / _SLOWDOWN_FACTOR:
        _reset_baseline(state, latency)
        return
    may_rise = (
        in_flight <= state.proven_in_flight
        and latency <= _SLOWDOWN_FACTOR * state.baseline
    )
    if not state.probe and (latency < state.baseline or may_rise):
        state.baseline += _BASELINE_SMOOTHING * (latency - state.baseline)
        state.min_baseline = min(state.min_baseline, state.baseline)
        state.baseline = min(state.baseline, _MAX_BASELINE_RISE * state.min_baseline)


def _reset_baseline(state: LimitState, latency: float) -> None:
    state.baseline = latency
    state.min_baseline = latency


def _update_proven(state: LimitState, window: SampleWindow) -> None:
    """Record the calls in progress at which the server was no slower."""
    if window.n_high < _MIN_HIGH_SAMPLES:
        return
    if (
        window.relative_latency_high / window.n_high
        <= _MAX_PROBE_SLOWDOWN * state.baseline
    ):
        state.proven_in_flight = max(
            state.proven_in_flight, window.in_flight_high / window.n_high
        )


def _handle_slowdown(
    state: LimitState, latency: float, in_flight: float, now: Milliseconds
) -> None:
    """Lower the limit if calls queue; else probe a lower one or accept the latency."""
    growth = in_flight / max(state.last_in_flight, 1.0)
    slowdown = latency / max(state.last_latency, _EPSILON)
    if growth >= _MIN_IN_FLIGHT_GROWTH and slowdown > 1.0:
        exponent = math.log(slowdown) / math.log(growth)
        if (
            _MIN_QUEUEING_EXPONENT <= exponent <= _MAX_QUEUEING_EXPONENT
            and in_flight > state.proven_in_flight
        ):
            _lower_to_baseline(state, latency, in_flight)
            return
    if in_flight > _UNPROVEN_FACTOR * state.proven_in_flight:
        state.probe = "lower"
        state.limit_before_probe = state.limit
        state.limit = min(state.limit, in_flight) * _LOWER_PROBE_FACTOR
        return
    # The server has handled as many calls at its baseline before, so its own speed has
    # changed. More concurrency does not help a slow server and causes calls to miss
    # their deadlines.
    _reset_baseline(state, latency)
    state.next_probe_at = now + _MAX_PROBE_DELAY_MS


def _lower_to_baseline(state: LimitState, latency: float, in_flight: float) -> None:
    """Lower the limit to the calls that the server handles at its baseline."""
    fitting = in_flight * min(state.baseline / latency, 1.0) * _HEADROOM_FACTOR
    state.limit = max(fitting, state.proven_in_flight, 1.0)


def _evaluate_lower(state: LimitState, latency: float, in_flight: float) -> None:
    state.probe = ""
    if latency <= _IMPROVED_LATENCY_SHARE * state.last_latency:
        _lower_to_baseline(state, latency, in_flight)
        return
    # Each call takes longer, whatever the limit.
    state.limit = state.limit_before_probe
    _reset_baseline(state, latency)
    state.proven_in_flight = state.last_in_flight


def _probe_higher(state: LimitState) -> None:
    state.probe = "higher"
    state.limit_before_probe = state.limit
    state.limit = max(state.limit * _HIGHER_PROBE_FACTOR, state.limit + 1.0)


def _evaluate_higher(state: LimitState, latency: float, now: Milliseconds) -> None:
    max_slowdown = (
        _MAX_REPEATED_PROBE_SLOWDOWN if state.was_rejected else _MAX_PROBE_SLOWDOWN
    )
    if latency <= max_slowdown * state.baseline:
        state.probe_delay = _PROBE_DELAY_MS
        _probe_higher(state)
        return
    state.probe = ""
    state.lowest_rejected = min(state.lowest_rejected, state.limit)
    state.limit = state.limit_before_probe
    state.next_probe_at = now + state.probe_delay
    state.probe_delay = min(state.probe_delay * 2.0, _MAX_PROBE_DELAY_MS)


def _aimd(state: LimitState, window: SampleWindow, now: Milliseconds) -> None:
    """Increase the limit by one while latency is low, else reduce it by a tenth."""
    if state.baseline == 0.0:
        state.baseline = window.mean_latency
    if window.mean_latency > 2.0 * state.baseline:
        state.limit *= _AIMD_BACKOFF
    elif window.mean_in_flight >= _SATURATED_SHARE * state.limit:
        state.limit += 1.0


def _gradient(state: LimitState, window: SampleWindow, now: Milliseconds) -> None:
    """Scale the limit by how much latency exceeds its long-term mean."""
    latency = window.mean_latency
    if state.baseline == 0.0:
        state.baseline = latency
    gradient = min(max(state.baseline / latency, _MIN_GRADIENT), 1.0)
    state.baseline += 0.05 * (latency - state.baseline)
    target = state.limit * gradient + state.limit**0.5
    if window.mean_in_flight >= 0.5 * state.limit or target < state.limit:
        state.limit += _GRADIENT_SMOOTHING * (target - state.limit)


RULES: dict[LimitPolicy, Rule] = {
    LimitPolicy.NONE: _keep,
    LimitPolicy.FIXED: _keep,
    LimitPolicy.AIMD: _aimd,
    LimitPolicy.GRADIENT: _gradient,
    LimitPolicy.PROBING: _probe,
}
