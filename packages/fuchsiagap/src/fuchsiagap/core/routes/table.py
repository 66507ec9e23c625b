"""Look-up of a request's route, and the choice among the services of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.routes.workspace_priority import apply_workspace_priority
from fuchsiagap.core.workspaces.keys import KeyTable

if TYPE_CHECKING:
    from fuchsiagap.core.routes.model import Route, RouteConfig


class RouteTable:
    """Routes of one version, ready for look-ups.

    A look-up walks the slashes of the path from the right, so its cost follows the
    depth of the path and not the number of routes.

    Parameters
    ----------
    cfg : RouteConfig
        Version in force.

    Attributes
    ----------
    keys : KeyTable or None
        API keys of callers; None where they need none.

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
        """Return the route with the longest prefix that begins the path.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header, a port included or not.
        path : str
            Path of the request, without its query.

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
        """Return a route as it is for requests of a workspace of a priority."""
        if self.keys is None:
            return route
        asked = route.name, priority
        found = self._prioritized.get(asked)
        if found is None:
            found = self._prioritized[asked] = apply_workspace_priority(route, priority)
        return found

    def _find(self, host: str, path: str) -> Route | None:
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


class WeightedRoundRobin:
    """Smooth weighted rotation among the services of each route.

    Any stretch of requests is within one request of the declared parts, which random
    choices miss by several in a hundred at a few hundred requests.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service that takes the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credit = self._credit.setdefault(route.name, {})
        total = 0.0
        best = route.shares[0].service
        best_credit = float("-inf")
        for share in route.shares:
            total += share.weight
            mine = credit[share.service] = credit.get(share.service, 0.0) + share.weight
            if mine > best_credit and share.weight > 0.0:
                best, best_credit = share.service, mine
        credit[best] -= total
        return best

    def adopt(self, cfg: RouteConfig) -> None:
        """Forget routes that a new version has changed or dropped."""
        split = {route.name for route in cfg.routes if len(route.shares) > 1}
        self._credit = {n: c for n, c in self._credit.items() if n in split}
        for route in cfg.routes:
            if route.name in self._credit:
                services = {share.service for share in route.shares}
                kept = self._credit[route.name]
                self._credit[route.name] = {
                    name: value for name, value in kept.items() if name in services
                }
