"""Fields of the log event on server load and admission."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.shedding.served import ServedShares
    from fuchsiagap_node.core.mesh.admission import Admission
    from fuchsiagap_node.core.mesh.backend_queue import BackendQueue
    from fuchsiagap_node.core.mesh.route_loads import RouteLoads


def load_fields(
    backend_queue: BackendQueue,
    route_loads: RouteLoads,
    admission: Admission,
    served: ServedShares,
    now: Milliseconds,
) -> dict[str, object]:
    """Return the fields of the event; empty if there is neither load nor refusal.

    Parameters
    ----------
    backend_queue : BackendQueue
        Queue of the backend server.
    route_loads : RouteLoads
        Fullness of the services that each route's requests reach.
    admission : Admission
        Admitted shares of the routes.
    served : ServedShares
        Shares of the requests of this node's callers that succeeded, by route.
    now : float
        Local time in milliseconds.
    """
    refusing = {
        f"{service} {kind}": (
            round(share, 2),
            round(route_loads.fullness(service, admission.route_of(kind)), 2),
        )
        for service, kind, share in admission.shares()
        if share < 1.0
    }
    if not backend_queue.load and not refusing:
        return {}
    by_route = {
        route: (round(route_shares.share(), 2), round(route_shares.success(), 2))
        for route, route_shares in served.all(now)
    }
    ranks = {
        rank: (round(stats.arrivals), round(stats.matched))
        for rank, stats in backend_queue.rank_stats.all(now)
    }
    rooms = {
        f"{service} {kind}": round(room)
        for service, kind, room in admission.limits.rooms()
    }
    by_rate = {"room": rooms, "demand": round(admission.limits.demand())}
    return {
        "running": backend_queue.running,
        "waiting": backend_queue.load - backend_queue.running,
        "places": backend_queue.limit,
        "offered": round(backend_queue.offered(), 1),
        "failing": round(backend_queue.failing(), 2),
        "service_ms": round(backend_queue.service_ms, 1),
        "ranks": ranks,
        "let_in": refusing,
        "served": by_route,
        **(by_rate if rooms else {}),
    }
