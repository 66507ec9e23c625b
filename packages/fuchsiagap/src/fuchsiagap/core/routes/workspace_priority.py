"""Priority of requests from the priorities of the workspace and of the route."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.routes.model import Route

# Number of route priorities that are distinct within one workspace priority.
_N_ROUTE_PRIORITIES = 16


def apply_workspace_priority(route: Route, workspace_priority: int | None) -> Route:
    """Return a copy of a route with the priority for requests of a workspace.

    Requests are ordered by the priority of their workspace first, and by that of their
    route second. If the workspace has no priority, or the request no workspace, the
    priority of the route is used in its place.

    Parameters
    ----------
    route : Route
        Route as configured.
    workspace_priority : int or None
        Priority of the workspace.
    """
    first = route.priority if workspace_priority is None else workspace_priority
    second = min(max(route.priority, 0), _N_ROUTE_PRIORITIES - 1)
    return replace(
        route, priority=first * _N_ROUTE_PRIORITIES + second, workspace_priority=first
    )
