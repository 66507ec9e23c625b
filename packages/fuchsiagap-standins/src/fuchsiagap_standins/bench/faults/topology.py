"""Nodes, data centres, services and routes of a randomised run."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.tickets.settings import TicketSettings
from fuchsiagap_standins import memory_nodes

if TYPE_CHECKING:
    from fuchsiagap_node.core.config import NodeConfig
    from fuchsiagap_standins.bench.faults.conditions import Conditions

TEAM = memory_nodes.TEAM
# Team without backend servers, whose settings are changed and deleted.
OTHER_TEAM = "sahel-vision"
TEAMS = (TEAM, OTHER_TEAM)
OPERATORS_TOKEN = memory_nodes.OPERATORS_TOKEN
# Retries allowed for a client request and all its downstream calls.
ALLOWANCE = 3
# Header with the number of the copy, set by callers without the client library.
COPY_HEADER = "standin-copy"
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
# (node, data centre); the part of the node name before "-" is its service.
NODES: tuple[tuple[str, str], ...] = (
    ("results-1", "hall-a"),
    ("results-2", "hall-b"),
    ("certs-1", "hall-a"),
    ("certs-2", "hall-c"),
    ("cycles-1", "hall-b"),
    ("cycles-2", "hall-c"),
)


@dataclass(frozen=True, slots=True)
class Route:
    """A route that clients and backend servers can request.

    Parameters
    ----------
    name : str
        Name in the form ``SERVICE/ROUTE``.
    method, target : str
        HTTP method and target that the backend server receives.
    idempotent : bool
        Whether a call may run more than once.
    calls : tuple of str
        Names of the downstream routes that the backend server calls, in order.
    """

    name: str
    method: str
    target: str
    idempotent: bool
    calls: tuple[str, ...] = ()

    @property
    def service(self) -> ServiceName:
        """The service that the route belongs to."""
        return ServiceName(TEAM, self.name.partition("/")[0])

    @property
    def path(self) -> str:
        """The path that callers request."""
        return f"/{TEAM}/{self.service.name}{self.target}"


ROUTES: dict[str, Route] = {
    route.name: route
    for route in (
        Route("results/lookup", "GET", "/panels/17", True),
        Route("results/report", "GET", "/reports/4", True, ("certs/stamp",)),
        Route(
            "certs/issue",
            "POST",
            "/certificates",
            False,
            ("cycles/close", "results/lookup"),
        ),
        Route("certs/stamp", "POST", "/stamps", False),
        Route("cycles/close", "POST", "/closures", False),
    )
}
# Routes that clients request, and their relative frequencies.
CLIENT_ROUTES = ("results/lookup", "results/report", "certs/issue")
CLIENT_ROUTE_WEIGHTS = (2, 3, 5)


def n_calls(name: str) -> int:
    """Return the number of calls of a route, including all downstream calls."""
    return 1 + sum(n_calls(child) for child in ROUTES[name].calls)


def team_text(extra_timeout_ms: int) -> str:
    """Return the text of a team's settings.

    Parameters
    ----------
    extra_timeout_ms : int
        Milliseconds added to the call time-out, so that texts differ.
    """
    lines = [
        "[team]",
        f"attempts = {ALLOWANCE}",
        f"timeout = {6_000 + extra_timeout_ms}ms",
    ]
    for route in ROUTES.values():
        idempotent = "yes" if route.idempotent else "no"
        lines += [
            f"[{route.name}]",
            f"match = {route.method} {route.target}",
            f"idempotent = {idempotent}",
            "retry budget = 1",
        ]
    return "\n".join(lines) + "\n"


def node_config(name: str, data_centre: str, conditions: Conditions) -> NodeConfig:
    """Return the settings of a node, whose addresses are derived from its name.

    Parameters
    ----------
    name : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    conditions : Conditions
        Capacity and load of the run.
    """
    others = [f"{other}:7000" for other, _ in NODES if other != name]
    service = name.partition("-")[0]
    cfg = memory_nodes.a_node_config(name, data_centre, others, service)
    return replace(
        cfg,
        backend=replace(cfg.backend, slots=conditions.slots),
        tickets=TicketSettings(kept_answers=conditions.kept_answers),
    )
