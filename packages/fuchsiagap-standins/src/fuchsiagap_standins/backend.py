"""Stand-in for a backend server, independent of the transport.

It has a concurrency limit and a bounded queue, draws service times at random and makes
the child calls of the call graph. It can be cold, slow, draining or shedding load, and
can report a stale or false load.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import Clock, Milliseconds, sleep_ms, trio_clock
from fuchsiagap_node.core.ports import BackendLoad
from fuchsiagap_standins.answers import CallMark, answer_body, is_own_answer
from fuchsiagap_standins.backend_types import (
    BackendCall,
    BackendFaults,
    BackendReply,
    BackendSettings,
    CallOut,
    ChildCall,
    ChildOutcome,
    ChildResult,
    LoadReportMode,
)
from fuchsiagap_standins.graphs.analysis import draw_own_time, has_side_effects
from fuchsiagap_standins.run_log import Run, RunState

if TYPE_CHECKING:
    import random

    from fuchsiagap_standins.graphs.model import GraphRoute

# Factor on the number of slots in a false load report.
_FALSE_SLOTS_FACTOR = 4


@dataclass(slots=True)
class _ChildCallProgress:
    """Results so far of the child calls of one call."""

    refused: bool = False
    failed: bool = False
    had_effect: bool = False
    results: list[ChildResult] = field(default_factory=list)


class BackendStandIn:
    """State and behaviour of one backend server.

    Parameters
    ----------
    cfg : BackendSettings
        Service, capacity and cold start.
    call_out : callable
        Makes a child call through the local node.
    rng : random.Random
        Source of service times and faults.
    clock : Clock, optional
        Defaults to the clock of the running event loop.

    Attributes
    ----------
    faults : BackendFaults
        Current faults, which can be replaced at any time.
    draining : bool
        Whether new calls are refused and the load report says so.
    runs : list of Run
        Every run since the start, in order of start.
    wrong_answers : list of CallMark
        Marks of the child calls whose answer was incomplete or for another call.
    """

    def __init__(
        self,
        cfg: BackendSettings,
        call_out: CallOut,
        rng: random.Random,
        clock: Clock | None = None,
    ) -> None:
        self.cfg = cfg
        self.faults = BackendFaults()
        self.draining = False
        self.runs: list[Run] = []
        self.wrong_answers: list[CallMark] = []
        self._call_out = call_out
        self._rng = rng
        self._clock = clock or trio_clock()
        self._slots = trio.Semaphore(cfg.slots)
        self._in_flight = 0
        self._started = self._clock.now()
        self._last_load: tuple[Milliseconds, BackendLoad] | None = None
        self._routes = tuple(
            route for route in cfg.graph.routes if route.service == cfg.service
        )

    async def handle(self, call: BackendCall) -> BackendReply:
        """Run one call; cancelling the task cancels the run.

        Parameters
        ----------
        call : BackendCall
            Call as received from the node.

        Returns
        -------
        BackendReply
            Answer; `not_run` is set only if neither the call nor any of its child
            calls can have had an effect.
        """
        route = self._route_of(call)
        if route is None:
            return BackendReply(404, b"no such path")
        if self.draining or self.faults.shedding:
            return BackendReply(503, b"shedding", not_run=True)
        if self._slots.value == 0 and self._n_queued >= self.cfg.queue:
            return BackendReply(503, b"the queue is full", not_run=True)
        async with self._slots:
            self._in_flight += 1
            try:
                return await self._run(call, route)
            finally:
                self._in_flight -= 1

    def load(self) -> BackendLoad | None:
        """Return the load report, which may be stale or false, or None if silent."""
        mode = self.faults.load_word
        if mode is LoadReportMode.SILENT:
            return None
        if mode is LoadReportMode.LYING:
            slots = _FALSE_SLOTS_FACTOR * self.cfg.slots
            return BackendLoad(healthy=True, slots=slots, in_flight=0, draining=False)
        now = self._clock.now()
        if self._last_load is not None:
            reported_at, load = self._last_load
            if (
                mode is LoadReportMode.FROZEN
                or now - reported_at < self.faults.load_lag
            ):
                return load
        load = BackendLoad(
            healthy=not self.faults.shedding,
            slots=self.cfg.slots,
            in_flight=self._in_flight + self._n_queued,
            draining=self.draining,
        )
        self._last_load = now, load
        return load

    @property
    def _n_queued(self) -> int:
        return self._slots.statistics().tasks_waiting

    async def _run(self, call: BackendCall, route: GraphRoute) -> BackendReply:
        run = Run(
            instance=self.cfg.name,
            route=route.name,
            idempotent=route.idempotent,
            nonce=call.mark.nonce,
            place=call.mark.place,
            call_id=call.call_id,
            started=self._clock.now(),
        )
        self.runs.append(run)
        try:
            return await self._execute(call, route, run)
        except trio.Cancelled:
            run.state = RunState.CANCELLED
            raise

    async def _execute(
        self, call: BackendCall, route: GraphRoute, run: Run
    ) -> BackendReply:
        if self._rng.random() < self.faults.hang:
            await trio.sleep_forever()
        factor = self.faults.slow * self._cold_factor()
        await sleep_ms(draw_own_time(self.cfg.graph, route, self._rng, factor))
        progress = await self._make_child_calls(call, route)
        if progress.refused and not progress.had_effect:
            run.state = RunState.BACKED_OUT
            return BackendReply(503, b"a child call was refused", not_run=True)
        if progress.refused or progress.failed:
            run.state = RunState.FAILED
            return BackendReply(502, b"a child call failed")
        run.state = RunState.DONE
        if self._rng.random() < self.faults.lose_answers:
            return BackendReply(0, lost=True)
        return BackendReply(200, answer_body(call.mark, route.name))

    async def _make_child_calls(
        self, call: BackendCall, route: GraphRoute
    ) -> _ChildCallProgress:
        """Make child calls stage by stage until one is refused or fails."""
        progress = _ChildCallProgress()
        index = 0
        for stage in route.calls:
            async with trio.open_nursery() as nursery:
                for name in stage:
                    child = self._child_call(call, self.cfg.graph.route(name), index)
                    nursery.start_soon(self._make_child_call, child, progress)
                    index += 1
            if progress.refused or progress.failed:
                break
        return progress

    def _child_call(
        self, call: BackendCall, route: GraphRoute, index: int
    ) -> ChildCall:
        # The number spreads the child calls over several paths. Different nonces share
        # a path, so that a cache keyed by path would return an answer with another
        # nonce, which is recorded as wrong.
        number = sum(call.mark.nonce.encode()) + index
        mark = call.mark.child(index)
        return ChildCall(call.call_id, str(index), route, route.target(number), mark)

    async def _make_child_call(
        self, child: ChildCall, progress: _ChildCallProgress
    ) -> None:
        result = await self._call_out(child)
        if result.outcome is ChildOutcome.REFUSED:
            progress.refused = True
            return
        if has_side_effects(self.cfg.graph, child.route):
            progress.had_effect = True
        if result.outcome is ChildOutcome.UNKNOWN or result.status != 200:
            progress.failed = True
        elif not is_own_answer(result.body, child.mark, child.route.name):
            self.wrong_answers.append(child.mark)
            progress.failed = True

    def _route_of(self, call: BackendCall) -> GraphRoute | None:
        path = call.target.partition("?")[0]
        for route in self._routes:
            prefix, star, _ = route.pattern.partition("*")
            matches = path.startswith(prefix) if star else path == prefix
            if matches and route.method == call.method:
                return route
        return None

    def _cold_factor(self) -> float:
        age = self._clock.now() - self._started
        if age >= self.cfg.cold_start:
            return 1.0
        left = 1 - age / self.cfg.cold_start
        return 1 + (self.cfg.cold_factor - 1) * left
