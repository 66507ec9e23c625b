"""Stand-in of a backend server, without its transport.

It has slots and a short queue, takes its time, makes calls of its own as the call
graph says, can be cold, slow, draining or shedding, and says of its load what it is
told to say.
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
    LoadWord,
)
from fuchsiagap_standins.graphs.analysis import draw_own_time, has_side_effects
from fuchsiagap_standins.run_log import Run, RunState

if TYPE_CHECKING:
    import random

    from fuchsiagap_standins.graphs.model import GraphRoute

_LIED_SLOTS_FACTOR = 4


@dataclass(slots=True)
class _Progress:
    """How far the calls below one call have come."""

    refused: bool = False
    failed: bool = False
    had_effect: bool = False
    results: list[ChildResult] = field(default_factory=list)


class BackendStandIn:
    """A backend server's state and rules.

    Parameters
    ----------
    cfg : BackendSettings
        What it is.
    call_out : callable
        Makes a call through the local node.
    rng : random.Random
        Source of service times and faults.
    clock : Clock, optional
        By default that of the running loop.
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
        self._said: tuple[Milliseconds, BackendLoad] | None = None
        self._routes = tuple(
            route for route in cfg.graph.routes if route.service == cfg.service
        )

    async def handle(self, call: BackendCall) -> BackendReply:
        """Run one call; cancelling the task cancels it.

        Parameters
        ----------
        call : BackendCall
            The call.

        Returns
        -------
        BackendReply
            The answer; `not_run` only if nothing had an effect.
        """
        route = self._route_of(call)
        if route is None:
            return BackendReply(404, b"no such path")
        if self.draining or self.faults.shedding:
            return BackendReply(503, b"shedding", not_run=True)
        if self._slots.value == 0 and self._n_waiting >= self.cfg.queue:
            return BackendReply(503, b"the queue is full", not_run=True)
        async with self._slots:
            self._in_flight += 1
            try:
                return await self._run(call, route)
            finally:
                self._in_flight -= 1

    def load(self) -> BackendLoad | None:
        """Return what the load endpoint says, which may lag or mislead."""
        word = self.faults.load_word
        if word is LoadWord.SILENT:
            return None
        if word is LoadWord.LYING:
            slots = _LIED_SLOTS_FACTOR * self.cfg.slots
            return BackendLoad(healthy=True, slots=slots, in_flight=0, draining=False)
        now = self._clock.now()
        if self._said is not None:
            said_at, said = self._said
            if word is LoadWord.FROZEN or now - said_at < self.faults.load_lag:
                return said
        said = BackendLoad(
            healthy=not self.faults.shedding,
            slots=self.cfg.slots,
            in_flight=self._in_flight + self._n_waiting,
            draining=self.draining,
        )
        self._said = now, said
        return said

    @property
    def _n_waiting(self) -> int:
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
            return await self._work(call, route, run)
        except trio.Cancelled:
            run.state = RunState.CANCELLED
            raise

    async def _work(
        self, call: BackendCall, route: GraphRoute, run: Run
    ) -> BackendReply:
        if self._rng.random() < self.faults.hang:
            await trio.sleep_forever()
        factor = self.faults.slow * self._cold_factor()
        await sleep_ms(draw_own_time(self.cfg.graph, route, self._rng, factor))
        progress = await self._call_below(call, route)
        if progress.refused and not progress.had_effect:
            run.state = RunState.BACKED_OUT
            return BackendReply(503, b"refused below", not_run=True)
        if progress.refused or progress.failed:
            run.state = RunState.FAILED
            return BackendReply(502, b"a call below failed")
        run.state = RunState.DONE
        if self._rng.random() < self.faults.lose_answers:
            return BackendReply(0, lost=True)
        return BackendReply(200, answer_body(call.mark, route.name))

    async def _call_below(self, call: BackendCall, route: GraphRoute) -> _Progress:
        """Make the calls of a route, stage by stage, until one is not answered."""
        progress = _Progress()
        index = 0
        for stage in route.calls:
            async with trio.open_nursery() as nursery:
                for name in stage:
                    child = self._child(call, self.cfg.graph.route(name), index)
                    nursery.start_soon(self._call_one, child, progress)
                    index += 1
            if progress.refused or progress.failed:
                break
        return progress

    def _child(self, call: BackendCall, route: GraphRoute, index: int) -> ChildCall:
        # The path carries the nonce, so that a cache in between would show.
        number = sum(call.mark.nonce.encode()) + index
        mark = call.mark.below(index)
        return ChildCall(call.call_id, str(index), route, route.target(number), mark)

    async def _call_one(self, child: ChildCall, progress: _Progress) -> None:
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
