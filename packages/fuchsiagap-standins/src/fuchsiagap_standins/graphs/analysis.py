"""Depth, durations, capacity, random draws and settings of a service graph."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.head import MAX_DEPTH
from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_standins.graphs.model import Graph, GraphRoute

NO_SLOWDOWN: Mapping[str, float] = {}


def call_names(route: GraphRoute) -> list[str]:
    """Return the names of the called routes, repeated for repeated calls."""
    return [name for stage in route.calls for name in stage]


def depth(graph: Graph, route: GraphRoute, level: int = 1) -> int:
    """Return the length of the longest call chain that starts at a route.

    The recursion stops above `MAX_DEPTH`, so a cycle gives a larger value than that.
    """
    if level > MAX_DEPTH:
        return level
    depths = (
        depth(graph, graph.route(name), level + 1) for name in set(call_names(route))
    )
    return max(depths, default=level)


def count_calls(graph: Graph, route: GraphRoute) -> int:
    """Return the total number of calls in the tree of one call, itself included."""
    return 1 + sum(count_calls(graph, graph.route(name)) for name in call_names(route))


def has_side_effects(graph: Graph, route: GraphRoute) -> bool:
    """Whether a route or any route in its call tree is not idempotent."""
    if not route.idempotent:
        return True
    return any(has_side_effects(graph, graph.route(name)) for name in call_names(route))


def chain_time(
    graph: Graph, route: GraphRoute, slowdowns: Mapping[str, float] = NO_SLOWDOWN
) -> Milliseconds:
    """Return the mean duration of a call and its nested calls, without queueing.

    Parameters
    ----------
    graph : Graph
        Service graph.
    route : GraphRoute
        Called route.
    slowdowns : mapping of str to float
        Factor on the own time of a service, 1 by default.

    Returns
    -------
    float
        Milliseconds, without network delays. For concurrent calls, the maximum of
        their means is used instead of the mean of their maximum.
    """
    own = route.own_time * slowdowns.get(route.service, 1.0)
    stages = (
        max(chain_time(graph, graph.route(name), slowdowns) for name in stage)
        for stage in route.calls
    )
    return own + sum(stages)


def slot_time(
    graph: Graph, route: GraphRoute, slowdowns: Mapping[str, float] = NO_SLOWDOWN
) -> dict[str, Milliseconds]:
    """Return the slot time of one call by service, over its whole call tree.

    The slot time is in milliseconds and includes waiting for nested calls.
    """
    slot_times = {route.service: chain_time(graph, route, slowdowns)}
    for name in call_names(route):
        for service, time in slot_time(graph, graph.route(name), slowdowns).items():
            slot_times[service] = slot_times.get(service, 0.0) + time
    return slot_times


def capacity_per_s(graph: Graph, slowdowns: Mapping[str, float] = NO_SLOWDOWN) -> float:
    """Return the maximum client requests per second at the graph's route shares.

    Parameters
    ----------
    graph : Graph
        Service graph.
    slowdowns : mapping of str to float
        Factor on the own time of a service, 1 by default.

    Returns
    -------
    float
        Minimum over services of the number of slots divided by the mean slot time of a
        request.
    """
    slot_times: dict[str, float] = {}
    for root in graph.roots:
        for service, time in slot_time(graph, root, slowdowns).items():
            slot_times[service] = slot_times.get(service, 0.0) + root.share * time
    rates = (
        MS_PER_S * graph.service(service).total_slots / time
        for service, time in slot_times.items()
        if time > 0
    )
    return min(rates)


def draw_own_time(
    graph: Graph, route: GraphRoute, rng: random.Random, factor: float = 1.0
) -> Milliseconds:
    """Draw the duration of a call's own work from a log-normal distribution.

    Parameters
    ----------
    graph : Graph
        Service graph, which sets the relative standard deviation.
    route : GraphRoute
        Called route, which sets the mean.
    rng : random.Random
        Random generator.
    factor : float
        Factor on the mean.

    Returns
    -------
    float
        Milliseconds.
    """
    mean = route.own_time * factor
    if mean <= 0 or graph.spread <= 0:
        return mean
    variance = math.log(1 + graph.spread**2)
    location = math.log(mean) - variance / 2
    return rng.lognormvariate(location, math.sqrt(variance))


def draw_root(graph: Graph, rng: random.Random) -> GraphRoute:
    """Draw the route of a client request according to the route shares."""
    roots = graph.roots
    (root,) = rng.choices(roots, [route.share for route in roots])
    return root


def settings_text(graph: Graph) -> str:
    """Return the team's settings for the routes of a graph as INI text."""
    lines = ["[team]", f"weight = {graph.weight}"]
    for route in graph.routes:
        lines += (
            "",
            f"[{route.name}]",
            f"match = {route.method} {route.pattern}",
            f"priority = {route.priority}",
            f"idempotent = {'yes' if route.idempotent else 'no'}",
            f"timeout = {route.timeout:g}ms",
            f"attempts = {route.attempts}",
        )
    return "\n".join(lines) + "\n"
