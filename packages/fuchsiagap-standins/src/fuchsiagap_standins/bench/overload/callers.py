"""Open-loop load generation with short timeouts and many retries."""

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
from fuchsiagap_standins.bench.overload.scenario import (
    caller_timeout,
    max_response_time,
)
from fuchsiagap_standins.graphs import capacity_per_s, chain_time
from fuchsiagap_standins.graphs.analysis import draw_root

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.bench.overload.fleet import Fleet
    from fuchsiagap_standins.bench.overload.policies import BenchPolicy
    from fuchsiagap_standins.bench.overload.records import Records
    from fuchsiagap_standins.bench.overload.scenario import Scenario
    from fuchsiagap_standins.graphs import Graph, GraphRoute

_OK = 200
_MIN_RETRY_PAUSE_MS = 20.0
_MAX_RETRY_PAUSE_MS = 80.0


@dataclass(frozen=True, slots=True, eq=False)
class CallerContext:
    """Shared state of all callers of a run.

    Parameters
    ----------
    graph : Graph
        Service graph with the requested routes and the network delays.
    scenario : Scenario
        Demand over time and number of retries.
    policy : BenchPolicy
        Policy that tells whether non-idempotent requests need tickets.
    fleet : Fleet
        Nodes that receive the requests.
    records : Records
        Records of the run.
    clock : Clock
        Clock of the run.
    rng : random.Random
        Generator for arrivals, routes, entry nodes and pauses.
    timeouts : dict
        Timeout of one attempt in ms, by route name.
    """

    graph: Graph
    scenario: Scenario
    policy: BenchPolicy
    fleet: Fleet
    records: Records
    clock: Clock
    rng: random.Random
    timeouts: dict[str, Milliseconds]


def make_caller_context(
    graph: Graph,
    scenario: Scenario,
    policy: BenchPolicy,
    fleet: Fleet,
    records: Records,
    clock: Clock,
    seed: int,
) -> CallerContext:
    """Create the shared state; timeouts are derived from chain times without load."""
    timeouts = {
        route.name: caller_timeout(route, chain_time(graph, route))
        for route in graph.roots
    }
    rng = random.Random(f"{seed}/callers")
    return CallerContext(graph, scenario, policy, fleet, records, clock, rng, timeouts)


async def run_callers(context: CallerContext) -> None:
    """Send requests at the scenario's rate and wait until the last has ended."""
    capacity = capacity_per_s(context.graph)
    scenario = context.scenario
    next_arrival = 0.0
    async with trio.open_nursery() as nursery:
        while next_arrival < scenario.end:
            delay = next_arrival - context.clock.now()
            if delay > 0.0:
                await context.fleet.tick_scheduler.sleep(delay)
            rate = scenario.demand(capacity, next_arrival)
            next_arrival += context.rng.expovariate(rate)
            route = draw_root(context.graph, context.rng)
            nursery.start_soon(_send_request, context, route)


async def _send_request(context: CallerContext, route: GraphRoute) -> None:
    """Send one client request and retry it until it succeeds or may not be retried."""
    record = RequestRecord(route, context.clock.now())
    context.records.requests.append(record)
    control_headers, root_id = _make_identity(context, route)
    context.records.by_root[root_id] = record
    allowance = Allowance(route.attempts + context.scenario.caller_retries)
    delay = context.graph.to_clients
    for number in range(context.scenario.caller_retries + 1):
        record.work.append(0.0)
        record.attempt_starts.append(context.clock.now())
        await context.fleet.tick_scheduler.sleep(delay)
        outcome = await _send_attempt(
            context, route, control_headers, number, allowance
        )
        if isinstance(outcome, Answered) and outcome.status == _OK:
            await context.fleet.tick_scheduler.sleep(context.graph.to_clients)
            _record_answer(context, record, root_id, number, outcome)
            return
        record.last_reason = _failure_reason(outcome)
        if not isinstance(outcome, Refused):
            # This attempt may have run, so later ones are marked as repeats.
            control_headers = {**control_headers, call_headers.REPEAT: "1"}
        if not allowance.take():
            return
        # Network delay of the response, a pause, and network delay to another node.
        pause = context.rng.uniform(_MIN_RETRY_PAUSE_MS, _MAX_RETRY_PAUSE_MS)
        delay = 2.0 * context.graph.to_clients + pause


async def _send_attempt(
    context: CallerContext,
    route: GraphRoute,
    control_headers: dict[str, str],
    number: int,
    allowance: Allowance,
) -> Outcome:
    """Send one attempt to a random node.

    The deadline of the call is the caller's timeout less the network delays, so that
    the node stops when the caller does.
    """
    timeout = context.timeouts[route.name] - 2.0 * context.graph.to_clients
    # The caller's own retries have already been taken from the allowance.
    share = allowance.lend_up_to(min(route.attempts, allowance.remaining))
    req = CallRequest(
        service=context.graph.service_name(route),
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
    node: NodeState = context.rng.choice(context.fleet.nodes)
    outcome = await enter(node, req)
    allowance.settle(share, outcome.allowance)
    return outcome


def _make_identity(
    context: CallerContext, route: GraphRoute
) -> tuple[dict[str, str], str]:
    """Return the headers that identify the request, and its root id.

    A non-idempotent request gets a ticket, which is also its root id, if the policy has
    tickets.
    """
    if route.idempotent or not context.policy.at_most_once:
        root_id = f"{context.rng.getrandbits(64):016x}"
        return {call_headers.ROOT: root_id, call_headers.REPEAT: "0"}, root_id
    node = context.rng.choice(context.fleet.nodes)
    issued = node.tickets.own.issue(1)
    assert isinstance(issued, tuple), issued
    ticket = str(issued[0])
    return {call_headers.TICKET: ticket, call_headers.REPEAT: "0"}, ticket


def _record_answer(
    context: CallerContext,
    record: RequestRecord,
    root_id: str,
    number: int,
    outcome: Answered,
) -> None:
    if outcome.body != root_id.encode():
        context.records.violations["wrong_answer"] += 1
    now = context.clock.now()
    if now - record.sent_at > max_response_time(context.timeouts[record.route.name]):
        record.last_reason = "late"
        return
    record.answered_at = now
    record.answered_by = number
    record.is_from_earlier_run = outcome.repeated


def _failure_reason(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return f"status-{outcome.status}"
    return f"{type(outcome).__name__.lower()}-{outcome.reason.value}"
