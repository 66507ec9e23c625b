"""Callers of a randomised run, with the client library and without it."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Reason, Unknown
from fuchsiagap_client.core.attempt import read_outcome
from fuchsiagap_client.core.client import open_client
from fuchsiagap_client.core.request import Request
from fuchsiagap_client.core.settings import ClientSettings
from fuchsiagap_standins.answers import CallMark, is_own_answer
from fuchsiagap_standins.bench.faults.evidence import RequestRecord
from fuchsiagap_standins.bench.faults.topology import (
    ALLOWANCE,
    CLIENT_ROUTE_WEIGHTS,
    CLIENT_ROUTES,
    COPY_HEADER,
    DATA_CENTRES,
    NODES,
    ROUTES,
    Route,
)
from fuchsiagap_standins.bench.faults.transport import MemoryTransport

if TYPE_CHECKING:
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap_standins.bench.faults.fleet import Fleet

_MEAN_PAUSE_S = 0.35
_TIMEOUT_MS = 5_000.0
# Possible attempt time-outs; 0 waits until the deadline.
_ATTEMPT_TIMEOUTS_MS = (0.0, 150.0, 400.0)
# Sizes of the requested answers in bytes; one of twelve is large.
_ANSWER_SIZES = (64,) * 11 + (150_000,)
# Number of copies of a request, and bounds of the time-outs of all but the last copy,
# for callers without the client library.
_MAX_COPIES = 3
_COPY_TIMEOUT_S = (0.05, 0.4)


@dataclass(slots=True)
class _Caller:
    """A caller with its own random numbers, transport and order of the nodes."""

    name: str
    fleet: Fleet
    rng: random.Random
    transport: MemoryTransport
    nodes: tuple[str, ...]
    n_sent: int = 0

    def next_request(self) -> tuple[Route, CallMark]:
        """Draw the route of the next request and give it a unique nonce."""
        self.n_sent += 1
        name = self.rng.choices(CLIENT_ROUTES, CLIENT_ROUTE_WEIGHTS)[0]
        nonce = f"{self.name}-{self.n_sent}"
        return ROUTES[name], CallMark(nonce, size=self.rng.choice(_ANSWER_SIZES))

    def record(
        self,
        route: Route,
        mark: CallMark,
        outcome: Outcome,
        copies: int,
        aggressive: bool,
    ) -> None:
        """Record the final outcome of a request, and check its answer."""
        evidence = self.fleet.evidence
        if isinstance(outcome, Answered) and outcome.status == 200:
            is_correct = is_own_answer(outcome.body, mark, route.name)
            evidence.record_answer(mark.nonce, is_correct)
        now = trio.current_time()
        evidence.requests.append(
            RequestRecord(mark.nonce, route.name, outcome, now, copies, aggressive)
        )


def make_caller(fleet: Fleet, name: str, data_centre: str) -> _Caller:
    """Return a caller that lists the nodes of its own data centre first."""
    rng = random.Random(fleet.rng.getrandbits(64))
    transport = MemoryTransport(fleet, data_centre, rng)
    local_nodes = [f"{node}:80" for node, centre in NODES if centre == data_centre]
    remote_nodes = [f"{node}:80" for node, centre in NODES if centre != data_centre]
    rng.shuffle(remote_nodes)
    return _Caller(name, fleet, rng, transport, (*local_nodes, *remote_nodes))


async def run_library_callers(fleet: Fleet, count: int) -> None:
    """Send requests with the client library until the load ends.

    Parameters
    ----------
    fleet : Fleet
        The nodes.
    count : int
        Number of concurrent callers.
    """
    async with trio.open_nursery() as nursery:
        for index in range(count):
            centre = DATA_CENTRES[index % len(DATA_CENTRES)]
            caller = make_caller(fleet, f"library-{index}", centre)
            nursery.start_soon(_call_with_library, caller)


async def _call_with_library(caller: _Caller) -> None:
    cfg = ClientSettings(
        nodes=caller.nodes,
        timeout=_TIMEOUT_MS,
        allowance=ALLOWANCE,
        attempt_timeout=caller.rng.choice(_ATTEMPT_TIMEOUTS_MS),
        ticket_batch=4,
    )
    async with (
        open_client(cfg, caller.transport, caller.rng) as client,
        trio.open_nursery() as nursery,
    ):

        async def send_one() -> None:
            route, mark = caller.next_request()
            body = mark.nonce.encode()
            req = Request(route.method, route.path, body, mark.headers())
            outcome = await client.send(req)
            caller.record(route, mark, outcome, copies=1, aggressive=False)

        while trio.current_time() < caller.fleet.conditions.load_s:
            await trio.sleep(
                caller.rng.expovariate(1.0 / caller.fleet.conditions.mean_pause_s)
            )
            nursery.start_soon(send_one)


async def run_aggressive_caller(fleet: Fleet, name: str, until: float) -> None:
    """Retry each request early through random nodes, with one ticket for all copies.

    Parameters
    ----------
    fleet : Fleet
        The nodes.
    name : str
        Name of the caller.
    until : float
        Virtual time in seconds at which the caller stops.
    """
    caller = make_caller(fleet, name, fleet.rng.choice(DATA_CENTRES))
    async with httpx.AsyncClient(
        transport=caller.transport, timeout=None, trust_env=False
    ) as http:
        while trio.current_time() < until:
            await _send_copies(caller, http)
            await trio.sleep(caller.rng.expovariate(1.0 / _MEAN_PAUSE_S))


async def _send_copies(caller: _Caller, http: httpx.AsyncClient) -> None:
    ticket = await _take_ticket(caller, http)
    if ticket is None:
        return
    route, mark = caller.next_request()
    outcome: Outcome = Unknown(Reason.DEADLINE)
    copies = 0
    while copies < _MAX_COPIES and not isinstance(outcome, Answered):
        copies += 1
        copy_header = (COPY_HEADER, str(copies))
        headers = [*mark.headers(), copy_header, (call_headers.TICKET, ticket)]
        node = caller.rng.choice(caller.nodes)
        # Only the last copy gets the long time-out; earlier ones are abandoned early.
        copy_timeout = caller.rng.uniform(*_COPY_TIMEOUT_S)
        if copies == _MAX_COPIES:
            copy_timeout = _TIMEOUT_MS
        outcome = Unknown(Reason.DEADLINE)
        with trio.move_on_after(copy_timeout):
            outcome = await _send(http, node, route, headers, mark.nonce.encode())
    caller.record(route, mark, outcome, copies, aggressive=True)


async def _take_ticket(caller: _Caller, http: httpx.AsyncClient) -> str | None:
    node = caller.rng.choice(caller.nodes)
    with trio.move_on_after(_TIMEOUT_MS / 1_000.0):
        try:
            response = await http.post(f"http://{node}/tickets", content=b"{}")
        except httpx.TransportError:
            return None
        if response.status_code == 200:
            tickets: list[str] = json.loads(response.content)["tickets"]
            return tickets[0]
    return None


async def _send(
    http: httpx.AsyncClient,
    node: str,
    route: Route,
    headers: list[tuple[str, str]],
    body: bytes,
) -> Outcome:
    url = f"http://{node}{route.path}"
    try:
        response = await http.request(route.method, url, headers=headers, content=body)
    except httpx.TransportError as exc:
        # Unknown even if this copy was not sent, because other copies may have run.
        return Unknown(Reason.CONNECTION_LOST, detail=repr(exc))
    return read_outcome(response)
