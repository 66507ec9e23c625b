"""Share of the call trees of each rank that a backend queue can retry to completion."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from fuchsiagap.core.clock import Milliseconds

# Sampling keys are integers from 0 up to, but not including, this number.
N_SAMPLING_KEYS = 256
# Failure rate below which all call trees are covered.
LOW_FAILURE_RATE = 0.02
# Part of what an even split of the budget would give a rank that is left to it, however
# many requests more important ranks have.
GUARANTEED_PART = 0.1
# Minimum number of keys from which the demand is estimated. With fewer, the arrivals of
# a few seconds vary by a factor of two.
_MIN_KEYS = 16
# Time constant (to 1/e) in milliseconds of the demand: long enough for some tens of
# arrivals with low keys, short enough to follow a load that varies within 13 s.
_DEMAND_MS = 4_000.0
# Minimum exposure of a rank, in keys times milliseconds, so that the first requests
# after a start do not count as a high demand.
_MIN_EXPOSURE = N_SAMPLING_KEYS * 500.0
# Time constants in milliseconds of the smoothing of the failure rate: for deviations up
# to `_FAILING_NOISE`, and for larger ones. The failure rate is a mean over 30 requests,
# whose noise changes the retries per call by a quarter at a rate of 0.55.
_FAILING_MS = 1_500.0
_FAST_FAILING_MS = 150.0
_FAILING_NOISE = 0.15
# Consecutive successes after which the server counts as recovered. Few requests are
# admitted then, so the mean over 30 requests would fall for ten seconds. At a failure
# rate of 0.2, above which the budget does not suffice, they are seen in 1 of 100 cases.
_RECOVERED_AFTER = 20
# Highest failure rate for which retries are planned.
_MAX_FAILING = 0.95
# Milliseconds between two computations.
_UPDATE_MS = 50.0
# Demand, in calls per millisecond, below which a rank is dropped.
_MIN_DEMAND = 1e-5


@dataclass(slots=True)
class _Rank:
    """Demand and coverage of one rank.

    The demand per key is the number of arrivals with covered keys divided by the
    exposure. Entry nodes refuse requests with other keys, and trees with other keys end
    early, so both would make the demand look lower the fewer keys are covered.

    Parameters
    ----------
    arrivals : float
        Decaying count of first attempts with covered keys.
    exposure : float
        Decaying integral of the covered keys over time, in keys times milliseconds.
    covered_keys : int
        Number of covered keys that replies carry.
    """

    arrivals: float = 0.0
    exposure: float = 0.0
    covered_keys: int = N_SAMPLING_KEYS

    def width(self) -> int:
        """Return the number of lowest keys from which the demand is estimated."""
        return max(self.covered_keys, _MIN_KEYS)

    def demand(self) -> float:
        """Return the calls per millisecond if all keys were admitted."""
        return N_SAMPLING_KEYS * self.arrivals / max(self.exposure, _MIN_EXPOSURE)


class RankCoverage:
    """Number of lowest sampling keys whose call trees a backend queue can complete.

    Parameters
    ----------
    now : float
        Time in milliseconds.
    """

    def __init__(self, now: Milliseconds) -> None:
        self._ranks: dict[int, _Rank] = {}
        self._failing = 0.0
        self._n_successes = 0
        self._updated_at = now

    def record_arrival(self, rank: int, sampling_key: int) -> None:
        """Count a first attempt."""
        known = self._ranks.get(rank)
        if known is None:
            known = self._ranks[rank] = _Rank()
        known.arrivals += sampling_key < known.width()

    def record_outcome(self, failed: bool) -> None:
        """Record whether the server refused or failed a request."""
        self._n_successes = 0 if failed else self._n_successes + 1

    def is_due(self, now: Milliseconds) -> bool:
        """Whether the coverage has to be computed again."""
        return now - self._updated_at >= _UPDATE_MS

    def update(self, now: Milliseconds, failing: float, retries: float) -> None:
        """Compute the coverage.

        Parameters
        ----------
        now : float
            Time in milliseconds.
        failing : float
            Share of the requests at the server that are refused or fail.
        retries : float
            Retries per millisecond that the budget allows.
        """
        elapsed, self._updated_at = now - self._updated_at, now
        decay = math.exp(-elapsed / _DEMAND_MS)
        for known in self._ranks.values():
            known.arrivals *= decay
            known.exposure *= decay
            known.exposure += known.width() * _DEMAND_MS * (1.0 - decay)
        is_noise = abs(failing - self._failing) <= _FAILING_NOISE
        smoothing = _FAILING_MS if is_noise else _FAST_FAILING_MS
        weight = 1.0 - math.exp(-elapsed / smoothing)
        self._failing += (failing - self._failing) * weight
        if self._n_successes >= _RECOVERED_AFTER:
            self._failing = 0.0
        demands = {rank: known.demand() for rank, known in self._ranks.items()}
        for rank in [r for r, demand in demands.items() if demand < _MIN_DEMAND]:
            del self._ranks[rank], demands[rank]
        if self._failing < LOW_FAILURE_RATE:
            shares = dict.fromkeys(demands, 1.0)
        else:
            shares = covered_shares(demands, retries / retries_per_call(self._failing))
        for rank, share in shares.items():
            self._ranks[rank].covered_keys = round(share * N_SAMPLING_KEYS)

    def covered_keys(self, rank: int) -> int:
        """Return the number of lowest keys of a rank that are covered."""
        known = self._ranks.get(rank)
        return N_SAMPLING_KEYS if known is None else known.covered_keys

    def all(self) -> Iterator[tuple[int, int]]:
        """Yield each rank with its number of covered keys."""
        for rank in sorted(self._ranks):
            yield rank, self._ranks[rank].covered_keys


def retries_per_call(failing: float) -> float:
    """Return the mean number of retries until a call is answered."""
    failing = min(failing, _MAX_FAILING)
    return failing / (1.0 - failing)


def covered_shares(demands: Mapping[int, float], covered: float) -> dict[int, float]:
    """Divide the calls that can be retried to completion among the ranks.

    Parameters
    ----------
    demands : mapping of int to float
        Calls of each rank.
    covered : float
        Calls that can be retried until they succeed, in the same unit.

    Returns
    -------
    dict of int to float
        Covered share of each rank. Each gets at least `GUARANTEED_PART` of an even
        split; the rest goes to the most important rank first.
    """
    total = sum(demands.values())
    if covered >= total:
        return dict.fromkeys(demands, 1.0)
    minimum = GUARANTEED_PART * covered / total
    left = (1.0 - GUARANTEED_PART) * covered
    shares = {}
    for rank in sorted(demands):
        more = min(left, (1.0 - minimum) * demands[rank])
        left -= more
        shares[rank] = minimum + more / demands[rank]
    return shares
