"""Admitted share of each workspace at the entry node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.shedding.workspace_shares import WorkspaceShare, WorkspaceShares

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.shedding.workspace_shares import ShareChange
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.peers import Peers

# Milliseconds between two checks for idle workspaces and different shares.
TICK_MS = 1_000.0
# Milliseconds between two checks whether backend servers state their present speed. A
# check looks at all peers, which is too slow for each request.
_SCOPE_CHECK_MS = 100.0


class WorkspaceAdmission:
    """Divides what a node admits of each kind among workspaces.

    Parameters
    ----------
    peers : Peers
        Reachable backend servers. While none states its present speed, all workspaces
        have the share of the kind.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log.
    """

    def __init__(self, peers: Peers, clock: Clock, event_log: EventLog) -> None:
        self._peers = peers
        self._clock = clock
        self._event_log = event_log
        self._shares = WorkspaceShares()
        self._shares.on_change = self._log_change
        self._scope_checked_at = float("-inf")
        self._is_in_scope = False

    def share_for(
        self, route: Route, workspace: Workspace | None, share: float
    ) -> WorkspaceShare | None:
        """Return the share of a workspace; None if it has that of the kind.

        Parameters
        ----------
        route : Route
            Route of the request.
        workspace : Workspace or None
            Workspace of the request, if it has one.
        share : float
            Admitted share of the kind.
        """
        if workspace is None:
            return None
        now = self._clock.now()
        if now - self._scope_checked_at >= _SCOPE_CHECK_MS:
            self._scope_checked_at = now
            self._is_in_scope = self._peers.state_speed()
        if not self._is_in_scope:
            return None
        return self._shares.share_for(route.kind, workspace, share, now)

    def busiest(self, max_workspaces: int) -> list[tuple[str, float]]:
        """Return the workspaces with the most requests, and their admitted share."""
        return self._shares.busiest(max_workspaces, self._clock.now())

    def tick(self) -> None:
        """Forget idle workspaces, and log changes of the shares."""
        self._shares.tick(self._clock.now())

    def _log_change(self, change: ShareChange) -> None:
        self._event_log.event(
            "workspace-shares-changed",
            route=change.kind,
            differing=change.differs,
            share=round(change.kind_share, 2),
            requests_per_s=round(change.requests_per_s, 1),
            workspaces=change.n_workspaces,
            workspace=change.lowest,
            workspace_share=round(change.lowest_share, 2),
            workspace_requests_per_s=round(change.lowest_requests_per_s, 1),
        )
