"""Authenticates requests by their API key, before quotas and admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.final_response import FinalResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.routes.table import RouteTable
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_request import Request

# Retry-after time in milliseconds that a node sends while its configuration is too
# stale. Within that time it gets a reply from another node, if it can reach any.
_STALE_RETRY_AFTER_MS = 700.0
# Maximum number of refusals per second that are logged as events; the others are only
# counted.
_MAX_EVENTS_PER_S = 20


class ApiKeyAuthenticator:
    """Finds the workspace of a request by its API key, or refuses the request.

    Parameters
    ----------
    is_too_stale : callable
        Returns whether the known keys are too stale to be used.
    staleness : callable
        Returns the staleness of the known keys in milliseconds.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Receives events and counts.
    """

    def __init__(
        self,
        is_too_stale: Callable[[], bool],
        staleness: Callable[[], Milliseconds],
        clock: Clock,
        event_log: EventLog,
    ) -> None:
        self._is_too_stale = is_too_stale
        self._staleness = staleness
        self._clock = clock
        self._event_log = event_log
        self._second = -1
        self._n_events = 0

    def authenticate(
        self, req: Request, route: Route, table: RouteTable
    ) -> Workspace | FinalResponse | None:
        """Return the workspace of a request, or its refusal.

        Parameters
        ----------
        req : Request
            The request.
        route : Route
            Its route.
        table : RouteTable
            Active routes and keys.

        Returns
        -------
        Workspace or FinalResponse or None
            FinalResponse if the request is refused; None if it needs no key.
        """
        if table.keys is None or route.public:
            return None
        if not req.key:
            return self._refuse(req, route, "no-key", FinalResponse(401))
        # Checked before the look-up, since an unknown key may be a new one.
        if self._is_too_stale():
            refusal = FinalResponse(503, retry_after=_STALE_RETRY_AFTER_MS)
            return self._refuse(req, route, "knowledge-too-old", refusal)
        workspace = table.keys.find(req.key)
        if workspace is None:
            return self._refuse(req, route, "unknown-key", FinalResponse(401))
        return workspace

    def _refuse(
        self, req: Request, route: Route, cause: str, final: FinalResponse
    ) -> FinalResponse:
        self._event_log.counts["key_refused", cause] += 1
        self._event_log.count_outcome(route.name, str(final.status), 0.0)
        second = int(self._clock.now()) // 1_000
        if second != self._second:
            self._second, self._n_events = second, 0
        self._n_events += 1
        if self._n_events <= _MAX_EVENTS_PER_S:
            age = self._staleness()
            self._event_log.event(
                "key-refused",
                request=req.request_id,
                route=route.name,
                cause=cause,
                status=final.status,
                age=round(age) if age < float("inf") else None,
            )
        return final
