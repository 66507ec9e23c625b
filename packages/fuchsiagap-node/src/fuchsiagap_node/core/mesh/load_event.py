"""How full the server is, what is let in, and what that follows, for the logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.pressure.served import ServedShares
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
    """Return the fields of a line of load; none while there is nothing to say.

    Parameters
    ----------
    backend_queue : BackendQueue
        The server's door.
    route_loads : RouteLoads
        Fullness of the services.
    admission : Admission
        What is let in.
    served : ServedShares
        What the callers of this node got.
    now : float
        Time in milliseconds.
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
        route: (round(kind.share(), 2), round(kind.success(), 2))
        for route, kind in served.all(now)
    }
    ranks = {
        rank: (round(stats.came), round(stats.marked))
        for rank, stats in backend_queue.rank_stats.all(now)
    }
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
    }
