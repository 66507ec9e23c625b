"""One attempt of a call: its head, how it is sent, what is learnt from it."""

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

# Ends the id of an attempt that may repeat work an earlier one did. It is part of the
# id, so that the children of the attempt show it as their parent's.
_REPEAT_SUFFIX = "!"


def is_repeat(call_id: str) -> bool:
    """Whether an attempt may repeat work that an earlier one did."""
    return call_id.endswith(_REPEAT_SUFFIX)


def mark_repeat(call_id: str, repeat: bool) -> str:
    """Return a call id that tells whether an earlier copy of the call may have run."""
    return f"{call_id}{_REPEAT_SUFFIX}" if repeat else call_id


def may_have_run(outcome: Outcome) -> bool:
    """Whether another attempt would repeat work done before the outcome.

    A backend server that refuses may have made calls of its own before.
    """
    if isinstance(outcome, Refused):
        return outcome.reason is Reason.BACKEND_REFUSED
    return True


def attempt_head(head: CallHead, n_sent: int, repeat: bool) -> CallHead:
    """Return the head of an attempt, with an id of its own.

    Parameters
    ----------
    head : CallHead
        Head of the call.
    n_sent : int
        Attempts sent before this one.
    repeat : bool
        Whether the attempt may repeat work.
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
    """Send one attempt and settle its share of the allowance.

    Parameters
    ----------
    state : NodeState
        The node.
    head : CallHead
        Head of the attempt, its deadline on this process's clock.
    body : bytes
        The whole body.
    instance : Instance
        Who gets it.
    ledger : Allowance
        Where the share comes from. A share whose answer is lost is lost.

    Returns
    -------
    Outcome
        ``Refused(CONNECTION_LOST)`` if the attempt certainly never left, and
        ``Unknown`` if it may have.
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
                outcome = Unknown(Reason.DEADLINE, detail="no answer in time")
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
    # One copy of the head for both changes: copies are dear here.
    remaining = head.deadline - state.clock.now()
    msg = CallMessage(replace(head, allowance=share, deadline=remaining), body)
    reply = await state.peers.ask(instance.address, msg)
    if isinstance(reply, (Answered, Refused, Unknown)):
        return reply
    if not isinstance(reply, LinkLost):
        return Unknown(Reason.CONNECTION_LOST, detail=f"no outcome: {reply!r:.80}")
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
        state.telemetry.violation(
            Invariant.ATTEMPTS_ABOVE_BOUND,
            f"{outcome.allowance} extra attempts came back of a share of {share}",
            head.call_id,
            head.root_id,
        )
    allowance.settle(share, outcome.allowance)


def _seconds(duration: Milliseconds) -> float:
    return max(duration, 0.0) / MS_PER_S
