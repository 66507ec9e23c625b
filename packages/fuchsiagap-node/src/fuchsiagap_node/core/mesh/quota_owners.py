"""Determines the owner of each quota from the nodes that are reachable."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.workspaces.ownership import candidates, granted_share, owner_of
from fuchsiagap_node.core.mesh.messages import Ping

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.outbound_link import Member
    from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks

# Milliseconds within which a node must open its link or answer; after that, the next
# candidate counts as the owner.
_REACH_TIMEOUT_MS = 500.0
# Milliseconds without a message after which a node is pinged.
_PING_AFTER_MS = 300.0
# Nodes of each data centre that are checked to determine whether it is reachable.
_PROBED_PER_DATA_CENTRE = 3


class QuotaOwners:
    """Finds the owner of each quota: the first reachable one of its candidates.

    Parameters
    ----------
    own : Member
        This node.
    links : callable
        Returns the links to other nodes.
    has_store : callable
        Returns whether the store answers this node.
    clock : Clock
        Time in milliseconds.
    """

    def __init__(
        self,
        own: Member,
        links: Callable[[], OutboundLinks],
        has_store: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._own = own
        self._links = links
        self._has_store = has_store
        self._clock = clock
        self._candidates: dict[str, tuple[str, ...]] = {}
        self._candidates_version = -1
        # When each node that is not known to be up was first checked.
        self._unconfirmed_since: dict[str, Milliseconds] = {}

    @property
    def node(self) -> str:
        """Name of this node."""
        return self._own.node

    def owner(self, workspace: str) -> str | None:
        """Return the owner of a workspace's quota; None if it is undetermined.

        A node that is partitioned from all others reaches no candidate before itself
        and would count as the owner. It must not take over the quota.
        """
        order = self._candidates_of(workspace)
        owner = owner_of(order, self._is_up)
        if owner != self._own.node:
            return owner
        # The link makes this node known to the previous owner, if this node is new.
        self._links().ensure_link(next((n for n in order if n != owner), owner))
        return owner if self.share() > 0.0 else None

    def is_first(self, workspace: str) -> bool:
        """Whether this node owns a quota even if all other nodes are up."""
        return self._candidates_of(workspace)[0] == self._own.node

    def share(self) -> float:
        """Return the share of each quota that this node may grant, from 0 to 1."""
        own = self._own.data_centre
        by_data_centre = self._links().by_data_centre()
        reachable = {
            data_centre
            for data_centre, nodes in by_data_centre.items()
            if self._is_any_up(nodes)
        }
        reaches_own = own not in by_data_centre or own in reachable
        return granted_share(
            own, by_data_centre, reachable, reaches_own or self._has_store()
        )

    def _is_any_up(self, nodes: Sequence[str]) -> bool:
        """Whether any of the first nodes of a data centre is up."""
        return any(self._is_up(node) for node in nodes[:_PROBED_PER_DATA_CENTRE])

    def _candidates_of(self, workspace: str) -> tuple[str, ...]:
        links = self._links()
        if self._candidates_version != links.n_changes:
            self._candidates = {}
            self._candidates_version = links.n_changes
        order = self._candidates.get(workspace)
        if order is None:
            order = candidates(workspace, (self._own.node, *links.known_nodes()))
            self._candidates[workspace] = order
        return order

    def _is_up(self, node: str) -> bool:
        """Whether a node is reachable, or still has time left to answer."""
        if node == self._own.node:
            return True
        link = self._links().ensure_link(node)
        now = self._clock.now()
        if link is None:
            return False
        if link.is_open() and now - link.reached_at < _PING_AFTER_MS:
            self._unconfirmed_since.pop(node, None)
            return True
        since = self._unconfirmed_since.get(node)
        if since is None:
            self._unconfirmed_since[node] = since = now
            link.post(Ping())
        elif link.is_open() and link.reached_at >= since:
            # It has sent data since that check, and has been silent again.
            self._unconfirmed_since[node] = since = now
            link.post(Ping())
        return now - since < _REACH_TIMEOUT_MS
