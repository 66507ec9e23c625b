"""Event ring, metrics and violation reports of one process, bundled as `Telemetry`."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.telemetry.events import DEFAULT_RING_SIZE, EventKind, EventRing
from fuchsiagap.core.telemetry.hlc import MAX_DRIFT_MS, HybridClock
from fuchsiagap.core.telemetry.metrics import Metrics
from fuchsiagap.core.telemetry.violations import (
    ViolationReporter,
    make_violation_reporter,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.telemetry.hlc import DriftTooLarge

_DRIFT_EVENT_INTERVAL_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Telemetry settings of one process.

    Parameters
    ----------
    ring_size : int, default=DEFAULT_RING_SIZE
        Number of call events that the event ring keeps.
    max_drift : float, default=MAX_DRIFT_MS
        Milliseconds; timestamps from hosts whose clock is further ahead are rejected.
    stop_on_violation : bool, default=False
        Whether a violated invariant raises `InvariantViolated`, which stops the
        process.
    """

    ring_size: int = DEFAULT_RING_SIZE
    max_drift: Milliseconds = MAX_DRIFT_MS
    stop_on_violation: bool = False


@dataclass(frozen=True, slots=True)
class Telemetry:
    """Event ring, metrics, event clock and violation reporter of one process.

    Parameters
    ----------
    hlc : HybridClock
        Provides the timestamps of events and of frames sent to other nodes.
    ring : EventRing
        The most recent events.
    metrics : Metrics
        Counters, gauges and histograms.
    report_violation : ViolationReporter
        Reports that an invariant was violated.
    """

    hlc: HybridClock
    ring: EventRing
    metrics: Metrics
    report_violation: ViolationReporter


def make_telemetry(cfg: TelemetrySettings, process: str, clock: Clock) -> Telemetry:
    """Create the telemetry of a process.

    Parameters
    ----------
    cfg : TelemetrySettings
        Telemetry settings.
    process : str
        Name of the process, as shown in the event timeline.
    clock : Clock
        The clock of the process.

    Returns
    -------
    Telemetry
        The telemetry, with no events or counts yet.
    """
    hlc = HybridClock(clock.wall, cfg.max_drift)
    ring = EventRing(process, hlc, cfg.ring_size)
    metrics = Metrics()
    hlc.on_drift = _record_drift(ring, clock)
    report_violation = make_violation_reporter(
        ring, metrics, stop=cfg.stop_on_violation
    )
    return Telemetry(hlc, ring, metrics, report_violation)


def _record_drift(ring: EventRing, clock: Clock) -> Callable[[DriftTooLarge], None]:
    """Return a function that records clock drift, at a limited rate."""
    next_event_at = -math.inf

    def record(fault: DriftTooLarge) -> None:
        nonlocal next_event_at
        now = clock.now()
        if now < next_event_at:
            return
        next_event_at = now + _DRIFT_EVENT_INTERVAL_MS
        ring.record(EventKind.CLOCK_DRIFT, ahead_ms=round(fault.ahead))

    return record
