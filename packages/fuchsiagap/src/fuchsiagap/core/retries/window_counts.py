"""Requests and retries of one backend queue, by sliding windows, past and to come."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap.core.clock import Milliseconds

# Length of a bucket in milliseconds.
BUCKET_MS = 500.0
# Windows that are kept: the requests that permit the retries of a window are counted in
# the window before it. The bound is on the largest of a few windows, over all backend
# queues. If each queue took its own largest one, queues between which the traffic moves
# would grant twice the bound together; limits from the same window add up. The window
# before is known in full, so it keeps the limit up while refusals at the entry nodes
# reduce the requests.
_KEPT_WINDOWS = 2
# Part of the requests of a window that permits its retries at a queue which has no full
# window before it. The other queues may count the same requests, which they got before
# this queue started.
_YOUNG_PART = 0.75


@dataclass(slots=True)
class _Bucket:
    """Arrivals in one bucket.

    Parameters
    ----------
    requests, retries : int
        First attempts, and retries.
    inherited : int
        Those of the retries that a retry further upstream caused.
    """

    requests: int = 0
    retries: int = 0
    inherited: int = 0


@dataclass(frozen=True, slots=True)
class WindowCount:
    """Arrivals known now in a window that contains the present.

    Parameters
    ----------
    ends_in : float
        Milliseconds until the window ends.
    requests : float
        Requests that permit its retries.
    retries : int
        Retries in the window.
    """

    ends_in: Milliseconds
    requests: float
    retries: int


class WindowCounts:
    """Counts requests and retries in each window that contains the present.

    A retry that is made now counts in all windows that end within a window from now, so
    the limit has to hold in each of them. Future requests count as none, since traffic
    may end at any time; otherwise retries that were permitted by requests at the
    beginning of a window would break the limit in the next one.

    Parameters
    ----------
    window : float
        Length of a window in milliseconds.
    now : float
        Time in milliseconds.
    """

    def __init__(self, window: Milliseconds, now: Milliseconds) -> None:
        self._n_buckets = max(round(window / BUCKET_MS), 2)
        n_kept = _KEPT_WINDOWS * self._n_buckets + 1
        self._buckets = deque((_Bucket() for _ in range(n_kept)), maxlen=n_kept)
        self._index = int(now // BUCKET_MS)
        self._started_at = now

    def record_request(self, now: Milliseconds) -> None:
        """Count a first attempt."""
        self._current(now).requests += 1

    def record_retry(self, now: Milliseconds, is_inherited: bool = False) -> None:
        """Count a retry."""
        bucket = self._current(now)
        bucket.retries += 1
        bucket.inherited += is_inherited

    def inherited(self, now: Milliseconds) -> int:
        """Return the inherited retries in the window that ends now."""
        self._current(now)
        return sum(b.inherited for b in list(self._buckets)[-self._n_buckets :])

    def windows(self, now: Milliseconds) -> list[WindowCount]:
        """Return the counts of the windows that contain now, the earliest first.

        Windows end at multiples of a bucket. A bucket that lies partly in a window
        counts with its retries and without its requests.
        """
        self._current(now)
        n = self._n_buckets
        requests = [0, *accumulate(b.requests for b in self._buckets)]
        retries = [0, *accumulate(b.retries for b in self._buckets)]
        is_young = now - self._started_at < _KEPT_WINDOWS * n * BUCKET_MS
        counts = []
        for ahead in range(n + 1):
            end = len(self._buckets) + ahead
            permitting = float(_between(requests, end - 2 * n, end - n))
            if is_young:
                own = _between(requests, end - n, end)
                permitting = max(permitting, _YOUNG_PART * own)
            counts.append(
                WindowCount(
                    ahead * BUCKET_MS, permitting, _between(retries, end - n - 1, end)
                )
            )
        return counts

    def _current(self, now: Milliseconds) -> _Bucket:
        index = int(now // BUCKET_MS)
        n_new = min(index - self._index, len(self._buckets))
        for _ in range(n_new):
            self._buckets.append(_Bucket())
        self._index = max(index, self._index)
        return self._buckets[-1]


def _between(sums: Sequence[int], start: int, end: int) -> int:
    """Return a sum over buckets; those beyond the last one are empty."""
    last = len(sums) - 1
    return sums[min(end, last)] - sums[min(max(start, 0), last)]
