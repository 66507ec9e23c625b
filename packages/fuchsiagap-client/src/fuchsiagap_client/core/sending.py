"""A request and its copies: when it is repeated, and what is said in the end.

All copies bear one ticket, so that a non-idempotent request runs at most once. A
copy that was certainly not started leaves nothing behind. One that got no answer is
unaccounted for: it may have run, or may come late and run still. From then on the
request is called `Refused` only after its ticket was burnt. Once it is, the request
may start afresh with another ticket.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiagap import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.clock import sleep_ms
from fuchsiagap.core.retries.allowance import Allowance
from fuchsiagap_client.core.attempt import Exchange, exchange, read_outcome
from fuchsiagap_client.core.tickets import TICKETS_PATH, HeldTicket

if TYPE_CHECKING:
    import httpx

    from fuchsiagap import Milliseconds
    from fuchsiagap_client.core.request import Request
    from fuchsiagap_client.core.state import ClientState

_REPEATED_REFUSALS = frozenset(
    {
        Reason.OVERLOAD,
        Reason.LEAVING,
        Reason.STARTING,
        Reason.NO_BACKEND,
        Reason.BACKEND_REFUSED,
        Reason.CONNECTION_LOST,
        Reason.HOME_GONE,
        Reason.TICKET_FORGOTTEN,
        Reason.TICKET_BURNT,
    }
)
_REPEATED_UNKNOWNS = frozenset(
    {
        Reason.CONNECTION_LOST,
        Reason.INCOMPLETE_ANSWER,
        Reason.TICKET_IN_PROGRESS,
        Reason.HOME_GONE,
        Reason.LEAVING,
        Reason.CANCELLED,
        Reason.DEADLINE,
    }
)
# No home started the copy. If there was no other copy, the request was not run.
_HOME_LOST = frozenset({Reason.HOME_GONE, Reason.TICKET_FORGOTTEN})
_JSON = (("content-type", "application/json"),)


@dataclass(slots=True)
class _Sending:
    """A request in progress.

    Parameters
    ----------
    held : HeldTicket or None
        The ticket of all copies.
    deadline : float
        Milliseconds on the clock of this process.
    allowance : Allowance
        Extra attempts left.
    unaccounted : bool
        Whether a copy with this ticket may have run, or may run still.
    tried : tuple of str
        Nodes that got a copy.
    """

    req: Request
    held: HeldTicket | None
    deadline: Milliseconds
    allowance: Allowance
    unaccounted: bool = False
    tried: tuple[str, ...] = ()


async def send(client: ClientState, req: Request) -> Outcome:
    """Send a request, and repeat it as far as that is safe and allowed.

    Parameters
    ----------
    client : ClientState
        The client.
    req : Request
        The request.

    Returns
    -------
    Answered, Refused or Unknown
        What became of the request, not only of its last copy.
    """
    cfg = client.cfg
    timeout = cfg.timeout if req.timeout is None else req.timeout
    granted = cfg.allowance if req.allowance is None else req.allowance
    deadline = client.clock.now() + timeout
    sending = _Sending(req, None, deadline, Allowance(granted))
    outcome: Outcome | None = await _take_ticket(client, sending)
    while outcome is None:
        copy = await _send_copy(client, sending)
        if isinstance(copy, Answered):
            return replace(copy, allowance=sending.allowance.remaining)
        if not await _may_repeat(client, sending, copy):
            outcome = await _final(client, sending, copy)
        elif _needs_new_ticket(sending, copy):
            outcome = await _take_ticket(client, sending)
    return replace(outcome, allowance=sending.allowance.remaining)


def _needs_new_ticket(sending: _Sending, outcome: Refused | Unknown) -> bool:
    if outcome.reason is Reason.TICKET_BURNT:
        return True
    return outcome.reason in _HOME_LOST and not sending.unaccounted


async def _take_ticket(client: ClientState, sending: _Sending) -> Refused | None:
    """Give the request a ticket no copy was sent with; return why there is none."""
    held = await client.stock.take(sending.deadline)
    if isinstance(held, HeldTicket):
        sending.held = held
        return None
    sending.held = None
    return None if sending.req.safe else held


async def _send_copy(client: ClientState, sending: _Sending) -> Outcome:
    preferred = sending.held.node if sending.held is not None else ""
    node = client.nodes.choose(preferred, sending.tried)
    left = sending.deadline - client.clock.now()
    if left <= 0:
        return Refused(Reason.DEADLINE, detail="the deadline passed")
    sending.tried = (*sending.tried, node)
    # Half stays here: the share of a copy that gets no answer is lost.
    share = sending.allowance.lend_up_to(sending.allowance.remaining // 2)
    # The node gives up first, so that it can say what it knows.
    timeout = max(left - client.cfg.settle_time, left / 2)
    copy = _copy(sending, node, timeout, share)
    response = await exchange(client.http, copy, _patience(client, left, timeout))
    outcome = _judge(response)
    _note(client, sending, node, outcome)
    _settle_share(sending.allowance, share, response, outcome)
    return outcome


def _judge(response: httpx.Response | Refused | Unknown) -> Outcome:
    if isinstance(response, (Refused, Unknown)):
        return response
    return read_outcome(response)


def _patience(client: ClientState, left: Milliseconds, timeout: Milliseconds) -> float:
    """Return how many milliseconds to wait for one copy."""
    if client.cfg.attempt_timeout > 0:
        return min(timeout, client.cfg.attempt_timeout)
    return (left + timeout) / 2


def _settle_share(
    allowance: Allowance,
    share: int,
    response: httpx.Response | Refused | Unknown,
    outcome: Outcome,
) -> None:
    if isinstance(response, Refused):
        allowance.settle(share, unused=share)
    elif isinstance(response, Unknown):
        allowance.write_off(share)
    else:
        allowance.settle(share, outcome.allowance)


def _copy(sending: _Sending, node: str, timeout: Milliseconds, share: int) -> Exchange:
    req = sending.req
    own = [
        (call_headers.DEADLINE, f"{max(timeout, 1.0):.0f}"),
        (call_headers.ALLOWANCE, str(share)),
        (call_headers.REPEAT, "1" if sending.unaccounted else "0"),
    ]
    if sending.held is not None:
        own.append((call_headers.TICKET, str(sending.held.ticket)))
    if req.priority is not None:
        own.append((call_headers.PRIORITY, str(req.priority)))
    return Exchange(node, req.method, req.path, (*req.headers, *own), req.body)


def _note(client: ClientState, sending: _Sending, node: str, outcome: Outcome) -> None:
    """Learn from a copy's outcome."""
    if isinstance(outcome, Answered):
        return
    if outcome.reason is Reason.CONNECTION_LOST:
        client.nodes.pause(node)
    if outcome.reason is Reason.TICKET_BURNT:
        # No copy with this ticket has run or ever will.
        sending.unaccounted = False
    if outcome.reason in _HOME_LOST:
        if sending.held is not None:
            client.stock.forget(sending.held.ticket)
    elif isinstance(outcome, Unknown):
        sending.unaccounted = True


async def _may_repeat(
    client: ClientState, sending: _Sending, outcome: Refused | Unknown
) -> bool:
    """Wait out the backoff; False if there is to be no other copy."""
    if isinstance(outcome, Refused):
        repeated = outcome.reason in _REPEATED_REFUSALS
    else:
        repeated = outcome.reason in _REPEATED_UNKNOWNS
        repeated |= outcome.reason in _HOME_LOST and not sending.unaccounted
    wait = _backoff(client, sending, outcome)
    left = sending.deadline - client.clock.now() - client.cfg.settle_time
    if not repeated or wait >= left or not sending.allowance.take():
        return False
    await sleep_ms(wait)
    return True


def _backoff(
    client: ClientState, sending: _Sending, outcome: Refused | Unknown
) -> Milliseconds:
    """Return the wait before the next copy: what the node asks for, and jitter."""
    cfg = client.cfg
    bound = min(cfg.backoff * 2.0 ** (len(sending.tried) - 1), cfg.backoff_max)
    if isinstance(outcome, Refused) and outcome.retry_after > 0:
        bound = max(bound, outcome.retry_after)
        return outcome.retry_after + client.rng.random() * bound
    return client.rng.random() * bound


async def _final(
    client: ClientState, sending: _Sending, outcome: Refused | Unknown
) -> Outcome:
    """Return the outcome of the request, whose last copy was not answered."""
    if not sending.unaccounted:
        if isinstance(outcome, Unknown) and outcome.reason in _HOME_LOST:
            return Refused(outcome.reason, detail=outcome.detail)
        return outcome
    if not sending.req.safe and sending.held is not None:
        settled = await _settle(client, sending)
        if settled is not None:
            return settled
    if isinstance(outcome, Refused):
        # True of the last copy, but not of an earlier one.
        return Unknown(outcome.reason, detail=outcome.detail)
    return outcome


async def _settle(client: ClientState, sending: _Sending) -> Answered | Refused | None:
    """Ask what became of the request; burn its ticket if it was not started."""
    assert sending.held is not None
    wait = sending.deadline - client.clock.now()
    if wait <= 0:
        return None
    node = client.nodes.choose(sending.held.node, sending.tried[-1:])
    # The node's word must come back in time.
    node_wait = int(wait / 2)
    req = sending.req
    asked = {"method": req.method, "path": req.path, "wait": node_wait}
    path = f"{TICKETS_PATH}/{sending.held.ticket}"
    sent = Exchange(node, "POST", path, _JSON, json.dumps(asked).encode())
    outcome = _judge(await exchange(client.http, sent, wait))
    if isinstance(outcome, Answered):
        return outcome
    if isinstance(outcome, Refused) and outcome.reason is Reason.TICKET_BURNT:
        return outcome
    return None
