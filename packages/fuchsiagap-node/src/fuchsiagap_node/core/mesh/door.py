"""The only way to the backend server beside this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.door.health import ServerHealth
from fuchsiagap.core.door.incarnation import BackendState, Incarnation
from fuchsiagap.core.door.lost import LostTrees
from fuchsiagap.core.door.offered import OfferedLoad
from fuchsiagap.core.door.queue import DoorQueue
from fuchsiagap.core.door.turns import RankTurns
from fuchsiagap_node.core.mesh.backend_conns import LEAST_LEFT_MS, BackendConns
from fuchsiagap_node.core.mesh.crash_reports import CrashReports
from fuchsiagap_node.core.mesh.outcome import (
    CANCELLED,
    EXPIRED,
    LEAVING,
    NO_BACKEND,
    NO_BUDGET,
    OTHER_INCARNATION,
    QUARANTINED,
    QUEUE_FULL,
    Answered,
    MayHaveRun,
    NotRun,
    Outcome,
)
from fuchsiagap_node.core.mesh.paid_repeats import PaidRepeats
from fuchsiagap_node.core.mesh.server_crashes import ServerCrashes

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.door.incarnation import BackendReport
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.job import Job
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.stream import BrokenStream

# Weight of one request in the mean time at the server: about the last 50 count.
_SERVICE_WEIGHT = 0.02
# The same for the time by which servers are compared: about the last 200 answers, since
# kinds of requests take times that differ by a factor of forty. How many are enough.
_TYPICAL_WEIGHT = 0.005
_ENOUGH_TIMED = 50
# Milliseconds past its deadline for which a call is left with the server, that may be
# sending its own last word.
_LAST_WORD_MS = 80.0


class Door:
    """Admits calls to the backend server, in order of rank, one for each place.

    Parameters
    ----------
    cfg : MeshSettings
        Settings.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs and counters.
    rng : random.Random
        Rounds shares of the retry budget.
    poller : Poller
        Watches the connections to the server.

    Attributes
    ----------
    repeats : PaidRepeats
        What it lets through of what was handed to a server before.
    leaving : bool
        Whether this node is being stopped and takes nothing new.
    turns : RankTurns
        What each rank got.
    changed : callable
        Called when what the door says of its server changes at once.
    reports : CrashReports
        Told of crashes and answers; says which requests the server may run.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        clock: Clock,
        event_log: EventLog,
        rng: random.Random,
        poller: Poller,
    ) -> None:
        self._cfg = cfg
        self.reports = CrashReports(cfg.quarantine, cfg.service, clock, rng, event_log)
        self.repeats = PaidRepeats(cfg.budget, clock, event_log, rng)
        self._clock = clock
        self._event_log = event_log
        self._queue: DoorQueue[Job] = DoorQueue(1)
        self._offered = OfferedLoad()
        self.turns = RankTurns()
        self._lost = LostTrees()
        self._incarnation = Incarnation()
        self._conns = BackendConns(cfg, clock, event_log, self._settle, poller)
        self._at_server: dict[Job, None] = {}
        self._by_id: dict[str, Job] = {}
        self._usable = ""
        self._health = ServerHealth(clock.now())
        self._crashes = ServerCrashes(clock, event_log, self._at_work)
        self._crashes.on_crash = self.reports.report_crash
        self._conns.on_outcome = self._crashes.record_answer
        self._conns.on_unreachable = self._unreachable
        self._conns.is_doubted = lambda: self._crashes.is_doubted
        self._warm_at = 0.0
        self._typical_ms = 0.0
        self._n_timed = 0
        self.leaving = False
        self.changed: Callable[[], None] = _nothing

    def adopt(self, cfg: MeshSettings) -> None:
        """Go on under changed settings."""
        self._cfg = cfg
        self._conns.adopt(cfg)
        self.repeats.adopt(cfg.budget)

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

    @property
    def service_ms(self) -> Milliseconds:
        """Mean milliseconds that a request is at the server; 0 if not known."""
        return self._queue.service_ms

    @property
    def typical_ms(self) -> Milliseconds:
        """Mean milliseconds over many more requests, answered ones; 0 if not known."""
        return self._typical_ms if self._n_timed >= _ENOUGH_TIMED else 0.0

    def parent_of(self, request_id: str) -> Job | None:
        """Return the request that the backend server makes a call for.

        A backend server names its calls after the request that it runs: the
        identifier of that request, a dot, and more. What is not named after a request
        that runs here now is no call.
        """
        return self._by_id.get(request_id.rpartition(".")[0])

    def failing(self) -> float:
        """Return the share of recent requests that ended refused or broken."""
        return self._health.failing(self._clock.now())

    @property
    def beat_age(self) -> Milliseconds:
        """Milliseconds since the server was last heard of, or since the start."""
        return self._health.beat_age(self._clock.now())

    def offered(self) -> float:
        """Return how many places the requests that arrive would fill."""
        queue = self._queue
        if not queue.service_ms:
            return queue.load
        places = self._offered.places(
            self._clock.now(), queue.service_ms, queue.waiting
        )
        return places * self._lost.strain(self._clock.now())

    def is_warming(self) -> bool:
        """Whether the backend server is in its warm-up."""
        return self._clock.now() < self._warm_at

    def instance(self) -> str:
        """Return the incarnation that takes requests now; empty if none does."""
        report = self._incarnation.report
        if report is None or report.state is not BackendState.READY or self.leaving:
            return ""
        heartbeat = self._cfg.bounds.heartbeat
        usable = self._health.is_usable(self._clock.now(), heartbeat)
        return report.instance if usable else ""

    def known_instance(self) -> str:
        """Return the incarnation last heard of, whatever its state."""
        report = self._incarnation.report
        return "" if report is None else report.instance

    def take_report(self, report: BackendReport) -> None:
        """Take in what the backend server says of itself."""
        old = self._incarnation.report
        if not self._incarnation.take(report):
            self._event_log.event("report-ignored", instance=report.instance)
            return
        self._follow(report)
        same = old is not None and old.is_same_start(report)
        if same and old is not None and old.state is report.state:
            return
        self._crashes.record_report(report, same)
        if not same:
            self._forget_earlier(old, report)
        self._event_log.event(
            "backend-changed",
            instance=report.instance,
            born=report.born,
            state=report.state.value,
            sequence=report.sequence,
            places=report.slots,
        )
        if report.state is not BackendState.READY:
            self.turn_away(LEAVING)
        self.changed()

    def _forget_earlier(self, old: BackendReport | None, now: BackendReport) -> None:
        """Begin anew with another incarnation."""
        self._health.forget_failures()
        self._n_timed = 0
        if old is None or old.instance != now.instance:
            return
        # It has started again under its identifier. Calls under way end with their
        # connections, as unknown; some may be with the new one already. None is to be
        # sent on a connection of the earlier one.
        self._conns.close_idle()

    def _follow(self, report: BackendReport) -> None:
        """Go by a report of the server."""
        now = self._clock.now()
        self._health.note_beat(now)
        if report.state is not BackendState.GONE:
            self._queue.limit = max(report.slots, 1)
            self._warm_at = now + report.warm_up

    def _refute(self, instance: str) -> None:
        """Go by what was known before a late heartbeat, if the server says so."""
        if not self._incarnation.refute(instance):
            return
        report = self._incarnation.report
        assert report is not None
        self._crashes.revert(report)
        self._follow(report)
        self._health.forget_failures()
        self._event_log.event(
            "backend-refuted",
            instance=instance,
            instead=report.instance,
            state=report.state.value,
            sequence=report.sequence,
        )
        self.turn_away(LEAVING)
        self.changed()

    def turn_away(self, reason: str) -> None:
        """Give back all that waits; what runs is left to end."""
        for waiting in self._queue.clear():
            waiting.job.reply(NotRun(reason))

    async def run(self) -> None:
        """Hold the tasks of the connections until cancelled."""
        await self._conns.run()

    def look(self) -> None:
        """Give up what is late, and notice that the server has come or gone."""
        now = self._clock.now()
        self._expire(now)
        if not self._health.is_heard(now, self._cfg.bounds.heartbeat):
            self._crashes.record_heartbeat_timeout()
        usable = self.instance()
        if usable != self._usable:
            self._usable = usable
            self.changed()

    def submit(self, job: Job) -> None:
        """Take a call; its reply comes now or later."""
        call = job.call
        instance = self.instance()
        if not instance or instance != call.instance:
            job.reply(NotRun(LEAVING if self.known_instance() else NO_BACKEND))
            return
        if not self.repeats.admits(call, self.failing()):
            job.reply(NotRun(NO_BUDGET))
            return
        now = self._clock.now()
        self._offered.note_arrival(now)
        self.turns.note_arrival(call.rank, now)
        if call.is_call:
            self._lost.note_arrival(call.rank, now)
        if self._queue.has_place():
            self._start(job)
            return
        if self._queue.is_full() and not self._make_room(call.rank):
            self._event_log.event("queue-full", request=call.request_id, load=self.load)
            job.reply(NotRun(QUEUE_FULL))
            return
        job.waiting = self._queue.push(
            job, call.rank, job.deadline, job.due, now, call.is_call
        )

    def _make_room(self, rank: int) -> bool:
        worst = self._queue.make_room(rank)
        if worst is None:
            return False
        worst.job.reply(NotRun(QUEUE_FULL))
        return True

    def cancel(self, job: Job) -> None:
        """Drop a call that nobody waits for; what must not repeat is left to end."""
        if job.waiting is not None and self._queue.drop(job.waiting):
            self._note_lost(job)
            job.reply(NotRun(CANCELLED))
        elif job.conn is not None and job.call.idempotent:
            self._break_off(job, MayHaveRun(CANCELLED))

    def _break_off(self, job: Job, outcome: MayHaveRun) -> None:
        """End a call at the server; closing its connection tells the server so."""
        if job not in self._at_server:
            # The reply to another one has ended it, as where a caller leaves with all.
            return
        self._conns.break_off(job)
        self._settle(job, outcome)

    def _start(self, job: Job) -> None:
        """Give a call its place, on an idle connection or on a new one."""
        now = self._clock.now()
        if job.deadline - now < LEAST_LEFT_MS:
            job.reply(NotRun(EXPIRED))
            return
        if not self._conns.is_running:
            job.reply(NotRun(NO_BACKEND))
            return
        # Also here, where all that may run passes: its entry may not know yet.
        if not self.reports.may_run(job.call.fingerprint):
            job.reply(NotRun(QUARANTINED))
            return
        self._queue.running += 1
        self.turns.note_start(job.call.rank, now)
        self._at_server[job] = None
        self._by_id[job.call.request_id] = job
        job.started = now
        self._conns.dispatch(job)

    def _settle(self, job: Job, outcome: Outcome) -> None:
        """Reply to a call that had a place, and give the place to the next one."""
        self._conns.release(job)
        self._queue.running -= 1
        del self._at_server[job]
        if self._by_id.get(job.call.request_id) is job:
            del self._by_id[job.call.request_id]
        self._note(job, outcome)
        if isinstance(outcome, MayHaveRun):
            self._crashes.record_unanswered(job)
        if isinstance(outcome, NotRun) and outcome.reason == OTHER_INCARNATION:
            self._refute(job.call.instance)
        job.reply(outcome)
        while (waiting := self._queue.pop(self._clock.now())) is not None:
            if self.instance() == waiting.job.call.instance:
                self._start(waiting.job)
            else:
                waiting.job.reply(NotRun(LEAVING))

    def _note_lost(self, job: Job) -> None:
        """Count a call of a tree that had no place before its time had passed."""
        if job.call.is_call:
            self._lost.note_lost(job.call.rank, self._clock.now())

    def _expire(self, now: Milliseconds) -> None:
        """Give up calls whose time has passed, and connections long idle."""
        for waiting in self._queue.expired(now):
            self._note_lost(waiting.job)
            waiting.job.reply(NotRun(EXPIRED))
        late = [j for j in self._at_server if now >= j.deadline + _LAST_WORD_MS]
        for job in late:
            if job.conn is not None:
                # Nothing may have come on it since: those unused since are no better.
                self._conns.give_up_unused(job.conn)
            self._break_off(job, MayHaveRun(EXPIRED))
        self._conns.close_outlived(now)

    def _unreachable(self, cause: BrokenStream) -> None:
        """Leave a server alone that took no connection."""
        self._health.note_unreachable(self._clock.now())
        self._event_log.event("backend-unreachable", cause=str(cause))
        self._crashes.record_unreachable(cause)
        self.changed()

    def _at_work(self) -> frozenset[bytes]:
        """Return the fingerprints of the requests that the server has now."""
        return frozenset(
            job.call.fingerprint
            for job in self._at_server
            if job.conn is not None and job.conn.call is not None
        )

    def _note(self, job: Job, outcome: Outcome) -> None:
        """Learn from an outcome how long the server takes, and how well it does."""
        queue = self._queue
        now = self._clock.now()
        match outcome:
            case Answered(status):
                self._health.note_answer(now)
                self.reports.record_answer(job.call.fingerprint)
                if status < 500:
                    self.repeats.note_answered(job.call.route, job.calls)
                failed = status >= 500 and not job.fails_with_its_calls()
            case NotRun(_, offered):
                if not offered:
                    return
                failed = True
            case MayHaveRun(reason):
                if reason == CANCELLED:
                    return
                failed = reason != EXPIRED or not job.fails_with_its_calls()
        took = now - job.started
        weight = _SERVICE_WEIGHT if queue.service_ms else 1.0
        queue.service_ms += (took - queue.service_ms) * weight
        if not failed:
            self._n_timed += 1
            weight = max(_TYPICAL_WEIGHT, 1.0 / self._n_timed)
            self._typical_ms += (took - self._typical_ms) * weight
        self._health.note_outcome(failed, now)


def _nothing() -> None:
    """Do nothing."""
