"""How full the server is, what is let in, and what that follows, for the logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.shedding.served import ServedShares
    from fuchsiagap_node.core.mesh.admission import Admission
    from fuchsiagap_node.core.mesh.door import Door
    from fuchsiagap_node.core.mesh.pressures import Pressures


def load_fields(
    door: Door,
    pressures: Pressures,
    admission: Admission,
    served: ServedShares,
    now: Milliseconds,
) -> dict[str, object]:
    """Return the fields of a line of load; none while there is nothing to say.

    Parameters
    ----------
    door : Door
        The server's door.
    pressures : Pressures
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
            round(pressures.of(service, admission.route_of(kind)), 2),
        )
        for service, kind, share in admission.shares()
        if share < 1.0
    }
    if not door.load and not refusing:
        return {}
    by_route = {
        route: (round(kind.share(), 2), round(kind.success(), 2))
        for route, kind in served.all(now)
    }
    ranks = {
        rank: (round(turns.arrivals), round(turns.matched))
        for rank, turns in door.rank_stats.all(now)
    }
    return {
        "running": door.running,
        "waiting": door.load - door.running,
        "places": door.limit,
        "offered": round(door.offered(), 1),
        "failing": round(door.failing(), 2),
        "service_ms": round(door.service_ms, 1),
        "ranks": ranks,
        "let_in": refusing,
        "served": by_route,
    }
