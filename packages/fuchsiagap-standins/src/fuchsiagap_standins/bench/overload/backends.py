"""Simulated backend server with slots, a queue and calls to other services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap_node.core.callpath.entry import CallRequest, enter
from fuchsiagap_node.core.ports import BackendLoad
from fuchsiagap_standins.bench.overload.records import ATTEMPT_HEADER
from fuchsiagap_standins.graphs import draw_own_time

if TYPE_CHECKING:
    import random

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.bench.overload.policies import BenchPolicy
    from fuchsiagap_standins.bench.overload.records import Records
    from fuchsiagap_standins.bench.overload.scenario import Scenario
    from fuchsiagap_standins.bench.overload.tick_scheduler import TickScheduler
    from fuchsiagap_standins.graphs import Graph, GraphRoute, GraphService

_BAD_GATEWAY = 502
_REPORTED_SLOTS_FACTORS = {"honest": 1.0, "high": 10.0, "low": 0.1}
_WORK_SHARE_BEFORE_CALLS = 0.5


class SimulatedBackend:
    """Simulated backend server of a service.

    It runs `slots` calls concurrently and queues further calls up to its number of
    connections. To a node, a queued call is indistinguishable from a slow one.

    Parameters
    ----------
    graph : Graph
        Service graph.
    service : GraphService
        Service that it is an instance of.
    scenario : Scenario
        Gives the slowdown over time and the kind of load reports.
    policy : BenchPolicy
        Gives its retries, and whether it cancels abandoned calls.
    records : Records
        Records of the run, to which its work is added.
    tick_scheduler : TickScheduler
        Time source of its work.
    rng : random.Random
        Generator for service times.
    nursery : trio.Nursery
        Runs abandoned calls if the policy does not cancel them.

    Attributes
    ----------
    node : NodeState or None
        Node of its host, through which it calls other services. Set after creation.
    """

    def __init__(
        self,
        graph: Graph,
        service: GraphService,
        scenario: Scenario,
        policy: BenchPolicy,
        records: Records,
        tick_scheduler: TickScheduler,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self._graph = graph
        self._service = service
        self._scenario = scenario
        self._policy = policy
        self._records = records
        self._ticks = tick_scheduler
        self._rng = rng
        self._nursery = nursery
        self._slots = trio.Semaphore(service.slots)
        self._routes = {route.name: route for route in graph.routes}
        self._n_connections = 0
        self.node: NodeState | None = None

    async def load(self) -> BackendLoad:
        """Return the load report; the scenario may scale the reported slots."""
        slots = int(
            self._service.slots * _REPORTED_SLOTS_FACTORS[self._scenario.reports]
        )
        return BackendLoad(
            healthy=True,
            slots=max(slots, 1),
            in_flight=self._service.slots - self._slots.value,
            draining=False,
        )

    async def send(
        self, head: CallHead, body: bytes, remaining: Milliseconds
    ) -> Outcome:
        """Run one call, or refuse it if all connections are in use."""
        if self._n_connections >= self._service.connections:
            return Refused(Reason.BACKEND_REFUSED, detail="all connections are in use")
        if self._policy.cancels:
            return await self._run(head)
        return await self._run_detached(head)

    async def _run_detached(self, head: CallHead) -> Outcome:
        """Run a call that continues after the caller has cancelled it."""
        done = trio.Event()
        outcomes: list[Outcome] = []

        async def run() -> None:
            outcomes.append(await self._run(head))
            done.set()

        self._nursery.start_soon(run)
        await done.wait()
        return outcomes[0]

    async def _run(self, head: CallHead) -> Outcome:
        self._n_connections += 1
        try:
            async with self._slots:
                return await self._serve(head)
        finally:
            self._n_connections -= 1

    async def _serve(self, head: CallHead) -> Outcome:
        outcome = await self._serve_route(head, self._routes[head.route])
        if not isinstance(outcome, Refused):
            self._count_run(head)
        return outcome

    async def _serve_route(self, head: CallHead, route: GraphRoute) -> Outcome:
        work = draw_own_time(self._graph, route, self._rng)
        if not route.calls:
            await self._work(head, work)
            return self._make_answer(head)
        await self._work(head, work * _WORK_SHARE_BEFORE_CALLS)
        for stage in route.calls:
            failed = await self._call_stage(head, stage)
            if failed is not None:
                return failed
        await self._work(head, work * (1.0 - _WORK_SHARE_BEFORE_CALLS))
        return self._make_answer(head)

    def _count_run(self, head: CallHead) -> None:
        """Count a non-idempotent run; a second one of a call is a violation.

        Refused calls are not counted, since they have no effect.
        """
        if head.idempotent:
            return
        key = (head.root_id, head.child_key)
        self._records.runs[key] += 1
        if self._records.runs[key] > 1:
            self._records.violations["double_run"] += 1

    def _make_answer(self, head: CallHead) -> Answered:
        return Answered(200, (), head.root_id.encode())

    async def _work(self, head: CallHead, work: Milliseconds) -> None:
        """Work on a call and record the time spent, also if it is cancelled."""
        started = self._ticks.now()
        try:
            await self._ticks.sleep(
                self._scenario.work_time(self._service.name, work, started)
            )
        finally:
            record = self._records.by_root.get(head.root_id)
            if record is not None:
                attempt = int(head.headers[0][1])
                record.work[attempt] += self._ticks.now() - started

    async def _call_stage(
        self, head: CallHead, stage: tuple[str, ...]
    ) -> Outcome | None:
        """Make the calls of a stage concurrently; return the first failure, if any."""
        if len(stage) == 1:
            return _failed_response(await self._call(head, stage[0]))
        failures: list[Outcome] = []

        async def call_one(name: str) -> None:
            failed = _failed_response(await self._call(head, name))
            if failed is not None:
                failures.append(failed)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for name in stage:
                nursery.start_soon(call_one, name)
        return failures[0] if failures else None

    async def _call(self, head: CallHead, name: str) -> Outcome:
        """Call another service through the local node, with the policy's retries."""
        assert self.node is not None
        route = self._routes[name]
        req = CallRequest(
            service=self._graph.service_name(route),
            method=route.method,
            target=route.target(1),
            control_headers={call_headers.PARENT_CALL: head.call_id},
            headers=((ATTEMPT_HEADER, head.headers[0][1]),),
            body=b"",
        )
        outcome = await enter(self.node, req)
        for _ in range(self._policy.server_retries):
            if _failed_response(outcome) is None:
                break
            outcome = await enter(self.node, req)
        return outcome


def _failed_response(outcome: Outcome) -> Outcome | None:
    """Return what a server responds after a nested call; None if that succeeded."""
    if isinstance(outcome, Answered):
        return None if outcome.status < _BAD_GATEWAY else outcome
    if isinstance(outcome, Refused):
        return Refused(
            Reason.BACKEND_REFUSED, detail="a call to another service was refused"
        )
    if isinstance(outcome, Unknown):
        return Answered(_BAD_GATEWAY, (), b"a call to another service failed")
    raise AssertionError(outcome)
