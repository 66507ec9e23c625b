"""Division of the admitted requests of a kind among workspaces.

Weighted max-min fairness: each workspace may use a part of the admitted requests in
proportion to the rate of its quota; what it does not need goes to the others.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from heapq import nlargest
from typing import TYPE_CHECKING, NamedTuple

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.shedding.fair_admission import CallerCredit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace

# Time constant (to 1/e) of the demand of a workspace, in milliseconds. One entry node
# of a large deployment gets about four requests of a kind per second, from dozens of
# workspaces, so that a shorter time shows hardly more than single requests.
DECAY_MS = 5_000.0
# Time constant of the count that follows a surge of one workspace, and the minimum at
# which it is used; smaller counts are mostly noise.
_SURGE_DECAY_MS = 1_000.0
_MIN_SURGE_COUNT = 4.0
# Milliseconds without a request after which a workspace is forgotten.
IDLE_MS = 10_000.0
# Maximum number of workspaces of a kind with a record of their own; all others share
# one record.
MAX_WORKSPACES = 1_000
# Milliseconds between two computations of the level, in all and for each workspace: a
# computation takes 1.1 ms for 1,000 workspaces, and may delay one in 200 requests.
_UPDATE_MS = 100.0
_UPDATE_MS_PER_WORKSPACE = 2.0
# Factor by which admissions beyond the share of the kind reduce the capacity to be
# divided. At 1, a few requests per node remain uncompensated for tens of seconds; at 4,
# the others lose twice as much to a surge.
_EXCESS_GAIN = 2.0
# Maximum of these admissions, in requests, that is still compensated.
_MAX_EXCESS = 10.0
# Minimum share of a workspace, relative to that of the kind. The callers of a workspace
# may all use a few entry nodes, where their demand is far above its weight. One at 7.5
# times its usual rate keeps at least 0.168 of the kind's share without this bound.
_MIN_RELATIVE_SHARE = 0.15
# Shares differ once a workspace is admitted at less than this part of the kind's share,
# and no longer differ from the higher part on.
_UNEVEN_BELOW = 2.0 / 3.0
_EVEN_FROM = 0.8


class Demand(NamedTuple):
    """Demand of one workspace.

    Parameters
    ----------
    requests : float
        Requests in a time span common to all workspaces.
    weight : float
        Weight of the workspace, above 0.
    """

    requests: float
    weight: float


def max_min_level(demands: Iterable[Demand], capacity: float) -> float:
    """Return the requests per unit of weight at which a capacity is used up.

    Parameters
    ----------
    demands : iterable of Demand
        Demands of all workspaces.
    capacity : float
        Requests that can be admitted in the time span of the demands.

    Returns
    -------
    float
        Level, at least 0: each workspace gets its demand, but at most the level times
        its weight. Infinite if the capacity suffices for all.

    Examples
    --------
    >>> max_min_level([Demand(1.0, 1.0), Demand(9.0, 1.0), Demand(9.0, 2.0)], 10.0)
    3.0
    """
    ordered = sorted(demands, key=lambda demand: demand.requests / demand.weight)
    weight = sum(demand.weight for demand in ordered)
    left = max(capacity, 0.0)
    for demand in ordered:
        if demand.requests * weight > left * demand.weight:
            return left / weight
        left -= demand.requests
        weight -= demand.weight
    return math.inf


class WorkspaceShare(NamedTuple):
    """Share of the requests of a kind that is admitted for one workspace.

    Parameters
    ----------
    share : float
        Share, from 0 to 1.
    credit : CallerCredit
        Admissions that the workspace is owed.
    """

    share: float
    credit: CallerCredit


@dataclass(frozen=True, slots=True)
class ShareChange:
    """The shares of workspaces begin or cease to differ.

    Parameters
    ----------
    kind : str
        Kind of requests.
    differs : bool
        Whether a workspace is now admitted at less than `_UNEVEN_BELOW` of the share of
        the kind.
    kind_share : float
        Admitted share of the kind.
    requests_per_s : float
        Requests of the kind.
    n_workspaces : int
        Workspaces with recent requests.
    lowest : str
        Workspace with the lowest share; empty if there is none.
    lowest_share : float
        Its share.
    lowest_requests_per_s : float
        Its requests.
    """

    kind: str
    differs: bool
    kind_share: float
    requests_per_s: float
    n_workspaces: int
    lowest: str
    lowest_share: float
    lowest_requests_per_s: float


@dataclass(slots=True)
class _Record:
    """Recent requests of one workspace, or of all that share a record.

    Parameters
    ----------
    rate : float
        Rate of its quota; 0 if it has none.
    requested_at : float
        Time of its last request in milliseconds.
    requests, surge : float
        Decaying counts of requests as of then, with the long and the short time
        constant.
    credit : CallerCredit
        Admissions that it is owed.
    """

    rate: float
    requested_at: Milliseconds
    requests: float = 0.0
    surge: float = 0.0
    credit: CallerCredit = field(default_factory=CallerCredit)

    def count(self, now: Milliseconds) -> None:
        elapsed = self.requested_at - now
        self.requests = self.requests * math.exp(elapsed / DECAY_MS) + 1.0
        self.surge = self.surge * math.exp(elapsed / _SURGE_DECAY_MS) + 1.0
        self.requested_at = now

    def recent(self, now: Milliseconds) -> float:
        """Return the number of requests to expect in `DECAY_MS`."""
        elapsed = self.requested_at - now
        recent = self.requests * math.exp(elapsed / DECAY_MS)
        if self.surge < _MIN_SURGE_COUNT:
            return recent
        surge = self.surge * math.exp(elapsed / _SURGE_DECAY_MS)
        if surge < _MIN_SURGE_COUNT:
            return recent
        return max(recent, surge * DECAY_MS / _SURGE_DECAY_MS)


def _certain(recent: float) -> float:
    """Return a demand less the standard deviation of its decaying count.

    A workspace that sends little, but two requests by chance, would otherwise be
    limited although its fair share suffices: with 75 workspaces at 65 nodes, the others
    would lose 0.056 to the surge of a large one in place of 0.016.
    """
    return max(recent - math.sqrt(recent / 2.0), 0.0)


class _Kind:
    """Requests of one kind, by workspace."""

    def __init__(self, now: Milliseconds) -> None:
        self.records: dict[str, _Record] = {}
        self.others = _Record(0.0, now)
        self.share = 1.0
        self.differs = False
        self._level = math.inf
        self._mean_weight = 1.0
        self._excess = 0.0
        self._updated_at = -math.inf

    def share_for(
        self, workspace: Workspace, share: float, now: Milliseconds
    ) -> WorkspaceShare:
        """Count a request, and return the share of its workspace."""
        self.share = share
        record = self._record_of(workspace, now)
        if share >= 1.0:
            record.count(now)
            self._excess = 0.0
            return WorkspaceShare(1.0, record.credit)
        interval = max(_UPDATE_MS, _UPDATE_MS_PER_WORKSPACE * len(self.records))
        if now - self._updated_at >= interval:
            self.update(now)
        # The request itself is not part of the demand: the count at the arrivals of a
        # workspace would then be too high, most of all for one with few requests.
        own = self.own_share(record, now)
        record.count(now)
        excess = self._excess + own - share
        self._excess = min(max(excess, -_MAX_EXCESS), _MAX_EXCESS)
        return WorkspaceShare(own, record.credit)

    def _record_of(self, workspace: Workspace, now: Milliseconds) -> _Record:
        record = self.records.get(workspace.name)
        if record is None:
            if len(self.records) >= MAX_WORKSPACES:
                return self.others
            record = self.records[workspace.name] = _Record(workspace.rate, now)
        record.rate = workspace.rate
        return record

    def own_share(self, record: _Record, now: Milliseconds) -> float:
        """Return the admitted share of the requests that a record counts."""
        if self.share >= 1.0:
            return 1.0
        demand = _certain(record.recent(now))
        fair = self._level * self._weight(record)
        if demand <= fair:
            return 1.0
        return max(fair / demand, _MIN_RELATIVE_SHARE * self.share)

    def _weight(self, record: _Record) -> float:
        """Return the weight; a workspace without a quota has the mean of the others."""
        return record.rate if record.rate > 0.0 else self._mean_weight

    def update(self, now: Milliseconds) -> None:
        """Compute the level from the present demands."""
        self._updated_at = now
        rates = [r.rate for r in self.records.values() if r.rate > 0.0]
        self._mean_weight = sum(rates) / len(rates) if rates else 1.0
        demands = []
        total = 0.0
        for record in (*self.records.values(), self.others):
            demand = _certain(record.recent(now))
            if demand > 0.0:
                total += demand
                demands.append(Demand(demand, self._weight(record)))
        capacity = self.share * total
        self._level = max_min_level(demands, capacity - _EXCESS_GAIN * self._excess)

    def forget(self, now: Milliseconds) -> None:
        """Remove the workspaces without recent requests."""
        for name, record in list(self.records.items()):
            if now - record.requested_at > IDLE_MS:
                del self.records[name]

    def check(self, kind: str, now: Milliseconds) -> ShareChange | None:
        """Return the change if shares begin or cease to differ."""
        lowest, lowest_share, lowest_recent, total = "", 1.0, 0.0, 0.0
        for name, record in self.records.items():
            recent = record.recent(now)
            total += recent
            own = self.own_share(record, now)
            if recent >= _MIN_SURGE_COUNT and own < lowest_share:
                lowest, lowest_share, lowest_recent = name, own, recent
        bound = _EVEN_FROM if self.differs else _UNEVEN_BELOW
        differs = self.share < 1.0 and lowest_share < bound * self.share
        if differs == self.differs:
            return None
        self.differs = differs
        per_s = MS_PER_S / DECAY_MS
        return ShareChange(
            kind,
            differs,
            self.share,
            total * per_s,
            len(self.records),
            lowest,
            lowest_share,
            lowest_recent * per_s,
        )


class WorkspaceShares:
    """Divides the admitted share of each kind of requests among workspaces.

    The mean of the shares over the requests is the share of the kind, so that no more
    is admitted in all. Within a workspace all callers have the same share.

    Attributes
    ----------
    on_change : callable
        Called when the shares of a kind begin or cease to differ.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}
        self.on_change: Callable[[ShareChange], None] = _ignore

    def share_for(
        self, kind: str, workspace: Workspace, share: float, now: Milliseconds
    ) -> WorkspaceShare:
        """Count a request, and return the share that is admitted for its workspace.

        Parameters
        ----------
        kind : str
            Kind of the request.
        workspace : Workspace
            Its workspace; the rate of the quota is the weight.
        share : float
            Share of all requests of the kind that is admitted now.
        now : float
            Time in milliseconds.
        """
        state = self._kinds.get(kind)
        if state is None:
            state = self._kinds[kind] = _Kind(now)
        return state.share_for(workspace, share, now)

    def tick(self, now: Milliseconds) -> None:
        """Forget idle workspaces, and report whether shares differ."""
        for name, kind in list(self._kinds.items()):
            kind.forget(now)
            change = kind.check(name, now)
            if change is not None:
                self.on_change(change)
            if not kind.records:
                del self._kinds[name]

    def busiest(
        self, max_workspaces: int, now: Milliseconds
    ) -> list[tuple[str, float]]:
        """Return the workspaces with the most requests, and their admitted share.

        The share is the mean over the requests of all kinds.
        """
        requests: defaultdict[str, float] = defaultdict(float)
        admitted: defaultdict[str, float] = defaultdict(float)
        for kind in self._kinds.values():
            for name, record in kind.records.items():
                recent = record.recent(now)
                requests[name] += recent
                admitted[name] += recent * kind.own_share(record, now)
        names = nlargest(max_workspaces, requests, key=lambda name: requests[name])
        return [(name, admitted[name] / requests[name]) for name in names]


def _ignore(_: ShareChange) -> None:
    """Ignore a change."""
