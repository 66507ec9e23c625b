"""Runs calls on the backend server of this node, subject to admission control."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Outcome, Reason, Refused, Unknown
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.retries.allowance import Allowance
from fuchsiagap.core.telemetry import call_telemetry
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap_node.core.callpath.calls import CallInProgress
from fuchsiagap_node.core.wire.messages_call import CallMessage, head_from_wire

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.state import NodeState

_LEAVING_RETRY_AFTER_MS = 50.0


def register(state: NodeState) -> None:
    """Register the handler of calls from other nodes for the local backend server."""

    async def on_call(_peer: str, msg: CallMessage) -> Outcome:
        return await serve(state, head_from_wire(msg.head, state.clock.now()), msg.body)

    state.handlers.on_request(CallMessage, on_call)
    state.serve = partial(serve, state)


async def serve(state: NodeState, head: CallHead, body: bytes) -> Outcome:
    """Run a call on the backend server of this node, if it is admitted.

    Parameters
    ----------
    state : NodeState
        The node.
    head : CallHead
        Head of the call; its deadline is on the clock of this process.
    body : bytes
        The complete request body.

    Returns
    -------
    Answered, Refused or Unknown
        The outcome, with the load report of this instance and the unused allowance.
    """
    received = state.clock.now()
    backend_time = _BackendTime()
    outcome: Outcome | None = None
    try:
        outcome = await _serve(state, head, body, backend_time)
    finally:
        added = state.clock.now() - received - backend_time.elapsed
        call_telemetry.record_served(state.telemetry, head, outcome, added)
    return outcome


@dataclass(slots=True)
class _BackendTime:
    """Time that a call spent at the backend server.

    Parameters
    ----------
    elapsed : float
        Milliseconds; 0 until the call has ended there.
    """

    elapsed: Milliseconds = 0.0


async def _serve(
    state: NodeState, head: CallHead, body: bytes, backend_time: _BackendTime
) -> Outcome:
    refused = _refusal(state, head)
    if refused is not None:
        return refused
    state.calls.n_queued += 1
    try:
        admission = await state.gate.enter(head)
        if isinstance(admission, Refused):
            if admission.reason is Reason.DEADLINE:
                call_telemetry.record_expired(state.telemetry, head)
            return _with_load(state, head, admission, head.allowance)
        if state.leaving:
            # A drain began while the call was queued; it must not start any more.
            refusal = _leaving_refusal(state, head)
            state.gate.leave(admission, refusal)
            return _with_load(state, head, refusal, head.allowance)
        call = CallInProgress(head, Allowance(head.allowance))
        state.calls.serving[head.call_id] = call
    finally:
        state.calls.n_queued -= 1
        state.calls.notify_if_idle()
    call_telemetry.record_admitted(state.telemetry, head, admission.waited)
    outcome: Outcome = Unknown(Reason.CANCELLED, detail="the caller cancelled the call")
    try:
        outcome = await _run(state, call, body, backend_time)
    finally:
        state.gate.leave(admission, outcome)
        del state.calls.serving[head.call_id]
        state.calls.notify_if_idle()
    return _with_load(state, head, outcome, call.allowance.remaining)


def _refusal(state: NodeState, head: CallHead) -> Refused | None:
    if head.service != state.cfg.service:
        detail = f"this node does not serve {head.service}, but {state.cfg.service}"
        return Refused(Reason.NO_BACKEND, allowance=head.allowance, detail=detail)
    if state.leaving:
        return _leaving_refusal(state, head)
    if head.deadline <= state.clock.now():
        call_telemetry.record_expired(state.telemetry, head)
        return Refused(Reason.DEADLINE, allowance=head.allowance)
    if head.call_id in state.calls.serving:
        detail = f"call {head.call_id} is already in progress here"
        return Refused(Reason.BAD_REQUEST, allowance=head.allowance, detail=detail)
    return None


def _leaving_refusal(state: NodeState, head: CallHead) -> Refused:
    return Refused(
        Reason.LEAVING,
        retry_after=_LEAVING_RETRY_AFTER_MS,
        allowance=head.allowance,
        detail=f"node {state.node} is shutting down",
    )


async def _run(
    state: NodeState, call: CallInProgress, body: bytes, backend_time: _BackendTime
) -> Outcome:
    head = call.head
    started = state.clock.now()
    remaining = head.deadline - started
    if remaining <= 0:
        call_telemetry.record_expired(state.telemetry, head)
        return Refused(Reason.DEADLINE, detail="the deadline expired in the queue")
    if state.leaving:
        state.telemetry.report_violation(
            Invariant.WORK_AFTER_LEAVING,
            f"{state.node} is leaving but sends a new call to its backend server",
            head.call_id,
            head.root_id,
        )
    outcome: Outcome = Unknown(
        Reason.DEADLINE, detail="the deadline expired at the backend server"
    )
    try:
        with trio.move_on_after(remaining / MS_PER_S):
            outcome = await state.backend.send(head, body, remaining)
    finally:
        backend_time.elapsed = state.clock.now() - started
    if isinstance(outcome, Unknown) and outcome.reason is Reason.INCOMPLETE_ANSWER:
        call_telemetry.record_incomplete_answer(
            state.telemetry, head.call_id, head.root_id, "backend server"
        )
    if isinstance(outcome, Refused) and call.has_refused_child:
        return replace(outcome, reason=Reason.REFUSED_BELOW)
    return outcome


def _with_load(
    state: NodeState, head: CallHead, outcome: Outcome, allowance: int
) -> Outcome:
    # One copy of the outcome for both changes, as copies are expensive on this path.
    load = state.gate.report(head.route)
    return replace(outcome, allowance=allowance, load=load)
