"""A request of a workspace until it has a token, and its token until its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.final import PROMISES
from fuchsiagap_node.core.mesh.quotas import Verdict

if TYPE_CHECKING:
    from fuchsiagap.core.pressure.evenly import CallerTurn
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.entry import Entry
    from fuchsiagap_node.core.mesh.final import Final
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.placement import OnFinal, Placement
    from fuchsiagap_node.core.mesh.quotas import QuotaAnswer, Quotas, Waiter


class KeyedRequest:
    """A request of a workspace, from its key to its answer.

    Parameters
    ----------
    entry : Entry
        Goes on with it once it has a token.
    workspace : Workspace
        Whose it is.
    req : Request
        The request.
    route : Route
        Its route, with the priority of the workspace.
    done : callable
        Told the final answer, once.
    turn : CallerTurn
        What its caller is owed.
    """

    __slots__ = (
        "_began",
        "_done",
        "_entry",
        "_placement",
        "_quotas",
        "_waiter",
        "req",
        "route",
        "turn",
        "workspace",
    )

    def __init__(
        self,
        entry: Entry,
        workspace: Workspace,
        req: Request,
        route: Route,
        done: OnFinal,
        turn: CallerTurn,
    ) -> None:
        self._entry = entry
        self.workspace = workspace
        self.req = req
        self.route = route
        self.turn = turn
        self._done = done
        self._began = entry.now()
        self._quotas: Quotas | None = None
        self._waiter: Waiter | None = None
        self._placement: Placement | None = None

    def start(self, quotas: Quotas) -> bool:
        """Ask for a token; return whether there is something to cancel."""
        self._quotas = quotas
        self._waiter = quotas.ask(self.workspace, self._decided)
        return self._waiter is not None or self._placement is not None

    def cancel(self) -> None:
        """Give the request up: its caller has left."""
        if self._waiter is not None:
            self._waiter.cancel()
        if self._placement is not None:
            self._placement.cancel()

    def _decided(self, answer: QuotaAnswer) -> None:
        if answer.verdict is not Verdict.WITHIN:
            self._done(self._entry.refuse_over_quota(self, answer))
            return
        waited = self._entry.now() - self._began
        self._placement = self._entry.admit_within_quota(self, self._finish, waited)

    def _finish(self, final: Final) -> None:
        """Return the token of a request that has not run, and tell the answer."""
        if final.status in PROMISES and self._quotas is not None:
            self._quotas.put_back(self.workspace)
        self._done(final)
