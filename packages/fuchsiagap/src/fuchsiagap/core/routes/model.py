"""What an accepted configuration of a deployment says."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.workspaces.model import Workspace


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's part of the requests of a route.

    Parameters
    ----------
    service : str
        Service that answers.
    weight : float
        Part, relative to the other shares of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one kind.

    Parameters
    ----------
    name : str
        Name, unique in the configuration.
    host : str
        Value of the ``Host`` header, in lower case.
    prefix : str
        Beginning of the path; starts and ends with a slash.
    shares : tuple of ServiceShare
        Services that answer, with their parts.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Milliseconds after which a caller gets a final answer at the latest.
    objective : float
        Milliseconds within which an answer is worth most.
    priority : int
        Rank; 0 is refused last.
    max_attempts : int
        Backend servers that one request may be handed to.
    public : bool, default=False
        Whether its requests need no API key where workspaces are declared.
    workspace_priority : int or None, default=None
        Priority of the workspaces for whose requests it is ranked; see
        `fuchsiagap.core.routes.workspace_priority`.
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
        """Name of those of its requests that share a rank."""
        if self.workspace_priority is None:
            return self.name
        return f"{self.name} at {self.workspace_priority}"


@dataclass(frozen=True, slots=True)
class Service:
    """A service as the operators declare it.

    Parameters
    ----------
    name : str
        Name.
    health_path : str
        Path of the health check of its backend servers.
    max_connections : int
        Connections that one backend server accepts from all callers together.
    """

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller's connection may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request, in bytes.
    header_timeout, idle_timeout : float
        Milliseconds a head may take, and a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout: Milliseconds = 3_000.0
    idle_timeout: Milliseconds = 15_000.0


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One accepted version of a deployment's configuration.

    Parameters
    ----------
    version : int
        Version that the operators gave it.
    routes : tuple of Route
        Routes.
    services : mapping of str to Service
        Services by name.
    limits : CallerLimits
        Limits of callers.
    workspaces : tuple of Workspace or None
        Workspaces; None where callers need no API keys at all.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None
