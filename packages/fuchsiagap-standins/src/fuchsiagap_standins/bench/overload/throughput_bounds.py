"""Upper bounds on throughput with and without priorities, from the service graph.

Each service has a number of slots, a request holds slots for its slot time, and each
route is offered at some rate. There are two bounds:

- prioritized: routes get only the capacity that more important routes leave free, and
  routes of one priority that use the same saturated service have the same share
  answered, whatever their cost;
- unprioritized: the most requests that the slow service could answer in any order,
  cheapest first. A policy that maximizes this number would refuse requests to issue
  certificates in favour of lookups.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_standins.graphs import slot_time

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from fuchsiagap_standins.graphs import Graph, GraphRoute

_TOLERANCE = 1e-9


def prioritized_rates(
    graph: Graph, offered: Mapping[str, float], slowdowns: Mapping[str, float]
) -> dict[str, float]:
    """Return the highest rate of each root route with strict priorities.

    Parameters
    ----------
    graph : Graph
        Service graph.
    offered : mapping of str to float
        Offered requests per second by root route.
    slowdowns : mapping of str to float
        Factor on the own time of a service, 1 by default.

    Returns
    -------
    dict of str to float
        Answered requests per second by root route.
    """
    free_slots = {
        service.name: float(service.total_slots) for service in graph.services
    }
    rates: dict[str, float] = {}
    roots = sorted(graph.roots, key=lambda route: route.priority)
    for _, group in itertools.groupby(roots, key=lambda route: route.priority):
        slot_times = {route.name: slot_time(graph, route, slowdowns) for route in group}
        rates.update(_allocate_slots(slot_times, offered, free_slots))
    return rates


def _allocate_slots(
    slot_times: Mapping[str, Mapping[str, float]],
    offered: Mapping[str, float],
    free_slots: dict[str, float],
) -> dict[str, float]:
    """Allocate slots to the routes of one priority and return their rates.

    The rates rise in proportion to the offered rates. Each rises until it reaches the
    offered rate or a service that the route uses is saturated. The allocated slots are
    subtracted from `free_slots`.
    """
    rates = dict.fromkeys(slot_times, 0.0)
    remaining_share = 1.0
    unsaturated_routes = [name for name in slot_times if offered[name] > 0.0]
    while unsaturated_routes and remaining_share > _TOLERANCE:
        required_slots = {
            service: sum(
                _required_slots(slot_times, offered, name, service)
                for name in unsaturated_routes
            )
            for service in free_slots
        }
        share = min(
            [
                remaining_share,
                *(
                    free_slots[s] / required
                    for s, required in required_slots.items()
                    if required > 0.0
                ),
            ]
        )
        for name in unsaturated_routes:
            rates[name] += share * offered[name]
        for service, required in required_slots.items():
            free_slots[service] = max(free_slots[service] - share * required, 0.0)
        remaining_share -= share
        unsaturated_routes = [
            name
            for name in unsaturated_routes
            if all(
                free_slots[s] > _TOLERANCE or time == 0.0
                for s, time in slot_times[name].items()
            )
        ]
    return rates


def _required_slots(
    slot_times: Mapping[str, Mapping[str, float]],
    offered: Mapping[str, float],
    name: str,
    service: str,
) -> float:
    """Return the slots of a service that the offered rate of a route requires."""
    return offered[name] * slot_times[name].get(service, 0.0) / MS_PER_S


def unprioritized_throughput(
    graph: Graph,
    offered: Mapping[str, float],
    slowdowns: Mapping[str, float],
    service: str,
) -> float:
    """Return an upper bound on answered requests per second without priorities.

    Parameters
    ----------
    graph : Graph
        As for `prioritized_rates`.
    offered : mapping of str to float
        As for `prioritized_rates`.
    slowdowns : mapping of str to float
        As for `prioritized_rates`.
    service : str
        Service whose slots are allocated, cheapest requests first. Other services are
        not considered.
    """
    free_slots = float(graph.service(service).total_slots)
    total = 0.0
    costs = [
        (slot_time(graph, route, slowdowns).get(service, 0.0) / MS_PER_S, route)
        for route in graph.roots
    ]
    for cost, route in sorted(costs, key=lambda item: item[0]):
        rate = offered[route.name] if cost == 0.0 else free_slots / cost
        rate = min(rate, offered[route.name])
        total += rate
        free_slots -= rate * cost
    return total


def sum_important_rates(
    routes: Sequence[GraphRoute], rates: Mapping[str, float]
) -> float:
    """Return the sum of the rates over important routes."""
    return sum(rates[route.name] for route in routes if route.is_important)
