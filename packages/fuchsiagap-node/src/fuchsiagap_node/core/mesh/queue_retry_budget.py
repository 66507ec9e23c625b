"""Retry budget of one backend queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.retries.shares import DoorBudget, Repeat

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.retries.shares import SharedBudget
    from fuchsiagap_node.core.mesh.messages import Call
    from fuchsiagap_node.core.mesh.telling import Teller

# Weight of one request in the moving average of the calls per request of its route;
# it covers about the last 20 requests.
_CALLS_EWMA_WEIGHT = 0.05


class QueueRetryBudget:
    """Counts the requests that reach the server, and admits retries within a budget.

    Parameters
    ----------
    cfg : SharedBudget
        Limits for all backend queues of the service together.
    clock : Clock
        Time in milliseconds.
    teller : Teller
        Counts retries by rank, admitted or not.
    rng : random.Random
        Rounds this queue's share of the budget.

    Attributes
    ----------
    n_replicas : callable
        Returns the number of known backend queues of the service, including this one.
    """

    def __init__(
        self, cfg: SharedBudget, clock: Clock, teller: Teller, rng: random.Random
    ) -> None:
        self._budget = DoorBudget(cfg, clock, rng)
        self._tell = teller
        self._mean_calls: dict[str, float] = {}
        self.n_replicas: Callable[[], int] = _one

    def adopt(self, cfg: SharedBudget) -> None:
        """Apply changed limits."""
        self._budget.adopt(cfg)

    def admits(self, call: Call, failure_rate: float) -> bool:
        """Count an arrival; return False if it is a retry that exceeds the budget.

        Parameters
        ----------
        call : Call
            The arriving call.
        failure_rate : float
            Share of the requests at the server that fail, from 0 to 1.
        """
        if not call.is_retry:
            if call.in_retried_tree:
                self._budget.note_inherited()
            else:
                self._budget.note_first(call.rank)
            return True
        calls = self._mean_calls.get(call.route, 0.0)
        retry = Repeat(call.rank, call.sampling_key, call.is_nested, calls)
        is_allowed = self._budget.pay(retry, self.n_replicas(), failure_rate)
        labels = f'rank="{call.rank}",paid="{str(is_allowed).lower()}"'
        self._tell.counts["repeats", labels] += 1
        return is_allowed

    def record_answered(self, route: str, calls: int) -> None:
        """Record how many nested calls an answered request of a route made."""
        mean = self._mean_calls.setdefault(route, calls)
        self._mean_calls[route] = mean + (calls - mean) * _CALLS_EWMA_WEIGHT


def _one() -> int:
    """Return 1: no other backend queue is known."""
    return 1
