"""The fleet and the services of a randomised run: what stands before any fault."""

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
# A team without backend servers, whose settings are changed and deleted.
OTHER_TEAM = "sahel-vision"
TEAMS = (TEAM, OTHER_TEAM)
OPERATORS_TOKEN = memory_nodes.OPERATORS_TOKEN
ALLOWANCE = 3
# Header with the number of a copy that a caller sends without the library.
COPY_HEADER = "standin-copy"
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
# Name of each node and the data centre it runs in; the service is the name's head.
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
    """What clients or backend servers can ask for.

    Parameters
    ----------
    name : str
        ``SERVICE/ROUTE``.
    method, target : str
        As the backend server sees it.
    idempotent : bool
        Whether it may run more than once.
    calls : tuple of str
        Names of the routes its backend server calls, in this order.
    """

    name: str
    method: str
    target: str
    idempotent: bool
    calls: tuple[str, ...] = ()

    @property
    def service(self) -> ServiceName:
        """The service that serves it."""
        return ServiceName(TEAM, self.name.partition("/")[0])

    @property
    def path(self) -> str:
        """The path that callers use."""
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
# What clients ask for, and how often compared with the others.
CLIENT_ROUTES = ("results/lookup", "results/report", "certs/issue")
CLIENT_ROUTE_WEIGHTS = (2, 3, 5)


def n_calls(name: str) -> int:
    """Return the number of calls of a route's whole tree."""
    return 1 + sum(n_calls(child) for child in ROUTES[name].calls)


def team_text(extra_timeout_ms: int) -> str:
    """Return the team's settings; `extra_timeout_ms` makes each text another one.

    Parameters
    ----------
    extra_timeout_ms : int
        Milliseconds above the least timeout.
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
    """Return the settings of a node; its addresses are made from its name.

    Parameters
    ----------
    name, data_centre : str
        The node.
    conditions : Conditions
        Of the run.
    """
    others = [f"{other}:7000" for other, _ in NODES if other != name]
    service = name.partition("-")[0]
    cfg = memory_nodes.a_node_config(name, data_centre, others, service)
    return replace(
        cfg,
        backend=replace(cfg.backend, slots=conditions.slots),
        tickets=TicketSettings(kept_answers=conditions.kept_answers),
    )
