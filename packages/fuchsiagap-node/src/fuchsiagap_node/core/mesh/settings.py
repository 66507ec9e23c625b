"""Settings of a node in a deployment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.quarantine.quarantine import QuarantineSettings
from fuchsiagap.core.retries.backend_budget import ServiceRetryLimits
from fuchsiagap_node.core.mesh.http_names import HeaderNames
from fuchsiagap_node.core.mesh.http_response import ResponseLimits

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class Addresses:
    """Listening addresses of a node, each ``IP:PORT``.

    Parameters
    ----------
    callers : str
        For callers, and for calls of the backend server on the same host.
    peers : str
        For links from other nodes.
    health : str
        For readiness checks of the platform.
    reports : str
        For heartbeats of the backend server.
    metrics : str
        For metrics in text format; empty to disable them.
    """

    callers: str
    peers: str
    health: str
    reports: str
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits agreed with the platform, in milliseconds.

    Parameters
    ----------
    stop : float
        From SIGTERM until the process is killed.
    drain : float
        From the acknowledgement of a drain until the server gets its last request.
    heartbeat : float
        Between two heartbeats of a backend server.
    change : float
        From the acknowledgement of a configuration until all nodes have adopted it.
    revocation : float or None
        From the acknowledgement of a configuration that revokes an API key until no
        node admits a request with that key, whether the node is partitioned or not.
        If None, partitioned nodes continue to accept the keys that they have.
    """

    stop: Milliseconds = 6_000.0
    drain: Milliseconds = 2_000.0
    heartbeat: Milliseconds = 1_500.0
    change: Milliseconds = 2_000.0
    revocation: Milliseconds | None = None


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings of a node process.

    Parameters
    ----------
    node, data_centre, service : str
        Name and data centre of the node, and service of the backend server on its host.
    ip : str
        Address of the host.
    backend : str
        ``IP:PORT`` of the backend server.
    addresses : Addresses
        Listening addresses.
    store : str
        ``IP:PORT`` of the platform's store.
    bounds : Bounds
        Time limits.
    budget : ServiceRetryLimits
        Limits on the retries of all nodes together.
    quarantine : QuarantineSettings
        Settings of the quarantine for requests that crash servers.
    names : HeaderNames
        Names of the HTTP headers in use.
    health_path : str
        Path of the readiness check.
    first_start : bool
        Whether the whole system starts for the first time.
    memory_bytes : float
        Memory that the process may use.
    response_limits : ResponseLimits
        Limits of the responses of the backend server.
    """

    node: str
    data_centre: str
    service: str
    ip: str
    backend: str
    addresses: Addresses
    store: str
    bounds: Bounds = Bounds()
    budget: ServiceRetryLimits = field(
        default_factory=lambda: ServiceRetryLimits(0.2, 48.0, 10_000.0)
    )
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
    names: HeaderNames = field(default_factory=HeaderNames)
    health_path: str = "/readiness"
    first_start: bool = False
    memory_bytes: float = 300_000_000.0
    response_limits: ResponseLimits = field(default_factory=ResponseLimits)
