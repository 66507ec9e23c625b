"""Quota algorithms: equal shares, shares by demand, and tokens granted by an owner."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from fuchsiagap.core.workspaces.grants import Grant, QuotaGrants
from fuchsiagap.core.workspaces.ownership import candidates, owner_of
from fuchsiagap.core.workspaces.token_bucket import TokenBucket
from fuchsiagap.core.workspaces.token_cache import TokenCache
from fuchsiagap_standins.quotas.scenario import N_DATA_CENTRES

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_standins.quotas.scenario import Scenario

# Milliseconds between two gossip rounds in which nodes exchange their demand.
_GOSSIP_PERIOD_MS = 500.0
# Number of nodes that each node sends its demand to in a round.
_GOSSIP_FANOUT = 8
# Latency of a message in milliseconds, with its processing at both ends. Not used: the
# algorithms are simulated without latency.
_DELAY_MS = 3.0
# Bytes of a request or response for tokens, and of one workspace in a gossip message.
_MESSAGE_BYTES = 40
_ROW_BYTES = 12
# Milliseconds until an unreachable node is detected.
_DETECTION_MS = 1_000.0


@dataclass(slots=True)
class Fleet:
    """State of the nodes and of the network between them.

    Parameters
    ----------
    scenario : Scenario
        The simulated scenario.
    started : list of float
        Time in milliseconds at which each node last started.
    down : set of int
        Nodes that are down.
    is_partitioned : bool
        Whether the first data centre is partitioned from the others.
    partitioned_at : float
        Time in milliseconds at which the last partition began.
    """

    scenario: Scenario
    started: list[Milliseconds]
    down: set[int] = field(default_factory=set)
    is_partitioned: bool = False
    partitioned_at: Milliseconds = 0.0

    def reaches(self, one: int, other: int) -> bool:
        """Whether messages between two nodes are delivered."""
        if one in self.down or other in self.down:
            return False
        across = (one % N_DATA_CENTRES == 0) != (other % N_DATA_CENTRES == 0)
        return not (self.is_partitioned and across)


class QuotaAlgorithm(Protocol):
    """An algorithm that enforces quotas on many nodes.

    Attributes
    ----------
    messages, n_bytes : int
        Messages and bytes that all nodes have sent for it.
    """

    messages: int
    n_bytes: int

    def admits(self, node: int, workspace: int, now: Milliseconds) -> bool:
        """Return whether a node admits a request of a workspace."""

    def tick(self, now: Milliseconds) -> None:
        """Do the periodic work that is due."""

    def restart(self, node: int) -> None:
        """Discard the state of a node that is restarted."""


class EqualShares:
    """Each node enforces an equal share of each quota, without any messages."""

    def __init__(self, fleet: Fleet, workspaces: Sequence[Workspace]) -> None:
        self._n = fleet.scenario.n_nodes
        self._workspaces = workspaces
        self._buckets: dict[tuple[int, int], TokenBucket] = {}
        self.messages = self.n_bytes = 0

    def admits(self, node: int, workspace: int, now: Milliseconds) -> bool:
        """Return whether a node admits a request of a workspace."""
        bucket = self._buckets.get((node, workspace))
        if bucket is None:
            bucket = self._buckets[node, workspace] = TokenBucket(now, is_full=True)
        quota = self._workspaces[workspace]
        bucket.fill(quota.rate / self._n, quota.burst / self._n, now)
        return bucket.take(1) == 1

    def tick(self, now: Milliseconds) -> None:
        """Do nothing."""

    def restart(self, node: int) -> None:
        """Discard the state of a node that is restarted."""
        for key in [key for key in self._buckets if key[0] == node]:
            del self._buckets[key]


class DemandShares:
    """Each node enforces a share in proportion to its demand in the last round."""

    def __init__(self, fleet: Fleet, workspaces: Sequence[Workspace]) -> None:
        self._fleet = fleet
        self._workspaces = workspaces
        self._demand: list[Counter[int]] = [
            Counter() for _ in range(fleet.scenario.n_nodes)
        ]
        self._known_demand = self._demand
        self._next = _GOSSIP_PERIOD_MS
        self._buckets: dict[tuple[int, int], TokenBucket] = {}
        self.messages = self.n_bytes = 0

    def admits(self, node: int, workspace: int, now: Milliseconds) -> bool:
        """Return whether a node admits a request of a workspace."""
        self._demand[node][workspace] += 1
        bucket = self._buckets.get((node, workspace))
        if bucket is None:
            bucket = self._buckets[node, workspace] = TokenBucket(now, is_full=False)
            bucket.level = 1.0
        quota = self._workspaces[workspace]
        share = self._share(node, workspace)
        bucket.fill(quota.rate * share, quota.burst * share, now)
        return bucket.take(1) == 1

    def _share(self, node: int, workspace: int) -> float:
        """Return the share of a node in the demand it knows; equal without demand."""
        visible_demand = [
            demand[workspace]
            for other, demand in enumerate(self._known_demand)
            if other == node or self._fleet.reaches(other, node)
        ]
        total = sum(visible_demand)
        if not total:
            return 1.0 / len(self._known_demand)
        return self._known_demand[node][workspace] / total

    def tick(self, now: Milliseconds) -> None:
        """Exchange the demand of all nodes, once per round."""
        if now < self._next:
            return
        self._next += _GOSSIP_PERIOD_MS
        self._known_demand = self._demand
        self._demand = [Counter() for _ in self._known_demand]
        for demand in self._known_demand:
            # Gossip spreads the demand to all nodes, so each sends to a few of them.
            self.messages += _GOSSIP_FANOUT
            self.n_bytes += _GOSSIP_FANOUT * _ROW_BYTES * len(demand)

    def restart(self, node: int) -> None:
        """Discard the state of a node that is restarted."""
        self._demand[node] = Counter()
        for key in [key for key in self._buckets if key[0] == node]:
            del self._buckets[key]


class OwnerTokens:
    """One node owns each quota and grants tokens to the others, as real nodes do."""

    def __init__(self, fleet: Fleet, workspaces: Sequence[Workspace]) -> None:
        self._fleet = fleet
        self._workspaces = workspaces
        nodes = [f"n{node}" for node in range(fleet.scenario.n_nodes)]
        self._owner_candidates = [
            [int(name[1:]) for name in candidates(workspace.name, nodes)]
            for workspace in workspaces
        ]
        self._token_caches = [TokenCache() for _ in nodes]
        self._grants = [QuotaGrants() for _ in nodes]
        self.messages = self.n_bytes = 0

    def admits(self, node: int, workspace: int, now: Milliseconds) -> bool:
        """Return whether a node admits a request of a workspace."""
        token_cache, quota = self._token_caches[node], self._workspaces[workspace]
        token_cache.count_request(quota.name, now)
        if token_cache.take(quota.name, now):
            self._fetch(node, workspace, 0, now)
            return True
        if token_cache.denied_for(quota.name, now) > 0.0:
            return False
        self._fetch(node, workspace, 1, now)
        return token_cache.take(quota.name, now)

    def _fetch(
        self, node: int, workspace: int, n_waiting: int, now: Milliseconds
    ) -> None:
        """Request the tokens that a node wants from the owner that it knows.

        `n_waiting` is the number of requests that wait for a token.
        """
        quota = self._workspaces[workspace]
        wanted = self._token_caches[node].wanted(quota.name, n_waiting, now)
        owner = self._owner(node, workspace, now)
        if not wanted or owner is None:
            return
        if owner != node:
            self.messages += 2
            self.n_bytes += 2 * _MESSAGE_BYTES
            if not self._fleet.reaches(node, owner):
                return
        is_first = self._owner_candidates[workspace][0] == owner
        begins_full = is_first and self._fleet.started[owner] == 0.0
        grant = self._grants[owner].grant(
            quota, wanted, now, self._quota_part(owner, now), begins_full
        )
        self._token_caches[node].add(quota.name, Grant(grant.tokens, grant.wait), now)

    def _owner(self, node: int, workspace: int, now: Milliseconds) -> int | None:
        """Return the owner of a quota in the view of a node; None if it knows none."""

        def is_up(name: str) -> bool:
            other = int(name)
            if self._fleet.reaches(node, other):
                return True
            # The partition is too recent to be detected, so the node counts as up.
            return (
                self._fleet.is_partitioned
                and now - self._fleet.partitioned_at < _DETECTION_MS
            )

        found = owner_of(map(str, self._owner_candidates[workspace]), is_up)
        return None if found is None else int(found)

    def _quota_part(self, owner: int, now: Milliseconds) -> float:
        """Return the share of a quota that an owner may grant.

        After a partition is detected, each side grants in proportion to the number of
        its data centres, so that both together stay within the quota.
        """
        if (
            not self._fleet.is_partitioned
            or now - self._fleet.partitioned_at < _DETECTION_MS
        ):
            return 1.0
        return (
            1.0 / N_DATA_CENTRES
            if owner % N_DATA_CENTRES == 0
            else 1.0 - 1.0 / N_DATA_CENTRES
        )

    def tick(self, now: Milliseconds) -> None:
        """Do nothing."""

    def restart(self, node: int) -> None:
        """Discard the state of a node that is restarted."""
        self._token_caches[node] = TokenCache()
        self._grants[node] = QuotaGrants()


ALGORITHMS: dict[str, Callable[[Fleet, Sequence[Workspace]], QuotaAlgorithm]] = {
    "equal shares": EqualShares,
    "shares by demand": DemandShares,
    "tokens of an owner": OwnerTokens,
}
