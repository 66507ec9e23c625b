"""Ranks of requests where workspaces have priorities beside those of routes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.routes.model import Route

# Priorities of routes that are told apart below one priority of a workspace.
_N_ROUTE_PRIORITIES = 16


def apply_workspace_priority(route: Route, workspace_priority: int | None) -> Route:
    """Return a route as it is for the requests of a workspace.

    Requests are ranked by the priority of their workspace, and those of equal ones by
    that of their route. Where a workspace has none, and for requests without one, the
    priority of the route stands for it.

    Parameters
    ----------
    route : Route
        The route, as it is declared.
    workspace_priority : int or None
        Priority of the workspace.
    """
    first = route.priority if workspace_priority is None else workspace_priority
    second = min(max(route.priority, 0), _N_ROUTE_PRIORITIES - 1)
    return replace(
        route, priority=first * _N_ROUTE_PRIORITIES + second, workspace_priority=first
    )
