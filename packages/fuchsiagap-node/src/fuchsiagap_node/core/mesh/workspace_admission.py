"""Admitted share of each workspace at the entry node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.shedding.workspace_shares import WorkspaceShare, WorkspaceShares

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.shedding.workspace_shares import ShareChange
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.contention_scope import ContentionScope
    from fuchsiagap_node.core.mesh.event_log import EventLog

# Milliseconds between two checks for idle workspaces and different shares.
TICK_MS = 1_000.0


class WorkspaceAdmission:
    """Divides what a node admits of each kind among workspaces.

    Parameters
    ----------
    scope : ContentionScope
        Outside of it, all workspaces have the share of the kind.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log.
    """

    def __init__(
        self, scope: ContentionScope, clock: Clock, event_log: EventLog
    ) -> None:
        self._scope = scope
        self._clock = clock
        self._event_log = event_log
        self._shares = WorkspaceShares()
        self._shares.on_change = self._log_change

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
        if workspace is None or not self._scope.applies():
            return None
        return self._shares.share_for(route.kind, workspace, share, self._clock.now())

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
