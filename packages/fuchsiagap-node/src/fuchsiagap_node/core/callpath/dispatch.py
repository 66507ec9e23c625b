"""Sends a call to an instance of its service, and retries it where permitted."""

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

_RETRYABLE_REFUSALS = frozenset(
    {
        Reason.OVERLOAD,
        Reason.LEAVING,
        Reason.NO_BACKEND,
        Reason.BACKEND_REFUSED,
        Reason.CONNECTION_LOST,
    }
)
_RETRYABLE_UNKNOWNS = frozenset({Reason.CONNECTION_LOST, Reason.INCOMPLETE_ANSWER})


class RetryDenial(StrEnum):
    """Why a retry was denied; the value is the label of the counter."""

    DEADLINE = "deadline"
    NO_INSTANCE = "no-instance"
    ALLOWANCE = "allowance"
    LEVEL = "level"  # outside the admission level reported by the service
    BUDGET = "budget"


async def dispatch(state: NodeState, head: CallHead, body: bytes) -> Outcome:
    """Send a call to an instance of its service, and retry it on failure.

    Attempts are strictly sequential. A refusal is retried only by the direct caller
    of the service that refused; a refusal of a nested call is passed up, as
    ``REFUSED_BELOW``. A non-idempotent call is retried only if the outcome is
    `Refused`, never if it is `Unknown`.

    Parameters
    ----------
    state : NodeState
        The node.
    head : CallHead
        Head of the call; its deadline is on the clock of this process. An idempotent
        child of a call in progress here has no allowance of its own: it takes extra
        attempts from the allowance of its parent, which all children share.
    body : bytes
        The complete request body.

    Returns
    -------
    Outcome
        The outcome of the last attempt, with what is left of the head's allowance.
    """
    refused = _early_refusal(state, head)
    if refused is not None:
        return _with_allowance(refused, head.allowance)
    parent = state.calls.serving.get(head.parent_id) if head.idempotent else None
    if parent is not None:
        outcome = await _dispatch_within_allowance(state, head, body, parent.allowance)
        if outcome.load is not None:
            state.gate.record_downstream_load(
                parent.head.route, head.service, outcome.load
            )
        return _with_allowance(outcome, head.allowance)
    allowance = Allowance(head.allowance)
    outcome = await _dispatch_within_allowance(state, head, body, allowance)
    return _with_allowance(outcome, allowance.remaining)


def _with_allowance(outcome: Outcome, allowance: int) -> Outcome:
    if outcome.allowance == allowance:
        return outcome
    return replace(outcome, allowance=allowance)


async def _dispatch_within_allowance(
    state: NodeState, head: CallHead, body: bytes, allowance: Allowance
) -> Outcome:
    """Send a call, and charge its retries to `allowance`.

    A call that may repeat earlier work is charged one extra attempt in advance.
    """
    instance = state.router.choose(head.service)
    if instance is None:
        return _no_instance_refusal(head)
    # The child of a repeated call may itself have run already.
    repeat = head.idempotent and is_repeat(head.parent_id)
    if repeat and not allowance.take():
        return _no_allowance_refusal(head)
    state.budget.record_call(head.service)
    outcome, earlier_may_have_run = await _run_attempts(
        state, head, body, instance, allowance, repeat
    )
    if earlier_may_have_run and isinstance(outcome, Refused):
        # The last attempt did not run, but an earlier one may have.
        return Unknown(outcome.reason, load=outcome.load, detail=outcome.detail)
    return outcome


async def _run_attempts(
    state: NodeState,
    head: CallHead,
    body: bytes,
    instance: Instance,
    allowance: Allowance,
    repeat: bool,
) -> tuple[Outcome, bool]:
    """Return the last attempt's outcome, and whether an earlier one may have run."""
    tried: frozenset[str] = frozenset()
    n_sent = n_retries = 0
    earlier_may_have_run = False
    while True:
        attempt = attempt_head(head, n_sent, repeat)
        outcome = await send_attempt(state, attempt, body, instance, allowance)
        n_sent += 1
        tried |= {instance.node}
        if not _may_retry(head, outcome):
            return outcome, earlier_may_have_run
        wait = backoff(state.budget.cfg, n_retries, state.rng)
        if not _has_time(state, head, wait):
            return _record_denial(
                state, attempt, outcome, RetryDenial.DEADLINE
            ), earlier_may_have_run
        if wait > 0.0:
            await sleep_ms(wait)
        next_instance = state.router.choose(head.service, tried)
        if next_instance is None:
            return _record_denial(
                state, attempt, outcome, RetryDenial.NO_INSTANCE
            ), earlier_may_have_run
        if not _was_not_sent(outcome):
            denial = _charge_retry(state, head, allowance)
            if denial is not None:
                return _record_denial(
                    state, attempt, outcome, denial
                ), earlier_may_have_run
            n_retries += 1
            repeat = repeat or may_have_run(outcome)
        earlier_may_have_run = earlier_may_have_run or isinstance(outcome, Unknown)
        _record_retry(state, attempt, outcome, next_instance)
        instance = next_instance


def _early_refusal(state: NodeState, head: CallHead) -> Refused | None:
    """Return a refusal if the call would miss its deadline or not be admitted."""
    if not _has_time(state, head, 0.0):
        call_telemetry.record_expired(state.telemetry, head)
        return Refused(
            Reason.DEADLINE,
            detail="time to the deadline is below the minimum latency of the route",
        )
    return state.levels.refusal(head)


def _has_time(state: NodeState, head: CallHead, wait: Milliseconds) -> bool:
    """Return whether an attempt after `wait` milliseconds can meet the deadline."""
    now = state.clock.now()
    min_latency = state.router.least_times.least(head.service, head.route, now)
    return head.deadline - now - wait > min_latency


def _may_retry(head: CallHead, outcome: Outcome) -> bool:
    """Return whether the outcome permits an attempt at another instance."""
    if isinstance(outcome, Answered):
        return False
    if isinstance(outcome, Refused):
        return outcome.reason in _RETRYABLE_REFUSALS
    return head.idempotent and outcome.reason in _RETRYABLE_UNKNOWNS


def _was_not_sent(outcome: Outcome) -> bool:
    """Return whether the attempt was not sent, so that its retry costs nothing."""
    return isinstance(outcome, Refused) and outcome.reason is Reason.CONNECTION_LOST


def _charge_retry(
    state: NodeState, head: CallHead, allowance: Allowance
) -> RetryDenial | None:
    """Charge a retry to both the retry budget and the allowance, or to neither."""
    if allowance.remaining < 1:
        return RetryDenial.ALLOWANCE
    if state.levels.refusal(head) is not None:
        return RetryDenial.LEVEL
    route = state.book.route_for(head.service, head.method, head.target)
    ratio = route.retry_budget if route is not None else None
    if not state.budget.try_spend(head.service, ratio):
        return RetryDenial.BUDGET
    allowance.take()
    return None


def _record_denial(
    state: NodeState, attempt: CallHead, outcome: Outcome, denial: RetryDenial
) -> Outcome:
    by = denial.value
    state.telemetry.metrics.count(Counter.RETRIES_DENIED, by)
    state.telemetry.ring.record(
        EventKind.RETRY_DENIED, attempt.call_id, attempt.root_id, by=by
    )
    return outcome


def _record_retry(
    state: NodeState, attempt: CallHead, outcome: Outcome, next_instance: Instance
) -> None:
    state.telemetry.metrics.count(Counter.RETRIES, str(attempt.service))
    state.telemetry.ring.record(
        EventKind.CALL_RETRIED,
        attempt.call_id,
        attempt.root_id,
        after="" if isinstance(outcome, Answered) else outcome.reason.value,
        to=next_instance.node,
    )


def _no_instance_refusal(head: CallHead) -> Refused:
    detail = f"no known instance of {head.service} accepts new calls"
    return Refused(Reason.NO_BACKEND, detail=detail)


def _no_allowance_refusal(head: CallHead) -> Refused:
    detail = (
        f"{head.service}: the parent call is a repeat, and the request has no extra"
        " attempts left"
    )
    return Refused(Reason.OVERLOAD, detail=detail)
