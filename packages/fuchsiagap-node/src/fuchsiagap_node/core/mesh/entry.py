"""The entry: this node owns the requests that callers on its host send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from fuchsiagap_node.core.mesh.final_response import (
    DEFAULT_RETRY_AFTER_MS,
    FinalResponse,
)
from fuchsiagap_node.core.mesh.metered_request import MeteredRequest
from fuchsiagap_node.core.mesh.over_quota import quota_refusal
from fuchsiagap_node.core.mesh.placement import Placement

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
    from fuchsiagap_node.core.mesh.quotas import QuotaDecision, Quotas
    from fuchsiagap_node.core.mesh.route_loads import RouteLoads


class Cancellable(Protocol):
    """A request in progress."""

    def cancel(self) -> None:
        """Give it up: its caller has left."""


class Entry:
    """Finds the route of a request, refuses it or has it placed.

    Parameters
    ----------
    context : PlacementContext
        Hands requests to backend servers.
    route_loads : RouteLoads
        Told which calls the requests of a route make.
    admission : Admission
        What is refused at once.
    rotation : WeightedRoundRobin
        Choice among the services of a route.
    event_log : EventLog
        Logs and counters.
    authenticator : ApiKeyAuthenticator
        Finds the workspace of a request.
    quotas : Quotas
        Requests that workspaces may make.

    Attributes
    ----------
    table : RouteTable or None
        Routes in force; None until a configuration is known.
    stopping : bool
        Whether new requests are refused since the process is about to end.
    parent_of : callable
        Returns the request for which the backend server on this host makes a call.
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
    ) -> None:
        self._authenticator = authenticator
        self._quotas = quotas
        self._context = context
        self._route_loads = route_loads
        self._admission = admission
        self._rotation = rotation
        self._event_log = event_log
        self.table: RouteTable | None = None
        self.stopping = False
        self.parent_of: Callable[[str], PendingCall | None] = _no_parent

    def begin(
        self, req: Request, done: OnFinalResponse, turn: CallerCredit
    ) -> Cancellable | None:
        """Refuse a request or begin to place it.

        Parameters
        ----------
        req : Request
            The request.
        done : callable
            Told the final answer, once, now or later: the backend server's, or a
            truthful word that there is none.
        turn : CallerCredit
            What its caller is owed.

        Returns
        -------
        Cancellable or None
            What is to be cancelled if the caller leaves; None if the answer is final
            at once.
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
            return self._place(req, route, parent, done)
        caller = self._authenticator.authenticate(req, route, table)
        if isinstance(caller, FinalResponse):
            done(caller)
            return None
        if caller is None:
            return self._admit(
                req, table.apply_workspace_priority(route, None), done, turn
            )
        ranked = table.apply_workspace_priority(route, caller.priority)
        metered = MeteredRequest(self, caller, req, ranked, done, turn)
        return metered if metered.start(self._quotas) else None

    def _admit(
        self,
        req: Request,
        route: Route,
        done: OnFinalResponse,
        turn: CallerCredit,
        workspace: Workspace | None = None,
        waited: Milliseconds = 0.0,
    ) -> Placement | None:
        """Refuse a new request for which there is no room, or begin to place it."""
        service = self._rotation.pick(route)
        refusal = self._refusal(req, route, service, turn)
        if refusal is not None:
            done(refusal)
            return None
        placement = Placement(
            self._context, req, route, service, None, done, workspace, waited
        )
        placement.start()
        return placement

    def _place(
        self, req: Request, route: Route, parent: PendingCall, done: OnFinalResponse
    ) -> Placement:
        """Begin to place a call of the backend server."""
        service = self._rotation.pick(route)
        self._route_loads.record_nested_call(parent.call.route, service, route.name)
        placement = Placement(self._context, req, route, service, parent, done)
        placement.start()
        return placement

    def admit_within_quota(
        self, metered: MeteredRequest, done: OnFinalResponse, waited: Milliseconds
    ) -> Placement | None:
        """Go on with a request that has its token."""
        try:
            return self._admit(
                metered.req,
                metered.route,
                done,
                metered.turn,
                metered.workspace,
                waited,
            )
        except Exception as exc:
            self._event_log.log_exception("entry", exc)
            done(FinalResponse(502))
            return None

    def refuse_over_quota(
        self, metered: MeteredRequest, answer: QuotaDecision
    ) -> FinalResponse:
        """Return what the caller gets whose workspace has no token."""
        route = metered.route.name
        cause = answer.verdict.value
        refusal = quota_refusal(answer)
        assert refusal is not None
        self._event_log.counts["quota_refused", cause] += 1
        self._event_log.count_outcome(route, str(refusal.status), 0.0)
        self._event_log.event(
            "quota-refused",
            request=metered.req.request_id,
            route=route,
            workspace=metered.workspace.name,
            cause=cause,
            retry_after=round(refusal.retry_after),
        )
        return refusal

    def now(self) -> Milliseconds:
        """Return the time."""
        return self._context.clock.now()

    def _refusal(
        self, req: Request, route: Route, service: str, turn: CallerCredit
    ) -> FinalResponse | None:
        """Return the refusal of a new request for which there is no room."""
        if self.stopping:
            return FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS)
        share = self._admission.admitted_share(service, route)
        if self._admission.admits(route, share, turn):
            return None
        self._context.served.record_refused(route.name, self._context.clock.now())
        retry_after = self._admission.retry_after(route)
        self._event_log.count_outcome(route.name, "refused", 0.0)
        self._event_log.counts["refused_at_entry", f"rank-{route.priority}"] += 1
        self._event_log.event(
            "refused",
            request=req.request_id,
            route=route.name,
            share=round(share, 2),
            retry_after=round(retry_after),
        )
        return FinalResponse(503, retry_after=retry_after)


def _no_parent(_: str) -> None:
    """Return that a request is no call."""
