"""Estimate of the capacity that is available to the load of one entry node (room)."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import TypeAlias

    from fuchsiagap.core.clock import Milliseconds

    # Service and kind of requests.
    Target: TypeAlias = tuple[str, str]

# Time constant (to 1/e) in milliseconds of the means of admitted load and of fullness:
# about 70 requests at 18 each second.
AVERAGING_MS = 4_000.0
# Time constant in milliseconds of each of the two lags that admitted load passes before
# it is compared with fullness: the calls of a tree reach the services downstream 0.3 to
# 1.2 s after its admission, and their fullness is known here some 0.3 s later. With a
# total lag of 0.7 s, the room is overestimated by 15 % while the load rises.
LAG_MS = 500.0
# The same for kinds whose requests make hardly any calls, as their load shows at once;
# the load of a request up to which that holds, and the milliseconds of replies after
# which the load of a request is known.
LEAF_LAG_MS = 100.0
LEAF_LOAD = 1.5
LOAD_KNOWN_MS = 1_000.0
# Time constant in milliseconds of the means that show an increase of capacity, and the
# factor by which these have to exceed the others. Nodes in use that get the capacity of
# lost ones would otherwise refuse requests for 4 s while slots are idle.
FAST_MS = 1_500.0
FAST_FACTOR = 1.05
# Time constant in milliseconds of the demand.
DEMAND_MS = 250.0
# Milliseconds after the first request within which the lags have not filled yet. The
# load would seem too low for the fullness, and a node that starts beside an idle
# service would refuse requests.
FILL_MS = 1_000.0
# Milliseconds after the first reply from which an estimate is used.
MIN_OBSERVED_MS = 250.0
# Milliseconds without a reply after which the means are kept as they are, and after
# which they are not used any more.
SILENT_MS = 1_000.0
STALE_MS = 5_000.0
# Milliseconds from the first request within which a node counts as started just now.
START_MS = 3_000.0
# Requests of a kind without any reply from which silence counts as a failure and not as
# a lack of requests.
MIN_UNANSWERED = 3
# Milliseconds after the end of such a failure in which the means are kept and a node is
# cautious: what it admitted during the failure has reached no service, and other nodes
# use its part of the capacity.
RESUME_MS = 1_000.0
# Lower bound of a room by which a load is divided, in calls per millisecond.
_MIN_ROOM = 1e-9
# Requests from which their rate is known.
_MIN_REQUESTS = 2
# Fullness up to which a report is taken as it is. A higher one contains the backlog of
# an earlier excess, and counts only as far as the load admitted here explains it:
# otherwise a queue that lasts for a second would lower the room by a third for 4 s.
MAX_FULLNESS = 1.3
# Milliseconds of a fullness above `PERSISTENT_FULLNESS` after which it is taken as it
# is: it then shows a loss of capacity and not the queue of an earlier excess.
PERSISTENT_MS = 1_000.0
PERSISTENT_FULLNESS = 2.0
# Fullness below which a service counts as idle, so that its room is unlimited.
MIN_FULLNESS = 0.02


@dataclass(slots=True)
class _Estimate:
    """Decaying means of the admitted load and of the fullness that resulted.

    Parameters
    ----------
    load, fullness : float
        Decaying sums, with weights that sum to `weight`.
    weight : float
        Approaches 1 once much longer than `AVERAGING_MS` has been observed.
    observed_ms : float
        Milliseconds observed.
    fast_load, fast_fullness : float
        Sums like `load` and `fullness` with the time constant `FAST_MS`.
    excess_ms : float
        Milliseconds for which the fullness has been above `PERSISTENT_FULLNESS`.
    """

    load: float = 0.0
    fullness: float = 0.0
    weight: float = 0.0
    observed_ms: Milliseconds = 0.0
    fast_load: float = 0.0
    fast_fullness: float = 0.0
    excess_ms: Milliseconds = 0.0

    def add(self, load: float, fullness: float, elapsed: Milliseconds) -> None:
        """Add a load and a fullness that lasted for a time."""
        is_excess = fullness > PERSISTENT_FULLNESS
        self.excess_ms = self.excess_ms + elapsed if is_excess else 0.0
        averaging = AVERAGING_MS
        if self.excess_ms >= PERSISTENT_MS:
            averaging = FAST_MS
        else:
            explained = load / max(self.room(), _MIN_ROOM)
            fullness = min(fullness, max(explained, MAX_FULLNESS))
        weight = _weight(elapsed, averaging)
        self.load += (load - self.load) * weight
        self.fullness += (fullness - self.fullness) * weight
        self.weight += (1.0 - self.weight) * weight
        self.observed_ms += elapsed
        fast = _weight(elapsed, FAST_MS)
        self.fast_load += (load - self.fast_load) * fast
        self.fast_fullness += (fullness - self.fast_fullness) * fast

    def room(self) -> float:
        """Return the room in calls per millisecond; infinity if unknown."""
        if self.observed_ms < MIN_OBSERVED_MS:
            return math.inf
        if self.fullness < MIN_FULLNESS * self.weight:
            return math.inf
        fast_fullness = max(self.fast_fullness, MIN_FULLNESS)
        fast_room = self.fast_load / fast_fullness / FAST_FACTOR
        return max(self.load / self.fullness, fast_room)


@dataclass(slots=True)
class _Kind:
    """Requests of one kind; rates are per millisecond.

    Parameters
    ----------
    load : float
        Load of one request: itself and the calls of its tree.
    new, new_admitted, last_new : int
        Requests, and admitted requests, since the last step; requests in that step.
    demand, mean_demand : float
        Rate of requests, smoothed over `DEMAND_MS` and over `AVERAGING_MS`.
    lag, lagged : float
        Rate of admitted requests after the first and the second lag.
    observed_ms : float
        Milliseconds for which replies have been observed.
    """

    load: float = 1.0
    new: int = 0
    new_admitted: int = 0
    last_new: int = 0
    demand: float = 0.0
    mean_demand: float = 0.0
    lag: float = 0.0
    lagged: float = 0.0
    observed_ms: Milliseconds = 0.0

    def is_leaf(self) -> bool:
        """Whether its requests are known to make hardly any calls."""
        return self.load <= LEAF_LOAD and self.observed_ms >= LOAD_KNOWN_MS


class Room:
    """Estimates the room of an entry node for each service and kind of requests.

    The room is the load that the node admitted lately divided by the fullness that
    resulted. Its unit is calls per millisecond, requests being weighted by the calls of
    their trees. All entry nodes see the same fullness, so their rooms add up to the
    capacity without any messages. All kinds of an entry node count as one load, as in
    the shedding controller; the fullness differs by kind.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}
        self._estimates: dict[Target, _Estimate] = {}
        self._ages: dict[Target, Milliseconds] = {}
        self._unanswered: dict[Target, int] = {}
        self._resuming_ms: dict[Target, Milliseconds] = {}
        self._traffic_ms: Milliseconds = 0.0
        self._n_requests = 0
        self._demand_weight = 0.0
        self._mean_weight = 0.0

    def record(self, kind: str, admitted: bool) -> None:
        """Count a request of a kind and whether it was admitted."""
        known = self._kinds.get(kind)
        if known is None:
            known = self._kinds[kind] = _Kind()
        known.new += 1
        self._n_requests += 1
        known.new_admitted += admitted

    def step(self, elapsed: Milliseconds, loads: Mapping[str, float]) -> float:
        """Update the rates of requests.

        Parameters
        ----------
        elapsed : float
            Milliseconds since the last step, above 0.
        loads : mapping of str to float
            Load of one request of each kind.

        Returns
        -------
        float
            Load that was admitted since the last step.
        """
        self._traffic_ms += elapsed if self._kinds else 0.0
        weight = _weight(elapsed, DEMAND_MS)
        lag_weight, leaf_weight = (
            _weight(elapsed, LAG_MS),
            _weight(elapsed, LEAF_LAG_MS),
        )
        mean_weight = _weight(elapsed, AVERAGING_MS)
        self._demand_weight += (1.0 - self._demand_weight) * weight
        self._mean_weight += (1.0 - self._mean_weight) * mean_weight
        admitted = 0.0
        for name, kind in self._kinds.items():
            kind.load = loads.get(name, kind.load)
            rate = kind.new / elapsed
            kind.demand += (rate - kind.demand) * weight
            kind.mean_demand += (rate - kind.mean_demand) * mean_weight
            lag = leaf_weight if kind.is_leaf() else lag_weight
            kind.lag += (kind.new_admitted / elapsed - kind.lag) * lag
            kind.lagged += (kind.lag - kind.lagged) * lag
            admitted += kind.new_admitted * kind.load
            kind.last_new, kind.new, kind.new_admitted = kind.new, 0, 0
        return admitted

    def observe(
        self,
        target: Target,
        fullness: float,
        reply_age: Milliseconds,
        elapsed: Milliseconds,
    ) -> None:
        """Update the estimate for a service and kind.

        Parameters
        ----------
        target : tuple of (str, str)
            The service and the kind.
        fullness : float
            Fullness of the service and of those that it calls.
        reply_age : float
            Milliseconds since the last reply; infinity before the first one.
        elapsed : float
            Milliseconds since the last step.
        """
        last_age = self._ages.get(target, 0.0)
        self._ages[target] = reply_age
        if reply_age <= elapsed:
            if SILENT_MS < last_age < math.inf:
                self._resume(target, last_age)
            self._unanswered[target] = 0
        elif target[1] in self._kinds:
            new = self._kinds[target[1]].last_new
            self._unanswered[target] = self._unanswered.get(target, 0) + new
        if target in self._resuming_ms:
            self._resuming_ms[target] -= elapsed
            if self._resuming_ms[target] <= 0.0:
                del self._resuming_ms[target]
        if (
            reply_age > SILENT_MS
            or target in self._resuming_ms
            or self._traffic_ms < FILL_MS
        ):
            return
        lagged = sum(kind.lagged * kind.load for kind in self._kinds.values())
        estimate = self._estimates.setdefault(target, _Estimate())
        estimate.add(lagged, fullness, elapsed)
        if target[1] in self._kinds:
            self._kinds[target[1]].observed_ms = estimate.observed_ms

    def _resume(self, target: Target, silence: Milliseconds) -> None:
        """Handle the first reply after a silence."""
        if silence > STALE_MS:
            self._estimates.pop(target, None)
        if self._unanswered.get(target, 0) >= MIN_UNANSWERED:
            self._resuming_ms[target] = RESUME_MS

    def is_resuming(self, target: Target) -> bool:
        """Whether replies have ceased for seconds, or have just returned."""
        if target in self._resuming_ms:
            return True
        return (
            STALE_MS < self.age(target) < math.inf
            and self._unanswered.get(target, 0) >= MIN_UNANSWERED
        )

    def is_starting(self, target: Target) -> bool:
        """Whether a node that has just started has no estimate yet."""
        estimate = self._estimates.get(target)
        is_new = estimate is None or estimate.observed_ms < MIN_OBSERVED_MS
        return is_new and self._traffic_ms < START_MS

    def age(self, target: Target) -> Milliseconds:
        """Return the milliseconds since the last reply, as of the last step."""
        return self._ages.get(target, math.inf)

    def room(self, target: Target) -> float:
        """Return the estimated room as a rate.

        Parameters
        ----------
        target : tuple of (str, str)
            Service and kind of the requests.

        Returns
        -------
        float
            Calls per millisecond that may be admitted here, over all kinds, to fill the
            fullest service that the kind reaches; infinity if that service is idle, or
            without an estimate that is up to date.
        """
        estimate = self._estimates.get(target)
        if estimate is None or self.age(target) > STALE_MS:
            return math.inf
        return estimate.room()

    def fullness(self, target: Target) -> float:
        """Return the mean fullness of a service and kind; 0 if unknown."""
        estimate = self._estimates.get(target)
        return estimate.fullness / estimate.weight if estimate else 0.0

    def demand(self) -> float:
        """Return the load of all requests lately, in calls per millisecond."""
        total = sum(kind.demand * kind.load for kind in self._kinds.values())
        return total / self._demand_weight if self._demand_weight else 0.0

    def mean_demand(self) -> float:
        """Return the mean load of all requests, averaged as the room is."""
        total = sum(kind.mean_demand * kind.load for kind in self._kinds.values())
        return total / self._mean_weight if self._mean_weight else 0.0

    def requests_since_start_per_s(self) -> float:
        """Return the mean rate of requests since the first; 0 for less than two."""
        if self._n_requests < _MIN_REQUESTS or not self._traffic_ms:
            return 0.0
        return self._n_requests / self._traffic_ms * MS_PER_S

    def largest_load(self) -> float:
        """Return the load of one request of the heaviest kind."""
        return max((kind.load for kind in self._kinds.values()), default=1.0)


def _weight(elapsed: Milliseconds, time_constant: Milliseconds) -> float:
    return 1.0 - math.exp(-elapsed / time_constant)
