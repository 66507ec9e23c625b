"""Choice of the backend server for a request, by load, locality and failures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.server_load import USUAL_SPEED

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

# Fullness is requests per slot, as in `Target.fullness`, plus penalties in that unit.

# Fullness by which a server of another data centre must be better; multiplied by the
# cost of that server where it is above 1. Traffic between data centres is expensive,
# but overloading a data centre is more so.
REMOTE_PENALTY = 0.5
# Fullness added to `REMOTE_PENALTY` per kilobyte of a request and its answer, and the
# maximum added: moving small requests to another data centre frees the same capacity at
# a lower price.
REMOTE_PENALTY_PER_KB = 0.15
MAX_BYTES_PENALTY = 1.0
_BYTES_PER_KB = 1_000.0
# Fullness added at a failure rate of 1, so that a server that fails fast does not look
# idle and attract all requests.
FAILURE_PENALTY = 3.0
# Fullness reported for a service whose requests all fail: above the target of the entry
# nodes, so that they refuse requests that could not be completed.
FAILURE_FULLNESS = 1.5
# Minimum share of a server's slots that counts as healthy, whatever its failure rate,
# so that the fullness of a service stays finite if all its servers fail.
_MIN_HEALTHY_SHARE = 0.1
# Load per slot that is added to a server's offered load when failure rates are
# averaged, so that the servers of an idle service are weighted by their slots.
_IDLE_WEIGHT = 0.02
# Fullness added to a server in its warm-up, while requests take about twice as long.
WARM_UP_PENALTY = 0.25


@dataclass(slots=True)
class Target:
    """A backend server as seen by one sending node.

    Parameters
    ----------
    node : str
        Name of the node that serves it.
    instance : str
        Incarnation; empty if none accepts requests.
    service : str
        Service of the server.
    local : bool
        Whether it is in the sender's data centre.
    usable : bool, default=True
        Whether new requests may be sent to it.
    limit : int, default=1
        Number of its slots.
    others : int, default=0
        Requests of other senders in flight there, as last reported.
    own_in_flight : int, default=0
        Requests of this sender in flight there.
    failing : float, default=0.0
        Share of requests that were refused or failed, as last reported.
    warming : bool, default=False
        Whether it is in its warm-up.
    offered : float, default=0.0
        Slots that the requests arriving there need, as last reported.
    service_ms : float, default=0.0
        Mean service time in milliseconds, as last reported; 0 if not known.
    speed : int, default=0
        Time that work takes there at this moment, in percent of the usual, as last
        reported; 0 if the server does not state it.
    refusing : float, default=0.0
        Share of requests that it refused although it stated free slots, as last
        reported.
    """

    node: str
    instance: str
    service: str
    local: bool
    usable: bool = True
    limit: int = 1
    others: int = 0
    own_in_flight: int = 0
    failing: float = 0.0
    warming: bool = False
    offered: float = 0.0
    service_ms: float = 0.0
    speed: int = 0
    refusing: float = 0.0

    def speed_factor(self) -> float:
        """Return the time that work takes now, as a multiple of the usual."""
        return (self.speed or USUAL_SPEED) / USUAL_SPEED

    def fullness(self) -> float:
        """Return the requests per slot if one more request is sent."""
        return (self.others + self.own_in_flight + 1) / max(self.limit, 1)

    def cost(self, remote_penalty: float) -> float:
        """Return the cost of sending a request there; the lowest cost is chosen.

        Parameters
        ----------
        remote_penalty : float
            Fullness by which a server of another data centre must be better.

        Returns
        -------
        float
            Fullness with the penalties for failures, distance and warm-up.
        """
        cost = self.fullness() + FAILURE_PENALTY * self.failing
        if not self.local:
            cost += remote_penalty * max(cost, 1.0)
        if self.warming:
            cost += WARM_UP_PENALTY
        return cost


# Fullness added to a server that is twice as slow as the mean while at least half of
# the slots are free, and the maximum excess over the mean service time that counts, as
# a multiple of the mean. With servers of 0.6 to 1.4 times the mean speed under partial
# failures, this lowers the median latency from 1,416 to 1,308 ms, and the failures in
# 1,000 requests from between 27 and 30 to 22. It has no effect under high load, where
# all servers are full.
SLOWNESS_PENALTY = 0.4
MAX_SLOWNESS = 1.5

# Fullness added to a server for each service time that a request takes longer there
# than at the usual speed: while at least half of the slots are free, and where all are
# in use. With 1.0 at any load, nine servers with 0.75 of their slots in use leave the
# slow ones idle, so that the others queue and entry nodes refuse 3 of 100 requests.
EXTRA_TIME_PENALTY = 1.0
BUSY_EXTRA_TIME_PENALTY = 0.4
# Bounds of the extra time that counts, in service times.
_MIN_EXTRA = -0.5
_MAX_EXTRA = 4.0
# Servers of each group, drawn with replacement, that one choice compares where servers
# state their speed. Many senders learn at the same moment that a server is fast again;
# if each compared all servers, all would choose that one until they see its load.
_DRAWN = 2
_MIN_HEALTHY_DRAW = 0.1

# Maximum servers of the own data centre, and of all others, that one choice compares.
_MAX_COMPARED = 6


def remote_penalty(n_bytes: float) -> float:
    """Return the fullness by which a server of another data centre must be better.

    Parameters
    ----------
    n_bytes : float
        Size of the request and its answer in bytes.

    Returns
    -------
    float
        Fullness, for `choose`.
    """
    bytes_penalty = REMOTE_PENALTY_PER_KB * n_bytes / _BYTES_PER_KB
    return REMOTE_PENALTY + min(bytes_penalty, MAX_BYTES_PENALTY)


def choose(
    targets: Sequence[Target],
    excluded: Collection[str],
    rng: random.Random,
    penalty: float = REMOTE_PENALTY,
) -> Target | None:
    """Return the server with the lowest cost among the usable ones.

    Parameters
    ----------
    targets : sequence of Target
        Servers of the service.
    excluded : collection of str
        Incarnations that the request was already sent to.
    rng : random.Random
        Breaks ties, and samples servers where there are many.
    penalty : float, default=REMOTE_PENALTY
        Fullness by which a server of another data centre must be better; see
        `remote_penalty`.

    Returns
    -------
    Target or None
        None if no server accepts the request.
    """
    usable = [t for t in targets if t.usable and t.instance not in excluded]
    if len(usable) > 2 * _MAX_COMPARED:
        usable = _sample(usable, rng)
    best: Target | None = None
    best_cost = float("inf")
    slowness = _slowness_cost(usable)
    extra_penalty = 0.0
    if any(target.speed for target in usable):
        extra_penalty = _extra_time_penalty(usable)
        usable = _draw(usable, rng)
    for target in usable:
        cost = target.cost(penalty) + slowness(target) + rng.random() * 0.02
        cost += extra_penalty * _extra_time(target)
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def _slowness_cost(targets: Sequence[Target]) -> Callable[[Target], float]:
    """Return a function that computes a server's cost for being slower than the mean.

    A server with free slots needs the same time for a request however many are in use,
    so fast servers are filled first. Where all are nearly full, only fullness counts.
    """
    known = [t for t in targets if t.service_ms > 0.0]
    if len(known) < 2:
        return _no_cost
    mean_ms = sum(t.service_ms for t in known) / len(known)
    fullness = sum(t.fullness() for t in known) / len(known)
    weight = SLOWNESS_PENALTY * min(max(2.0 * (1.0 - fullness), 0.0), 1.0)

    def cost(target: Target) -> float:
        if not target.service_ms:
            return 0.0
        excess = target.service_ms / mean_ms - 1.0
        return weight * min(max(excess, -1.0), MAX_SLOWNESS)

    return cost


def _extra_time_penalty(targets: Sequence[Target]) -> float:
    """Return the fullness added for each service time that a request takes longer."""
    fullness = sum(t.fullness() for t in targets) / len(targets)
    penalty = EXTRA_TIME_PENALTY * 2.0 * (1.0 - fullness)
    return min(max(penalty, BUSY_EXTRA_TIME_PENALTY), EXTRA_TIME_PENALTY)


def _extra_time(target: Target) -> float:
    """Return the extra time of a request at the present speed, in service times."""
    return min(max(target.speed_factor() - 1.0, _MIN_EXTRA), _MAX_EXTRA)


def _draw(usable: list[Target], rng: random.Random) -> list[Target]:
    """Return the servers of each group that one choice compares.

    A server is drawn in proportion to the requests that it can complete per time.
    """
    drawn: list[Target] = []
    for is_local in (True, False):
        group = [t for t in usable if t.local is is_local]
        if group:
            weights = [_throughput(target) for target in group]
            drawn += rng.choices(group, weights, k=_DRAWN)
    return drawn


def _throughput(target: Target) -> float:
    healthy = max(1.0 - target.failing, _MIN_HEALTHY_DRAW)
    return max(target.limit, 1) * healthy / (1.0 + _extra_time(target))


def _no_cost(_: Target) -> float:
    return 0.0


def _sample(usable: list[Target], rng: random.Random) -> list[Target]:
    local = [t for t in usable if t.local]
    remote = [t for t in usable if not t.local]
    sampled: list[Target] = []
    for group in (local, remote):
        sampled += (
            group if len(group) <= _MAX_COMPARED else rng.sample(group, _MAX_COMPARED)
        )
    return sampled


def service_fullness(targets: Sequence[Target]) -> float:
    """Return the offered load per slot over all usable servers of a service.

    The slots of a failing server count only in proportion to the requests that it
    completes. Otherwise a healthy server beside a failed one would look half as full as
    it is. The present speed of a server is contained in the load that it reports.

    Parameters
    ----------
    targets : sequence of Target
        Servers of the service.

    Returns
    -------
    float
        Fullness; 0 without usable servers.
    """
    load = 0.0
    slots = 0.0
    for target in targets:
        if target.usable:
            healthy = max(1.0 - _lost(target), _MIN_HEALTHY_SHARE)
            load += target.offered
            slots += target.limit * healthy
    return load / slots if slots else 0.0


def _lost(target: Target) -> float:
    """Return the share of a server's capacity that is lost to failures.

    A refusal despite free slots takes no capacity. Only servers that state their speed
    report such refusals.
    """
    return max(target.failing - target.refusing, 0.0)


def service_failure_load(targets: Sequence[Target]) -> float:
    """Return the fullness that the failures of a service add for its callers.

    A request that makes several calls needs each of them to succeed. Servers are
    weighted by their offered load, which is how likely a call reaches them. If they
    were weighted by slots, a failed server without requests beside a healthy one would
    make entry nodes admit only 7 of 100 requests while the healthy one has capacity
    left. Failures of a server that states its speed do not count: its backend queue
    reports which call trees its retry budget covers, and entry nodes admit only these.

    Parameters
    ----------
    targets : sequence of Target
        Servers of the service.

    Returns
    -------
    float
        From 0 to `FAILURE_FULLNESS`.
    """
    weights = 0.0
    failing = 0.0
    for target in targets:
        if target.usable:
            weight = target.offered + _IDLE_WEIGHT * target.limit
            failing += 0.0 if target.speed else target.failing * weight
            weights += weight
    return FAILURE_FULLNESS * failing / weights if weights else 0.0
