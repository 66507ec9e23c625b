"""Route lookup, and choice among the services of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.routes.workspace_priority import apply_workspace_priority
from fuchsiagap.core.workspaces.keys import KeyTable

if TYPE_CHECKING:
    from fuchsiagap.core.routes.model import Route, RouteConfig


class RouteTable:
    """Lookup table for the routes of one configuration.

    A lookup shortens the path slash by slash from the right, so its cost depends on the
    depth of the path and not on the number of routes.

    Parameters
    ----------
    cfg : RouteConfig
        Active configuration.

    Attributes
    ----------
    cfg : RouteConfig
        The configuration given.
    keys : KeyTable or None
        API keys of callers; None if callers need none.

    Raises
    ------
    DuplicateKeyError
        If two workspaces hold the same key.
    """

    def __init__(self, cfg: RouteConfig) -> None:
        self.cfg = cfg
        self._routes = {(route.host, route.prefix): route for route in cfg.routes}
        self._prioritized: dict[tuple[str, int | None], Route] = {}
        self.keys = None if cfg.workspaces is None else KeyTable(cfg.workspaces)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header. A port is ignored unless a route matches with
            it.
        path : str
            Path of the request, without the query.

        Returns
        -------
        Route or None
            None if no route matches.
        """
        host = host.lower()
        found = self._find(host, path)
        if found is None and ":" in host:
            return self._find(host.rpartition(":")[0], path)
        return found

    def apply_workspace_priority(self, route: Route, priority: int | None) -> Route:
        """Return a route with the priority for requests of a workspace.

        If no workspaces are configured, the route is returned unchanged.

        Parameters
        ----------
        route : Route
            Route as configured.
        priority : int or None
            Priority of the workspace, if it has one.
        """
        if self.keys is None:
            return route
        key = route.name, priority
        found = self._prioritized.get(key)
        if found is None:
            found = self._prioritized[key] = apply_workspace_priority(route, priority)
        return found

    def _find(self, host: str, path: str) -> Route | None:
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


class WeightedRoundRobin:
    """Smooth weighted round-robin among the services of each route.

    After any number of requests, the count of each service is within one request of
    its configured share. Random choices would deviate by several percent over a few
    hundred requests.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service that receives the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credit = self._credit.setdefault(route.name, {})
        total = 0.0
        best = route.shares[0].service
        best_credit = float("-inf")
        for share in route.shares:
            total += share.weight
            current = credit[share.service] = (
                credit.get(share.service, 0.0) + share.weight
            )
            if current > best_credit and share.weight > 0.0:
                best, best_credit = share.service, current
        credit[best] -= total
        return best

    def adopt(self, cfg: RouteConfig) -> None:
        """Drop the state of routes and services that a new configuration removes."""
        weighted = {route.name for route in cfg.routes if len(route.shares) > 1}
        self._credit = {n: c for n, c in self._credit.items() if n in weighted}
        for route in cfg.routes:
            if route.name in self._credit:
                services = {share.service for share in route.shares}
                credit = self._credit[route.name]
                self._credit[route.name] = {
                    name: value for name, value in credit.items() if name in services
                }
