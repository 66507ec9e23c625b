"""Data classes of the configuration of a deployment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weighted share of the requests of a route that one service receives.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight, relative to the other shares of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host with one path prefix.

    Parameters
    ----------
    name : str
        Name, unique in the configuration.
    host : str
        Value of the ``Host`` header, in lower case.
    prefix : str
        Path prefix; starts and ends with a slash.
    shares : tuple of ServiceShare
        Services that receive the requests, with their weights.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Milliseconds within which a caller gets the final answer.
    objective : float
        Latency objective in milliseconds; a later answer is worth less.
    priority : int
        Priority; 0 is refused last.
    max_attempts : int
        Maximum number of attempts of one request, each at a backend server.
    public : bool, default=False
        Whether requests need no API key even if workspaces are configured.
    workspace_priority : int or None, default=None
        Priority of the workspaces for which `priority` was computed; see
        `fuchsiagap.core.routes.workspace_priority`. None if `priority` is that of the
        route alone.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    idempotent: bool
    timeout: Milliseconds
    objective: Milliseconds
    priority: int
    max_attempts: int
    public: bool = False
    workspace_priority: int | None = None

    @property
    def kind(self) -> str:
        """Name of the class of requests that have the priority of this route."""
        if self.workspace_priority is None:
            return self.name
        return f"{self.name} at {self.workspace_priority}"


@dataclass(frozen=True, slots=True)
class Service:
    """Configuration of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check of its backend servers.
    max_connections : int
        Maximum number of connections to one backend server, over all callers.
    """

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of the connection of a caller.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum sizes in bytes of the head and the body of a request.
    header_timeout : float
        Timeout in milliseconds for receiving the head of a request.
    idle_timeout : float
        Timeout in milliseconds of an idle connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout: Milliseconds = 3_000.0
    idle_timeout: Milliseconds = 15_000.0


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One validated version of the configuration of a deployment.

    Parameters
    ----------
    version : int
        Version assigned by the operators.
    routes : tuple of Route
        Routes of the deployment.
    services : mapping of str to Service
        Services by name.
    limits : CallerLimits
        Limits of the connections of callers.
    workspaces : tuple of Workspace or None
        Workspaces of the callers; None if callers need no API keys.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None
