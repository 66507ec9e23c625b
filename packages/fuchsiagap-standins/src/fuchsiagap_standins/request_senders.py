"""Functions with which the caller stand-in sends requests and takes tickets."""

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

# Number of tickets requested from a node at a time.
TICKET_BATCH = 64
# Errors that occur before the request is sent, so that it cannot have run.
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class RequestOutcome(Enum):
    """Outcome of a request as seen by its caller.

    `REFUSED` means that the request was not run, `UNKNOWN` that it may have run, which
    includes error statuses of the backend server. `WRONG` is an answer that is
    incomplete or belongs to another request.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client; its retries send the same request again.

    Parameters
    ----------
    route : GraphRoute
        Requested route.
    mark : CallMark
        Mark of the request, with a nonce of its own.
    target : str
        Path within the service.
    ticket : str
        Ticket of the request; empty if there is none.
    """

    route: GraphRoute
    mark: CallMark
    target: str
    ticket: str


@dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one attempt.

    Parameters
    ----------
    outcome : RequestOutcome
        Outcome of the attempt.
    reason : str
        Reason given by the node, name of the transport error, or what is wrong with
        the response; empty for an answer.
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
    """Return a function that sends an attempt to a node drawn at random.

    Parameters
    ----------
    client : httpx.AsyncClient
        HTTP client for the connections to the nodes.
    graph : Graph
        Call graph, which names the team of the services.
    nodes : sequence of str
        ``IP:PORT`` where nodes listen for callers.
    timeout : float
        Milliseconds that the caller waits for one attempt; also sent as deadline.
    rng : random.Random
        Draws the node of each attempt.
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
    """Return a function that sends a request through the client library.

    The library takes the ticket and retries where that is safe; the result is the
    final outcome of the request.

    Parameters
    ----------
    client : Client
        Client from the client library.
    graph : Graph
        Call graph, which names the team of the services.
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
    """Return no ticket, for requests whose ticket is taken by the client library."""
    return ""


def read_response(request: ClientRequest, response: httpx.Response) -> Attempt:
    """Return the result of an attempt from the HTTP response to it."""
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
    """Return the result of an attempt from the answer of the backend server."""
    if status != httpx.codes.OK:
        return Attempt(RequestOutcome.UNKNOWN, f"backend status {status}")
    if is_own_answer(body, request.mark, request.route.name):
        return Attempt(RequestOutcome.ANSWERED)
    return Attempt(RequestOutcome.WRONG, "answer incomplete or for another request")


def http_tickets(
    client: httpx.AsyncClient, nodes: Sequence[str], rng: random.Random
) -> TakeTicket:
    """Return a function that takes tickets, which it fetches in batches.

    The nodes are asked in random order until one issues tickets.
    """
    available: list[str] = []

    async def take_ticket() -> str:
        for node in rng.sample(nodes, len(nodes)):
            if available:
                break
            available.extend(await _request_tickets(client, node))
        return available.pop() if available else ""

    return take_ticket


async def _request_tickets(client: httpx.AsyncClient, node: str) -> list[str]:
    content = json.dumps({"count": TICKET_BATCH})
    try:
        response = await client.post(f"http://{node}/tickets", content=content)
        tickets = response.json()["tickets"]
    except (httpx.HTTPError, ValueError, KeyError, TypeError):
        return []
    return list(map(str, tickets))
