"""Sends one attempt of a call and records its outcome."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap_node.core.ports import LinkLost
from fuchsiagap_node.core.wire.messages_call import CallMessage

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.retries.allowance import Allowance
    from fuchsiagap.core.routing.router import Instance
    from fuchsiagap_node.core.state import NodeState

# Suffix of the call id of an attempt that may repeat work of an earlier attempt. It is
# part of the id so that the children of the attempt carry it in their parent id.
_REPEAT_SUFFIX = "!"


def is_repeat(call_id: str) -> bool:
    """Return whether a call id marks an attempt that may repeat earlier work."""
    return call_id.endswith(_REPEAT_SUFFIX)


def mark_repeat(call_id: str, repeat: bool) -> str:
    """Return a call id, marked if an earlier copy of the call may have run."""
    return f"{call_id}{_REPEAT_SUFFIX}" if repeat else call_id


def may_have_run(outcome: Outcome) -> bool:
    """Return whether an attempt that ended with this outcome may have done work.

    A backend server may make nested calls before it refuses a call.
    """
    if isinstance(outcome, Refused):
        return outcome.reason is Reason.BACKEND_REFUSED
    return True


def attempt_head(head: CallHead, n_sent: int, repeat: bool) -> CallHead:
    """Return the head of an attempt, with a call id unique to the attempt.

    The first attempt keeps the id of the call; each later one adds its number to it.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    n_sent : int
        Number of attempts of the call sent before this one.
    repeat : bool
        Whether the attempt may repeat work of an earlier attempt.
    """
    if n_sent == 0 and not repeat:
        return head
    number = f"~{n_sent}" if n_sent else ""
    call_id = head.call_id.removesuffix(_REPEAT_SUFFIX) + number
    marked = repeat or is_repeat(head.call_id)
    return replace(head, call_id=mark_repeat(call_id, marked))


async def send_attempt(
    state: NodeState,
    head: CallHead,
    body: bytes,
    instance: Instance,
    allowance: Allowance,
) -> Outcome:
    """Send one attempt with a share of the allowance, and take back what is unused.

    Parameters
    ----------
    state : NodeState
        The node.
    head : CallHead
        Head of the attempt; its deadline is on the clock of this process.
    body : bytes
        The complete request body.
    instance : Instance
        The instance to send the attempt to.
    allowance : Allowance
        Extra attempts left for the call. A share of it is sent with the attempt; if
        the outcome is lost, the share is lost as well.

    Returns
    -------
    Outcome
        The outcome of the attempt. On connection loss, ``Refused(CONNECTION_LOST)``
        if the attempt was certainly not sent, and ``Unknown`` if it may have been.
    """
    share = allowance.lend()
    started = state.clock.now()
    state.router.begin(instance)
    outcome: Outcome | None = None
    try:
        with trio.move_on_after(_seconds(head.deadline - started)) as scope:
            outcome = await _hand_over(state, head, body, instance, share)
    finally:
        now = state.clock.now()
        if outcome is not None:
            _settle_share(state, head, allowance, share, outcome)
        else:
            allowance.write_off(share)
            if scope.cancelled_caught:
                outcome = Unknown(
                    Reason.DEADLINE,
                    detail="no outcome of the attempt before the deadline",
                )
        _record_end(state, instance, outcome, now - started)
    assert outcome is not None
    if isinstance(outcome, Answered):
        least_times = state.router.least_times
        least_times.learn(head.service, head.route, now - started, now)
    if outcome.load is not None:
        state.levels.learn(head.service, head.route, instance.node, outcome.load)
    return outcome


async def _hand_over(
    state: NodeState, head: CallHead, body: bytes, instance: Instance, share: int
) -> Outcome:
    if instance.node == state.node:
        return await state.serve(head.with_allowance(share), body)
    # One copy of the head for both changes, as copies are expensive on this path.
    remaining = head.deadline - state.clock.now()
    msg = CallMessage(replace(head, allowance=share, deadline=remaining), body)
    reply = await state.peers.ask(instance.address, msg)
    if isinstance(reply, (Answered, Refused, Unknown)):
        return reply
    if not isinstance(reply, LinkLost):
        return Unknown(
            Reason.CONNECTION_LOST, detail=f"unexpected reply: {reply!r:.80}"
        )
    if reply.sent:
        return Unknown(Reason.CONNECTION_LOST, detail=reply.detail)
    return Refused(Reason.CONNECTION_LOST, allowance=share, detail=reply.detail)


def _record_end(
    state: NodeState,
    instance: Instance,
    outcome: Outcome | None,
    latency: Milliseconds,
) -> None:
    counts = state.router.counts
    n_before = counts.ejections
    state.router.end(instance, outcome, latency)
    if counts.ejections > n_before:
        state.telemetry.ring.record(
            EventKind.INSTANCE_EJECTED,
            node=instance.node,
            service=str(instance.service),
        )


def _settle_share(
    state: NodeState,
    head: CallHead,
    allowance: Allowance,
    share: int,
    outcome: Outcome,
) -> None:
    if outcome.allowance > share:
        state.telemetry.report_violation(
            Invariant.ATTEMPTS_ABOVE_BOUND,
            f"{outcome.allowance} extra attempts returned, but only {share} lent",
            head.call_id,
            head.root_id,
        )
    allowance.settle(share, outcome.allowance)


def _seconds(duration: Milliseconds) -> float:
    return max(duration, 0.0) / MS_PER_S
