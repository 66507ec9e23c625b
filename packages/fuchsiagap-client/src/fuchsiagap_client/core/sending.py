"""Sending of one request: its attempts, the retries and the final outcome.

All attempts of a request carry the same ticket, so that a non-idempotent request runs
at most once. An attempt without an answer may have run, or may arrive late and run
later. After such an attempt, the outcome is `Refused` only if the ticket is burnt, that
is, invalidated because no attempt with it had started. The request may then be retried
with a new ticket.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiagap import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.clock import sleep_ms
from fuchsiagap.core.retries.allowance import Allowance
from fuchsiagap_client.core.attempt import NodeRequest, read_outcome, send_to_node
from fuchsiagap_client.core.tickets import TICKETS_PATH, IssuedTicket

if TYPE_CHECKING:
    import httpx

    from fuchsiagap import Milliseconds
    from fuchsiagap_client.core.request import Request
    from fuchsiagap_client.core.state import ClientState

_RETRIABLE_REFUSALS = frozenset(
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
_RETRIABLE_UNKNOWNS = frozenset(
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
# The node that issued the ticket (its home) has stopped or has dropped its records, so
# it did not start the attempt. Without an earlier attempt, the request did not run.
_TICKET_LOST = frozenset({Reason.HOME_GONE, Reason.TICKET_FORGOTTEN})
_JSON = (("content-type", "application/json"),)


@dataclass(slots=True)
class _SendState:
    """State of a request between its attempts.

    Parameters
    ----------
    req : Request
        The request.
    issued : IssuedTicket or None
        The ticket of all attempts; None for a safe request without a ticket.
    deadline : float
        Milliseconds on the clock of this process.
    allowance : Allowance
        Retries left.
    maybe_run : bool
        Whether an attempt with this ticket may have run or may still run.
    tried : tuple of str
        Nodes that attempts were sent to, the latest last.
    """

    req: Request
    issued: IssuedTicket | None
    deadline: Milliseconds
    allowance: Allowance
    maybe_run: bool = False
    tried: tuple[str, ...] = ()


async def send(client: ClientState, req: Request) -> Outcome:
    """Send a request, and retry it while that is safe and the allowance permits.

    Parameters
    ----------
    client : ClientState
        The client.
    req : Request
        The request.

    Returns
    -------
    Answered, Refused or Unknown
        Outcome of the request over all its attempts.
    """
    cfg = client.cfg
    timeout = cfg.timeout if req.timeout is None else req.timeout
    granted = cfg.allowance if req.allowance is None else req.allowance
    deadline = client.clock.now() + timeout
    send_state = _SendState(req, None, deadline, Allowance(granted))
    outcome: Outcome | None = await _take_ticket(client, send_state)
    while outcome is None:
        attempt_outcome = await _send_attempt(client, send_state)
        if isinstance(attempt_outcome, Answered):
            return replace(attempt_outcome, allowance=send_state.allowance.remaining)
        if not await _wait_to_retry(client, send_state, attempt_outcome):
            outcome = await _final_outcome(client, send_state, attempt_outcome)
        elif _needs_new_ticket(send_state, attempt_outcome):
            outcome = await _take_ticket(client, send_state)
    return replace(outcome, allowance=send_state.allowance.remaining)


def _needs_new_ticket(send_state: _SendState, outcome: Refused | Unknown) -> bool:
    if outcome.reason is Reason.TICKET_BURNT:
        return True
    return outcome.reason in _TICKET_LOST and not send_state.maybe_run


async def _take_ticket(client: ClientState, send_state: _SendState) -> Refused | None:
    """Assign an unused ticket to the request.

    Parameters
    ----------
    client : ClientState
        The client.
    send_state : _SendState
        The request; without a ticket, a safe request is sent nevertheless.

    Returns
    -------
    Refused or None
        Why the request cannot be sent; None if it can.
    """
    issued = await client.ticket_pool.take(send_state.deadline)
    if isinstance(issued, IssuedTicket):
        send_state.issued = issued
        return None
    send_state.issued = None
    return None if send_state.req.safe else issued


async def _send_attempt(client: ClientState, send_state: _SendState) -> Outcome:
    preferred = send_state.issued.node if send_state.issued is not None else ""
    node = client.nodes.choose(preferred, send_state.tried)
    time_left = send_state.deadline - client.clock.now()
    if time_left <= 0:
        return Refused(Reason.DEADLINE, detail="the deadline passed")
    send_state.tried = (*send_state.tried, node)
    # Half is kept for later attempts: a share lent to an attempt that gets no answer
    # is lost.
    share = send_state.allowance.lend_up_to(send_state.allowance.remaining // 2)
    # The node's deadline is earlier than the client's, so that the node can still
    # report the outcome.
    timeout = max(time_left - client.cfg.settle_time, time_left / 2)
    node_req = _attempt_request(send_state, node, timeout, share)
    response = await send_to_node(
        client.http, node_req, _attempt_timeout(client, time_left, timeout)
    )
    outcome = _to_outcome(response)
    _record_outcome(client, send_state, node, outcome)
    _settle_share(send_state.allowance, share, response, outcome)
    return outcome


def _to_outcome(response: httpx.Response | Refused | Unknown) -> Outcome:
    if isinstance(response, (Refused, Unknown)):
        return response
    return read_outcome(response)


def _attempt_timeout(
    client: ClientState, time_left: Milliseconds, timeout: Milliseconds
) -> float:
    """Return how many milliseconds to wait for the response to one attempt.

    Without `ClientSettings.attempt_timeout`, the wait ends midway between the node's
    deadline and the client's.
    """
    if client.cfg.attempt_timeout > 0:
        return min(timeout, client.cfg.attempt_timeout)
    return (time_left + timeout) / 2


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


def _attempt_request(
    send_state: _SendState, node: str, timeout: Milliseconds, share: int
) -> NodeRequest:
    req = send_state.req
    attempt_headers = [
        (call_headers.DEADLINE, f"{max(timeout, 1.0):.0f}"),
        (call_headers.ALLOWANCE, str(share)),
        (call_headers.REPEAT, "1" if send_state.maybe_run else "0"),
    ]
    if send_state.issued is not None:
        attempt_headers.append((call_headers.TICKET, str(send_state.issued.ticket)))
    if req.priority is not None:
        attempt_headers.append((call_headers.PRIORITY, str(req.priority)))
    return NodeRequest(
        node, req.method, req.path, (*req.headers, *attempt_headers), req.body
    )


def _record_outcome(
    client: ClientState, send_state: _SendState, node: str, outcome: Outcome
) -> None:
    """Update the request and the client from the outcome of an attempt."""
    if isinstance(outcome, Answered):
        return
    if outcome.reason is Reason.CONNECTION_LOST:
        client.nodes.mark_unreachable(node)
    if outcome.reason is Reason.TICKET_BURNT:
        # No attempt with this ticket ran or ever will.
        send_state.maybe_run = False
    if outcome.reason in _TICKET_LOST:
        if send_state.issued is not None:
            client.ticket_pool.discard_same_issuer(send_state.issued.ticket)
    elif isinstance(outcome, Unknown):
        send_state.maybe_run = True


async def _wait_to_retry(
    client: ClientState, send_state: _SendState, outcome: Refused | Unknown
) -> bool:
    """Wait for the backoff; return False if the request is not to be retried."""
    if isinstance(outcome, Refused):
        retriable = outcome.reason in _RETRIABLE_REFUSALS
    else:
        retriable = outcome.reason in _RETRIABLE_UNKNOWNS
        retriable |= outcome.reason in _TICKET_LOST and not send_state.maybe_run
    wait = _backoff(client, send_state, outcome)
    time_left = send_state.deadline - client.clock.now() - client.cfg.settle_time
    if not retriable or wait >= time_left or not send_state.allowance.take():
        return False
    await sleep_ms(wait)
    return True


def _backoff(
    client: ClientState, send_state: _SendState, outcome: Refused | Unknown
) -> Milliseconds:
    """Return the time to wait before the next attempt.

    It is the node's `retry_after` plus jitter, or, without one, exponential backoff
    with full jitter.
    """
    cfg = client.cfg
    bound = min(cfg.backoff * 2.0 ** (len(send_state.tried) - 1), cfg.backoff_max)
    if isinstance(outcome, Refused) and outcome.retry_after > 0:
        bound = max(bound, outcome.retry_after)
        return outcome.retry_after + client.rng.random() * bound
    return client.rng.random() * bound


async def _final_outcome(
    client: ClientState, send_state: _SendState, outcome: Refused | Unknown
) -> Outcome:
    """Return the outcome of a request whose last attempt was not answered."""
    if not send_state.maybe_run:
        if isinstance(outcome, Unknown) and outcome.reason in _TICKET_LOST:
            return Refused(outcome.reason, detail=outcome.detail)
        return outcome
    if not send_state.req.safe and send_state.issued is not None:
        settled = await _settle(client, send_state)
        if settled is not None:
            return settled
    if isinstance(outcome, Refused):
        # Only the last attempt is known not to have run; an earlier one may have.
        return Unknown(outcome.reason, detail=outcome.detail)
    return outcome


async def _settle(
    client: ClientState, send_state: _SendState
) -> Answered | Refused | None:
    """Ask a node for the outcome; the ticket is burnt if the request has not started.

    Parameters
    ----------
    client : ClientState
        State of the client.
    send_state : _SendState
        Progress of the request, whose ticket was issued.

    Returns
    -------
    Answered, Refused or None
        The outcome of the request; None if it cannot be determined in time.
    """
    assert send_state.issued is not None
    wait = send_state.deadline - client.clock.now()
    if wait <= 0:
        return None
    node = client.nodes.choose(send_state.issued.node, send_state.tried[-1:])
    # The node waits for half the time, so that its response arrives in time.
    node_wait = int(wait / 2)
    req = send_state.req
    settle_query = {"method": req.method, "path": req.path, "wait": node_wait}
    path = f"{TICKETS_PATH}/{send_state.issued.ticket}"
    node_req = NodeRequest(node, "POST", path, _JSON, json.dumps(settle_query).encode())
    outcome = _to_outcome(await send_to_node(client.http, node_req, wait))
    if isinstance(outcome, Answered):
        return outcome
    if isinstance(outcome, Refused) and outcome.reason is Reason.TICKET_BURNT:
        return outcome
    return None
