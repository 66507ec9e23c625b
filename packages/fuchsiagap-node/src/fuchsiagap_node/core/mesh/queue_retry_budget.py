"""Retry budget of one backend queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.retries.backend_budget import BackendRetryBudget, RetryRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.retries.backend_budget import ServiceRetryLimits
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import Call

# Weight of one request in the moving average of the calls per request of its route;
# it covers about the last 20 requests.
_CALLS_EWMA_WEIGHT = 0.05


class QueueRetryBudget:
    """Counts the requests that reach the server, and admits retries within a budget.

    Parameters
    ----------
    cfg : ServiceRetryLimits
        Limits for all backend queues of the service together.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Counts retries by rank, admitted or not.
    rng : random.Random
        Rounds this queue's share of the budget.

    Attributes
    ----------
    n_replicas : callable
        Returns the number of known backend queues of the service, including this one.
    """

    def __init__(
        self,
        cfg: ServiceRetryLimits,
        clock: Clock,
        event_log: EventLog,
        rng: random.Random,
    ) -> None:
        self._budget = BackendRetryBudget(cfg, clock, rng)
        self._event_log = event_log
        self._mean_calls: dict[str, float] = {}
        self.n_replicas: Callable[[], int] = _one

    def adopt(self, cfg: ServiceRetryLimits) -> None:
        """Apply changed limits."""
        self._budget.adopt(cfg)

    def admits(
        self, call: Call, failure_rate: float, covers_trees: bool = False
    ) -> bool:
        """Count an arrival; return False if it is a retry that exceeds the budget.

        Parameters
        ----------
        call : Call
            The arriving call.
        failure_rate : float
            Share of the requests at the server that fail, from 0 to 1.
        covers_trees : bool, default=False
            Whether entry nodes admit call trees by `covered_keys`.
        """
        if not call.is_retry:
            if call.in_retried_tree:
                self._budget.record_inherited_retry()
            else:
                self._budget.record_first_attempt(call.rank, call.sampling_key)
            return True
        calls = self._mean_calls.get(call.route, 0.0)
        retry = RetryRequest(call.rank, call.sampling_key, call.is_nested, calls)
        is_allowed = self._budget.try_spend(
            retry, self.n_replicas(), failure_rate, covers_trees
        )
        labels = f'rank="{call.rank}",paid="{str(is_allowed).lower()}"'
        self._event_log.counts["repeats", labels] += 1
        return is_allowed

    def makes_calls(self, route: str) -> bool:
        """Whether requests of a route make nested calls; True if not known."""
        return self._mean_calls.get(route, 1.0) > 0.0

    def record_outcome(self, failed: bool) -> None:
        """Record whether the server refused or failed a request."""
        self._budget.record_outcome(failed)

    def covered_keys(self, rank: int, failure_rate: float) -> int:
        """Return how many of the lowest sampling keys of a rank are covered."""
        return self._budget.covered_keys(rank, self.n_replicas(), failure_rate)

    def coverage(self) -> Iterator[tuple[int, float]]:
        """Yield each rank with its covered share."""
        return self._budget.coverage()

    def record_answered(self, route: str, calls: int) -> None:
        """Record how many nested calls an answered request of a route made."""
        mean = self._mean_calls.setdefault(route, calls)
        self._mean_calls[route] = mean + (calls - mean) * _CALLS_EWMA_WEIGHT


def _one() -> int:
    """Return 1: no other backend queue is known."""
    return 1
