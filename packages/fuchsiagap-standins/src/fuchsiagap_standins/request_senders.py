"""How the caller stand-in sends a request to nodes over HTTP."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

import httpx

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Refused
from fuchsiagap.core.clock import MS_PER_S, Milliseconds
from fuchsiagap_client import Request
from fuchsiagap_standins.answers import is_own_answer

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from fuchsiagap_client import Client
    from fuchsiagap_standins.answers import CallMark
    from fuchsiagap_standins.graphs.model import Graph, GraphRoute

TICKET_BATCH = 64
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class RequestOutcome(Enum):
    """What a caller holds in the end."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client; an attempt more is the same request.

    Parameters
    ----------
    route : GraphRoute
        What is asked for.
    mark : CallMark
        Its mark; the nonce is its own.
    target : str
        Path within the service.
    ticket : str
        Its ticket; empty if none could be had.
    """

    route: GraphRoute
    mark: CallMark
    target: str
    ticket: str


@dataclass(frozen=True, slots=True)
class Attempt:
    """What one attempt brought.

    Parameters
    ----------
    outcome : RequestOutcome
        What the caller holds.
    reason : str
        The node's reason, or what went wrong on the way.
    """

    outcome: RequestOutcome
    reason: str = ""


SendAttempt: TypeAlias = "Callable[[ClientRequest], Awaitable[Attempt]]"
TakeTicket: TypeAlias = "Callable[[], Awaitable[str]]"


def http_sender(
    client: httpx.AsyncClient,
    graph: Graph,
    nodes: Sequence[str],
    timeout: Milliseconds,
    rng: random.Random,
) -> SendAttempt:
    """Return how to send an attempt to one of some nodes, drawn anew each time.

    Parameters
    ----------
    client : httpx.AsyncClient
        Connections to the nodes.
    graph : Graph
        Gives the team.
    nodes : sequence of str
        ``IP:PORT`` where nodes listen for callers.
    timeout : float
        Milliseconds the caller waits for one attempt.
    rng : random.Random
        Draws the node.
    """
    timeout_s = timeout / MS_PER_S

    async def send(request: ClientRequest) -> Attempt:
        node = rng.choice(nodes)
        service = graph.service_name(request.route)
        headers = dict(request.mark.headers())
        headers[call_headers.DEADLINE] = f"{timeout:.0f}"
        if request.ticket:
            headers[call_headers.TICKET] = request.ticket
        try:
            response = await client.request(
                request.route.method,
                f"http://{node}/{service}{request.target}",
                headers=headers,
                timeout=timeout_s,
            )
        except _NOT_SENT_ERRORS as exc:
            return Attempt(RequestOutcome.REFUSED, type(exc).__name__)
        except httpx.HTTPError as exc:
            return Attempt(RequestOutcome.UNKNOWN, type(exc).__name__)
        return read_response(request, response)

    return send


def client_sender(client: Client, graph: Graph) -> SendAttempt:
    """Return how to send a request through the callers' library.

    The library takes the tickets and repeats what it may; what it returns is the
    outcome of the whole request.

    Parameters
    ----------
    client : Client
        The library's client.
    graph : Graph
        Gives the team.
    """

    async def send(request: ClientRequest) -> Attempt:
        service = graph.service_name(request.route)
        path = f"/{service}{request.target}"
        headers = request.mark.headers()
        outcome = await client.send(Request(request.route.method, path, b"", headers))
        if isinstance(outcome, Answered):
            return read_answer(request, outcome.status, outcome.body)
        if isinstance(outcome, Refused):
            return Attempt(RequestOutcome.REFUSED, outcome.reason.value)
        return Attempt(RequestOutcome.UNKNOWN, outcome.reason.value)

    return send


async def no_ticket() -> str:
    """Take no ticket: the library does."""
    return ""


def read_response(request: ClientRequest, response: httpx.Response) -> Attempt:
    """Return what a response means for the request it should belong to."""
    outcome = response.headers.get(call_headers.OUTCOME, "")
    reason = response.headers.get(call_headers.REASON, "")
    if outcome == call_headers.OUTCOME_REFUSED:
        return Attempt(RequestOutcome.REFUSED, reason)
    if outcome != call_headers.OUTCOME_ANSWERED:
        return Attempt(
            RequestOutcome.UNKNOWN, reason or f"status {response.status_code}"
        )
    return read_answer(request, response.status_code, response.content)


def read_answer(request: ClientRequest, status: int, body: bytes) -> Attempt:
    """Return what a backend server's answer means for the request."""
    if status != httpx.codes.OK:
        return Attempt(RequestOutcome.UNKNOWN, f"backend status {status}")
    if is_own_answer(body, request.mark, request.route.name):
        return Attempt(RequestOutcome.ANSWERED)
    return Attempt(RequestOutcome.WRONG, "not the own answer, or not whole")


def http_tickets(
    client: httpx.AsyncClient, nodes: Sequence[str], rng: random.Random
) -> TakeTicket:
    """Return how to take tickets, which come in batches from nodes in turn."""
    available: list[str] = []

    async def take() -> str:
        for node in rng.sample(nodes, len(nodes)):
            if available:
                break
            available.extend(await _request_tickets(client, node))
        return available.pop() if available else ""

    return take


async def _request_tickets(client: httpx.AsyncClient, node: str) -> list[str]:
    content = json.dumps({"count": TICKET_BATCH})
    try:
        response = await client.post(f"http://{node}/tickets", content=content)
        tickets = response.json()["tickets"]
    except (httpx.HTTPError, ValueError, KeyError, TypeError):
        return []
    return list(map(str, tickets))
