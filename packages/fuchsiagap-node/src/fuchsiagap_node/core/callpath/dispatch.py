"""Dispatch of a call: choose an instance, send, and retry where that is right."""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap.core.clock import sleep_ms
from fuchsiagap.core.retries.allowance import Allowance
from fuchsiagap.core.retries.backoff import backoff
from fuchsiagap.core.telemetry import call_telemetry
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap_node.core.callpath.attempts import (
    attempt_head,
    is_repeat,
    may_have_run,
    send_attempt,
)

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routing.router import Instance
    from fuchsiagap_node.core.state import NodeState

_RETRIED_REFUSALS = frozenset(
    {
        Reason.OVERLOAD,
        Reason.LEAVING,
        Reason.NO_BACKEND,
        Reason.BACKEND_REFUSED,
        Reason.CONNECTION_LOST,
    }
)
_RETRIED_UNKNOWNS = frozenset({Reason.CONNECTION_LOST, Reason.INCOMPLETE_ANSWER})


class Denial(StrEnum):
    """What denied a retry; the value is the label of the counter."""

    DEADLINE = "deadline"
    NO_INSTANCE = "no-instance"
    ALLOWANCE = "allowance"
    LEVEL = "level"
    BUDGET = "budget"


async def dispatch(state: NodeState, head: CallHead, body: bytes) -> Outcome:
    """Run a call at one instance of its service, or at another after a refusal.

    Attempts are strictly sequential. A refusal is retried only here, directly above
    the node that made it; one from further down is passed up. A non-idempotent call
    goes to another instance only after a true refusal.

    Parameters
    ----------
    state : NodeState
        The node.
    head : CallHead
        The head, its deadline on this process's clock. An idempotent child of a call
        in progress here has no allowance of its own: side by side with the other
        children it draws on the ledger of its parent.
    body : bytes
        The whole body.

    Returns
    -------
    Outcome
        Its allowance is what is left of the head's.
    """
    early = _early_refusal(state, head)
    if early is not None:
        return _with_allowance(early, head.allowance)
    parent = state.calls.serving.get(head.parent_id) if head.idempotent else None
    if parent is not None:
        outcome = await _run(state, head, body, parent.allowance)
        if outcome.load is not None:
            state.gate.record_downstream_load(
                parent.head.route, head.service, outcome.load
            )
        return _with_allowance(outcome, head.allowance)
    ledger = Allowance(head.allowance)
    outcome = await _run(state, head, body, ledger)
    return _with_allowance(outcome, ledger.remaining)


def _with_allowance(outcome: Outcome, allowance: int) -> Outcome:
    if outcome.allowance == allowance:
        return outcome
    return replace(outcome, allowance=allowance)


async def _run(
    state: NodeState, head: CallHead, body: bytes, ledger: Allowance
) -> Outcome:
    """Send the first attempt, and others while that is right."""
    instance = state.router.choose(head.service)
    if instance is None:
        return _no_backend(head)
    # The child of a repeated call may itself have run before.
    repeat = head.idempotent and is_repeat(head.parent_id)
    if repeat and not ledger.take():
        return _cannot_pay(head)
    state.budget.record_call(head.service)
    outcome, unsure = await _attempts(state, head, body, instance, ledger, repeat)
    if unsure and isinstance(outcome, Refused):
        # True of the last attempt, but an earlier one may have run.
        return Unknown(outcome.reason, load=outcome.load, detail=outcome.detail)
    return outcome


async def _attempts(
    state: NodeState,
    head: CallHead,
    body: bytes,
    instance: Instance,
    ledger: Allowance,
    repeat: bool,
) -> tuple[Outcome, bool]:
    """Return the last attempt's outcome, and whether one before may have run."""
    tried: frozenset[str] = frozenset()
    n_sent = n_retries = 0
    unsure = False
    while True:
        attempt = attempt_head(head, n_sent, repeat)
        outcome = await send_attempt(state, attempt, body, instance, ledger)
        n_sent += 1
        tried |= {instance.node}
        if not _may_retry(head, outcome):
            return outcome, unsure
        wait = backoff(state.budget.cfg, n_retries, state.rng)
        if not _has_time(state, head, wait):
            return _denied(state, attempt, outcome, Denial.DEADLINE), unsure
        if wait > 0.0:
            await sleep_ms(wait)
        following = state.router.choose(head.service, tried)
        if following is None:
            return _denied(state, attempt, outcome, Denial.NO_INSTANCE), unsure
        if not _never_left(outcome):
            denial = _pay_retry(state, head, ledger)
            if denial is not None:
                return _denied(state, attempt, outcome, denial), unsure
            n_retries += 1
            repeat = repeat or may_have_run(outcome)
        unsure = unsure or isinstance(outcome, Unknown)
        _record_retry(state, attempt, outcome, following)
        instance = following


def _early_refusal(state: NodeState, head: CallHead) -> Refused | None:
    """Refuse what cannot be answered in time, or would be refused below."""
    if not _has_time(state, head, 0.0):
        call_telemetry.record_expired(state.telemetry, head)
        return Refused(Reason.DEADLINE, detail="the deadline leaves no time to run")
    return state.levels.refusal(head)


def _has_time(state: NodeState, head: CallHead, wait: Milliseconds) -> bool:
    """Whether an attempt after `wait` milliseconds can be answered in time."""
    now = state.clock.now()
    least = state.router.least_times.least(head.service, head.route, now)
    return head.deadline - now - wait > least


def _may_retry(head: CallHead, outcome: Outcome) -> bool:
    """Whether the outcome allows another attempt elsewhere."""
    if isinstance(outcome, Answered):
        return False
    if isinstance(outcome, Refused):
        return outcome.reason in _RETRIED_REFUSALS
    return head.idempotent and outcome.reason in _RETRIED_UNKNOWNS


def _never_left(outcome: Outcome) -> bool:
    """Whether the attempt reached no other node, and so counts as none."""
    return isinstance(outcome, Refused) and outcome.reason is Reason.CONNECTION_LOST


def _pay_retry(state: NodeState, head: CallHead, ledger: Allowance) -> Denial | None:
    """Pay for a retry out of budget and allowance, of both or of none."""
    if ledger.remaining < 1:
        return Denial.ALLOWANCE
    if state.levels.refusal(head) is not None:
        return Denial.LEVEL
    route = state.book.route_for(head.service, head.method, head.target)
    ratio = route.retry_budget if route is not None else None
    if not state.budget.try_spend(head.service, ratio):
        return Denial.BUDGET
    ledger.take()
    return None


def _denied(
    state: NodeState, attempt: CallHead, outcome: Outcome, denial: Denial
) -> Outcome:
    by = denial.value
    state.telemetry.metrics.count(Counter.RETRIES_DENIED, by)
    state.telemetry.ring.record(
        EventKind.RETRY_DENIED, attempt.call_id, attempt.root_id, by=by
    )
    return outcome


def _record_retry(
    state: NodeState, attempt: CallHead, outcome: Outcome, following: Instance
) -> None:
    state.telemetry.metrics.count(Counter.RETRIES, str(attempt.service))
    state.telemetry.ring.record(
        EventKind.CALL_RETRIED,
        attempt.call_id,
        attempt.root_id,
        after="" if isinstance(outcome, Answered) else outcome.reason.value,
        to=following.node,
    )


def _no_backend(head: CallHead) -> Refused:
    detail = f"no instance of {head.service} is known that takes new work"
    return Refused(Reason.NO_BACKEND, detail=detail)


def _cannot_pay(head: CallHead) -> Refused:
    detail = (
        f"{head.service}: the call above is a repeat, and the request's allowance of"
        " extra attempts is used up"
    )
    return Refused(Reason.OVERLOAD, detail=detail)
