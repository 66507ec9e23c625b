"""Request that takes a token from the quota of its workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.final_response import NOT_RUN_STATUSES
from fuchsiagap_node.core.mesh.quotas import Verdict

if TYPE_CHECKING:
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.shedding.fair_admission import CallerCredit
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.final_response import FinalResponse
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.placement import OnFinalResponse
    from fuchsiagap_node.core.mesh.quota_admission import Cancellable, QuotaAdmission
    from fuchsiagap_node.core.mesh.quotas import QuotaDecision, Quotas, Waiter


class MeteredRequest:
    """A request of a workspace, from authentication to its response.

    It waits for a quota token, is then placed, and returns the token if it did not run.

    Parameters
    ----------
    entry : QuotaAdmission
        Places the request once it has a token.
    workspace : Workspace
        Workspace of the request.
    req : Request
        The request.
    route : Route
        Its route, with the priority of the workspace.
    done : callable
        Called once with the final response.
    caller_credit : CallerCredit
        Fair admission credit of its caller.
    """

    __slots__ = (
        "_arrived_at",
        "_done",
        "_entry",
        "_placement",
        "_quotas",
        "_waiter",
        "caller_credit",
        "req",
        "route",
        "workspace",
    )

    def __init__(
        self,
        entry: QuotaAdmission,
        workspace: Workspace,
        req: Request,
        route: Route,
        done: OnFinalResponse,
        caller_credit: CallerCredit,
    ) -> None:
        self._entry = entry
        self.workspace = workspace
        self.req = req
        self.route = route
        self.caller_credit = caller_credit
        self._done = done
        self._arrived_at = entry.now()
        self._quotas: Quotas | None = None
        self._waiter: Waiter | None = None
        self._placement: Cancellable | None = None

    def start(self, quotas: Quotas) -> bool:
        """Request a token; return whether there is a wait or a placement to cancel."""
        self._quotas = quotas
        self._waiter = quotas.acquire(self.workspace, self._handle_decision)
        return self._waiter is not None or self._placement is not None

    def cancel(self) -> None:
        """Cancel the request, since its caller has disconnected."""
        if self._waiter is not None:
            self._waiter.cancel()
        if self._placement is not None:
            self._placement.cancel()

    def _handle_decision(self, decision: QuotaDecision) -> None:
        if decision.verdict is not Verdict.WITHIN:
            self._done(self._entry.refuse_over_quota(self, decision))
            return
        waited = self._entry.now() - self._arrived_at
        self._placement = self._entry.admit_within_quota(self, self._finish, waited)

    def _finish(self, final: FinalResponse) -> None:
        """Return the token if the request has not run, and pass on the response."""
        if final.status in NOT_RUN_STATUSES and self._quotas is not None:
            self._quotas.put_back(self.workspace)
        self._done(final)
