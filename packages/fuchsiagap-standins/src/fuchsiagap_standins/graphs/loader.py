"""Load a service graph from INI text and report all of its faults."""

from __future__ import annotations

import importlib.resources
import re
from pathlib import Path
from typing import Any

from fuchsiagap.core.calls.head import LEAST_PRIORITY, MAX_DEPTH, MOST_PRIORITY
from fuchsiagap.core.settings import values
from fuchsiagap.core.settings.faults import Fault, SettingsFaults
from fuchsiagap.core.settings.ini import Section, read_ini
from fuchsiagap.core.settings.pattern import MATCH
from fuchsiagap.core.settings.schema import (
    Key,
    SectionSchema,
    read_entries,
    with_defaults,
)
from fuchsiagap.core.settings.values import BAD_VALUE, BadValue, ValueType
from fuchsiagap_standins.graphs.analysis import call_names, depth
from fuchsiagap_standins.graphs.model import Graph, GraphRoute, GraphService

GRAPHS = ("queensland", "dakar")
GRAPH_SECTION = "graph"
_ROUTE_NAME = re.compile(r"[a-z0-9-]+/[a-z0-9-]+")
_SHARE_TOLERANCE = 1e-6


class InvalidGraphError(ValueError):
    """A service graph file is invalid.

    Parameters
    ----------
    faults : SettingsFaults
        All faults with their locations.
    """

    def __init__(self, faults: SettingsFaults) -> None:
        super().__init__(str(faults))
        self.faults = faults


def _read_names(text: str) -> tuple[str, ...] | BadValue:
    names = tuple(values.split_list(text))
    if not names or len(set(names)) < len(names):
        return BAD_VALUE
    if any(isinstance(values.PLAIN_NAME.read(name), BadValue) for name in names):
        return BAD_VALUE
    return names


def _read_calls(text: str) -> tuple[tuple[str, ...], ...] | BadValue:
    stages = tuple(
        tuple(name.strip() for name in stage.split("&"))
        for stage in values.split_list(text)
    )
    names = [name for stage in stages for name in stage]
    return stages if all(map(_ROUTE_NAME.fullmatch, names)) else BAD_VALUE


def _read_weight(text: str) -> str | BadValue:
    weight = values.number(0, 1, goodput=0.0, recovery=1.0).read(text)
    return BAD_VALUE if isinstance(weight, BadValue) else text


_NAME_LIST = ValueType("distinct names separated by commas", _read_names)
_CALL_STAGES = ValueType(
    "SERVICE/ROUTE names, joined by & if concurrent and by commas if sequential",
    _read_calls,
)
_WEIGHT = ValueType("goodput, recovery or a number from 0 to 1", _read_weight)
_DELAY = values.duration(0, 10_000)
_TIME = values.duration(0, 600_000)
_SIZE = values.integer(1, 100_000)

_GRAPH_SCHEMA = SectionSchema(
    "[graph]",
    "Properties of the whole graph.",
    (
        Key("team", values.PLAIN_NAME, None, "The team."),
        Key("weight", _WEIGHT, "goodput", "Goal of overload control."),
        Key(
            "data centres",
            _NAME_LIST,
            None,
            "Data centres of the instances, round-robin.",
        ),
        Key("between data centres", _DELAY, "0.5ms", "One-way network delay."),
        Key("to clients", _DELAY, "1ms", "One-way network delay."),
        Key("new connection", _DELAY, "1ms", "Time to open a connection."),
        Key(
            "spread",
            values.number(0, 3),
            "0.4",
            "Relative standard deviation of service times.",
        ),
        Key(
            "deep service", values.PLAIN_NAME, None, "Service that a surge slows down."
        ),
    ),
)
_SERVICE_SCHEMA = SectionSchema(
    "[SERVICE]",
    "Size of a service.",
    (
        Key("instances", _SIZE, None, "Number of backend servers."),
        Key("slots", _SIZE, None, "Concurrent calls per backend server."),
        Key("connections", _SIZE, None, "Connections per backend server."),
    ),
)
_ROUTE_SCHEMA = SectionSchema(
    "[SERVICE/ROUTE]",
    "Route of a service.",
    (
        Key("match", MATCH, None, "One method and a path with at most one *."),
        Key("priority", values.integer(MOST_PRIORITY, LEAST_PRIORITY), None, ""),
        Key("idempotent", values.FLAG, None, ""),
        Key("timeout", _TIME, "10s", "Timeout of the caller."),
        Key(
            "attempts",
            values.integer(0, 16),
            "3",
            "Extra attempts over the call chain.",
        ),
        Key("own time", _TIME, None, "Mean duration without nested calls."),
        Key("share", values.number(0, 1), "0", "Share of client requests."),
        Key("calls", _CALL_STAGES, "", "Called routes."),
    ),
)


def load_graph(name: str) -> Graph:
    """Load one of the graphs in this package.

    Parameters
    ----------
    name : str
        ``queensland`` or ``dakar``.

    Returns
    -------
    Graph
        Loaded graph.

    Raises
    ------
    InvalidGraphError
        If the file is invalid.
    """
    folder = importlib.resources.files("fuchsiagap_standins.graphs")
    text = folder.joinpath(f"{name}.ini").read_text()
    return _require_valid(read_graph(f"{name}.ini", text))


def load_graph_or_file(name: str) -> Graph:
    """Load a graph of this package by name, or a file whose path ends in ``.ini``."""
    if not name.endswith(".ini"):
        return load_graph(name)
    return _require_valid(read_graph(name, Path(name).read_text()))


def _require_valid(graph: Graph | SettingsFaults) -> Graph:
    if isinstance(graph, SettingsFaults):
        raise InvalidGraphError(graph)
    return graph


def read_graph(path: str, text: str) -> Graph | SettingsFaults:
    """Read a graph from INI text.

    Parameters
    ----------
    path : str
        Path of the file, for faults and for the name of the graph.
    text : str
        INI text.

    Returns
    -------
    Graph or SettingsFaults
        The graph, or all faults with their locations.
    """
    ini = read_ini(path, text)
    faults = list(ini.faults)
    graph_values: dict[str, Any] = {}
    services: list[GraphService] = []
    routes: list[GraphRoute] = []
    for section in ini.sections:
        if section.name == GRAPH_SECTION:
            graph_values = _read_section(path, _GRAPH_SCHEMA, section, faults)
        elif _ROUTE_NAME.fullmatch(section.name):
            routes += _read_route(path, section, faults)
        else:
            section_values = _read_section(path, _SERVICE_SCHEMA, section, faults)
            if len(section_values) == len(_SERVICE_SCHEMA.keys):
                services.append(GraphService(name=section.name, **section_values))
    if not graph_values:
        expected = "a section [graph] with data centres and team"
        faults.append(Fault(path, GRAPH_SECTION, "", "", expected))
    if faults:
        return SettingsFaults(path, tuple(faults))
    name = path.rpartition("/")[2].removesuffix(".ini")
    graph = Graph(
        name=name, services=tuple(services), routes=tuple(routes), **graph_values
    )
    faults += _validate_graph(path, graph)
    return SettingsFaults(path, tuple(faults)) if faults else graph


def _read_section(
    path: str, schema: SectionSchema, section: Section, faults: list[Fault]
) -> dict[str, Any]:
    given = read_entries(path, schema, section, faults)
    return with_defaults(path, schema, section, given, faults)


def _read_route(path: str, section: Section, faults: list[Fault]) -> list[GraphRoute]:
    before = len(faults)
    section_values = _read_section(path, _ROUTE_SCHEMA, section, faults)
    if len(faults) > before:
        return []
    match = section_values.pop("match")
    if len(match.methods) > 1 or match.pattern.count("*") > 1:
        expected = "one method and a path with at most one *"
        value = " ".join((*match.methods, match.pattern))
        faults.append(Fault(path, section.name, "match", value, expected))
        return []
    service = section.name.partition("/")[0]
    (method,) = match.methods
    route = GraphRoute(
        name=section.name,
        service=service,
        method=method,
        pattern=match.pattern,
        **section_values,
    )
    return [route]


def _validate_graph(path: str, graph: Graph) -> list[Fault]:
    """Return the faults in references, in the sum of shares and in the chain depth."""
    faults = []
    services = {service.name for service in graph.services}
    routes = {route.name for route in graph.routes}
    for route in graph.routes:
        if route.service not in services:
            expected = f"a service that has a section: {', '.join(sorted(services))}"
            faults.append(Fault(path, route.name, "", route.service, expected))
        for name in sorted(set(call_names(route)) - routes):
            expected = "a route that has a section"
            faults.append(Fault(path, route.name, "calls", name, expected))
    if graph.deep_service not in services:
        expected = f"a service that has a section: {', '.join(sorted(services))}"
        place = (GRAPH_SECTION, "deep service", graph.deep_service)
        faults.append(Fault(path, *place, expected))
    total = sum(route.share for route in graph.routes)
    if abs(total - 1) > _SHARE_TOLERANCE:
        expected = "shares that add up to 1"
        faults.append(Fault(path, "", "share", f"{total:g}", expected))
    if not faults:
        faults += _validate_depth(path, graph)
    return faults


def _validate_depth(path: str, graph: Graph) -> list[Fault]:
    expected = f"a call chain of at most {MAX_DEPTH} calls"
    return [
        Fault(path, route.name, "calls", ", ".join(call_names(route)), expected)
        for route in graph.routes
        if depth(graph, route) > MAX_DEPTH
    ]
