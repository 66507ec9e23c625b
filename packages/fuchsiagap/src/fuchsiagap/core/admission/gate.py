"""The admission gate of one backend server, which each call passes before it runs."""

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
from fuchsiagap.core.admission.level import AdmissionLevel, GateLoad
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

# Mean retry-after of a refusal, in adjustment steps.
_RETRY_AFTER_STEPS = 20
# The level admits at least this share of the capacity, however long the queue is. In
# the first `_ONSET_MS` after it closes, while the queue is overfull, the share is
# smaller, since the calls of the many chains that were admitted before are still to
# arrive: down to `_ONSET_ADMITTED_SHARE` if all arrivals are made within chains.
_MIN_ADMITTED_SHARE = 0.7
_ONSET_ADMITTED_SHARE = 0.25
_ONSET_MS = 700.0
# Gain for surplus calls, as a multiple of the gain for missing ones: a surplus is
# corrected faster than a shortfall.
_SURPLUS_GAIN = 2.0
# Queue length, as a multiple of the target, beyond which load is shed at once.
_OVERFULL_FACTOR = 3.0


class Gate:
    """Admission level, concurrency limit and queue of one backend server.

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
    fuchsiagap.core.admission.reported_levels.ReportedLevels : Uses the load reports.
    """

    def __init__(self, cfg: GateSettings, clock: Clock, rng: random.Random) -> None:
        self._base_cfg = cfg
        cfg = self._cfg = apply_weight(cfg)
        self._clock = clock
        self._rng = rng
        self._in_flight = 0
        self._waiting = WaitingCalls(cfg.by_priority)
        self._limit = ConcurrencyLimit(cfg)
        self._level = AdmissionLevel(cfg)
        self._downstream = DownstreamLevels(cfg, clock)
        self._capacity = Capacity()
        self._service_times = self._capacity.service_times
        self._stepped_at = clock.now()

    @property
    def in_flight(self) -> int:
        """Calls in progress at the backend server."""
        return self._in_flight

    @property
    def limit(self) -> int:
        """Current concurrency limit."""
        return self._limit.value

    @property
    def n_waiting(self) -> int:
        """Calls in the queue."""
        return len(self._waiting)

    def adopt(self, cfg: GateSettings) -> None:
        """Apply changed settings, for example when the team changes its own."""
        self._base_cfg = cfg
        self._cfg = apply_weight(cfg)
        for component in (self._limit, self._level, self._downstream):
            component.adopt(self._cfg)

    def set_weight(self, weight: float) -> None:
        """Apply the weight of the team that owns the backend server.

        Parameters
        ----------
        weight : float
            0 favours goodput, 1 favours recovery.
        """
        if weight != self._base_cfg.weight:
            self.adopt(replace(self._base_cfg, weight=weight))

    async def enter(self, head: CallHead) -> Admitted | Refused:
        """Admit a call, wait in the queue until it can be admitted, or refuse it.

        Parameters
        ----------
        head : CallHead
            Head of the call.

        Returns
        -------
        Admitted or Refused
            An admitted call occupies a slot until `leave` is called.
        """
        now = self._clock.now()
        self._level.record_arrival(head)
        if self._cfg.use_level:
            rejected_by = find_rejecting_level(head, self._level, self._downstream)
            if rejected_by is not None:
                return self._refuse(head, Reason.OVERLOAD, rejected_by)
        if self._misses_deadline(head, now):
            return self._refuse(head, Reason.DEADLINE)
        if self._in_flight < self._limit.value and not self._waiting:
            return self._start(head, 0.0)
        if not self._make_room(head):
            return self._refuse(head, Reason.OVERLOAD, QUEUE_FULL)
        return await self._wait(Waiter(head, now))

    def leave(self, admitted: Admitted, outcome: Outcome) -> None:
        """Release the slot of a call that has ended.

        Parameters
        ----------
        admitted : Admitted
            What `enter` returned.
        outcome : Outcome
            How the call ended.
        """
        self._in_flight -= 1
        self._capacity.record_end(admitted.started_at)
        latency = self._latency(admitted, outcome)
        route = admitted.head.route
        if latency is not None:
            self._service_times.add(route, latency)
        self._limit.record_end(route, admitted.started_at, latency, admitted.in_flight)
        if isinstance(outcome, Refused) and outcome.reason is Reason.BACKEND_REFUSED:
            self._limit.record_refusal(admitted.in_flight)
        self._start_waiting()

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse every waiting call, for example because the node is leaving.

        Parameters
        ----------
        reason : Reason
            Reason of the refusals.
        """
        while (waiter := self._waiting.pop_least_important()) is not None:
            self._drop(waiter, reason)

    def step(self) -> None:
        """Adjust limit and level; to be called every `GateSettings.step_ms`."""
        now = self._clock.now()
        elapsed, self._stepped_at = now - self._stepped_at, now
        self._limit.step(now)
        self._start_waiting()
        self._capacity.step(now, elapsed, self._in_flight, self._limit.value)
        if self._cfg.use_level:
            self._level.step(self._target_arrivals(elapsed), self._load(elapsed))
            self._drop_rejected()

    def report(self, route: str) -> LoadReport:
        """Return the load that calls of a route encounter.

        Parameters
        ----------
        route : str
            Route; the reported level covers its downstream services too.

        Returns
        -------
        LoadReport
            Sent back with each answer and refusal.
        """
        position = min(self._level.position, self._downstream.position(route))
        priority, cohort = level_at(position)
        return LoadReport(
            level_priority=priority,
            level_cohort=cohort,
            in_flight=self._in_flight,
            limit=self._limit.value,
            queued=len(self._waiting),
        )

    def apply_report(self, slots: int, in_flight: int) -> None:
        """Apply a load report of the backend server, as a start value of the limit.

        Parameters
        ----------
        slots : int
            Concurrent calls that the server claims to support.
        in_flight : int
            Calls in progress according to the server; not used, since the figure lags.
        """
        self._limit.apply_report(slots)

    def record_downstream_load(
        self, route: str, service: ServiceName, load: LoadReport
    ) -> None:
        """Record the load of a service downstream of a route.

        Parameters
        ----------
        route : str
            Route of the upstream call.
        service : ServiceName
            The called service.
        load : LoadReport
            Load report of its answer or refusal.
        """
        self._downstream.record(route, service, load)

    def _latency(self, admitted: Admitted, outcome: Outcome) -> Milliseconds | None:
        """Return the latency of a call that ended; None if it is not meaningful."""
        if isinstance(outcome, Refused):
            return None
        latency = self._clock.now() - admitted.started_at
        if isinstance(outcome, Answered):
            return latency
        # The time until a call was cut short is a lower bound of its latency.
        expected = self._service_times.expected(admitted.head.route)
        return latency if latency >= expected else None

    def _misses_deadline(self, head: CallHead, now: Milliseconds) -> bool:
        if head.deadline <= now:
            return True
        if not self._cfg.use_deadline or self._in_flight == 0:
            return False
        return now + self._service_times.expected(head.route) > head.deadline

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
        self._capacity.record_start(now)
        self._limit.record_start(now)
        return Admitted(head, now, waited, self._in_flight)

    def _make_room(self, head: CallHead) -> bool:
        """Return whether a call may wait; a full queue drops a less important one."""
        max_waiting = max(int(self._limit.value * self._cfg.queue_share), 1)
        if len(self._waiting) < max_waiting:
            return True
        least_important = self._waiting.least_important_priority()
        if (
            not self._cfg.by_priority
            or least_important is None
            or least_important <= head.priority
        ):
            return False
        dropped = self._waiting.pop_least_important()
        if dropped is not None:
            self._drop(dropped, Reason.OVERLOAD)
        return True

    def _drop(self, waiter: Waiter, reason: Reason) -> None:
        waiter.drop_reason = reason
        waiter.ready.set()

    async def _wait(self, waiter: Waiter) -> Admitted | Refused:
        """Wait in the queue until the call is started, dropped or too late."""
        self._waiting.add(waiter)
        try:
            with trio.move_on_after(self._max_wait(waiter.head) / MS_PER_S):
                await waiter.ready.wait()
        except BaseException:
            # The caller was cancelled, perhaps just as its call was granted a slot.
            self._abandon(waiter)
            raise
        self._waiting.discard(waiter)
        waited = self._clock.now() - waiter.enqueued_at
        if waiter.granted:
            self._in_flight -= 1
            return self._start(waiter.head, waited)
        if waiter.drop_reason is Reason.OVERLOAD:
            return self._refuse(waiter.head, Reason.OVERLOAD, QUEUE_FULL)
        return self._refuse(waiter.head, waiter.drop_reason or Reason.DEADLINE)

    def _abandon(self, waiter: Waiter) -> None:
        self._waiting.discard(waiter)
        if waiter.granted:
            self._in_flight -= 1
            self._start_waiting()

    def _max_wait(self, head: CallHead) -> Milliseconds:
        """Return how long a call can wait and still meet its deadline."""
        left = head.deadline - self._clock.now()
        if self._cfg.use_deadline:
            left -= self._service_times.expected(head.route)
        return max(left, 0.0)

    def _start_waiting(self) -> None:
        """Start waiting calls while there are free slots."""
        order = self._order()
        while self._in_flight < self._limit.value:
            waiter = self._waiting.pop_next(order)
            if waiter is None:
                return
            if self._misses_deadline(waiter.head, self._clock.now()):
                self._drop(waiter, Reason.DEADLINE)
                continue
            waiter.granted = True
            self._in_flight += 1
            waiter.ready.set()

    def _order(self) -> QueueOrder:
        order = self._cfg.queue_order
        if order is not QueueOrder.ADAPTIVE:
            return order
        is_overloaded = self._is_overloaded()
        return QueueOrder.NEWEST_FIRST if is_overloaded else QueueOrder.OLDEST_FIRST

    def _is_overloaded(self) -> bool:
        oldest = self._waiting.oldest_enqueued_at()
        if oldest is None:
            return False
        return self._clock.now() - oldest > self._cfg.target_wait

    def _target_arrivals(self, elapsed: Milliseconds) -> float:
        """Return how many calls the next step should admit.

        That is the capacity of a step, plus a share of the shortfall against full slots
        and the target queue length, or minus a share of the surplus.
        """
        limit = self._limit.value
        per_step = self._step_capacity(elapsed)
        missing = limit + self._target_queue() - self._in_flight - len(self._waiting)
        if self._is_overfull() and self._level.closed_ms < _ONSET_MS:
            in_chains = self._level.chain_share
            return (
                _MIN_ADMITTED_SHARE
                + in_chains * (_ONSET_ADMITTED_SHARE - _MIN_ADMITTED_SHARE)
            ) * per_step
        gain = self._cfg.gain if missing > 0.0 else _SURPLUS_GAIN * self._cfg.gain
        return max(per_step + gain * missing, _MIN_ADMITTED_SHARE * per_step)

    def _drop_rejected(self) -> None:
        """Drop waiting calls of priorities that the level no longer admits."""
        priority, _ = level_at(self._level.position)
        for waiter in self._waiting.less_important_than(priority):
            self._waiting.discard(waiter)
            self._drop(waiter, Reason.OVERLOAD)

    def _is_overfull(self) -> bool:
        return len(self._waiting) > _OVERFULL_FACTOR * self._target_queue()

    def _target_queue(self) -> float:
        """Return how many calls should wait, so that no slot idles by chance.

        Random variation of arrivals leaves about the square root of the slots free.
        """
        return max(self._cfg.queue_target * math.sqrt(self._limit.value), 1.0)

    def _step_capacity(self, elapsed: Milliseconds) -> float:
        """Return how many calls the backend server completes in a time span."""
        limit = self._limit.value
        if self._cfg.limit_policy is LimitPolicy.NONE:
            return float(limit)
        now = self._clock.now()
        return self._capacity.estimate(now, elapsed, self._in_flight, limit)

    def _load(self, elapsed: Milliseconds) -> GateLoad:
        limit = self._limit.value
        n_waiting = len(self._waiting)
        return GateLoad(
            utilization=(self._in_flight + n_waiting) / limit,
            is_overloaded=self._is_overloaded(),
            is_overfull=self._is_overfull(),
            least_important_waiting=self._waiting.least_important_priority(),
            capacity=self._step_capacity(elapsed),
        )
