"""Settings of a node in a deployment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiagap.core.quarantine.quarantine import QuarantineSettings
from fuchsiagap.core.retries.backend_budget import ServiceRetryLimits
from fuchsiagap_node.core.mesh.http_names import HeaderNames

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where a node listens, each ``IP:PORT``.

    Parameters
    ----------
    callers : str
        Callers and the backend server on the same host.
    peers : str
        Other nodes.
    health : str
        The platform's question whether this node is ready.
    reports : str
        Heartbeats of the backend server.
    metrics : str
        Metrics as text; empty for none.
    """

    callers: str
    peers: str
    health: str
    reports: str
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the platform promises or expects, in milliseconds.

    Parameters
    ----------
    stop : float
        From SIGTERM until the process is killed.
    drain : float
        From the acknowledgement of a leaving until the last request at the server.
    heartbeat : float
        Between two heartbeats of a backend server.
    change : float
        From the acknowledgement of a configuration until it is in force.
    revocation : float or None
        From the acknowledgement of a configuration that takes an API key away until no
        node, in touch or not, lets a request with it in; None where nodes out of touch
        go on with what they know.
    """

    stop: Milliseconds = 6_000.0
    drain: Milliseconds = 2_000.0
    heartbeat: Milliseconds = 1_500.0
    change: Milliseconds = 2_000.0
    revocation: Milliseconds | None = None


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """All that a process is told at its start.

    Parameters
    ----------
    node, data_centre, service : str
        Name, place, and the service of the backend server beside it.
    ip : str
        Address of the host.
    backend : str
        ``IP:PORT`` of the backend server.
    addresses : Addresses
        Where it listens.
    store : str
        ``IP:PORT`` of the platform's store.
    bounds : Bounds
        Times.
    budget : ServiceRetryLimits
        Repeats that all nodes together may send.
    quarantine : QuarantineSettings
        Bounds on what is remembered of requests that crash servers.
    names : HeaderNames
        Header names.
    health_path : str
        Path on which the platform asks whether the node is ready.
    first_start : bool
        Whether the whole system starts for the first time.
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
