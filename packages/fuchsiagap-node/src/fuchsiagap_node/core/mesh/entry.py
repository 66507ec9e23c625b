"""Entry of a request: routing, authentication, admission control and placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.final_response import (
    DEFAULT_RETRY_AFTER_MS,
    FinalResponse,
)
from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES
from fuchsiagap_node.core.mesh.metered_request import MeteredRequest
from fuchsiagap_node.core.mesh.outcome import LEAVING, NO_MEMORY
from fuchsiagap_node.core.mesh.over_quota import quota_refusal
from fuchsiagap_node.core.mesh.placement import Placement
from fuchsiagap_node.core.mesh.planned_stop import Work

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routes.model import Route
    from fuchsiagap.core.routes.table import RouteTable, WeightedRoundRobin
    from fuchsiagap.core.shedding.fair_admission import CallerCredit
    from fuchsiagap.core.workspaces.model import Workspace
    from fuchsiagap_node.core.mesh.admission import Admission
    from fuchsiagap_node.core.mesh.api_key_authenticator import ApiKeyAuthenticator
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_node.core.mesh.pending_call import PendingCall
    from fuchsiagap_node.core.mesh.placement import OnFinalResponse
    from fuchsiagap_node.core.mesh.placement_context import PlacementContext
    from fuchsiagap_node.core.mesh.quota_admission import Cancellable, WorkspaceRequest
    from fuchsiagap_node.core.mesh.quotas import QuotaDecision, Quotas
    from fuchsiagap_node.core.mesh.route_loads import RouteLoads
    from fuchsiagap_node.core.mesh.workspace_admission import WorkspaceAdmission


# Cause of a refusal, in its event, where the retry budgets of the services on the route
# cover fewer call trees than would be admitted.
RETRY_BUDGET = "retry-budget"


class Entry:
    """Routes each request of a caller, then refuses it or starts its placement.

    The node that receives a request from a caller is responsible for it until the final
    response: it chooses the backend server, retries and responds.

    Parameters
    ----------
    context : PlacementContext
        Context of the placement of requests on backend servers.
    route_loads : RouteLoads
        Records which nested calls the requests of a route make.
    admission : Admission
        Admission control of new requests.
    rotation : WeightedRoundRobin
        Weighted choice among the services of a route.
    event_log : EventLog
        Event log and counters.
    authenticator : ApiKeyAuthenticator
        Authenticates the API key of a request and finds its workspace.
    quotas : Quotas
        Request quotas of workspaces.
    workspace_admission : WorkspaceAdmission
        Admitted shares of workspaces.

    Attributes
    ----------
    table : RouteTable or None
        Active routes; None until a configuration is known.
    memory : BodyMemory
        Memory for bodies.
    planned_stop : PlannedStop
        Decides what may begin while the process stops.
    parent_of : callable
        Returns the running request of the backend server on this host that makes a
        nested call, given the identifier of the call; None for a new request.
    """

    def __init__(
        self,
        context: PlacementContext,
        route_loads: RouteLoads,
        admission: Admission,
        rotation: WeightedRoundRobin,
        event_log: EventLog,
        authenticator: ApiKeyAuthenticator,
        quotas: Quotas,
        workspace_admission: WorkspaceAdmission,
    ) -> None:
        self._authenticator = authenticator
        self._quotas = quotas
        self._workspace_admission = workspace_admission
        self._context = context
        self._route_loads = route_loads
        self._admission = admission
        self._rotation = rotation
        self._event_log = event_log
        self.table: RouteTable | None = None
        self.memory = BodyMemory()
        self.planned_stop = context.planned_stop
        self.parent_of: Callable[[str], PendingCall | None] = _no_parent

    def begin(
        self, req: Request, done: OnFinalResponse, caller_credit: CallerCredit
    ) -> Cancellable | None:
        """Refuse a request or start its placement.

        Parameters
        ----------
        req : Request
            The request.
        done : callable
            Called once with the final response, before or after this method returns:
            the response of the backend server, or an error that says whether the
            request may have run.
        caller_credit : CallerCredit
            Fair-admission credit of the caller's connection.

        Returns
        -------
        Cancellable or None
            Handle to cancel the request if the caller disconnects; None if the final
            response was already delivered.
        """
        table = self.table
        if table is None:
            done(FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS))
            return None
        path = req.target.partition(b"?")[0].decode("latin-1")
        route = table.find(req.host, path)
        if route is None:
            self._event_log.event("no-route", request=req.request_id, host=req.host)
            done(FinalResponse(404))
            return None
        parent = self.parent_of(req.request_id)
        if parent is not None and (route.public or table.keys is None):
            return self._place_nested_call(req, route, parent, done)
        caller = self._authenticator.authenticate(req, route, table)
        if isinstance(caller, FinalResponse):
            done(caller)
            return None
        if caller is None:
            return self._admit(
                req, table.apply_workspace_priority(route, None), done, caller_credit
            )
        ranked = table.apply_workspace_priority(route, caller.priority)
        metered = MeteredRequest(self, caller, req, ranked, done, caller_credit)
        return metered if metered.start(self._quotas) else None

    def _admit(
        self,
        req: Request,
        route: Route,
        done: OnFinalResponse,
        caller_credit: CallerCredit,
        workspace: Workspace | None = None,
        waited: Milliseconds = 0.0,
    ) -> Placement | None:
        """Apply admission control to a new request and start its placement."""
        service = self._rotation.pick(route)
        covered = self._context.coverage.admission(service, route)
        refusal = self._refusal(
            req, route, service, caller_credit, covered.share, workspace
        )
        if refusal is not None:
            done(refusal)
            return None
        placement = Placement(
            self._context,
            req,
            route,
            service,
            None,
            done,
            workspace,
            waited,
            covered,
        )
        placement.start()
        return placement

    def _place_nested_call(
        self, req: Request, route: Route, parent: PendingCall, done: OnFinalResponse
    ) -> Placement | None:
        """Start the placement of a nested call of the local backend server.

        While the process stops, a call that cannot finish before the exit is refused,
        as its caller can still use that answer.
        """
        if not self._may_begin(Work.NESTED_CALL, req, route):
            done(FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS))
            return None
        service = self._rotation.pick(route)
        self._route_loads.record_nested_call(parent.call.route, service, route.name)
        placement = Placement(self._context, req, route, service, parent, done)
        placement.start()
        return placement

    def _may_begin(self, work: Work, req: Request, route: Route) -> bool:
        """Whether a request may begin, also while the process stops."""
        if not self.planned_stop.has_begun:
            return True
        wait = route.timeout if req.wait is None else min(route.timeout, req.wait)
        is_nested = work is Work.NESTED_CALL
        longest_running = 0.0 if is_nested else self._longest_running(route)
        if self.planned_stop.may_begin(work, route.name, wait, longest_running):
            return True
        self._event_log.event(
            "refused", request=req.request_id, route=route.name, cause=LEAVING
        )
        return False

    def _longest_running(self, route: Route) -> Milliseconds:
        """Return for how long the oldest request of a route has been in progress."""
        now = self.now()
        started = (
            placement.started
            for placement in self._context.in_progress
            if placement.route_name == route.name
        )
        return now - min(started, default=now)

    def rank_of(self, host: str, target: bytes, request_id: str) -> int:
        """Return the priority rank of a request before its body has been read."""
        parent = self.parent_of(request_id)
        if parent is not None:
            return parent.call.rank
        path = target.partition(b"?")[0].decode("latin-1")
        route = None if self.table is None else self.table.find(host, path)
        return 0 if route is None else route.priority

    def refuse_without_memory(self, req: Request) -> FinalResponse:
        """Return the response to a request for whose body there is no memory."""
        self._event_log.counts["refused_without_memory", ""] += 1
        self._event_log.event(
            "refused", request=req.request_id, cause=NO_MEMORY, held=self.memory.held
        )
        return FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS)

    def admit_within_quota(
        self, request: WorkspaceRequest, done: OnFinalResponse, waited: Milliseconds
    ) -> Placement | None:
        """Apply admission control to a request that has received its quota token."""
        try:
            return self._admit(
                request.req,
                request.route,
                done,
                request.caller_credit,
                request.workspace,
                waited,
            )
        except Exception as exc:
            self._event_log.log_exception("entry", exc)
            done(FinalResponse(502))
            return None

    def refuse_over_quota(
        self, request: WorkspaceRequest, decision: QuotaDecision
    ) -> FinalResponse:
        """Return the response to a request whose workspace has no quota token."""
        route = request.route.name
        cause = decision.verdict.value
        refusal = quota_refusal(decision)
        assert refusal is not None
        self._event_log.counts["quota_refused", cause] += 1
        self._event_log.count_outcome(route, str(refusal.status), 0.0)
        self._event_log.event(
            "quota-refused",
            request=request.req.request_id,
            route=route,
            workspace=request.workspace.name,
            cause=cause,
            retry_after=round(refusal.retry_after),
        )
        return refusal

    def now(self) -> Milliseconds:
        """Return the current time in milliseconds."""
        return self._context.clock.now()

    def _refusal(
        self,
        req: Request,
        route: Route,
        service: str,
        caller_credit: CallerCredit,
        covered: float,
        workspace: Workspace | None,
    ) -> FinalResponse | None:
        """Return the refusal of a new request, or None if it is admitted.

        At most the share `covered` of the call trees is admitted.
        """
        work = Work.CALLER_REQUEST if route.idempotent else Work.NON_IDEMPOTENT_REQUEST
        if not self._may_begin(work, req, route):
            return FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS)
        # A response that is usually large has to find memory as well.
        n_expected = min(self._context.sizes.expected(route.name), LARGE_BODY_BYTES)
        if not self.memory.admits(round(n_expected), route.priority, req.n_held):
            return self.refuse_without_memory(req)
        kind_share = self._admission.admitted_share(service, route)
        share = min(kind_share, covered)
        own = self._workspace_admission.share_for(route, workspace, share)
        if own is None:
            admitted = self._admission.admits(route, share, caller_credit)
        else:
            admitted = self._admission.admits(
                route, own.share, caller_credit, own.credit
            )
        if admitted:
            return None
        self._context.served.record_refused(route.name, self._context.clock.now())
        retry_after = self._admission.retry_after(route)
        self._event_log.count_outcome(route.name, "refused", 0.0)
        self._event_log.counts["refused_at_entry", f"rank-{route.priority}"] += 1
        fields: dict[str, object] = {}
        if covered < kind_share:
            fields["cause"] = RETRY_BUDGET
        if own is not None and workspace is not None:
            fields["workspace"] = workspace.name
            fields["workspace_share"] = round(own.share, 2)
        self._event_log.event(
            "refused",
            request=req.request_id,
            route=route.name,
            share=round(share, 2),
            retry_after=round(retry_after),
            **fields,
        )
        return FinalResponse(503, retry_after=retry_after)


def _no_parent(_: str) -> None:
    """Treat every request as a new one."""
