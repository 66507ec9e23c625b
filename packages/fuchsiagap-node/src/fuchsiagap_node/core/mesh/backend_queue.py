"""Queue through which all calls to the backend server on this host pass."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.backend_queue.abort_rule import MAX_ABANDONED_MS, may_finish
from fuchsiagap.core.backend_queue.confirmation import Confirmation
from fuchsiagap.core.backend_queue.health import ServerHealth
from fuchsiagap.core.backend_queue.incarnation import (
    BackendReport,
    BackendState,
    IncarnationTracker,
)
from fuchsiagap.core.backend_queue.offered_load import OfferedLoad
from fuchsiagap.core.backend_queue.queue_timeouts import QueueTimeouts
from fuchsiagap.core.backend_queue.rank_stats import RankStats
from fuchsiagap.core.backend_queue.ranked_queue import MAX_QUEUE_MS, RankedQueue
from fuchsiagap.core.backend_queue.server_load import (
    InvalidLoadError,
    parse_server_load,
)
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.retries.rank_coverage import N_SAMPLING_KEYS
from fuchsiagap_node.core.mesh.backend_conns import MIN_TIME_LEFT_MS, BackendConns
from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.crash_reports import CrashReports
from fuchsiagap_node.core.mesh.outcome import (
    CANCELLED,
    EXPIRED,
    LEAVING,
    NAMED_LIMIT,
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
from fuchsiagap_node.core.mesh.planned_stop import PlannedStop, Work
from fuchsiagap_node.core.mesh.queue_retry_budget import QueueRetryBudget
from fuchsiagap_node.core.mesh.server_crashes import ServerCrashes
from fuchsiagap_node.core.mesh.server_notices import ServerNotices
from fuchsiagap_node.core.mesh.server_speed import ServerSpeed

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.backend_queue.ranked_queue import QueueItem
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.http_response import Response
    from fuchsiagap_node.core.mesh.pending_call import PendingCall
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.settings import MeshSettings
    from fuchsiagap_node.core.mesh.stream import BrokenStream

# Weight of one request in the moving average of the service time, which spans about the
# last 50 requests.
_SERVICE_MS_WEIGHT = 0.02
# Weight of one answer in the long-term average by which servers are compared. It spans
# about the last 200 answers, since service times of different routes differ by a factor
# of forty. The average is unknown until it has the minimum number of samples.
_LONG_TERM_WEIGHT = 0.005
_MIN_LONG_TERM_SAMPLES = 50
# Milliseconds past the deadline of a call for which the server's answer is still
# awaited, since the server may be sending its own time-out response.
_ANSWER_GRACE_MS = 80.0
# Service time assumed for a server that names a limit while its own is not known.
_ASSUMED_SERVICE_MS = 100.0
# Time constant of the arrival rate at a server that names a limit. At 33 requests per
# second, an average over 200 ms spans seven requests, and fluctuates by a third.
_LIMIT_AVERAGING_MS = 1_000.0


class BackendQueue:
    """Admits calls to the backend server in order of rank, one for each free slot.

    Parameters
    ----------
    cfg : MeshSettings
        Settings of the node.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log and counters.
    rng : random.Random
        Rounds this node's share of the retry budget.
    poller : Poller
        Reads the connections to the server.
    memory : BodyMemory, optional
        Memory for bodies; by default unlimited.
    planned_stop : PlannedStop, optional
        Decides what may begin while the process stops.
    uptime : float, default=0
        Milliseconds for which the process has been running.

    Attributes
    ----------
    retry_budget : QueueRetryBudget
        Retry budget of this queue, which admits or denies retries.
    leaving : bool
        Whether this node is shutting down and accepts no new calls.
    confirmation : Confirmation
        Whether the server is known to be alive since this process runs.
    rank_stats : RankStats
        Arrivals and starts of each rank.
    changed : callable
        Called when the server's status has changed and has to be published at once.
    on_departure : callable
        Called with the identifier and the start time of a server that has announced its
        departure, and with whether the departure is revoked.
    reports : CrashReports
        Quarantine of requests that crash servers.
    notices : ServerNotices
        Limits and departures that servers state in their responses.
    controls_contention : callable
        Returns whether the control of contention is in force; see `ContentionScope`.
    server_speed : ServerSpeed
        Present speed that the server states in its responses.
    """

    def __init__(
        self,
        cfg: MeshSettings,
        clock: Clock,
        event_log: EventLog,
        rng: random.Random,
        poller: Poller,
        memory: BodyMemory | None = None,
        planned_stop: PlannedStop | None = None,
        uptime: Milliseconds = 0.0,
    ) -> None:
        self.planned_stop = planned_stop or PlannedStop(clock)
        self._cfg = cfg
        self.reports = CrashReports(cfg.quarantine, cfg.service, clock, rng, event_log)
        self.retry_budget = QueueRetryBudget(cfg.budget, clock, event_log, rng)
        self._clock = clock
        self._started_at = clock.now() - uptime
        self._event_log = event_log
        self._queue: RankedQueue[PendingCall] = RankedQueue(1)
        self._offered = OfferedLoad()
        self._offered_to_limit = OfferedLoad(_LIMIT_AVERAGING_MS)
        self.rank_stats = RankStats()
        self._queue_timeouts = QueueTimeouts()
        self._incarnation = IncarnationTracker(clock)
        self._conns = BackendConns(
            cfg, clock, event_log, self._settle, poller, memory or BodyMemory()
        )
        self._at_server: dict[PendingCall, None] = {}
        self._by_id: dict[str, PendingCall] = {}
        self._notified_instance = ""
        self._health = ServerHealth(clock.now())
        self._crashes = ServerCrashes(clock, event_log, self._running_fingerprints)
        self._crashes.on_crash = self.reports.report_crash
        self._conns.on_outcome = self._crashes.record_answer
        self._conns.on_response = self._handle_response
        self.notices = ServerNotices(cfg, clock, event_log)
        self.notices.changed = self._handle_notice
        self.server_speed = ServerSpeed(clock, event_log)
        self.server_speed.changed = self._handle_speed
        self.notices.on_health = self._handle_health
        self._conns.on_unreachable = self._handle_unreachable
        self._conns.is_suspected = lambda: self._crashes.is_suspected
        self._warm_up_ends_at = 0.0
        # Service times at the usual speed of the server.
        self._usual_service_ms = 0.0
        self._long_term_service_ms = 0.0
        self._n_long_term_samples = 0
        self.leaving = False
        self.confirmation = Confirmation(self._started_at)
        self._abandoned: dict[PendingCall, Milliseconds] = {}
        self.controls_contention: Callable[[], bool] = bool
        self.changed: Callable[[], None] = _nothing
        self.on_departure: Callable[[str, int | None, bool], None] = _ignore_departure

    def adopt(self, cfg: MeshSettings) -> None:
        """Adopt changed settings."""
        self._cfg = cfg
        self._conns.adopt(cfg)
        self.retry_budget.adopt(cfg.budget)

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return self._queue.load

    @property
    def limit(self) -> int:
        """Concurrency limit of the backend server, in slots.

        If the server names a limit of requests per second, the slots that so many
        requests occupy.
        """
        return max(round(self._exact_limit()), 1)

    def _exact_limit(self) -> float:
        """Return the limit with fractions of a slot."""
        rate = self.notices.rate()
        if rate is None:
            return self._queue.limit
        service_ms = self._queue.service_ms or _ASSUMED_SERVICE_MS
        return min(rate * service_ms / MS_PER_S, self._queue.limit)

    @property
    def reported_load(self) -> int:
        """Number of requests that run or wait; at least `limit` if none may start."""
        return self.load if self.notices.admits() else max(self.load, self.limit)

    @property
    def running(self) -> int:
        """Number of requests that run at the backend server."""
        return self._queue.running

    @property
    def service_ms(self) -> Milliseconds:
        """Moving average of the service time in milliseconds; 0 if not known."""
        return self._queue.service_ms

    @property
    def long_term_service_ms(self) -> Milliseconds:
        """Long-term average service time at the usual speed; 0 if not known.

        Requests that failed at this server are excluded.
        """
        return (
            self._long_term_service_ms
            if self._n_long_term_samples >= _MIN_LONG_TERM_SAMPLES
            else 0.0
        )

    def parent_of(self, request_id: str) -> PendingCall | None:
        """Return the running request on whose behalf a nested call is made, if any.

        A backend server derives the identifier of a nested call from the request that
        it runs: that request's identifier, a dot, and a suffix. An identifier that is
        not derived from a request running here does not belong to a nested call.
        """
        return self._by_id.get(request_id.rpartition(".")[0])

    def failing(self) -> float:
        """Return the share of recent requests that were refused or failed."""
        return self._health.failing(self._clock.now())

    def refusing(self) -> float:
        """Return the share of requests that the server refused with slots free.

        0 outside the scope of contention control.
        """
        if not self._covers_trees:
            return 0.0
        return self._health.refusing(self._clock.now())

    @property
    def _covers_trees(self) -> bool:
        """Whether the retry budget is spent on the call trees that it covers."""
        return self.controls_contention()

    def covered_keys(self, rank: int) -> int:
        """Return how many of the lowest sampling keys of a rank are covered.

        Parameters
        ----------
        rank : int
            Priority rank of the root requests of the call trees.
        """
        if not self._covers_trees:
            return N_SAMPLING_KEYS
        return self.retry_budget.covered_keys(rank, self.failing())

    def coverage(self) -> Iterator[tuple[int, float]]:
        """Yield each rank with its covered share, in scope of contention control."""
        if self._covers_trees:
            yield from self.retry_budget.coverage()

    @property
    def speed(self) -> int:
        """Time that work takes at the server now, in percent of the usual.

        `NO_SPEED` if the server does not state it.
        """
        return self.server_speed.speed

    @property
    def heartbeat_age(self) -> Milliseconds:
        """Milliseconds since the server's last heartbeat, or since the node started."""
        return self._health.heartbeat_age(self._clock.now())

    def offered(self) -> float:
        """Return the offered load, as the number of slots that it would occupy.

        The load is scaled up while nested calls time out in the queue, and scaled down
        where `limit` is rounded down, since a limit of 1.4 slots that counts as one
        would look full at 0.7 of its rate.
        """
        queue = self._queue
        if not queue.service_ms:
            return queue.load
        is_limited = self.notices.rate() is not None
        offered = self._offered_to_limit if is_limited else self._offered
        slots = offered.places(self._clock.now(), queue.service_ms, queue.waiting)
        slots *= min(self.limit / max(self._exact_limit(), 1.0), 1.0)
        return slots * self._queue_timeouts.load_factor(self._clock.now())

    def is_warming(self) -> bool:
        """Whether the backend server is in its warm-up."""
        return self._clock.now() < self._warm_up_ends_at

    def instance(self) -> str:
        """Return the incarnation that accepts requests now; empty if none does."""
        report = self._incarnation.report
        if report is None or report.state is not BackendState.READY or self.leaving:
            return ""
        heartbeat = self._cfg.bounds.heartbeat
        usable = (
            self._health.is_usable(self._clock.now(), heartbeat)
            and self.notices.accepts_requests
            and self._may_be_used()
        )
        return report.instance if usable else ""

    def _may_be_used(self) -> bool:
        """Whether heartbeats show that the server has not left; see `Confirmation`."""
        confirmation = self.confirmation
        if confirmation.is_confirmed:
            return True
        now = self._clock.now()
        bounds = self._cfg.bounds
        age = self._health.heartbeat_age(now)
        is_allowed = confirmation.allows_use(now, age, bounds.heartbeat, bounds.drain)
        if confirmation.is_confirmed and not confirmation.is_first_process:
            self._event_log.event(
                "backend-confirmed",
                instance=self.known_instance(),
                uptime=round(now - self._started_at),
            )
        return is_allowed

    def known_instance(self) -> str:
        """Return the last reported incarnation, whatever its state; empty if none."""
        report = self._incarnation.report
        return "" if report is None else report.instance

    def handle_report(self, report: BackendReport) -> None:
        """Apply a status report of the backend server, unless it is outdated."""
        old = self._incarnation.report
        is_new = self._incarnation.update(report)
        if report.state is not BackendState.READY:
            self._publish_departure(report)
        if not is_new:
            self._log_ignored(report)
            return
        self._apply_state(report)
        same = old is not None and old.is_same_start(report)
        if same and old is not None and old.state is report.state:
            return
        self._crashes.record_report(report, same)
        if not same:
            self._reset_for_incarnation(old, report)
        self._event_log.event(
            "backend-changed",
            instance=report.instance,
            born=report.born,
            state=report.state.value,
            sequence=report.sequence,
            places=report.slots,
            previous=None if old is None else f"{old.instance} {old.state.value}",
            uptime=round(self._clock.now() - self._started_at),
        )
        if old is not None and _is_revoked(old, report):
            self._revoke_departure(old, report)
        if report.state is not BackendState.READY:
            self.reject_waiting(LEAVING)
        self.changed()

    def has_departed(self, report: BackendReport) -> bool:
        """Whether the incarnation of a report is known to drain or to have departed."""
        return self._incarnation.has_departed(report)

    def restore_departure(self, instance: str, born: int | None) -> None:
        """Apply a departure that the server announced to another process.

        Parameters
        ----------
        instance : str
            Identifier of the server.
        born : int or None
            Its start time in Unix milliseconds, if known.
        """
        self.handle_report(BackendReport(instance, BackendState.GONE, born=born))

    def _publish_departure(self, report: BackendReport) -> None:
        """Publish the departure of an incarnation, unless its report was rejected."""
        if self._incarnation.has_departed(report):
            born = self._incarnation.start_of(report)
            self.on_departure(report.instance, born, False)

    def _revoke_departure(self, old: BackendReport, report: BackendReport) -> None:
        self._event_log.event(
            "departure-revoked",
            instance=report.instance,
            born=report.born,
            departed_born=old.born,
            sequence=report.sequence,
        )
        self.on_departure(report.instance, old.born, True)

    def _log_ignored(self, report: BackendReport) -> None:
        """Write an event for a report without effect, and what is known instead."""
        current = self._incarnation.report
        self._event_log.event(
            "report-ignored",
            instance=report.instance,
            born=report.born,
            state=report.state.value,
            sequence=report.sequence,
            current=None if current is None else current.instance,
            current_born=None if current is None else current.born,
            current_state=None if current is None else current.state.value,
            current_sequence=None if current is None else current.sequence,
        )

    def _reset_for_incarnation(
        self, old: BackendReport | None, report: BackendReport
    ) -> None:
        """Reset the measurements of the earlier incarnation."""
        self.confirmation.begin(self._clock.now())
        self._health.forget_failures()
        self._begin_statements(report.instance)
        self._n_long_term_samples = 0
        if old is None or old.instance != report.instance:
            return
        # The server restarted under the same identifier. Calls in flight end with their
        # connections and may have run; the new incarnation may already hold some of
        # them. No further call may use a connection to the earlier incarnation.
        self._conns.close_idle()

    def _begin_statements(self, instance: str) -> None:
        """Forget what the earlier incarnation stated about itself."""
        self.notices.begin(instance)
        self.server_speed.begin(instance)
        self._apply_speed()

    def _apply_state(self, report: BackendReport) -> None:
        """Apply the slots, warm-up and heartbeat of a report."""
        now = self._clock.now()
        self._health.record_heartbeat(now)
        if report.state is not BackendState.GONE:
            self._queue.limit = max(report.slots, 1)
            self._warm_up_ends_at = now + report.warm_up

    def _revert_incarnation(self, instance: str) -> None:
        """Revert to the previous incarnation if the server denies the current one.

        A delayed heartbeat of an earlier incarnation can replace the one that runs.
        """
        if not self._incarnation.refute(instance):
            return
        report = self._incarnation.report
        assert report is not None
        self._crashes.revert(report)
        self._apply_state(report)
        self._health.forget_failures()
        self._begin_statements(report.instance)
        self._event_log.event(
            "backend-refuted",
            instance=instance,
            instead=report.instance,
            state=report.state.value,
            sequence=report.sequence,
        )
        self.reject_waiting(LEAVING)
        self.changed()

    def reject_waiting(self, reason: str) -> None:
        """Reject all waiting calls; running calls are left to finish."""
        for waiting in self._queue.clear():
            _leave_queue(waiting).reply(NotRun(reason))

    async def run(self) -> None:
        """Run the tasks of the connections and the health checks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.notices.run)
            await self._conns.run()

    def tick(self) -> None:
        """Expire overdue calls and detect whether the server is usable."""
        now = self._clock.now()
        self.server_speed.check()
        self._apply_speed()
        self._expire(now)
        self._queue.max_waiting = self._max_waiting()
        self._start_waiting()
        if not self._health.is_alive(now, self._cfg.bounds.heartbeat):
            self._crashes.record_heartbeat_timeout()
        usable = self.instance()
        if usable != self._notified_instance:
            self._notified_instance = usable
            self.changed()

    def submit(self, pending: PendingCall) -> None:
        """Start, queue or refuse a call; its `reply` is called now or later."""
        call = pending.call
        instance = self.instance()
        if not instance or instance != call.instance:
            pending.reply(NotRun(self._unusable_reason()))
            return
        if not self._can_finish_before_exit(pending):
            pending.reply(NotRun(LEAVING))
            return
        if not self.retry_budget.admits(call, self.failing(), self._covers_trees):
            pending.reply(NotRun(NO_BUDGET))
            return
        now = self._clock.now()
        self._offered.record_arrival(now)
        self._offered_to_limit.record_arrival(now)
        self.rank_stats.record_arrival(call.rank, now)
        if call.is_nested:
            self._queue_timeouts.record_arrival(call.rank, now)
        if self._queue.has_free_slot() and self.notices.admits():
            self._start(pending)
            return
        if self._queue.is_full() and not self._make_room(call.rank):
            if self.notices.rate() is not None:
                self._event_log.counts["limit_refused", ""] += 1
                pending.reply(NotRun(NAMED_LIMIT))
                return
            self._event_log.event("queue-full", request=call.request_id, load=self.load)
            pending.reply(NotRun(QUEUE_FULL))
            return
        pending.waiting = self._queue.push(
            pending, call.rank, pending.deadline, pending.due, now, call.is_nested
        )

    def _can_finish_before_exit(self, pending: PendingCall) -> bool:
        """Whether a call may begin if the process stops; always otherwise."""
        if not self.planned_stop.has_begun:
            return True
        now, route = self._clock.now(), pending.call.route
        running = (p.started for p in self._at_server if p.call.route == route)
        return self.planned_stop.may_begin(
            Work.BACKEND_CALL,
            route,
            pending.deadline - now,
            now - min(running, default=now),
        )

    def _make_room(self, rank: int) -> bool:
        worst = self._queue.evict_for(rank)
        if worst is None:
            return False
        has_limit = self.notices.rate() is not None
        _leave_queue(worst).reply(NotRun(NAMED_LIMIT if has_limit else QUEUE_FULL))
        return True

    def _unusable_reason(self) -> str:
        """Return why the server accepts no requests."""
        if not self.known_instance():
            return NO_BACKEND
        is_limited = self.notices.notice.rate == 0.0 and not self.leaving
        return NAMED_LIMIT if is_limited else LEAVING

    def _max_waiting(self) -> float | None:
        """Return how many calls may wait for a limit that the server names."""
        rate = self.notices.rate()
        return None if rate is None else max(rate * MAX_QUEUE_MS / MS_PER_S, 1.0)

    def cancel(self, pending: PendingCall) -> None:
        """Drop a call that its sender has abandoned.

        A running call that is not idempotent is left to finish, and so is one that ends
        soon, as its abort would cost a connection.
        """
        waiting = pending.waiting
        if waiting is not None and self._queue.drop(waiting):
            _leave_queue(waiting)
            self._record_queue_timeout(pending)
            pending.reply(NotRun(CANCELLED))
        elif pending.conn is not None and pending.call.idempotent:
            if self._may_finish(pending):
                self._event_log.counts["abandoned_calls", ""] += 1
                self._abandoned[pending] = self._clock.now()
            else:
                self._abort(pending, MayHaveRun(CANCELLED))

    def _may_finish(self, pending: PendingCall) -> bool:
        """Whether a cancelled call is left to finish; see `abort_rule`."""
        if pending not in self._at_server or not self.controls_contention():
            return False
        makes_calls = (
            pending.calls > 0
            or pending.open_calls > 0
            or self.retry_budget.makes_calls(pending.call.route)
        )
        elapsed = self._clock.now() - pending.started
        is_awaited = self._queue.waiting > 0
        return may_finish(self._queue.service_ms, elapsed, makes_calls, is_awaited)

    def _abort(self, pending: PendingCall, outcome: MayHaveRun) -> None:
        """Abort a running call by closing its connection, so the server drops it."""
        if pending not in self._at_server:
            # The reply to another call has already ended this one, as when a caller
            # that disconnects cancels all its calls.
            return
        self._conns.abort(pending)
        self._settle(pending, outcome)

    def _start(self, pending: PendingCall) -> None:
        """Assign a slot to a call and send it on an idle or a new connection."""
        now = self._clock.now()
        if pending.deadline - now < MIN_TIME_LEFT_MS:
            pending.reply(NotRun(EXPIRED))
            return
        if not self._conns.is_running:
            pending.reply(NotRun(NO_BACKEND))
            return
        # Checked here as well as at the entry node, which may not have received the
        # report of the quarantine yet.
        if not self.reports.may_run(pending.call.fingerprint):
            pending.reply(NotRun(QUARANTINED))
            return
        self._queue.running += 1
        self.notices.record_start()
        self.rank_stats.record_start(pending.call.rank, now)
        self._at_server[pending] = None
        self._by_id[pending.call.request_id] = pending
        pending.started = now
        pending.speed_factor = self.server_speed.factor
        self._conns.dispatch(pending)

    def _settle(self, pending: PendingCall, outcome: Outcome) -> None:
        """Reply to a call that held a slot, and start the next waiting call."""
        if not isinstance(outcome, Answered):
            self._conns.log_unanswered(pending, outcome)
        self._conns.release(pending)
        self._queue.running -= 1
        del self._at_server[pending]
        self._abandoned.pop(pending, None)
        if self._by_id.get(pending.call.request_id) is pending:
            del self._by_id[pending.call.request_id]
        self._record_outcome(pending, outcome)
        if isinstance(outcome, MayHaveRun):
            self._crashes.record_unanswered(pending)
        if isinstance(outcome, NotRun) and outcome.reason == OTHER_INCARNATION:
            self._revert_incarnation(pending.call.instance)
        pending.reply(outcome)
        self._start_waiting()

    def _start_waiting(self) -> None:
        """Start the waiting calls for which there are slots."""
        while self.notices.admits():
            waiting = self._queue.pop(self._clock.now())
            if waiting is None:
                return
            pending = _leave_queue(waiting)
            is_usable = self.instance() == pending.call.instance
            if is_usable and self._can_finish_before_exit(pending):
                self._start(pending)
            else:
                pending.reply(NotRun(LEAVING))

    def _record_queue_timeout(self, pending: PendingCall) -> None:
        """Count a nested call that got no slot before its deadline or cancellation."""
        if pending.call.is_nested:
            self._queue_timeouts.record_timeout(pending.call.rank, self._clock.now())

    def _expire(self, now: Milliseconds) -> None:
        """Expire calls past their deadline, and close connections idle for too long."""
        for waiting in self._queue.expired(now):
            pending = _leave_queue(waiting)
            self._record_queue_timeout(pending)
            pending.reply(NotRun(EXPIRED))
        for pending, since in list(self._abandoned.items()):
            if now - since >= MAX_ABANDONED_MS or pending.open_calls:
                self._abort(pending, MayHaveRun(CANCELLED))
        late = [p for p in self._at_server if now >= p.deadline + _ANSWER_GRACE_MS]
        for pending in late:
            if pending.conn is not None:
                # The connection may be dead. Idle connections that were last used
                # before this call began may be dead as well, and are closed.
                self._conns.close_unused(pending.conn)
            self._abort(pending, MayHaveRun(EXPIRED))
        self._conns.close_expired(now)

    def _handle_unreachable(self, cause: BrokenStream) -> None:
        """Record that the server accepted no connection, and publish its status."""
        self._health.record_unreachable(self._clock.now())
        self._event_log.event("backend-unreachable", cause=str(cause))
        self._crashes.record_unreachable(cause)
        self.changed()

    def _handle_response(self, pending: PendingCall, response: Response) -> None:
        """Apply what the server states about itself in a response to a call."""
        self.notices.handle_response(pending.call.instance, response, pending.started)
        self._health.record_response(
            _refused_with_free_slot(response), self._clock.now()
        )
        self.server_speed.handle_response(pending.call.instance, response)
        self._apply_speed()

    def _handle_health(self, instance: str, response: Response) -> None:
        """Apply the speed that the server states in a response to a health check."""
        self.server_speed.handle_response(instance, response)
        self._apply_speed()

    def _handle_speed(self) -> None:
        """Publish a changed speed, with the load that follows from it."""
        self._apply_speed()
        self.changed()

    def _apply_speed(self) -> None:
        """Derive the present service time from the usual one."""
        self._queue.service_ms = self._usual_service_ms * self.server_speed.factor

    def _handle_notice(self) -> None:
        """Apply a changed limit or departure of the server."""
        self._queue.max_waiting = self._max_waiting()
        if self.notices.notice.is_leaving:
            self._apply_stated_departure()
        if not self.notices.accepts_requests:
            self.reject_waiting(self._unusable_reason())
        self.changed()

    def _apply_stated_departure(self) -> None:
        """Treat a departure that the server states in a response as a report of it."""
        current = self._incarnation.report
        if current is not None and current.state is BackendState.READY:
            self.handle_report(replace(current, state=BackendState.GONE))

    def _running_fingerprints(self) -> frozenset[bytes]:
        """Return the fingerprints of the requests that the server runs now."""
        return frozenset(
            pending.call.fingerprint
            for pending in self._at_server
            if pending.conn is not None and pending.conn.call is not None
        )

    def _record_outcome(self, pending: PendingCall, outcome: Outcome) -> None:
        """Update service times and health of the server from an outcome."""
        now = self._clock.now()
        match outcome:
            case Answered(status):
                self._health.record_answer(now)
                self.reports.record_answer(pending.call.fingerprint)
                if status < 500:
                    took = now - pending.started
                    self.planned_stop.server_times.record(pending.call.route, took)
                    self.retry_budget.record_answered(pending.call.route, pending.calls)
                failed = status >= 500 and not pending.failed_in_nested_call()
            case NotRun(_, offered):
                if not offered:
                    return
                failed = True
            case MayHaveRun(reason):
                if reason == CANCELLED:
                    return
                failed = reason != EXPIRED or not pending.failed_in_nested_call()
        # The speed may have changed while the request ran.
        factor = 0.5 * (pending.speed_factor + self.server_speed.factor)
        took = (now - pending.started) / factor
        weight = _SERVICE_MS_WEIGHT if self._usual_service_ms else 1.0
        self._usual_service_ms += (took - self._usual_service_ms) * weight
        self._apply_speed()
        if not failed:
            self._n_long_term_samples += 1
            weight = max(_LONG_TERM_WEIGHT, 1.0 / self._n_long_term_samples)
            self._long_term_service_ms += (took - self._long_term_service_ms) * weight
        self._health.record_outcome(failed, now)
        self.retry_budget.record_outcome(failed)


def _leave_queue(waiting: QueueItem[PendingCall]) -> PendingCall:
    """Return a call that has left the queue, without the references to its entry."""
    pending = waiting.take_job()
    pending.waiting = None
    return pending


def _refused_with_free_slot(response: Response) -> bool:
    """Whether a server refused a request although it states a free slot."""
    if not response.not_run:
        return False
    try:
        load = parse_server_load(response.load)
    except InvalidLoadError:
        return False
    return load.running < load.slots and not load.waiting


def _is_revoked(old: BackendReport, report: BackendReport) -> bool:
    """Whether a report makes a departed server ready again without a later start."""
    if old.instance != report.instance or old.state is BackendState.READY:
        return False
    return report.state is BackendState.READY and not old.starts_before(report)


def _ignore_departure(_: str, __: int | None, ___: bool) -> None:
    """Ignore a departure of the server."""


def _nothing() -> None:
    """Ignore a change of the server's status."""
