"""Choice of the backend server that gets the next request of a service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

# Fullness that a server of another data centre must be better by, relative to its own
# where that is above 1: traffic between data centres is dear, an overfull data centre
# dearer.
REMOTE_PENALTY = 0.5
# What is added to it for each kilobyte of a request and its answer, and the most that
# is added: the same room elsewhere is bought for less by moving small requests.
REMOTE_PENALTY_PER_KB = 0.15
MAX_BYTES_PENALTY = 1.0
_BYTES_A_KB = 1_000.0
# Fullness that counts for each unit of the share of refused or broken requests, so that
# a server that fails fast does not look empty and attract all.
FAILURE_PENALTY = 3.0
# Fullness that a service has if all its requests fail: above the aim, so that the
# entries refuse trees that would come to nothing.
FAILURE_FULLNESS = 1.5
# Share of the places of a server that count as sound at least, however many of its
# requests fail, so that a load on failing servers alone stays a number.
_LEAST_SOUND = 0.1
# Load for each place with which a server counts that is offered nothing: where a
# service is idle, its servers count by their places.
_IDLE_WEIGHT = 0.02
# Fullness added to a server in its warm-up, while it needs about twice as long.
WARM_UP_PENALTY = 0.25


@dataclass(slots=True)
class Target:
    """A backend server as one sending node sees it.

    Parameters
    ----------
    node : str
        Name of the node beside it.
    instance : str
        Incarnation; empty if none takes requests.
    service : str
        Service.
    local : bool
        Whether it stands in the sender's data centre.
    usable : bool
        Whether new requests may be sent to it.
    limit : int
        Places.
    others : int
        Requests of other senders there, as last reported.
    mine : int
        Requests of this sender there now.
    failing : float
        Share of requests that ended refused or broken, as last reported.
    warming : bool
        Whether it is in its warm-up.
    offered : float
        Places that the requests that arrive there would fill, as last reported.
    service_ms : float
        Milliseconds that a request is at the server, as last reported; 0 if not known.
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

    def fullness(self) -> float:
        """Return requests per place, with the next one counted."""
        return (self.others + self.own_in_flight + 1) / max(self.limit, 1)

    def cost(self, remote_penalty: float) -> float:
        """Return what the choice compares; the least is chosen."""
        cost = self.fullness() + FAILURE_PENALTY * self.failing
        if not self.local:
            cost += remote_penalty * max(cost, 1.0)
        if self.warming:
            cost += WARM_UP_PENALTY
        return cost


# Fullness that a server must be better by that takes twice as long as the others, where
# half of the places or more are free; and how much slower counts at most. Plays of 28
# hosts, servers of 0.6 to 1.4 of the same speed: half of the lookups within 1,308 ms in
# place of 1,416 on a day of trouble, and 22 failed of 1,000 in place of 27 to 30; on a
# day of high load, where all are full, nothing.
SLOWNESS_PENALTY = 0.4
MAX_SLOWNESS = 1.5

# Servers of each place (own data centre, others) that one choice compares.
_COMPARED = 6


def remote_penalty(n_bytes: float) -> float:
    """Return the fullness that a server elsewhere must be better by.

    Parameters
    ----------
    n_bytes : float
        Bytes of such a request and its answer.
    """
    for_bytes = REMOTE_PENALTY_PER_KB * n_bytes / _BYTES_A_KB
    return REMOTE_PENALTY + min(for_bytes, MAX_BYTES_PENALTY)


def choose(
    targets: Sequence[Target],
    without: Collection[str],
    rng: random.Random,
    penalty: float = REMOTE_PENALTY,
) -> Target | None:
    """Return the server that the next request goes to.

    Parameters
    ----------
    targets : sequence of Target
        Servers of the service.
    without : collection of str
        Incarnations that this request has been at.
    rng : random.Random
        Breaks ties, and samples where there are many servers.
    penalty : float
        What a server of another data centre must be better by; see `remote_penalty`.

    Returns
    -------
    Target or None
        None if no server takes requests.
    """
    usable = [t for t in targets if t.usable and t.instance not in without]
    if len(usable) > 2 * _COMPARED:
        usable = _sample(usable, rng)
    best: Target | None = None
    best_cost = float("inf")
    slowness = _slowness_cost(usable)
    for target in usable:
        cost = target.cost(penalty) + slowness(target) + rng.random() * 0.02
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def _slowness_cost(targets: Sequence[Target]) -> Callable[[Target], float]:
    """Return what each server costs for being slower than the others.

    A server with places free takes as long for a request however full it is, so the
    fast ones are filled first; where all are nearly full, room alone counts.
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
        slower = target.service_ms / mean_ms - 1.0
        return weight * min(max(slower, -1.0), MAX_SLOWNESS)

    return cost


def _no_cost(_: Target) -> float:
    return 0.0


def _sample(usable: list[Target], rng: random.Random) -> list[Target]:
    local = [t for t in usable if t.local]
    remote = [t for t in usable if not t.local]
    picked: list[Target] = []
    for group in (local, remote):
        picked += group if len(group) <= _COMPARED else rng.sample(group, _COMPARED)
    return picked


def service_fullness(targets: Sequence[Target]) -> float:
    """Return the load offered to each place, over all servers of a service.

    Servers that take no requests add nothing; 0 without any server. Places of a server
    that fails do work for the rest of its requests only: a sound server beside one
    that failed looked half as full as it was.
    """
    load = 0.0
    places = 0.0
    for target in targets:
        if target.usable:
            load += target.offered
            places += target.limit * max(1.0 - target.failing, _LEAST_SOUND)
    return load / places if places else 0.0


def service_failure_load(targets: Sequence[Target]) -> float:
    """Return the fullness that the failures of a service count as for its callers.

    A request that makes several calls needs each of them. Servers count by what is
    offered to them, which is how likely a call meets them: by their places, one of two
    that failed and got nothing any more made entries let in 7 of 100 requests while
    the other one had room (a play with 22 hosts).
    """
    weights = 0.0
    failing = 0.0
    for target in targets:
        if target.usable:
            weight = target.offered + _IDLE_WEIGHT * target.limit
            failing += target.failing * weight
            weights += weight
    return FAILURE_FULLNESS * failing / weights if weights else 0.0
