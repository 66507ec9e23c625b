"""Estimates how many calls the backend server completes in a time span."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.admission.service_time import ServiceTimes

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Weight of one step in the moving average of throughput.
_THROUGHPUT_SMOOTHING = 0.25
# Factor by which the two estimates may differ before throughput overrides latency.
_MAX_DISAGREEMENT = 1.6
_MIN_LATENCY_MS = 1.0


class Capacity:
    """Capacity of one backend server, by Little's law from its latency.

    After a sudden change of the backend server's speed, its throughput is used instead,
    until the latency of answered calls reflects the change.

    Attributes
    ----------
    service_times : ServiceTimes
        Latency of answered calls.
    """

    def __init__(self) -> None:
        self.service_times = ServiceTimes()
        # Sum of the start times of the calls in progress, for their mean age.
        self._started_sum = 0.0
        # Calls that ended in this step, and their average over saturated steps.
        self._n_ended = 0
        self._throughput: float | None = None

    def record_start(self, now: Milliseconds) -> None:
        """Count a call that starts."""
        self._started_sum += now

    def record_end(self, started_at: Milliseconds) -> None:
        """Count a call that has ended, with any outcome."""
        self._started_sum -= started_at
        self._n_ended += 1

    def step(
        self, now: Milliseconds, elapsed: Milliseconds, in_flight: int, limit: int
    ) -> None:
        """Update the throughput; only steps at the concurrency limit count.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        elapsed : float
            Time since the last step, in milliseconds.
        in_flight : int
            Calls in progress.
        limit : int
            Concurrency limit.
        """
        n_ended, self._n_ended = self._n_ended, 0
        if in_flight < limit:
            self._throughput = None
        elif self._throughput is None:
            self._throughput = in_flight * elapsed / self._latency(now, in_flight)
        else:
            self._throughput += _THROUGHPUT_SMOOTHING * (n_ended - self._throughput)

    def estimate(
        self, now: Milliseconds, elapsed: Milliseconds, in_flight: int, limit: int
    ) -> float:
        """Return how many calls the backend server completes in a time span.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        elapsed : float
            Length of the span in milliseconds.
        in_flight : int
            Calls in progress.
        limit : int
            Concurrency limit.
        """
        by_latency = limit * elapsed / self._latency(now, in_flight)
        # Latency shows a change of speed late; throughput shows it at once, but varies
        # more from step to step.
        measured = self._throughput
        if (
            measured is None
            or by_latency / _MAX_DISAGREEMENT
            <= measured
            <= by_latency * _MAX_DISAGREEMENT
        ):
            return by_latency
        return measured

    def _latency(self, now: Milliseconds, in_flight: int) -> Milliseconds:
        """Return the mean latency, at least the mean age of the calls in progress."""
        mean_age = now - self._started_sum / in_flight if in_flight else 0.0
        return max(self.service_times.overall, mean_age, _MIN_LATENCY_MS)
