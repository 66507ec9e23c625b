"""The only way to the backend server beside this node."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.door.incarnation import BackendState, Incarnation
from fuchsiagap.core.door.queue import DoorQueue, Waiting
from fuchsiagap_node.core.mesh.backend_conn import PAST_DEADLINE_MS, BackendConn
from fuchsiagap_node.core.mesh.outcome import (
    CANCELLED,
    EXPIRED,
    LEAVING,
    NO_BACKEND,
    QUEUE_FULL,
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.door.incarnation import BackendReport
    from fuchsiagap_node.core.mesh.frames import Call
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.telling import Teller

# Weight of one request in the running share of failures: about the last 30 count.
_FAILURE_WEIGHT = 0.03
# Weight of one request in the mean time at the server: about the last 50 count.
_SERVICE_WEIGHT = 0.02
# Milliseconds in which the share of failures of an unused server fades to 1/e, so that
# it is tried again.
_FAILURE_FADE_MS = 4_000.0
# Milliseconds for which a server that took no connection is left alone.
_DOWN_MS = 400.0
# Heartbeats that may be missing before a server that answers nothing counts as gone.
_MISSED_BEATS = 3.0
# Milliseconds since the last answer within which a server is alive whatever its
# heartbeats say.
_ANSWERED_MS = 1_500.0
# Milliseconds that a connection may be idle at most before the worker closes it; below
# the idle timeouts that backend servers usually announce.
_IDLE_MS = 7_000.0
# Milliseconds between two looks at what waits.
_TICK_MS = 50.0


@dataclass(slots=True, eq=False)
class Job:
    """A call at the door.

    Parameters
    ----------
    call : Call
        The call.
    deadline : float
        Local time at which its sender gives up.
    reply : callable
        Told the outcome, once.
    """

    call: Call
    deadline: Milliseconds
    reply: Callable[[Outcome], None]
    waiting: Waiting[Job] | None = None
    scope: trio.CancelScope | None = None
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class _Idle:
    """A worker that waits for a job."""

    woken: trio.Event
    job: Job | None = None


class Door:
    """Admits calls to the backend server, in order of rank, one for each place.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    clock : Clock
        Time in milliseconds.
    teller : Teller
        Logs and counters.

    Attributes
    ----------
    leaving : bool
        Whether this node is being stopped and takes nothing new.
    changed : callable
        Called when what the door says of its server changes at once.
    """

    def __init__(self, cfg: MeshSettings, clock: Clock, teller: Teller) -> None:
        self._cfg = cfg
        self._clock = clock
        self._tell = teller
        self._queue: DoorQueue[Job] = DoorQueue(1)
        self._incarnation = Incarnation()
        self._idle: list[_Idle] = []
        self._running: dict[str, Call] = {}
        self._nursery: trio.Nursery | None = None
        self._failing = 0.0
        self._failing_at = clock.now()
        self._down_until = 0.0
        self._beat_at = clock.now()
        self._answered_at = float("-inf")
        self._warm_at = 0.0
        self.leaving = False
        self.changed: Callable[[], None] = _nothing

    def adopt(self, cfg: MeshSettings) -> None:
        """Go on under changed settings."""
        self._cfg = cfg

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self._queue.load

    @property
    def limit(self) -> int:
        """Places of the backend server."""
        return self._queue.limit

    @property
    def running(self) -> int:
        """Requests at the backend server."""
        return self._queue.running

    def parent_of(self, request_id: str) -> Call | None:
        """Return the request that the backend server makes a call for.

        A backend server names its calls after the request that it runs: the
        identifier of that request, a dot, and more. What is not named after a request
        that runs here now is no call.
        """
        return self._running.get(request_id.rpartition(".")[0])

    def failing(self) -> float:
        """Return the share of recent requests that ended refused or broken."""
        now = self._clock.now()
        self._failing *= math.exp((self._failing_at - now) / _FAILURE_FADE_MS)
        self._failing_at = now
        return self._failing

    def is_warming(self) -> bool:
        """Whether the backend server is in its warm-up."""
        return self._clock.now() < self._warm_at

    def instance(self) -> str:
        """Return the incarnation that takes requests now; empty if none does."""
        report = self._incarnation.report
        if report is None or report.state is not BackendState.READY or self.leaving:
            return ""
        now = self._clock.now()
        if now < self._down_until or not self._is_alive(now):
            return ""
        return report.instance

    def _is_alive(self, now: Milliseconds) -> bool:
        silent = now - self._beat_at
        if silent < _MISSED_BEATS * self._cfg.bounds.heartbeat:
            return True
        return now - self._answered_at < _ANSWERED_MS

    def known_instance(self) -> str:
        """Return the incarnation last heard of, whatever its state."""
        report = self._incarnation.report
        return "" if report is None else report.instance

    def take_report(self, report: BackendReport) -> None:
        """Take in what the backend server says of itself."""
        old = self._incarnation.report
        if not self._incarnation.take(report):
            self._tell.event("report-ignored", instance=report.instance)
            return
        self._beat_at = self._clock.now()
        self._down_until = 0.0
        if report.state is not BackendState.GONE:
            self._queue.limit = max(report.slots, 1)
            self._warm_at = self._clock.now() + report.warm_up
        same = old is not None and old.instance == report.instance
        if same and old is not None and old.state is report.state:
            return
        if not same:
            self._failing = 0.0
        self._tell.event(
            "backend-changed",
            instance=report.instance,
            state=report.state.value,
            sequence=report.sequence,
            places=report.slots,
        )
        if report.state is not BackendState.READY:
            self.turn_away(LEAVING)
        self.changed()

    def turn_away(self, reason: str) -> None:
        """Give back all that waits; what runs is left to end."""
        for waiting in self._queue.clear():
            waiting.job.reply(NotRun(reason))

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            usable = self.instance()
            while True:
                await trio.sleep(_TICK_MS / MS_PER_S)
                for waiting in self._queue.expired(self._clock.now()):
                    waiting.job.reply(NotRun(EXPIRED))
                if usable != (usable := self.instance()):
                    self.changed()

    def submit(self, job: Job) -> None:
        """Take a call; its reply comes now or later."""
        call = job.call
        instance = self.instance()
        if not instance or instance != call.instance:
            job.reply(NotRun(LEAVING if self.known_instance() else NO_BACKEND))
            return
        if self._queue.has_place():
            self._start(job)
            return
        if self._queue.is_full() and not self._make_room(_order(call)):
            self._tell.event("queue-full", request=call.request_id, load=self.load)
            job.reply(NotRun(QUEUE_FULL))
            return
        now = self._clock.now()
        job.waiting = self._queue.push(job, _order(call), job.deadline, now)

    def _make_room(self, order: int) -> bool:
        worst = self._queue.pop_worst(order)
        if worst is None:
            return False
        worst.job.reply(NotRun(QUEUE_FULL))
        return True

    def cancel(self, job: Job) -> None:
        """Drop a call that nobody waits for; what must not repeat is left to end."""
        job.cancelled = True
        if job.waiting is not None and self._queue.drop(job.waiting):
            job.reply(NotRun(CANCELLED))
        elif job.scope is not None and job.call.idempotent:
            job.scope.cancel()

    def _start(self, job: Job) -> None:
        self._queue.running += 1
        if self._idle:
            idle = self._idle.pop()
            idle.job = job
            idle.woken.set()
        elif self._nursery is None:
            self._queue.running -= 1
            job.reply(NotRun(NO_BACKEND))
        else:
            self._nursery.start_soon(self._work, job)

    async def _work(self, job: Job | None) -> None:
        """Own one connection and run one job after the other on it."""
        conn = BackendConn(self._cfg, self._clock)
        try:
            while job is not None:
                try:
                    outcome = await self._run(job, conn)
                finally:
                    self._queue.running -= 1
                job.reply(outcome)
                job = self._next() or await self._wait_for_job()
        finally:
            conn.close()

    def _next(self) -> Job | None:
        while (waiting := self._queue.pop()) is not None:
            job = waiting.job
            if self.instance() != job.call.instance:
                job.reply(NotRun(LEAVING))
                continue
            self._queue.running += 1
            return job
        return None

    async def _wait_for_job(self) -> Job | None:
        idle = _Idle(trio.Event())
        self._idle.append(idle)
        with trio.move_on_after(_IDLE_MS / MS_PER_S):
            await idle.woken.wait()
        if idle.job is None:
            self._idle.remove(idle)
        return idle.job

    async def _run(self, job: Job, conn: BackendConn) -> Outcome:
        """Hand one call to the backend server."""
        if job.cancelled:
            return NotRun(CANCELLED)
        started = self._clock.now()
        wait = job.deadline + PAST_DEADLINE_MS - started
        until = trio.current_time() + wait / MS_PER_S
        with trio.CancelScope(deadline=until) as scope:
            job.scope = scope
            self._running[job.call.request_id] = job.call
            try:
                outcome = await conn.exchange(job.call, job.deadline)
            except Exception as exc:
                self._tell.fault("backend-connection", exc)
                conn.close()
                outcome = MayHaveRun(f"fault of the node: {type(exc).__name__}")
            finally:
                self._running.pop(job.call.request_id, None)
        if scope.cancelled_caught:
            conn.close()
            outcome = MayHaveRun(CANCELLED if job.cancelled else EXPIRED)
            if job.cancelled:
                return outcome
        self._note(outcome, conn, self._clock.now() - started)
        return outcome

    def _note(self, outcome: Outcome, conn: BackendConn, took: Milliseconds) -> None:
        """Learn from an outcome how well the server does."""
        now = self._clock.now()
        queue = self._queue
        weight = _SERVICE_WEIGHT if queue.service_ms else 1.0
        queue.service_ms += (took - queue.service_ms) * weight
        match outcome:
            case Answered(status):
                self._answered_at = now
                failed = status >= 500
            case NotRun(reason) if not conn.was_opened:
                failed = False
                self._down_until = now + _DOWN_MS
                self._tell.event("backend-unreachable", cause=reason)
                self.changed()
            case _:
                failed = True
        self.failing()
        self._failing += (float(failed) - self._failing) * _FAILURE_WEIGHT


def _order(call: Call) -> int:
    """Return the place in the queue: within a rank, work begun goes first."""
    return 2 * call.rank + (0 if call.is_call else 1)


def _nothing() -> None:
    """Do nothing."""
