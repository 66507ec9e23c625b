"""What a request that waits for a quota token needs of the entry, and the reverse."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.shedding.fair_admission import CallerCredit
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.final_response import FinalResponse
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.placement import OnFinalResponse
    from fuchsiagap_node.core.mesh.quotas import QuotaDecision


class Cancellable(Protocol):
    """A request in progress that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the request because its caller disconnected."""


class WorkspaceRequest(Protocol):
    """An authenticated request of a workspace.

    Attributes
    ----------
    workspace : Workspace
        Workspace of the request.
    req : Request
        The request.
    route : Route
        Its route, with the priority of the workspace.
    caller_credit : CallerCredit
        Fair admission credit of its caller.
    """

    workspace: Workspace
    req: Request
    route: Route
    caller_credit: CallerCredit


class QuotaAdmission(Protocol):
    """Handles a request once the decision on its quota token is known."""

    def now(self) -> Milliseconds:
        """Return the current time in milliseconds."""

    def admit_within_quota(
        self, request: WorkspaceRequest, done: OnFinalResponse, waited: Milliseconds
    ) -> Cancellable | None:
        """Apply admission control to a request that has received its quota token."""

    def refuse_over_quota(
        self, request: WorkspaceRequest, decision: QuotaDecision
    ) -> FinalResponse:
        """Return the response to a request whose workspace has no quota token."""
