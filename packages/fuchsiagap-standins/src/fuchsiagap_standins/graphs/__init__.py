"""Service graphs of the deployments as INI files, and their loader.

Examples
--------
>>> graph = load_graph("queensland")
>>> graph.team, len(graph.services)
('salt-fog', 4)
"""

from fuchsiagap_standins.graphs.analysis import (
    capacity_per_s,
    chain_time,
    depth,
    draw_own_time,
    settings_text,
    slot_time,
)
from fuchsiagap_standins.graphs.loader import (
    GRAPHS,
    InvalidGraphError,
    load_graph,
    load_graph_or_file,
    read_graph,
)
from fuchsiagap_standins.graphs.model import Graph, GraphRoute, GraphService

__all__ = [
    "GRAPHS",
    "Graph",
    "GraphRoute",
    "GraphService",
    "InvalidGraphError",
    "capacity_per_s",
    "chain_time",
    "depth",
    "draw_own_time",
    "load_graph",
    "load_graph_or_file",
    "read_graph",
    "settings_text",
    "slot_time",
]
