"""Service graph: services with their sizes, and routes with their calls."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.head import ServiceName

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Largest priority number of an important route. Requests of important routes must not
# be lost.
IMPORTANT_PRIORITY = 4


@dataclass(frozen=True, slots=True)
class GraphService:
    """Service with its size.

    Parameters
    ----------
    name : str
        Name within the team.
    instances : int
        Number of backend servers.
    slots : int
        Concurrent calls per backend server.
    connections : int
        Maximum number of connections per backend server.
    """

    name: str
    instances: int
    slots: int
    connections: int

    @property
    def total_slots(self) -> int:
        """Number of slots of all instances."""
        return self.instances * self.slots


@dataclass(frozen=True, slots=True)
class GraphRoute:
    """Route of a service.

    Parameters
    ----------
    name : str
        ``SERVICE/ROUTE``, as in the team's settings.
    service : str
        Name of the service.
    method, pattern : str
        HTTP method, and path pattern with at most one ``*``.
    priority : int
        Priority; 0 is the most important.
    idempotent : bool
        Whether a call may run more than once.
    timeout : float
        Timeout of the caller in milliseconds.
    attempts : int
        Extra attempts over the whole call chain.
    own_time : float
        Mean duration in milliseconds without nested calls.
    share : float
        Share of client requests; 0 if only services call the route.
    calls : tuple of tuple of str
        Called routes by stage. Stages run in sequence, calls of one stage concurrently.
    """

    name: str
    service: str
    method: str
    pattern: str
    priority: int
    idempotent: bool
    timeout: Milliseconds
    attempts: int
    own_time: Milliseconds
    share: float
    calls: tuple[tuple[str, ...], ...]

    @property
    def is_important(self) -> bool:
        """Whether its requests must be refused only after all lookups and browses."""
        return self.priority <= IMPORTANT_PRIORITY

    def target(self, number: int) -> str:
        """Return the path of a call, for example ``/panels/17``."""
        return self.pattern.replace("*", str(number))


@dataclass(frozen=True, slots=True)
class Graph:
    """Services of one team and the calls between them.

    Parameters
    ----------
    name : str
        File name without extension.
    team : str
        Team that owns the services.
    weight : str
        Goal of overload control: ``goodput``, ``recovery`` or a number from 0 to 1 as
        text.
    data_centres : tuple of str
        Names of the data centres; instances are assigned round-robin.
    between_data_centres, to_clients : float
        One-way network delays in milliseconds.
    new_connection : float
        Time to open a connection in milliseconds.
    spread : float
        Standard deviation of service times as a share of their mean.
    deep_service : str
        Service that a surge slows down by default.
    services : tuple of GraphService
        Services in the order of the file.
    routes : tuple of GraphRoute
        Routes in the order of the file.
    """

    name: str
    team: str
    weight: str
    data_centres: tuple[str, ...]
    between_data_centres: Milliseconds
    to_clients: Milliseconds
    new_connection: Milliseconds
    spread: float
    deep_service: str
    services: tuple[GraphService, ...]
    routes: tuple[GraphRoute, ...]

    @property
    def roots(self) -> tuple[GraphRoute, ...]:
        """The routes that clients call."""
        return tuple(route for route in self.routes if route.share > 0)

    def service(self, name: str) -> GraphService:
        """Return the service with this name."""
        return next(service for service in self.services if service.name == name)

    def route(self, name: str) -> GraphRoute:
        """Return the route with this name."""
        return next(route for route in self.routes if route.name == name)

    def service_name(self, route: GraphRoute) -> ServiceName:
        """Return the full service name of a route, with the team."""
        return ServiceName(self.team, route.service)

    def with_time_scale(self, factor: float) -> Graph:
        """Return a copy of the graph with all own times multiplied by `factor`."""
        routes = tuple(
            replace(route, own_time=route.own_time * factor) for route in self.routes
        )
        return replace(self, routes=routes)

    def placement(self, service: GraphService) -> tuple[str, ...]:
        """Return the data centre of each instance of a service."""
        # Services start in different data centres, which balances the load.
        first = self.services.index(service)
        n_centres = len(self.data_centres)
        return tuple(
            self.data_centres[(first + index) % n_centres]
            for index in range(service.instances)
        )
