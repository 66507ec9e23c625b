"""A call at the node beside the chosen backend server: admission, run, answer."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Outcome, Reason, Refused, Unknown
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.retries.allowance import Allowance
from fuchsiagap.core.telemetry import call_notes
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap_node.core.callpath.calls import CallInProgress
from fuchsiagap_node.core.wire.messages_call import CallMessage, head_from_wire

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.state import NodeState

_LEAVING_RETRY_AFTER_MS = 50.0


def register(state: NodeState) -> None:
    """Take calls that other nodes send for the backend server of this one."""

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
        The call; its deadline is on this process's clock.
    body : bytes
        The whole request body.

    Returns
    -------
    Answered, Refused or Unknown
        With the load of this instance and the unused allowance.
    """
    received = state.clock.now()
    spent = _Spent()
    outcome: Outcome | None = None
    try:
        outcome = await _serve(state, head, body, spent)
    finally:
        added = state.clock.now() - received - spent.at_backend
        call_notes.note_served(state.telemetry, head, outcome, added)
    return outcome


@dataclass(slots=True)
class _Spent:
    """Milliseconds that the backend server had a call."""

    at_backend: Milliseconds = 0.0


async def _serve(
    state: NodeState, head: CallHead, body: bytes, spent: _Spent
) -> Outcome:
    refused = _refusal(state, head)
    if refused is not None:
        return refused
    state.calls.n_queued += 1
    try:
        entered = await state.gate.enter(head)
        if isinstance(entered, Refused):
            if entered.reason is Reason.DEADLINE:
                call_notes.note_expired(state.telemetry, head)
            return _with_load(state, head, entered, head.allowance)
        if state.leaving:
            # It waited while the drain began; the backend server gets no new work.
            left = _leaving(state, head)
            state.gate.leave(entered, left)
            return _with_load(state, head, left, head.allowance)
        call = CallInProgress(head, Allowance(head.allowance))
        state.calls.serving[head.call_id] = call
    finally:
        state.calls.n_queued -= 1
        state.calls.note_end()
    call_notes.note_admitted(state.telemetry, head, entered.waited)
    outcome: Outcome = Unknown(Reason.CANCELLED, detail="the caller left")
    try:
        outcome = await _run(state, call, body, spent)
    finally:
        state.gate.leave(entered, outcome)
        del state.calls.serving[head.call_id]
        state.calls.note_end()
    return _with_load(state, head, outcome, call.allowance.remaining)


def _refusal(state: NodeState, head: CallHead) -> Refused | None:
    if head.service != state.cfg.service:
        detail = f"{head.service} is not served here, {state.cfg.service} is"
        return Refused(Reason.NO_BACKEND, allowance=head.allowance, detail=detail)
    if state.leaving:
        return _leaving(state, head)
    if head.deadline <= state.clock.now():
        call_notes.note_expired(state.telemetry, head)
        return Refused(Reason.DEADLINE, allowance=head.allowance)
    if head.call_id in state.calls.serving:
        detail = f"call {head.call_id} runs here already"
        return Refused(Reason.BAD_REQUEST, allowance=head.allowance, detail=detail)
    return None


def _leaving(state: NodeState, head: CallHead) -> Refused:
    return Refused(
        Reason.LEAVING,
        retry_after=_LEAVING_RETRY_AFTER_MS,
        allowance=head.allowance,
        detail=f"node {state.node} is leaving",
    )


async def _run(
    state: NodeState, call: CallInProgress, body: bytes, spent: _Spent
) -> Outcome:
    head = call.head
    started = state.clock.now()
    remaining = head.deadline - started
    if remaining <= 0:
        call_notes.note_expired(state.telemetry, head)
        return Refused(Reason.DEADLINE, detail="the deadline passed in the queue")
    if state.leaving:
        state.telemetry.violation(
            Invariant.WORK_AFTER_LEAVING,
            f"{state.node} is leaving, and its backend server gets a new call",
            head.call_id,
            head.root_id,
        )
    outcome: Outcome = Unknown(Reason.DEADLINE, detail="the deadline passed")
    try:
        with trio.move_on_after(remaining / MS_PER_S):
            outcome = await state.backend.send(head, body, remaining)
    finally:
        spent.at_backend = state.clock.now() - started
    if isinstance(outcome, Unknown) and outcome.reason is Reason.INCOMPLETE_ANSWER:
        call_notes.note_incomplete_answer(
            state.telemetry, head.call_id, head.root_id, "backend server"
        )
    if isinstance(outcome, Refused) and call.refused_below:
        return replace(outcome, reason=Reason.REFUSED_BELOW)
    return outcome


def _with_load(
    state: NodeState, head: CallHead, outcome: Outcome, allowance: int
) -> Outcome:
    # One copy for both changes: copies are dear here.
    load = state.gate.report(head.route)
    return replace(outcome, allowance=allowance, load=load)
