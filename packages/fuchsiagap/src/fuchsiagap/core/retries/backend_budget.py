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

from fuchsiagap.core.retries.rank_coverage import (
    LOW_FAILURE_RATE,
    N_SAMPLING_KEYS,
    RankCoverage,
)
from fuchsiagap.core.retries.window_counts import WindowCounts

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

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
# Share of the ratio that backend queues use where call trees are covered. There, a
# retry is allowed only if it also fits all later windows that contain it. The rest is a
# margin for queues that start while others count requests that would have been theirs.
_COVERED_RATIO_USED = 0.98
# Keys by which a retry may exceed the coverage, relative and absolute. A call tree is
# admitted by an earlier coverage and by a mean over the backend queues.
_KEY_TOLERANCE = 1.5
_KEY_TOLERANCE_KEYS = 16
# Milliseconds for which the number of retries that fit all windows is reused. It can
# only grow with the requests that arrive meanwhile.
_ROOM_CACHE_MS = 50.0
# Weight of one retry in the moving average of the calls that a retried request makes.
_CALLS_EWMA_WEIGHT = 0.05


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
        self._windows = WindowCounts(cfg.window, self._started_at)
        self._coverage = RankCoverage(self._started_at)
        self._room = 0.0
        self._room_at = float("-inf")
        self._mean_calls = 0.0

    def adopt(self, cfg: ServiceRetryLimits) -> None:
        """Apply changed limits; the counts are kept."""
        if cfg.window != self._cfg.window:
            self._windows = WindowCounts(cfg.window, self._clock.now())
            self._room_at = float("-inf")
        self._cfg = cfg

    def record_first_attempt(self, rank: int = 0, sampling_key: int = 0) -> None:
        """Count a first attempt of a request in a call tree.

        Parameters
        ----------
        rank : int, default=0
            Priority rank of its call tree.
        sampling_key : int, default=0
            Sampling key of its call tree.
        """
        bucket = self._bucket()
        self._windows.record_request(self._clock.now())
        self._coverage.record_arrival(rank, sampling_key)
        bucket.requests += 1
        bucket.ranks[rank] += 1
        self._requests += 1
        self._ranks[rank] += 1

    def record_outcome(self, failed: bool) -> None:
        """Record whether the server refused or failed a request."""
        self._coverage.record_outcome(failed)

    def record_inherited_retry(self) -> None:
        """Count a first attempt that a retry further upstream caused.

        It is never rejected, since its call tree is in progress already. As long as the
        upstream retries stay within their ratio, so do these.
        """
        self._count_retry(self._bucket(), is_inherited=True)

    def _count_retry(self, bucket: _Bucket, is_inherited: bool = False) -> None:
        bucket.retries += 1
        self._retries += 1
        self._windows.record_retry(self._clock.now(), is_inherited)
        self._room -= 1.0

    def try_spend(
        self,
        retry: RetryRequest,
        n_backends: int,
        failing: float = 0.0,
        covers_trees: bool = False,
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
        covers_trees : bool, default=False
            Whether entry nodes admit call trees by `covered_keys`.

        Returns
        -------
        bool
            Whether the retry is allowed. False if the limit is reached, or if it is
            reserved for other call trees.
        """
        bucket = self._bucket()
        if covers_trees:
            return self._try_spend_covered(bucket, retry, n_backends, failing)
        limit = self._limit(retry.calls, n_backends)
        best = min(self._ranks, default=retry.rank)
        if self._retries + 1 > limit * retry.part(best) + self._rounding:
            return False
        if not retry.is_single_call() and not self._can_complete_tree(
            retry, limit, failing
        ):
            return False
        self._count_retry(bucket)
        return True

    def _try_spend_covered(
        self, bucket: _Bucket, retry: RetryRequest, n_backends: int, failing: float
    ) -> bool:
        """Spend budget on a retry of a call tree that is covered."""
        self._mean_calls += (retry.calls - self._mean_calls) * _CALLS_EWMA_WEIGHT
        covered = self.covered_keys(retry.rank, n_backends, failing)
        if retry.sampling_key >= covered * _KEY_TOLERANCE + _KEY_TOLERANCE_KEYS:
            return False
        slack = self._slack(retry.calls, n_backends)
        if self._room_in_windows() + slack + self._rounding < 1.0:
            return False
        self._count_retry(bucket)
        return True

    def covered_keys(self, rank: int, n_backends: int, failing: float) -> int:
        """Return how many of the lowest sampling keys of a rank are covered.

        Calls with these keys can be retried until they succeed.

        Parameters
        ----------
        rank : int
            Priority rank.
        n_backends : int
            Number of backend queues that share the slack.
        failing : float
            Failure rate of the server, from 0 to 1.
        """
        now = self._clock.now()
        if self._coverage.is_due(now):
            self._bucket()
            retries = self._planned_retries(self._slack(self._mean_calls, n_backends))
            self._coverage.update(now, failing, retries)
        return self._coverage.covered_keys(rank)

    def coverage(self) -> Iterator[tuple[int, float]]:
        """Yield each rank with its covered share, as last computed."""
        for rank, keys in self._coverage.all():
            yield rank, keys / N_SAMPLING_KEYS

    def _room_in_windows(self) -> float:
        """Return how many retries fit all windows that contain the present."""
        now = self._clock.now()
        if now - self._room_at >= _ROOM_CACHE_MS:
            self._room_at = now
            ratio = self._cfg.ratio * _COVERED_RATIO_USED
            self._room = min(
                ratio * count.requests - count.retries
                for count in self._windows.windows(now)
            )
        return self._room

    def _planned_retries(self, slack: float) -> float:
        """Return the retries per millisecond that keep to the limit for a window.

        An even spending of the limit over a window, less the inherited retries; less
        than that if a window that ends later has fewer requests, or has had many
        retries. As refusals at the entry nodes reduce the requests, the rate falls
        gradually, and not at once when the limit is reached.
        """
        now = self._clock.now()
        ratio = self._cfg.ratio * _COVERED_RATIO_USED
        current, *later = self._windows.windows(now)
        limit = ratio * current.requests + slack
        planned = (limit - self._windows.inherited(now)) / self._cfg.window
        for count in later:
            room = ratio * count.requests + slack - count.retries
            planned = min(planned, room / count.ends_in)
        return max(planned, 0.0)

    def _can_complete_tree(
        self, retry: RetryRequest, limit: float, failing: float
    ) -> bool:
        """Whether the budget suffices to complete the call tree of a retry."""
        n_requests = sum(self._ranks.values())
        if failing < LOW_FAILURE_RATE or not n_requests:
            return True
        # Mean number of retries until a call is answered.
        retries_per_call = failing / max(1.0 - failing, LOW_FAILURE_RATE)
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
        earned = self._requests * self._cfg.ratio * _RATIO_USED
        return earned + self._slack(calls, n_backends)

    def _slack(self, calls: float, n_backends: int) -> float:
        """Return this queue's part of the slack."""
        cfg = self._cfg
        age = self._clock.now() - self._started_at
        slack = cfg.slack * _SLACK_USED / max(n_backends, 1) / (1.0 + calls)
        return slack * min(age / cfg.window, 1.0)

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
