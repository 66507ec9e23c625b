"""Load balancer that chooses the instance for each attempt.

It prefers the own data centre and spills over to others under load. It compares two
random candidates by utilisation, gives new instances a slow start, ejects outliers up
to a maximum share, and uses a deterministic subset of the instances of each service.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.outcome import Answered, Reason, Refused
from fuchsiagap.core.routing.candidate import FOREVER, NEVER, Candidate
from fuchsiagap.core.routing.ejection import is_failure, record_failure
from fuchsiagap.core.routing.instance import Instance, RoutingSettings
from fuchsiagap.core.routing.least_time import LeastTimes
from fuchsiagap.core.routing.subset import rendezvous_rank, subset_of

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Clock, Milliseconds

__all__ = ["Instance", "Router", "RoutingCounts", "RoutingSettings"]

NO_NODES: frozenset[str] = frozenset()
# Number of members above which updates are applied at most once per `update_pause`.
_MANY_MEMBERS = 500


@dataclass(slots=True)
class RoutingCounts:
    """Counters of the router.

    Parameters
    ----------
    spills : int, default=0
        Choices of another data centre because the own one was saturated.
    ejections : int, default=0
        Ejections of instances.
    last_resorts : int, default=0
        Choices of an ejected instance because there was no other.
    """

    spills: int = 0
    ejections: int = 0
    last_resorts: int = 0


@dataclass(frozen=True, slots=True, eq=False)
class _Pool:
    """The instances of one service that this node may choose.

    Parameters
    ----------
    members : tuple of Instance
        All known instances of the service.
    local, remote : tuple of Candidate
        Subsets of the instances in the own data centre and in all others.
    own : Candidate or None
        The node's own backend server, if it belongs to the service.
    """

    members: tuple[Instance, ...]
    local: tuple[Candidate, ...]
    remote: tuple[Candidate, ...]
    own: Candidate | None


class Router:
    """Chooses instances and tracks their load and failures by attempt outcomes.

    Parameters
    ----------
    cfg : RoutingSettings
        Settings of the router.
    data_centre : str
        The node's own data centre.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Source of the random choices.
    node : str, default=""
        Name of this node, which decides the subset of instances.

    Attributes
    ----------
    cfg : RoutingSettings
        Settings of the router.
    least_times : LeastTimes
        Minimum latency of each route.
    counts : RoutingCounts
        Counters.
    """

    def __init__(
        self,
        cfg: RoutingSettings,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
        node: str = "",
    ) -> None:
        self.cfg = cfg
        self.least_times = LeastTimes()
        self.counts = RoutingCounts()
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._node = node
        self._members: dict[ServiceName, tuple[Instance, ...]] = {}
        self._pools: dict[ServiceName, _Pool] = {}
        self._candidates: dict[str, Candidate] = {}
        self._pending: tuple[Instance, ...] | None = None
        self._members_applied_at: Milliseconds = NEVER

    def update(self, members: tuple[Instance, ...]) -> None:
        """Replace the list of live instances, before the next choice if it is short.

        A list of more than `_MANY_MEMBERS` is applied at intervals of
        `RoutingSettings.update_pause`.

        Parameters
        ----------
        members : tuple of Instance
            All known instances of all services, including leaving ones.
        """
        self._pending = members

    def _apply_members(self) -> None:
        """Apply the latest member list, a long one at most once per `update_pause`."""
        members = self._pending or ()
        now = self._clock.now()
        pause = self.cfg.update_pause if len(members) > _MANY_MEMBERS else 0.0
        if now < self._members_applied_at + pause:
            return
        self._pending = None
        self._members_applied_at = now
        by_service: dict[ServiceName, list[Instance]] = {}
        for member in members:
            by_service.setdefault(member.service, []).append(member)
        self._members = {name: tuple(found) for name, found in by_service.items()}
        self._update_candidates(members, now)
        for service, pool in list(self._pools.items()):
            if self._members.get(service, ()) != pool.members:
                del self._pools[service]

    def _update_candidates(
        self, members: tuple[Instance, ...], now: Milliseconds
    ) -> None:
        known = self._candidates
        # Instances known when this node starts may have been running for a long time,
        # so they get no slow start.
        started = now if known else NEVER
        self._candidates = {}
        for member in members:
            candidate = known.get(member.node)
            if candidate is None:
                rank = rendezvous_rank(self._node, member.node)
                candidate = Candidate(member, rank, started, now)
            elif candidate.instance is not member:
                if candidate.instance.incarnation != member.incarnation:
                    candidate = Candidate(member, candidate.rank, now, now)
                candidate.instance = member
            self._candidates[member.node] = candidate

    def choose(
        self, service: ServiceName, excluded: frozenset[str] = NO_NODES
    ) -> Instance | None:
        """Return the instance for the next attempt.

        Parameters
        ----------
        service : ServiceName
            The called service.
        excluded : frozenset of str, optional
            Names of the nodes that earlier attempts were sent to; by default none.

        Returns
        -------
        Instance or None
            None if every instance is excluded or leaving.
        """
        if self._pending is not None:
            self._apply_members()
        pool = self._pools.get(service) or self._pool(service)
        now = self._clock.now()
        own = pool.own
        if own is not None and self._is_idle(own, excluded, now):
            return own.instance
        local = self._better_of_two(pool.local, excluded, now)
        if local is not None:
            if local.utilisation(self.cfg, now) <= self.cfg.spill_utilisation:
                return local.instance
            return self._spill(pool, local, excluded, now).instance
        remote = self._better_of_two(pool.remote, excluded, now)
        if remote is not None:
            return remote.instance
        return self._last_resort(pool, excluded)

    def _is_idle(
        self, own: Candidate, excluded: frozenset[str], now: Milliseconds
    ) -> bool:
        """Whether the own backend server has enough capacity to be used directly."""
        return (
            _is_usable(own, excluded, now)
            and own.utilisation(self.cfg, now) <= self.cfg.own_utilisation
        )

    def _spill(
        self,
        pool: _Pool,
        local: Candidate,
        excluded: frozenset[str],
        now: Milliseconds,
    ) -> Candidate:
        """Choose between the least loaded local instance and a remote one."""
        cfg = self.cfg
        usable = _usable(pool.local, excluded, now)
        local = min(usable, key=lambda c: c.utilisation(cfg, now), default=local)
        least = local.utilisation(cfg, now)
        if least <= cfg.spill_utilisation:
            return local
        remote = self._better_of_two(pool.remote, excluded, now)
        if remote is None or remote.utilisation(cfg, now) > least * cfg.spill_gain:
            return local
        self.counts.spills += 1
        return remote

    def _better_of_two(
        self,
        candidates: Sequence[Candidate],
        excluded: frozenset[str],
        now: Milliseconds,
    ) -> Candidate | None:
        """Return the less loaded of two random usable candidates, if there are any."""
        pair = self._two(candidates)
        if pair is None or not (
            _is_usable(pair[0], excluded, now) and _is_usable(pair[1], excluded, now)
        ):
            # This case is rare; the usual case does not build a list.
            usable = _usable(candidates, excluded, now)
            pair = self._two(usable)
            if pair is None:
                return usable[0] if usable else None
        one, two = pair
        cfg = self.cfg
        if one.started != two.started:
            # An instance in its slow start is considered with the probability of its
            # weight.
            draw = self._rng.random
            if draw() > one.weight(cfg, now):
                return two
            if draw() > two.weight(cfg, now):
                return one
        if two.load(cfg, now) < one.load(cfg, now):
            return two
        return one

    def _two(
        self, candidates: Sequence[Candidate]
    ) -> tuple[Candidate, Candidate] | None:
        """Return two different random candidates; None if there are fewer than two."""
        n_candidates = len(candidates)
        if n_candidates < 2:
            return None
        draw = self._rng.random
        at = int(draw() * n_candidates)
        other = int(draw() * (n_candidates - 1))
        if other >= at:
            other += 1
        return candidates[at], candidates[other]

    def _last_resort(self, pool: _Pool, excluded: frozenset[str]) -> Instance | None:
        """Return the instance whose ejection ends first."""
        left = [
            candidate
            for candidate in (*pool.local, *pool.remote)
            if candidate.out_until != FOREVER
            and candidate.instance.node not in excluded
        ]
        if not left:
            return None
        self.counts.last_resorts += 1
        return min(left, key=lambda c: c.out_until).instance

    def linked(self, service: ServiceName) -> tuple[str, ...]:
        """Return the names of the nodes of a service that this node may call."""
        if self._pending is not None:
            self._apply_members()
        pool = self._pools.get(service) or self._pool(service)
        return tuple(c.instance.node for c in (*pool.local, *pool.remote))

    def ejected(self, service: ServiceName) -> tuple[str, ...]:
        """Return the names of the nodes of a service that are ejected."""
        if self._pending is not None:
            self._apply_members()
        pool = self._pools.get(service) or self._pool(service)
        now = self._clock.now()
        return tuple(
            candidate.instance.node
            for candidate in (*pool.local, *pool.remote)
            if now < candidate.out_until < FOREVER
        )

    def begin(self, instance: Instance) -> None:
        """Count an attempt that is about to be sent as in flight."""
        candidate = self._candidate(instance)
        if candidate is not None:
            candidate.in_flight += 1

    def end(
        self, instance: Instance, outcome: Outcome | None, latency: Milliseconds
    ) -> None:
        """Record the outcome of an attempt that `begin` counted.

        Parameters
        ----------
        instance : Instance
            The instance that the attempt was sent to.
        outcome : Outcome or None
            Its outcome; None if it was cancelled.
        latency : float
            Milliseconds since `begin`; not used.
        """
        candidate = self._candidate(instance)
        if candidate is None:
            return
        candidate.in_flight = max(candidate.in_flight - 1, 0)
        if outcome is not None:
            self._apply_outcome(candidate, outcome)

    def _apply_outcome(self, candidate: Candidate, outcome: Outcome) -> None:
        now = self._clock.now()
        if is_failure(candidate, outcome, self.cfg, now):
            service = candidate.instance.service
            pool = self._pools.get(service) or self._pool(service)
            everyone = (*pool.local, *pool.remote)
            ejected = record_failure(candidate, everyone, self.cfg, now)
            self.counts.ejections += ejected
            return
        if outcome.load is not None:
            candidate.record_load(outcome.load, now)
            candidate.replied = now
            candidate.failures = 0
        if isinstance(outcome, Answered):
            candidate.n_ejections = 0
        elif isinstance(outcome, Refused) and outcome.reason is Reason.LEAVING:
            # The member list shows the departure only once it has spread between the
            # nodes.
            candidate.out_until = FOREVER

    def _candidate(self, instance: Instance) -> Candidate | None:
        """Return the state of an instance; None if it is gone or has restarted."""
        if self._pending is not None:
            self._apply_members()
        candidate = self._candidates.get(instance.node)
        if candidate is None:
            return None
        if candidate.instance.incarnation != instance.incarnation:
            return None
        return candidate

    def _pool(self, service: ServiceName) -> _Pool:
        """Build the pool of a service and cache it."""
        members = self._members.get(service, ())
        staying = [self._candidates[m.node] for m in members if not m.leaving]
        own_data_centre = self._data_centre
        local = [c for c in staying if c.instance.data_centre == own_data_centre]
        remote = [c for c in staying if c.instance.data_centre != own_data_centre]
        own = [c for c in local if c.instance.node == self._node]
        pool = _Pool(
            members,
            subset_of(local, self.cfg.local_subset),
            subset_of(remote, self.cfg.remote_subset),
            own[0] if own else None,
        )
        self._pools[service] = pool
        return pool


def _is_usable(
    candidate: Candidate, excluded: frozenset[str], now: Milliseconds
) -> bool:
    if candidate.out_until > now:
        return False
    return not excluded or candidate.instance.node not in excluded


def _usable(
    candidates: Sequence[Candidate], excluded: frozenset[str], now: Milliseconds
) -> list[Candidate]:
    return [c for c in candidates if _is_usable(c, excluded, now)]
