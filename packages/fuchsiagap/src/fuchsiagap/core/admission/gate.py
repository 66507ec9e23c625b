"""The gate beside one backend server: each call passes it before it is run."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.admission.admitted import (
    DOWNSTREAM_LEVEL,
    OWN_LEVEL,
    QUEUE_FULL,
    Admitted,
    find_rejecting_level,
)
from fuchsiagap.core.admission.capacity import Capacity
from fuchsiagap.core.admission.downstream import DownstreamLevels
from fuchsiagap.core.admission.level import AdmissionLevel, Pressure
from fuchsiagap.core.admission.limit import ConcurrencyLimit
from fuchsiagap.core.admission.position import level_at
from fuchsiagap.core.admission.settings import (
    GateSettings,
    LimitPolicy,
    QueueOrder,
    apply_weight,
)
from fuchsiagap.core.admission.waiting import Waiter, WaitingCalls
from fuchsiagap.core.calls.outcome import Answered, LoadReport, Reason, Refused
from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    import random

    from fuchsiagap.core.calls.head import CallHead, ServiceName
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Clock, Milliseconds

__all__ = ["DOWNSTREAM_LEVEL", "OWN_LEVEL", "QUEUE_FULL", "Admitted", "Gate"]

_RETRY_AFTER_STEPS = 20
# However many wait, the level lets in this share of what the server gets through; the
# smaller share is for the first steps of a flood, when the many chains that were let
# in before it are still to come.
_LEAST_SHARE = 0.7
_ONSET_SHARE = 0.25
_ONSET_MS = 700.0
# Surplus calls are worked off faster than missing ones are let in.
_DRAINING = 2.0
# Waiting calls, as a multiple of those aimed at, beyond which load is shed at once.
_FLOODED = 3.0


class Gate:
    """Admission, concurrency limit and queue of one backend server.

    Parameters
    ----------
    cfg : GateSettings
        Settings.
    clock : Clock
        Clock of the process.
    rng : random.Random
        Source of jitter.

    See Also
    --------
    fuchsiagap.core.admission.reported_levels.ReportedLevels : Receives load reports.
    """

    def __init__(self, cfg: GateSettings, clock: Clock, rng: random.Random) -> None:
        self._base = cfg
        cfg = self._cfg = apply_weight(cfg)
        self._clock = clock
        self._rng = rng
        self._in_flight = 0
        self._waiting = WaitingCalls(cfg.by_priority)
        self._limit = ConcurrencyLimit(cfg)
        self._level = AdmissionLevel(cfg)
        self._below = DownstreamLevels(cfg, clock)
        self._capacity = Capacity()
        self._times = self._capacity.times
        self._stepped_at = clock.now()

    @property
    def in_flight(self) -> int:
        """Calls the backend server works on."""
        return self._in_flight

    @property
    def limit(self) -> int:
        """Concurrency limit now."""
        return self._limit.value

    @property
    def n_waiting(self) -> int:
        """Calls in the queue."""
        return len(self._waiting)

    def adopt(self, cfg: GateSettings) -> None:
        """Go on under other settings, for example after the team's changed."""
        self._base = cfg
        self._cfg = apply_weight(cfg)
        for part in (self._limit, self._level, self._below):
            part.adopt(self._cfg)

    def set_weight(self, weight: float) -> None:
        """Take over the weight of the team that owns the backend server.

        Parameters
        ----------
        weight : float
            0 favours goodput, 1 recovery.
        """
        if weight != self._base.weight:
            self.adopt(replace(self._base, weight=weight))

    async def enter(self, head: CallHead) -> Admitted | Refused:
        """Wait until the call may be handed to the backend server.

        Parameters
        ----------
        head : CallHead
            Head of the call.

        Returns
        -------
        Admitted or Refused
            What was admitted has to be given back by `leave`.
        """
        now = self._clock.now()
        self._level.see(head)
        if self._cfg.use_level:
            shut_by = find_rejecting_level(head, self._level, self._below)
            if shut_by is not None:
                return self._refuse(head, Reason.OVERLOAD, shut_by)
        if self._is_hopeless(head, now):
            return self._refuse(head, Reason.DEADLINE)
        if self._in_flight < self._limit.value and not self._waiting:
            return self._start(head, 0.0)
        if not self._make_room(head):
            return self._refuse(head, Reason.OVERLOAD, QUEUE_FULL)
        return await self._wait(Waiter(head, now))

    def leave(self, admitted: Admitted, outcome: Outcome) -> None:
        """Give back the place of a call that has ended.

        Parameters
        ----------
        admitted : Admitted
            What `enter` returned.
        outcome : Outcome
            How the call ended.
        """
        self._in_flight -= 1
        self._capacity.left(admitted.started_at)
        latency = self._latency(admitted, outcome)
        route = admitted.head.route
        if latency is not None:
            self._times.add(route, latency)
        self._limit.ended(route, admitted.started_at, latency, admitted.in_flight)
        if isinstance(outcome, Refused) and outcome.reason is Reason.BACKEND_REFUSED:
            self._limit.shed(admitted.in_flight)
        self._start_waiting()

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse every call that waits, for example since the node is leaving.

        Parameters
        ----------
        reason : Reason
            What they are told.
        """
        while (waiter := self._waiting.pop_least_important()) is not None:
            self._drop(waiter, reason)

    def step(self) -> None:
        """Adjust limit and level; called every `cfg.step_ms`."""
        now = self._clock.now()
        elapsed, self._stepped_at = now - self._stepped_at, now
        self._limit.step(now)
        self._start_waiting()
        self._capacity.step(now, elapsed, self._in_flight, self._limit.value)
        if self._cfg.use_level:
            self._level.step(self._startable(elapsed), self._pressure(elapsed))
            self._drop_shut_out()

    def report(self, route: str) -> LoadReport:
        """Return the load as calls of a route meet it.

        Parameters
        ----------
        route : str
            Route; the level covers what was learnt of the services below it.

        Returns
        -------
        LoadReport
            Sent back with each answer and refusal.
        """
        position = min(self._level.position, self._below.position(route))
        priority, cohort = level_at(position)
        return LoadReport(
            level_priority=priority,
            level_cohort=cohort,
            in_flight=self._in_flight,
            limit=self._limit.value,
            queued=len(self._waiting),
        )

    def apply_report(self, slots: int, in_flight: int) -> None:
        """Take in what the backend server says of itself: a start value only.

        Parameters
        ----------
        slots : int
            Concurrent calls it says it can serve.
        in_flight : int
            Calls it says it works on; not used, since it lags.
        """
        self._limit.apply_report(slots)

    def record_downstream_load(
        self, route: str, service: ServiceName, load: LoadReport
    ) -> None:
        """Take in the load of a service that a route's calls call in turn.

        Parameters
        ----------
        route : str
            Route of the calling call.
        service : ServiceName
            The called service.
        load : LoadReport
            What came back with its answer or refusal.
        """
        self._below.note(route, service, load)

    def _latency(self, admitted: Admitted, outcome: Outcome) -> Milliseconds | None:
        """Return the latency of a call that ended; None if it says nothing."""
        if isinstance(outcome, Refused):
            return None
        latency = self._clock.now() - admitted.started_at
        if isinstance(outcome, Answered):
            return latency
        # A call that was cut short took at least that.
        expected = self._times.expected(admitted.head.route)
        return latency if latency >= expected else None

    def _is_hopeless(self, head: CallHead, now: Milliseconds) -> bool:
        if head.deadline <= now:
            return True
        if not self._cfg.use_deadline or self._in_flight == 0:
            return False
        return now + self._times.expected(head.route) > head.deadline

    def _refuse(self, head: CallHead, reason: Reason, detail: str = "") -> Refused:
        pause = self._cfg.step_ms * _RETRY_AFTER_STEPS
        return Refused(
            reason,
            retry_after=pause * (0.5 + self._rng.random()),
            allowance=head.allowance,
            load=self.report(head.route),
            detail=detail,
        )

    def _start(self, head: CallHead, waited: Milliseconds) -> Admitted:
        now = self._clock.now()
        self._in_flight += 1
        self._capacity.started(now)
        self._limit.started(now)
        return Admitted(head, now, waited, self._in_flight)

    def _make_room(self, head: CallHead) -> bool:
        """Return whether the call may wait, dropping a less important one if full."""
        most = max(int(self._limit.value * self._cfg.queue_share), 1)
        if len(self._waiting) < most:
            return True
        worst = self._waiting.least_important_priority()
        if not self._cfg.by_priority or worst is None or worst <= head.priority:
            return False
        dropped = self._waiting.pop_least_important()
        if dropped is not None:
            self._drop(dropped, Reason.OVERLOAD)
        return True

    def _drop(self, waiter: Waiter, reason: Reason) -> None:
        waiter.dropped_for = reason
        waiter.ready.set()

    async def _wait(self, waiter: Waiter) -> Admitted | Refused:
        """Wait in the queue until started, dropped or too late."""
        self._waiting.add(waiter)
        try:
            with trio.move_on_after(self._patience(waiter.head) / MS_PER_S):
                await waiter.ready.wait()
        except BaseException:
            # The caller left, perhaps in the moment its call was given a place.
            self._give_up(waiter)
            raise
        self._waiting.discard(waiter)
        waited = self._clock.now() - waiter.since
        if waiter.granted:
            self._in_flight -= 1
            return self._start(waiter.head, waited)
        if waiter.dropped_for is Reason.OVERLOAD:
            return self._refuse(waiter.head, Reason.OVERLOAD, QUEUE_FULL)
        return self._refuse(waiter.head, waiter.dropped_for or Reason.DEADLINE)

    def _give_up(self, waiter: Waiter) -> None:
        self._waiting.discard(waiter)
        if waiter.granted:
            self._in_flight -= 1
            self._start_waiting()

    def _patience(self, head: CallHead) -> Milliseconds:
        """Return how long a call can wait and still end in time."""
        left = head.deadline - self._clock.now()
        if self._cfg.use_deadline:
            left -= self._times.expected(head.route)
        return max(left, 0.0)

    def _start_waiting(self) -> None:
        """Start waiting calls while there are places."""
        order = self._order()
        while self._in_flight < self._limit.value:
            waiter = self._waiting.pop_next(order)
            if waiter is None:
                return
            if self._is_hopeless(waiter.head, self._clock.now()):
                self._drop(waiter, Reason.DEADLINE)
                continue
            waiter.granted = True
            self._in_flight += 1
            waiter.ready.set()

    def _order(self) -> QueueOrder:
        order = self._cfg.queue_order
        if order is not QueueOrder.ADAPTIVE:
            return order
        late = self._is_overloaded()
        return QueueOrder.NEWEST_FIRST if late else QueueOrder.OLDEST_FIRST

    def _is_overloaded(self) -> bool:
        oldest = self._waiting.oldest_since()
        if oldest is None:
            return False
        return self._clock.now() - oldest > self._cfg.target_wait

    def _startable(self, elapsed: Milliseconds) -> float:
        """Return how many calls the next step should admit.

        They are what the backend server gets through, and a share of what is
        missing to full slots and a queue that is just not empty.
        """
        limit = self._limit.value
        per_step = self._startable_by_server(elapsed)
        missing = limit + self._aim() - self._in_flight - len(self._waiting)
        if self._is_flooded() and self._level.closed_ms < _ONSET_MS:
            to_come = self._level.chain_share
            return (_LEAST_SHARE + to_come * (_ONSET_SHARE - _LEAST_SHARE)) * per_step
        gain = self._cfg.gain if missing > 0.0 else _DRAINING * self._cfg.gain
        return max(per_step + gain * missing, _LEAST_SHARE * per_step)

    def _drop_shut_out(self) -> None:
        """Drop waiting calls of priorities that the level has shut by now."""
        priority, _ = level_at(self._level.position)
        for waiter in self._waiting.less_important_than(priority):
            self._waiting.discard(waiter)
            self._drop(waiter, Reason.OVERLOAD)

    def _is_flooded(self) -> bool:
        return len(self._waiting) > _FLOODED * self._aim()

    def _aim(self) -> float:
        """Return how many calls should wait, so that no place stays free by chance.

        Chance leaves about the square root of the places free.
        """
        return max(self._cfg.queue_aim * math.sqrt(self._limit.value), 1.0)

    def _startable_by_server(self, elapsed: Milliseconds) -> float:
        """Return how many calls the backend server gets through in a time."""
        limit = self._limit.value
        if self._cfg.limit_policy is LimitPolicy.NONE:
            return float(limit)
        now = self._clock.now()
        return self._capacity.within(now, elapsed, self._in_flight, limit)

    def _pressure(self, elapsed: Milliseconds) -> Pressure:
        limit = self._limit.value
        n_waiting = len(self._waiting)
        return Pressure(
            load=(self._in_flight + n_waiting) / limit,
            is_late=self._is_overloaded(),
            is_flooded=self._is_flooded(),
            worst_waiting=self._waiting.least_important_priority(),
            capacity=self._startable_by_server(elapsed),
        )
