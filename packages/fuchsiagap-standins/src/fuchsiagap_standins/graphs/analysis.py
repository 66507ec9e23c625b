"""What follows from a call graph: depth, slot time, capacity, service times."""

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
    """Return the routes a route calls, as often as it calls them."""
    return [name for stage in route.calls for name in stage]


def depth(graph: Graph, route: GraphRoute, level: int = 1) -> int:
    """Return the length of the longest chain below a route, itself included.

    A loop of calls comes out deeper than `MAX_DEPTH`.
    """
    if level > MAX_DEPTH:
        return level
    depths = (
        depth(graph, graph.route(name), level + 1) for name in set(call_names(route))
    )
    return max(depths, default=level)


def count_calls(graph: Graph, route: GraphRoute) -> int:
    """Return how many calls one call of a route makes in all, itself included."""
    return 1 + sum(count_calls(graph, graph.route(name)) for name in call_names(route))


def has_side_effects(graph: Graph, route: GraphRoute) -> bool:
    """Whether a route, or one it calls at any depth, is not idempotent."""
    if not route.idempotent:
        return True
    return any(has_side_effects(graph, graph.route(name)) for name in call_names(route))


def chain_time(
    graph: Graph, route: GraphRoute, slowdowns: Mapping[str, float] = NO_SLOWDOWN
) -> Milliseconds:
    """Return the mean time of a call, with its own calls and without waiting.

    Parameters
    ----------
    graph : Graph
        The graph.
    route : GraphRoute
        The called route.
    slow : mapping of str to float
        Factor on the own time of a service.

    Returns
    -------
    float
        Milliseconds; delays of the network and the spread of calls made at once
        are left out.
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
    """Return how long one call holds slots, by service, over its whole chain.

    A slot is held while its call waits for calls of its own.
    """
    slot_times = {route.service: chain_time(graph, route, slowdowns)}
    for name in call_names(route):
        for service, time in slot_time(graph, graph.route(name), slowdowns).items():
            slot_times[service] = slot_times.get(service, 0.0) + time
    return slot_times


def capacity_per_s(graph: Graph, slowdowns: Mapping[str, float] = NO_SLOWDOWN) -> float:
    """Return the most whole requests a second, at the graph's shares of routes.

    Parameters
    ----------
    graph : Graph
        The graph.
    slow : mapping of str to float
        Factor on the own time of a service.

    Returns
    -------
    float
        The least, over services, of slots by the mean slot time of a request.
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
    """Draw the time of one call's own work from a log-normal distribution.

    Parameters
    ----------
    graph : Graph
        Gives the spread.
    route : GraphRoute
        Gives the mean.
    rng : random.Random
        Source of randomness.
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
    """Draw the route of a client's request by the graph's shares."""
    roots = graph.roots
    (root,) = rng.choices(roots, [route.share for route in roots])
    return root


def settings_text(graph: Graph) -> str:
    """Return the team's settings that go with a graph, as INI text."""
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
