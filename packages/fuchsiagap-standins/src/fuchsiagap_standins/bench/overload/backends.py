"""A backend server in memory: slots, a queue of its own, calls of its own."""

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
    from fuchsiagap_standins.bench.overload.ticks import Ticks
    from fuchsiagap_standins.graphs import Graph, GraphRoute, GraphService

_BAD_GATEWAY = 502
_REPORT_FACTORS = {"honest": 1.0, "high": 10.0, "low": 0.1}
_BEFORE_CALLS = 0.5


class FakeBackend:
    """One backend server.

    It works on `slots` calls at a time and queues the rest inside, up to its
    connections, so that a call that is over its slots looks like a slow one.

    Parameters
    ----------
    graph : Graph
        The call graph.
    service : GraphService
        What it is an instance of.
    scenario : Scenario
        When it is slow.
    policy : BenchPolicy
        Whether it retries, and whether it stops what is given up.
    records : Records
        Where its work is counted.
    ticks : Ticks
        By which it works.
    rng : random.Random
        Source of service times.
    nursery : trio.Nursery
        Where calls run on that were given up but don't stop.
    """

    def __init__(
        self,
        graph: Graph,
        service: GraphService,
        scenario: Scenario,
        policy: BenchPolicy,
        records: Records,
        ticks: Ticks,
        rng: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        self._graph = graph
        self._service = service
        self._scenario = scenario
        self._policy = policy
        self._records = records
        self._ticks = ticks
        self._rng = rng
        self._nursery = nursery
        self._slots = trio.Semaphore(service.slots)
        self._routes = {route.name: route for route in graph.routes}
        self._n_taken = 0
        self.node: NodeState | None = None

    async def load(self) -> BackendLoad:
        """Report slots and calls, as the scenario has it."""
        slots = int(self._service.slots * _REPORT_FACTORS[self._scenario.reports])
        return BackendLoad(
            healthy=True,
            slots=max(slots, 1),
            in_flight=self._service.slots - self._slots.value,
            draining=False,
        )

    async def send(
        self, head: CallHead, body: bytes, remaining: Milliseconds
    ) -> Outcome:
        """Run one call."""
        if self._n_taken >= self._service.connections:
            return Refused(Reason.BACKEND_REFUSED, detail="all connections are taken")
        if self._policy.cancels:
            return await self._run(head)
        return await self._run_detached(head)

    async def _run_detached(self, head: CallHead) -> Outcome:
        """Run a call that goes on when nobody waits for it any more."""
        done = trio.Event()
        outcomes: list[Outcome] = []

        async def run() -> None:
            outcomes.append(await self._run(head))
            done.set()

        self._nursery.start_soon(run)
        await done.wait()
        return outcomes[0]

    async def _run(self, head: CallHead) -> Outcome:
        self._n_taken += 1
        try:
            async with self._slots:
                return await self._serve(head)
        finally:
            self._n_taken -= 1

    async def _serve(self, head: CallHead) -> Outcome:
        outcome = await self._serve_route(head, self._routes[head.route])
        if not isinstance(outcome, Refused):
            self._count_run(head)
        return outcome

    async def _serve_route(self, head: CallHead, route: GraphRoute) -> Outcome:
        work = draw_own_time(self._graph, route, self._rng)
        if not route.calls:
            await self._work(head, work)
            return self._answer(head)
        await self._work(head, work * _BEFORE_CALLS)
        for stage in route.calls:
            failed = await self._call_all(head, stage)
            if failed is not None:
                return failed
        await self._work(head, work * (1.0 - _BEFORE_CALLS))
        return self._answer(head)

    def _count_run(self, head: CallHead) -> None:
        """Count a run that had an effect; a refused one had none."""
        if head.idempotent:
            return
        key = (head.root_id, head.child_key)
        self._records.runs[key] += 1
        if self._records.runs[key] > 1:
            self._records.violations["double_run"] += 1

    def _answer(self, head: CallHead) -> Answered:
        return Answered(200, (), head.root_id.encode())

    async def _work(self, head: CallHead, work: Milliseconds) -> None:
        """Work on a call, and count what was done even if it is cut short."""
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

    async def _call_all(self, head: CallHead, stage: tuple[str, ...]) -> Outcome | None:
        """Make the calls of one stage; return how the first that failed ended."""
        if len(stage) == 1:
            return _failure(await self._call(head, stage[0]))
        failures: list[Outcome] = []

        async def one(name: str) -> None:
            failed = _failure(await self._call(head, name))
            if failed is not None:
                failures.append(failed)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for name in stage:
                nursery.start_soon(one, name)
        return failures[0] if failures else None

    async def _call(self, head: CallHead, name: str) -> Outcome:
        """Call another service through the node of this host."""
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
            if _failure(outcome) is None:
                break
            outcome = await enter(self.node, req)
        return outcome


def _failure(outcome: Outcome) -> Outcome | None:
    """Return the answer of a server whose child call failed; None if it did not."""
    if isinstance(outcome, Answered):
        return None if outcome.status < _BAD_GATEWAY else outcome
    if isinstance(outcome, Refused):
        return Refused(Reason.BACKEND_REFUSED, detail="a child call was refused")
    if isinstance(outcome, Unknown):
        return Answered(_BAD_GATEWAY, (), b"a child call failed")
    raise AssertionError(outcome)
