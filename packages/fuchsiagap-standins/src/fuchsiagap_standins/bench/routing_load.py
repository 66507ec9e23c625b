"""Discrete-event simulation of callers with real routers and of backend servers."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.calls.outcome import (
    Answered,
    LoadReport,
    Outcome,
    Reason,
    Unknown,
)
from fuchsiagap.core.clock import Clock
from fuchsiagap.core.retries.budget import RetryBudget, RetrySettings
from fuchsiagap.core.routing.router import Instance, Router, RoutingSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Milliseconds

SERVICE_NAME = ServiceName("salt-fog", "results")
NETWORK_DELAY_MS = 0.5
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")


@dataclass(slots=True, eq=False)
class SimAttempt:
    """One attempt of a call at a backend server; `sent` is in milliseconds."""

    call: SimCall
    instance: Instance
    sent: Milliseconds
    is_finished: bool = False
    is_running: bool = False


@dataclass(slots=True, eq=False)
class SimCall:
    """One call with its attempts; `started` is in milliseconds."""

    caller: SimCaller
    started: Milliseconds
    attempts: list[SimAttempt] = field(default_factory=list)
    is_finished: bool = False


@dataclass(slots=True, eq=False)
class SimCaller:
    """A calling node with its router."""

    data_centre: str
    router: Router


@dataclass(slots=True, eq=False)
class SimServer:
    """A backend server with slots, a FIFO queue and injected faults.

    Parameters
    ----------
    instance : Instance
        Instance that the routers know.
    n_slots : int
        Number of calls that run at the same time.
    running : int
        Number of running calls.
    waiting : deque of SimAttempt
        Queue in order of arrival.
    is_dead : bool
        Whether connections to it fail.
    is_silent : bool
        Whether it receives calls and never responds.
    n_served : int
        Number of completed runs.
    """

    instance: Instance
    n_slots: int
    running: int = 0
    waiting: deque[SimAttempt] = field(default_factory=deque)
    is_dead: bool = False
    is_silent: bool = False
    n_served: int = 0


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Parameters of one simulation run.

    Parameters
    ----------
    n_callers : int
        Number of calling nodes, assigned to `caller_data_centres` round-robin.
    n_servers : int
        Number of backend servers, assigned to `DATA_CENTRES` round-robin.
    n_slots : int
        Calls that each backend server runs concurrently.
    service_ms : callable
        Draws the service time in ms from a generator and the start time in ms.
    rate_per_s : callable
        Gives the arrival rate in calls per second at a time in ms.
    timeout_ms : float
        Call timeout in ms.
    hedge_after_ms : float or None
        Delay in ms before a second attempt is sent; None disables hedging.
    hedge_budget : float
        Ratio of the retry budget: second attempts allowed per call.
    choose : str
        Load balancing policy: ``"router"`` or ``"random"``.
    routing : RoutingSettings
        Settings of the routers.
    caller_data_centres : tuple of str
        Data centres of the callers.
    """

    n_callers: int
    n_servers: int
    n_slots: int
    service_ms: Callable[[random.Random, Milliseconds], Milliseconds]
    rate_per_s: Callable[[Milliseconds], float]
    timeout_ms: Milliseconds = 1_000.0
    hedge_after_ms: Milliseconds | None = None
    hedge_budget: float = 1.0
    choose: str = "router"
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    caller_data_centres: tuple[str, ...] = DATA_CENTRES


class LoadRun:
    """One simulation run in virtual time.

    Parameters
    ----------
    cfg : LoadSettings
        Parameters of the run.
    seed : int
        Random seed.

    Attributes
    ----------
    now : float
        Virtual time in ms.
    latencies : list of tuple of float
        Start time and latency of each answered call, in ms.
    failures : list of float
        Start time of each failed call, in ms.
    sent : list of tuple
        Time in ms, node and data centre of each attempt.
    busy_ms : float
        Total time in ms for which slots were held.
    rng : random.Random
        Generator of the run.
    servers : dict
        Backend servers by node name.
    callers : list of SimCaller
        Calling nodes.
    """

    def __init__(self, cfg: LoadSettings, seed: int) -> None:
        self.cfg = cfg
        self.now: Milliseconds = 0.0
        self.rng = random.Random(seed)
        self.latencies: list[tuple[Milliseconds, Milliseconds]] = []
        self.failures: list[Milliseconds] = []
        self.sent: list[tuple[Milliseconds, str, str]] = []
        self.busy_ms = 0.0
        self._events: list[tuple[Milliseconds, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self.servers = {
            f"results-{n}": SimServer(self.instance(n), cfg.n_slots)
            for n in range(cfg.n_servers)
        }
        clock = Clock(now=lambda: self.now, wall=lambda: 0.0)
        self._hedge_budget = RetryBudget(RetrySettings(ratio=cfg.hedge_budget), clock)
        self.callers = [self._caller(n, clock) for n in range(cfg.n_callers)]
        self.announce()

    @staticmethod
    def instance(number: int, incarnation: int = 1) -> Instance:
        """Return instance `number`; data centres are assigned round-robin."""
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        name = f"results-{number}"
        return Instance(
            name, incarnation, f"127.0.0.1:{number}", data_centre, SERVICE_NAME
        )

    def _caller(self, number: int, clock: Clock) -> SimCaller:
        data_centres = self.cfg.caller_data_centres
        data_centre = data_centres[number % len(data_centres)]
        rng = random.Random(self.rng.random())
        name = f"certs-{number}"
        router = Router(self.cfg.routing, data_centre, clock, rng, name)
        return SimCaller(data_centre, router)

    def announce(self) -> None:
        """Pass the current instances to all routers."""
        members = tuple(server.instance for server in self.servers.values())
        for caller in self.callers:
            caller.router.update(members)

    def schedule(self, time: Milliseconds, action: Callable[[], None]) -> None:
        """Call `action` at a virtual time in ms."""
        heapq.heappush(self._events, (time, next(self._event_numbers), action))

    def run(self, until: Milliseconds) -> None:
        """Generate calls and process events until a virtual time in ms."""
        self.schedule(self.now, self._arrive)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _arrive(self) -> None:
        call = SimCall(self.rng.choice(self.callers), self.now)
        self._send(call)
        hedge_after = self.cfg.hedge_after_ms
        if hedge_after is not None:
            self._hedge_budget.record_call(SERVICE_NAME)
            self.schedule(self.now + hedge_after, lambda: self._hedge(call))
        self.schedule(self.now + self.cfg.timeout_ms, lambda: self._time_out(call))
        gap = self.rng.expovariate(self.cfg.rate_per_s(self.now)) * 1000.0
        self.schedule(self.now + gap, self._arrive)

    def _hedge(self, call: SimCall) -> None:
        if not call.is_finished and self._hedge_budget.try_spend(SERVICE_NAME):
            self._send(call)

    def _send(self, call: SimCall) -> None:
        tried = frozenset(a.instance.node for a in call.attempts)
        instance = self._choose(call.caller, tried)
        if instance is None:
            return
        attempt = SimAttempt(call, instance, self.now)
        call.attempts.append(attempt)
        call.caller.router.begin(instance)
        self.sent.append((self.now, instance.node, instance.data_centre))
        self.schedule(
            self.now + self._network_delay(attempt), lambda: self._deliver(attempt)
        )

    def _choose(self, caller: SimCaller, tried: frozenset[str]) -> Instance | None:
        if self.cfg.choose == "router":
            return caller.router.choose(SERVICE_NAME, tried)
        candidates = [s.instance for n, s in self.servers.items() if n not in tried]
        return self.rng.choice(candidates) if candidates else None

    def _network_delay(self, attempt: SimAttempt) -> Milliseconds:
        caller = attempt.call.caller
        is_local = caller.data_centre == attempt.instance.data_centre
        return NETWORK_DELAY_MS / 5 if is_local else NETWORK_DELAY_MS

    def _deliver(self, attempt: SimAttempt) -> None:
        server = self.servers[attempt.instance.node]
        if server.is_dead:
            self._finish_attempt(attempt, Unknown(Reason.CONNECTION_LOST))
        elif not attempt.is_finished and not server.is_silent:
            server.waiting.append(attempt)
            self._start_next(server)

    def _start_next(self, server: SimServer) -> None:
        while server.waiting and server.running < server.n_slots:
            attempt = server.waiting.popleft()
            if attempt.is_finished:
                continue
            server.running += 1
            attempt.is_running = True
            started = self.now
            ends_at = self.now + self.cfg.service_ms(self.rng, self.now)
            self.schedule(ends_at, partial(self._finish_run, server, attempt, started))

    def _finish_run(
        self, server: SimServer, attempt: SimAttempt, started: float
    ) -> None:
        if not attempt.is_running:
            return
        attempt.is_running = False
        server.running -= 1
        server.n_served += 1
        self.busy_ms += self.now - started
        load = LoadReport(9, 127, server.running, server.n_slots, len(server.waiting))
        answer = Answered(200, (), b"", load=load)
        self.schedule(
            self.now + self._network_delay(attempt),
            lambda: self._finish_attempt(attempt, answer),
        )
        self._start_next(server)

    def _finish_attempt(self, attempt: SimAttempt, outcome: Outcome | None) -> None:
        if attempt.is_finished:
            return
        attempt.is_finished = True
        call = attempt.call
        latency = self.now - attempt.sent
        call.caller.router.end(attempt.instance, outcome, latency)
        if outcome is None or call.is_finished:
            return
        if not isinstance(outcome, Answered):
            call.is_finished = all(a.is_finished for a in call.attempts)
            if call.is_finished:
                self.failures.append(call.started)
            return
        call.is_finished = True
        self.latencies.append((call.started, self.now - call.started))
        for other in call.attempts:
            self._cancel(other)

    def _cancel(self, attempt: SimAttempt) -> None:
        if attempt.is_finished:
            return
        self._finish_attempt(attempt, None)
        server = self.servers[attempt.instance.node]
        if attempt.is_running:
            attempt.is_running = False
            server.running -= 1
            self.busy_ms += self.now - attempt.sent
            self._start_next(server)

    def _time_out(self, call: SimCall) -> None:
        if call.is_finished:
            return
        call.is_finished = True
        self.failures.append(call.started)
        for attempt in call.attempts:
            is_silent = self.servers[attempt.instance.node].is_silent
            if is_silent and not attempt.is_finished:
                attempt.is_finished = True
                router = call.caller.router
                outcome = Unknown(Reason.DEADLINE)
                router.end(attempt.instance, outcome, self.now - attempt.sent)
            self._cancel(attempt)
