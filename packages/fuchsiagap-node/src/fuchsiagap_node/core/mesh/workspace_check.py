"""Whose request it is, by its API key, before anything else is decided."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.final import Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.routes.table import RouteTable
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_request import Request

# Milliseconds after which a caller may come back to a node whose knowledge is too old:
# by then it has heard from another one, if it can.
_AGAIN_MS = 700.0
# Refusals a second that get a line each; the others are counted only.
_LINES_A_S = 20


class WorkspaceCheck:
    """Finds the workspace of a request, or says why it is not let in.

    Parameters
    ----------
    is_too_old : callable
        Whether what this node knows of keys is too old to be used.
    age : callable
        Returns the age of that knowledge in milliseconds.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs and counters.
    """

    def __init__(
        self,
        is_too_old: Callable[[], bool],
        age: Callable[[], Milliseconds],
        clock: Clock,
        event_log: EventLog,
    ) -> None:
        self._is_too_old = is_too_old
        self._age = age
        self._clock = clock
        self._event_log = event_log
        self._second = -1
        self._n_lines = 0

    def identify(
        self, req: Request, route: Route, table: RouteTable
    ) -> Workspace | Final | None:
        """Return the workspace of a request.

        Returns
        -------
        Workspace or Final or None
            The answer of a request that is not let in; None where no key is asked for.
        """
        if table.keys is None or route.public:
            return None
        if not req.key:
            return self._refuse(req, route, "no-key", Final(401))
        # Before the look-up: a key that is not known here may be new.
        if self._is_too_old():
            again = Final(503, retry_after=_AGAIN_MS)
            return self._refuse(req, route, "knowledge-too-old", again)
        workspace = table.keys.find(req.key)
        if workspace is None:
            return self._refuse(req, route, "unknown-key", Final(401))
        return workspace

    def _refuse(self, req: Request, route: Route, cause: str, final: Final) -> Final:
        self._event_log.counts["key_refused", cause] += 1
        self._event_log.count_outcome(route.name, str(final.status), 0.0)
        second = int(self._clock.now()) // 1_000
        if second != self._second:
            self._second, self._n_lines = second, 0
        self._n_lines += 1
        if self._n_lines <= _LINES_A_S:
            age = self._age()
            self._event_log.event(
                "key-refused",
                request=req.request_id,
                route=route.name,
                cause=cause,
                status=final.status,
                age=round(age) if age < float("inf") else None,
            )
        return final
