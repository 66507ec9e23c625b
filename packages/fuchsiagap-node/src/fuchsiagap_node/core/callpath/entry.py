"""Entry of calls from external callers and from the local backend server."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.head import (
    LEAST_PRIORITY,
    MAX_DEPTH,
    CallHead,
    Headers,
    ServiceName,
    cohort_of,
)
from fuchsiagap.core.calls.outcome import Outcome, Reason, Refused, Unknown
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.telemetry import call_telemetry
from fuchsiagap.core.tickets.ticket import MalformedTicket, Ticket, parse_ticket
from fuchsiagap_node.core.callpath.attempts import mark_repeat
from fuchsiagap_node.core.callpath.dispatch import dispatch
from fuchsiagap_node.core.callpath.home_tickets import (
    issue_private_ticket,
    settle_ticket,
)
from fuchsiagap_node.core.callpath.relay import relay_to_home

if TYPE_CHECKING:
    import random

    from fuchsiagap_node.core.callpath.calls import CallInProgress
    from fuchsiagap_node.core.state import NodeState

_ID_BITS = 64
# Values of the header `call_headers.REPEAT`.
_FIRST_COPY = "0"
_REPEATED_COPY = "1"
_MAX_ROOT_ID_LENGTH = 64
_LEAVING_RETRY_AFTER_MS = 100.0
_STARTING_RETRY_AFTER_MS = 100.0


@dataclass(frozen=True, slots=True)
class CallRequest:
    """An HTTP request to a service, before its route is looked up.

    Parameters
    ----------
    service : ServiceName
        Team and service, from the first two segments of the path.
    method, target : str
        HTTP method; the rest of the path with the query.
    control_headers : dict of str to str
        Headers with parameters of the call; see `call_headers`.
    headers : tuple of (str, str)
        All other end-to-end headers.
    body : bytes
        The complete request body.
    """

    service: ServiceName
    method: str
    target: str
    control_headers: dict[str, str]
    headers: Headers
    body: bytes


def new_id(rng: random.Random) -> str:
    """Return a random identifier of a call or root request, in hexadecimal."""
    return f"{rng.getrandbits(_ID_BITS):016x}"


async def enter(state: NodeState, req: CallRequest) -> Outcome:
    """Run a request as a call at an instance of its service, and return its outcome.

    A request without a parent call is a root request; with one, it is a nested call of
    the local backend server. Cancelling the task cancels the call at all nodes,
    except a run at the home of its ticket, which continues.

    Parameters
    ----------
    state : NodeState
        The node.
    req : CallRequest
        The request.

    Returns
    -------
    Answered, Refused or Unknown
        The outcome of the call.
    """
    parent_id = req.control_headers.get(call_headers.PARENT_CALL)
    if parent_id is None:
        head = _root_head(state, req)
        if isinstance(head, Refused):
            return await refuse(state, req, head)
        first_copy = _is_first_copy(req)
        outcome = await _run_recorded(state, head, req.body, first_copy=first_copy)
        if isinstance(outcome, Refused) and not head.idempotent:
            return await _confirm_refusal(state, req, outcome)
        return outcome
    parent = state.calls.serving.get(parent_id)
    if parent is None:
        detail = (
            f"{call_headers.PARENT_CALL}: call {parent_id!r:.40} is not in progress at"
            " this node; nested calls must go to the node on the backend server's host"
        )
        return _count_outcome(state, Refused(Reason.CANCELLED, detail=detail))
    return await _enter_child(state, parent, req)


async def refuse(state: NodeState, req: CallRequest, refused: Refused) -> Outcome:
    """Refuse a root request, unless an earlier copy of it may have run.

    An earlier copy of a request with a ticket may have entered at another node. So the
    ticket is first settled at its home, which burns an unused ticket so that no copy
    can start later. A request marked as the first copy needs no such check.

    Parameters
    ----------
    state : NodeState
        The node.
    req : CallRequest
        The request.
    refused : Refused
        The refusal, with its reason.

    Returns
    -------
    Answered, Refused or Unknown
        `Refused` only if no copy has run or can run later; otherwise the outcome of
        the earlier copy, as far as known.
    """
    return _count_outcome(state, await _confirm_refusal(state, req, refused))


async def _confirm_refusal(
    state: NodeState, req: CallRequest, refused: Refused
) -> Outcome:
    ticket = _read_ticket(req)
    if not isinstance(ticket, Ticket) or _is_first_copy(req):
        return refused
    if refused.reason is Reason.TICKET_BURNT:
        return refused
    route = state.book.route_for(req.service, req.method, req.target)
    if route is None and state.book.sync_status.complete:
        return refused
    if route is not None and route.idempotent:
        return refused
    outcome = await settle_ticket(state, ticket, 0.0)
    if isinstance(outcome, Refused):
        return replace(outcome, retry_after=refused.retry_after)
    return outcome


def _count_outcome(state: NodeState, outcome: Outcome) -> Outcome:
    """Count the outcome of a request for which no call was started."""
    call_telemetry.count_outcome(state.telemetry, outcome)
    return outcome


def _is_first_copy(req: CallRequest) -> bool:
    return req.control_headers.get(call_headers.REPEAT) == _FIRST_COPY


def _is_repeat(req: CallRequest) -> bool:
    """Return whether the caller marked the request as a repeat that may have run."""
    return req.control_headers.get(call_headers.REPEAT) == _REPEATED_COPY


async def _enter_child(
    state: NodeState, parent: CallInProgress, req: CallRequest
) -> Outcome:
    head = _child_head(state, parent, req)
    if isinstance(head, Refused):
        return _count_outcome(state, head)
    if head.idempotent:
        outcome = await _run_recorded(state, head, req.body)
    else:
        outcome = await _run_with_share(state, parent, head, req.body)
    if isinstance(outcome, Refused):
        parent.has_refused_child = True
    return outcome


async def _run_with_share(
    state: NodeState, parent: CallInProgress, head: CallHead, body: bytes
) -> Outcome:
    """Run a non-idempotent child with a share of its parent's allowance.

    Its home may be another node, which cannot use the allowance kept here.
    """
    # Half of what is left, so that concurrent children can get extra attempts too.
    share = parent.allowance.lend_up_to((parent.allowance.remaining + 1) // 2)
    outcome: Outcome | None = None
    try:
        outcome = await _run_recorded(state, head.with_allowance(share), body)
    finally:
        if outcome is None:
            parent.allowance.write_off(share)
    parent.allowance.settle(share, outcome.allowance)
    if outcome.load is not None:
        state.gate.record_downstream_load(parent.head.route, head.service, outcome.load)
    return outcome


async def _run_recorded(
    state: NodeState, head: CallHead, body: bytes, *, first_copy: bool = False
) -> Outcome:
    state.calls.n_entered += 1
    started = state.clock.now()
    call_telemetry.record_received(state.telemetry, head)
    outcome: Outcome | None = None
    try:
        outcome = await _run_within_deadline(state, head, body, first_copy)
    finally:
        latency = state.clock.now() - started
        call_telemetry.record_ended(state.telemetry, head, outcome, latency)
        state.calls.n_entered -= 1
        state.calls.notify_if_idle()
    return outcome


async def _run_within_deadline(
    state: NodeState, head: CallHead, body: bytes, first_copy: bool
) -> Outcome:
    remaining = head.deadline - state.clock.now()
    if remaining <= 0:
        call_telemetry.record_expired(state.telemetry, head)
        return Refused(Reason.DEADLINE, allowance=head.allowance)
    outcome: Outcome = Unknown(
        Reason.DEADLINE, detail="the deadline expired before an outcome arrived"
    )
    with trio.move_on_after(remaining / MS_PER_S):
        if head.idempotent:
            outcome = await dispatch(state, head, body)
        else:
            outcome = await relay_to_home(state, head, body, first_copy)
    return outcome


def _root_head(state: NodeState, req: CallRequest) -> CallHead | Refused:
    if state.leaving:
        detail = f"node {state.node} is shutting down; send the request to another node"
        return Refused(
            Reason.LEAVING, retry_after=_LEAVING_RETRY_AFTER_MS, detail=detail
        )
    route = state.book.route_for(req.service, req.method, req.target)
    if route is None:
        return _no_route_refusal(state, req)
    timeout = _read_number(req, call_headers.DEADLINE, route.timeout)
    if isinstance(timeout, Refused):
        return timeout
    allowance = _read_number(req, call_headers.ALLOWANCE, route.allowance)
    if isinstance(allowance, Refused):
        return allowance
    priority = _read_number(req, call_headers.PRIORITY, route.priority)
    if isinstance(priority, Refused):
        return priority
    ticket = _read_ticket(req)
    if isinstance(ticket, Refused):
        return ticket
    root_id = req.control_headers.get(call_headers.ROOT, "")[:_MAX_ROOT_ID_LENGTH]
    root_id = str(ticket) if ticket is not None else root_id or new_id(state.rng)
    if ticket is None and route.idempotent:
        ticket = issue_private_ticket(state)
    head = CallHead(
        call_id=mark_repeat(new_id(state.rng), _is_repeat(req)),
        root_id=root_id,
        parent_id="",
        service=req.service,
        route=route.route,
        method=req.method,
        target=req.target,
        headers=req.headers,
        # Callers may lower the priority of their requests, but not raise it.
        priority=min(max(int(priority), route.priority), LEAST_PRIORITY),
        cohort=cohort_of(root_id),
        deadline=state.clock.now() + min(timeout, route.timeout),
        allowance=min(int(allowance), route.allowance),
        idempotent=route.idempotent,
        ticket=ticket,
    )
    return head


def _child_head(
    state: NodeState, parent: CallInProgress, req: CallRequest
) -> CallHead | Refused:
    parent_head = parent.head
    route = state.book.route_for(req.service, req.method, req.target)
    if route is None:
        return _no_route_refusal(state, req)
    if parent_head.depth >= MAX_DEPTH:
        detail = (
            f"call depth {parent_head.depth} has reached the maximum of {MAX_DEPTH}"
        )
        return Refused(Reason.TOO_DEEP, detail=detail)
    given = req.control_headers.get(call_headers.CHILD_KEY, "")
    return replace(
        parent_head,
        call_id=new_id(state.rng),
        parent_id=parent_head.call_id,
        service=req.service,
        route=route.route,
        method=req.method,
        target=req.target,
        headers=req.headers,
        deadline=min(parent_head.deadline, state.clock.now() + route.timeout),
        allowance=0,
        idempotent=route.idempotent,
        child_key=parent.next_child_key(given, req.service, route.route),
        depth=parent_head.depth + 1,
    )


def _read_number(req: CallRequest, name: str, default: float) -> float | Refused:
    text = req.control_headers.get(name)
    if text is None:
        return default
    if text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS:
        return int(text)
    detail = f"{name}: expected a non-negative integer, got {text!r:.40}"
    return Refused(Reason.BAD_REQUEST, detail=detail)


_MAX_DIGITS = 9


def _read_ticket(req: CallRequest) -> Ticket | Refused | None:
    text = req.control_headers.get(call_headers.TICKET)
    if text is None:
        return None
    ticket = parse_ticket(text)
    if isinstance(ticket, MalformedTicket):
        detail = f"{call_headers.TICKET}: {ticket!s:.300}"
        return Refused(Reason.BAD_REQUEST, detail=detail)
    return ticket


def _no_route_refusal(state: NodeState, req: CallRequest) -> Refused:
    if not state.book.sync_status.complete:
        detail = f"node {state.node} has started but not loaded all settings yet"
        return Refused(
            Reason.STARTING, retry_after=_STARTING_RETRY_AFTER_MS, detail=detail
        )
    detail = (
        f"{req.method} {req.target!r:.80}: no route; the team of {req.service!s:.80}"
        " has no settings in force; expected a path /TEAM/SERVICE/... of a known team"
    )
    return Refused(Reason.NO_ROUTE, detail=detail)
