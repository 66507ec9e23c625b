"""Which node owns a quota, by whom this node can reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.workspaces.ownership import candidates, granted_share, owner_of
from fuchsiagap_node.core.mesh.messages import Ping

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.outbound_link import Member
    from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks

# Milliseconds that a node gets to be linked, or to answer, before the next one counts
# as the owner.
_REACH_MS = 500.0
# Milliseconds of silence after which a node is asked whether it is there.
_SILENT_MS = 300.0
# Nodes of each data centre that are asked whether it is in reach.
_ASKED_IN_EACH = 3


class QuotaOwners:
    """Finds the owner of each quota.

    Parameters
    ----------
    own : Member
        This node.
    links : callable
        Returns the links to other nodes.
    has_store : callable
        Whether the store answers this node.
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
        self._orders: dict[str, tuple[str, ...]] = {}
        self._orders_of = -1
        # When a node that is not known to be there was first looked for.
        self._looked_for: dict[str, Milliseconds] = {}

    @property
    def node(self) -> str:
        """Name of this node."""
        return self._own.node

    def owner(self, workspace: str) -> str | None:
        """Return the owner of a workspace's quota; None where this node cannot tell.

        One that is cut off by itself hears no node before it, as the last one would.
        """
        order = self._order(workspace)
        owner = owner_of(order, self._is_up)
        if owner != self._own.node:
            return owner
        # A node that is new is so known to the one that owned the quota before.
        self._links().ensure_link(next((n for n in order if n != owner), owner))
        return owner if self.share() > 0.0 else None

    def is_first(self, workspace: str) -> bool:
        """Whether this node owns a quota also where all others are up."""
        return self._order(workspace)[0] == self._own.node

    def share(self) -> float:
        """Return the part of each quota that this node may hand out."""
        own = self._own.data_centre
        places = self._links().by_data_centre()
        heard = {place for place, nodes in places.items() if self._hears(nodes)}
        hears_own = own not in places or own in heard
        return granted_share(own, places, heard, hears_own or self._has_store())

    def _hears(self, nodes: Sequence[str]) -> bool:
        """Whether one of the nodes of a data centre is up."""
        return any(self._is_up(node) for node in nodes[:_ASKED_IN_EACH])

    def _order(self, workspace: str) -> tuple[str, ...]:
        links = self._links()
        if self._orders_of != links.n_changes:
            self._orders = {}
            self._orders_of = links.n_changes
        order = self._orders.get(workspace)
        if order is None:
            order = candidates(workspace, (self._own.node, *links.known_nodes()))
            self._orders[workspace] = order
        return order

    def _is_up(self, node: str) -> bool:
        """Whether a node can be reached, or has not had time to show that it can."""
        if node == self._own.node:
            return True
        link = self._links().ensure_link(node)
        now = self._clock.now()
        if link is None:
            return False
        if link.is_open() and now - link.reached_at < _SILENT_MS:
            self._looked_for.pop(node, None)
            return True
        since = self._looked_for.get(node)
        if since is None:
            self._looked_for[node] = since = now
            link.post(Ping())
        elif link.is_open() and link.reached_at >= since:
            # It has answered, and was silent since.
            self._looked_for[node] = since = now
            link.post(Ping())
        return now - since < _REACH_MS
