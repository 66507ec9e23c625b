"""The most that a policy could answer, from the graph alone.

Each service has its slots, each request holds them for its slot time, and each kind
of request is offered at some rate. Two bounds are reckoned:

- in the declared order: a request is answered only with what the more important ones
  leave, and requests of one priority have the same chance, whatever they cost;
- in any order: what the slow service could answer if only the number counted, cheap
  requests first. A policy that went for it would refuse certificates for lookups.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_standins.graphs import slot_time

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from fuchsiagap_standins.graphs import Graph, GraphRoute

_MIN_FREE_SLOTS = 1e-9


def prioritized_rates(
    graph: Graph, offered: Mapping[str, float], slowdowns: Mapping[str, float]
) -> dict[str, float]:
    """Return the rate at which each root route can be answered in order.

    Parameters
    ----------
    graph : Graph
        Slots and slot times.
    offered : mapping of str to float
        Requests a second by root route.
    slow : mapping of str to float
        Factor on the own time of a service.

    Returns
    -------
    dict of str to float
        Requests a second by root route.
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
    """Raise the rates of one priority together, each until a service it uses is full.

    `left` is reduced by what they take.
    """
    rates = dict.fromkeys(slot_times, 0.0)
    remaining_share = 1.0
    unsaturated_routes = [name for name in slot_times if offered[name] > 0.0]
    while unsaturated_routes and remaining_share > _MIN_FREE_SLOTS:
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
                free_slots[s] > _MIN_FREE_SLOTS or time == 0.0
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
    """Return the slots of a service that all requests of a route would hold."""
    return offered[name] * slot_times[name].get(service, 0.0) / MS_PER_S


def unprioritized_throughput(
    graph: Graph,
    offered: Mapping[str, float],
    slowdowns: Mapping[str, float],
    service: str,
) -> float:
    """Return a bound on requests a second if only their number counted.

    Parameters
    ----------
    graph, offered, slow
        As for `prioritized_rates`.
    service : str
        The service whose slots are shared out, cheapest requests first.
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
    """Return the sum of the rates of important routes."""
    return sum(rates[route.name] for route in routes if route.important)
