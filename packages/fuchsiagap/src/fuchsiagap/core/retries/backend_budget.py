"""Retry budget that is enforced at the backend queues of the called service.

The limit applies to what reaches the servers of a service, over all nodes together.
Each backend queue counts what reaches its own server, and owns an equal part of the
slack. If entry nodes enforced the budget, the part of each would be close to zero in a
large deployment: at 195 nodes with 74 requests per second in total, each could retry
0.7 requests in ten seconds, hence none, whereas each of 13 backend queues may retry 9.

If servers fail more often than the budget can repair, evenly spread retries complete
hardly any call tree, and the most important ranks fare no better than the others. So
each call tree draws a random number, its sampling key, at the entry node, and a
backend queue retries calls of only as many trees as it can complete: the most
important rank first, and within a rank the trees with the lowest sampling keys.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from fuchsiagap.core.clock import Clock, Milliseconds

# Buckets of the sliding window.
_N_BUCKETS = 20
# Share of the ratio that backend queues use. The rest is a margin, since a backend
# queue does not know the windows of the others.
_RATIO_USED = 0.75
# Share of the slack that all backend queues together use, since some may not be known
# to the others.
_SLACK_USED = 0.6
# Part of a backend queue's limit that call trees of other than the most important rank
# may use, to keep some budget for the most important one.
_LESS_IMPORTANT_PART = 0.6
# Part of the completable call trees that is reserved for less important ranks, so that
# none is shut out.
_LEFT_TO_LESS_IMPORTANT = 0.1
# Failure rate below which retries are allowed to any call tree.
_LOW_FAILURE_RATE = 0.02
# Sampling keys are integers from 0 up to, but not including, this number.
N_SAMPLING_KEYS = 256


@dataclass(frozen=True, slots=True)
class ServiceRetryLimits:
    """Limits on the retries that reach a service, over all its backend servers.

    Parameters
    ----------
    ratio : float
        Retries per request of the service.
    slack : float
        Retries allowed on top of that in each window.
    window : float
        Length of the sliding window in milliseconds.
    """

    ratio: float
    slack: float
    window: Milliseconds


@dataclass(frozen=True, slots=True)
class RetryRequest:
    """A retry that requests budget.

    Parameters
    ----------
    rank : int
        Priority rank of the request at the root of its call tree; 0 is the most
        important.
    sampling_key : int
        Random number of its call tree, below `N_SAMPLING_KEYS`; trees with lower keys
        are retried first.
    is_nested : bool
        Whether it is a nested call, so that its call tree needs other calls too.
    calls : float
        Mean number of calls that such a request makes, including those further
        downstream.
    """

    rank: int
    sampling_key: int
    is_nested: bool
    calls: float

    def is_single_call(self) -> bool:
        """Whether its call tree is a single call, which this retry may complete."""
        return not self.is_nested and self.calls < 1.0

    def part(self, best: int) -> float:
        """Return the part of a backend queue's limit that this retry may use.

        Parameters
        ----------
        best : int
            Most important rank that recently reached the server.
        """
        return (
            1.0 if self.is_single_call() or self.rank <= best else _LESS_IMPORTANT_PART
        )


@dataclass(slots=True)
class _Bucket:
    """Arrivals in one bucket of the sliding window.

    Parameters
    ----------
    start : float
        Start of the bucket in milliseconds.
    requests, retries : int
        First attempts, and retries.
    ranks : Counter of int
        First attempts by the priority rank of their call tree.
    """

    start: Milliseconds
    requests: int = 0
    retries: int = 0
    ranks: Counter[int] = field(default_factory=Counter)


class BackendRetryBudget:
    """Limits the retries that reach one server, by its arrivals in a sliding window.

    Parameters
    ----------
    cfg : ServiceRetryLimits
        Limits of all backend servers of the service together.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Rounds the limit up or down at random, so that some backend queues allow a retry
        even if the limit of each is below one.
    """

    def __init__(
        self, cfg: ServiceRetryLimits, clock: Clock, rng: random.Random
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._buckets: deque[_Bucket] = deque()
        self._requests = 0
        self._retries = 0
        self._ranks: Counter[int] = Counter()
        self._started_at = clock.now()
        self._rounding = rng.random()
        self._rounded_at = self._started_at

    def adopt(self, cfg: ServiceRetryLimits) -> None:
        """Apply changed limits; the counts are kept."""
        self._cfg = cfg

    def record_first_attempt(self, rank: int = 0) -> None:
        """Count a first attempt of a request in a call tree of a rank."""
        bucket = self._bucket()
        bucket.requests += 1
        bucket.ranks[rank] += 1
        self._requests += 1
        self._ranks[rank] += 1

    def record_inherited_retry(self) -> None:
        """Count a first attempt that a retry further upstream caused.

        It is never rejected, since its call tree is in progress already. As long as the
        upstream retries stay within their ratio, so do these.
        """
        self._bucket().retries += 1
        self._retries += 1

    def try_spend(
        self, retry: RetryRequest, n_backends: int, failing: float = 0.0
    ) -> bool:
        """Spend budget on a retry, if there is any for its call tree.

        Parameters
        ----------
        retry : RetryRequest
            The retry.
        n_backends : int
            Number of backend queues that share the slack.
        failing : float, default=0.0
            Failure rate of the server, from 0 to 1.

        Returns
        -------
        bool
            Whether the retry is allowed. False if the limit is reached, or if it is
            reserved for other call trees.
        """
        bucket = self._bucket()
        limit = self._limit(retry.calls, n_backends)
        best = min(self._ranks, default=retry.rank)
        if self._retries + 1 > limit * retry.part(best) + self._rounding:
            return False
        if not retry.is_single_call() and not self._can_complete_tree(
            retry, limit, failing
        ):
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def _can_complete_tree(
        self, retry: RetryRequest, limit: float, failing: float
    ) -> bool:
        """Whether the budget suffices to complete the call tree of a retry."""
        n_requests = sum(self._ranks.values())
        if failing < _LOW_FAILURE_RATE or not n_requests:
            return True
        # Mean number of retries until a call is answered.
        retries_per_call = failing / max(1.0 - failing, _LOW_FAILURE_RATE)
        n_trees = limit / retries_per_call
        more_important = sum(n for rank, n in self._ranks.items() if rank < retry.rank)
        less_important = n_requests - more_important - self._ranks[retry.rank]
        if less_important:
            n_trees *= 1.0 - _LEFT_TO_LESS_IMPORTANT
        n_trees = max(n_trees - more_important, n_trees * _LEFT_TO_LESS_IMPORTANT)
        return retry.sampling_key < N_SAMPLING_KEYS * n_trees / max(
            self._ranks[retry.rank], 1
        )

    def _limit(self, calls: float, n_backends: int) -> float:
        """Return the maximum number of retries in a window.

        The slack grows from 0 after a start, since the retries that were allowed before
        a restart are not known. It is divided for a request that makes calls, since a
        retry repeats these too and would use up the slack of the services downstream
        where requests are few.
        """
        cfg = self._cfg
        age = self._clock.now() - self._started_at
        slack = cfg.slack * _SLACK_USED / max(n_backends, 1) / (1.0 + calls)
        return self._requests * cfg.ratio * _RATIO_USED + slack * min(
            age / cfg.window, 1.0
        )

    def _bucket(self) -> _Bucket:
        now = self._clock.now()
        window = self._cfg.window
        length = window / _N_BUCKETS
        start = now // length * length
        while self._buckets and self._buckets[0].start <= now - window:
            old = self._buckets.popleft()
            self._requests -= old.requests
            self._retries -= old.retries
            self._ranks -= old.ranks
        if now - self._rounded_at >= window:
            self._rounding = self._rng.random()
            self._rounded_at = now
        if not self._buckets or self._buckets[-1].start != start:
            self._buckets.append(_Bucket(start))
        return self._buckets[-1]
