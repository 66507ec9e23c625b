"""Callers: open loop, short timeouts, hard retries."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Outcome, Refused
from fuchsiagap.core.retries.allowance import Allowance
from fuchsiagap_node.core.callpath.entry import CallRequest, enter
from fuchsiagap_standins.bench.overload.records import ATTEMPT_HEADER, RequestRecord
from fuchsiagap_standins.bench.overload.scenario import caller_timeout, patience
from fuchsiagap_standins.graphs import capacity_per_s, chain_time
from fuchsiagap_standins.graphs.sizes import draw_root

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.bench.overload.fleet import Fleet
    from fuchsiagap_standins.bench.overload.policies import BenchPolicy
    from fuchsiagap_standins.bench.overload.records import Records
    from fuchsiagap_standins.bench.overload.scenario import Scenario
    from fuchsiagap_standins.graphs import Graph, GraphRoute

_OK = 200
_PAUSE_MIN = 20.0
_PAUSE_MAX = 80.0


@dataclass(frozen=True, slots=True, eq=False)
class Callers:
    """All that the callers of a run share.

    Parameters
    ----------
    graph : Graph
        What they ask for, and their distance.
    scenario : Scenario
        When they ask how much.
    policy : BenchPolicy
        Whether there are tickets.
    fleet : Fleet
        The nodes they ask.
    records : Records
        Where each request is recorded.
    clock : Clock
        Clock of the run.
    rng : random.Random
        Source of arrivals, routes and entry nodes.
    timeouts : dict
        How long they wait for one attempt, by route.
    """

    graph: Graph
    scenario: Scenario
    policy: BenchPolicy
    fleet: Fleet
    records: Records
    clock: Clock
    rng: random.Random
    timeouts: dict[str, Milliseconds]


def make_callers(
    graph: Graph,
    scenario: Scenario,
    policy: BenchPolicy,
    fleet: Fleet,
    records: Records,
    clock: Clock,
    seed: int,
) -> Callers:
    """Return the callers of a run, whose timeouts fit the graph at rest."""
    timeouts = {
        route.name: caller_timeout(route, chain_time(graph, route))
        for route in graph.roots
    }
    rng = random.Random(f"{seed}/callers")
    return Callers(graph, scenario, policy, fleet, records, clock, rng, timeouts)


async def call_until_end(callers: Callers) -> None:
    """Send requests at the scenario's rate, until the last has ended."""
    capacity = capacity_per_s(callers.graph)
    scenario = callers.scenario
    following = 0.0
    async with trio.open_nursery() as nursery:
        while following < scenario.end:
            wait = following - callers.clock.now()
            if wait > 0.0:
                await callers.fleet.ticks.sleep(wait)
            rate = scenario.demand(capacity, following)
            following += callers.rng.expovariate(rate)
            route = draw_root(callers.graph, callers.rng)
            nursery.start_soon(_request, callers, route)


async def _request(callers: Callers, route: GraphRoute) -> None:
    """Make one client request with all its attempts."""
    record = RequestRecord(route, callers.clock.now())
    callers.records.requests.append(record)
    control_headers, root_id = _identity(callers, route)
    callers.records.by_root[root_id] = record
    ledger = Allowance(route.attempts + callers.scenario.caller_retries)
    wait = callers.graph.to_clients
    for number in range(callers.scenario.caller_retries + 1):
        record.work.append(0.0)
        record.attempt_starts.append(callers.clock.now())
        await callers.fleet.ticks.sleep(wait)
        outcome = await _attempt(callers, route, control_headers, number, ledger)
        if isinstance(outcome, Answered) and outcome.status == _OK:
            await callers.fleet.ticks.sleep(callers.graph.to_clients)
            _note_answer(callers, record, root_id, number, outcome)
            return
        record.last_reason = _reason(outcome)
        if not isinstance(outcome, Refused):
            # From now on a copy may have run, and the nodes have to be told.
            control_headers = {**control_headers, call_headers.REPEAT: "1"}
        if not ledger.take():
            return
        # The way back, a short pause, and the way to another node.
        pause = callers.rng.uniform(_PAUSE_MIN, _PAUSE_MAX)
        wait = 2.0 * callers.graph.to_clients + pause


async def _attempt(
    callers: Callers,
    route: GraphRoute,
    control_headers: dict[str, str],
    number: int,
    ledger: Allowance,
) -> Outcome:
    """Ask a random node once.

    The node gives up when the caller does, since the deadline is the caller's.
    """
    timeout = callers.timeouts[route.name] - 2.0 * callers.graph.to_clients
    # Each retry of the caller's own is paid for beforehand.
    share = ledger.lend_up_to(min(route.attempts, ledger.remaining))
    req = CallRequest(
        service=callers.graph.service_name(route),
        method=route.method,
        target=route.target(1),
        control_headers={
            **control_headers,
            call_headers.DEADLINE: str(int(timeout)),
            call_headers.ALLOWANCE: str(share),
        },
        headers=((ATTEMPT_HEADER, str(number)),),
        body=b"",
    )
    node: NodeState = callers.rng.choice(callers.fleet.nodes)
    outcome = await enter(node, req)
    ledger.settle(share, outcome.allowance)
    return outcome


def _identity(callers: Callers, route: GraphRoute) -> tuple[dict[str, str], str]:
    """Return the headers that name the request, and its root id."""
    if route.idempotent or not callers.policy.at_most_once:
        root_id = f"{callers.rng.getrandbits(64):016x}"
        return {call_headers.ROOT: root_id, call_headers.REPEAT: "0"}, root_id
    node = callers.rng.choice(callers.fleet.nodes)
    issued = node.tickets.own.issue(1)
    assert isinstance(issued, tuple), issued
    ticket = str(issued[0])
    return {call_headers.TICKET: ticket, call_headers.REPEAT: "0"}, ticket


def _note_answer(
    callers: Callers,
    record: RequestRecord,
    root_id: str,
    number: int,
    outcome: Answered,
) -> None:
    if outcome.body != root_id.encode():
        callers.records.violations["wrong_answer"] += 1
    now = callers.clock.now()
    if now - record.sent_at > patience(callers.timeouts[record.route.name]):
        record.last_reason = "late"
        return
    record.answered_at = now
    record.answered_by = number
    record.shares_work = outcome.repeated


def _reason(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return f"status-{outcome.status}"
    return f"{type(outcome).__name__.lower()}-{outcome.reason.value}"
