"""Callers with real routers before backend servers made of slots and a queue."""

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

SERVICE = ServiceName("salt-fog", "results")
HOP_MS = 0.5
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt on its way through a backend server."""

    call: SimCall
    instance: Instance
    sent: Milliseconds
    is_over: bool = False
    is_running: bool = False


@dataclass(slots=True, eq=False)
class SimCall:
    """One call and its attempts."""

    caller: Caller
    started: Milliseconds
    attempts: list[Attempt] = field(default_factory=list)
    is_over: bool = False


@dataclass(slots=True, eq=False)
class Caller:
    """A node that calls, with its router."""

    data_centre: str
    router: Router


@dataclass(slots=True, eq=False)
class Server:
    """A backend server: slots, a queue in order of arrival, and its faults."""

    instance: Instance
    n_slots: int
    running: int = 0
    waiting: deque[Attempt] = field(default_factory=deque)
    is_dead: bool = False
    is_silent: bool = False
    n_served: int = 0


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Settings of one run.

    Parameters
    ----------
    n_callers : int
        Nodes that call, spread over the data centres.
    n_servers : int
        Backend servers, spread likewise.
    n_slots : int
        Calls each of them runs at one time.
    service_ms : callable
        Draws the time of one run that starts at a time in ms.
    rate_per_s : callable
        Calls a second at a time in ms.
    timeout_ms : float
        When a caller gives up.
    hedge_after_ms : float or None
        When a second attempt is sent; None for never.
    hedge_budget : float
        Second attempts as a share of the calls.
    choose : str
        ``"router"`` or ``"random"``.
    routing : RoutingSettings
        Settings of the routers.
    caller_data_centres : tuple of str
        Data centres of the callers, assigned in rotation.
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
    """One run in virtual time.

    Parameters
    ----------
    cfg : LoadSettings
        Settings.
    seed : int
        Seed of all draws.
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
        self._numbers = itertools.count()
        self.servers = {
            f"results-{n}": Server(self.instance(n), cfg.n_slots)
            for n in range(cfg.n_servers)
        }
        clock = Clock(now=lambda: self.now, wall=lambda: 0.0)
        self._hedges = RetryBudget(RetrySettings(ratio=cfg.hedge_budget), clock)
        self.callers = [self._caller(n, clock) for n in range(cfg.n_callers)]
        self.announce()

    @staticmethod
    def instance(number: int, incarnation: int = 1) -> Instance:
        """Return the instance with a number, in its data centre in the rotation."""
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        name = f"results-{number}"
        return Instance(name, incarnation, f"127.0.0.1:{number}", data_centre, SERVICE)

    def _caller(self, number: int, clock: Clock) -> Caller:
        data_centres = self.cfg.caller_data_centres
        data_centre = data_centres[number % len(data_centres)]
        rng = random.Random(self.rng.random())
        name = f"certs-{number}"
        router = Router(self.cfg.routing, data_centre, clock, rng, name)
        return Caller(data_centre, router)

    def announce(self) -> None:
        """Update all routers with the current instances."""
        members = tuple(server.instance for server in self.servers.values())
        for caller in self.callers:
            caller.router.update(members)

    def at(self, time: Milliseconds, act: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), act))

    def run(self, until: Milliseconds) -> None:
        """Run until a time."""
        self.at(self.now, self._arrive)
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def _arrive(self) -> None:
        call = SimCall(self.rng.choice(self.callers), self.now)
        self._send(call)
        hedge_after = self.cfg.hedge_after_ms
        if hedge_after is not None:
            self._hedges.record_call(SERVICE)
            self.at(self.now + hedge_after, lambda: self._hedge(call))
        self.at(self.now + self.cfg.timeout_ms, lambda: self._give_up(call))
        gap = self.rng.expovariate(self.cfg.rate_per_s(self.now)) * 1000.0
        self.at(self.now + gap, self._arrive)

    def _hedge(self, call: SimCall) -> None:
        if not call.is_over and self._hedges.try_spend(SERVICE):
            self._send(call)

    def _send(self, call: SimCall) -> None:
        tried = frozenset(a.instance.node for a in call.attempts)
        instance = self._choose(call.caller, tried)
        if instance is None:
            return
        attempt = Attempt(call, instance, self.now)
        call.attempts.append(attempt)
        call.caller.router.begin(instance)
        self.sent.append((self.now, instance.node, instance.data_centre))
        self.at(self.now + self._hop(attempt), lambda: self._receive(attempt))

    def _choose(self, caller: Caller, tried: frozenset[str]) -> Instance | None:
        if self.cfg.choose == "router":
            return caller.router.choose(SERVICE, tried)
        left = [s.instance for n, s in self.servers.items() if n not in tried]
        return self.rng.choice(left) if left else None

    def _hop(self, attempt: Attempt) -> Milliseconds:
        caller = attempt.call.caller
        is_near = caller.data_centre == attempt.instance.data_centre
        return HOP_MS / 5 if is_near else HOP_MS

    def _receive(self, attempt: Attempt) -> None:
        server = self.servers[attempt.instance.node]
        if server.is_dead:
            self._end(attempt, Unknown(Reason.CONNECTION_LOST))
        elif not attempt.is_over and not server.is_silent:
            server.waiting.append(attempt)
            self._start_next(server)

    def _start_next(self, server: Server) -> None:
        while server.waiting and server.running < server.n_slots:
            attempt = server.waiting.popleft()
            if attempt.is_over:
                continue
            server.running += 1
            attempt.is_running = True
            started = self.now
            ends = self.now + self.cfg.service_ms(self.rng, self.now)
            self.at(ends, partial(self._finish, server, attempt, started))

    def _finish(self, server: Server, attempt: Attempt, started: float) -> None:
        if not attempt.is_running:
            return
        attempt.is_running = False
        server.running -= 1
        server.n_served += 1
        self.busy_ms += self.now - started
        load = LoadReport(9, 127, server.running, server.n_slots, len(server.waiting))
        answer = Answered(200, (), b"", load=load)
        self.at(self.now + self._hop(attempt), lambda: self._end(attempt, answer))
        self._start_next(server)

    def _end(self, attempt: Attempt, outcome: Outcome | None) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        call = attempt.call
        latency = self.now - attempt.sent
        call.caller.router.end(attempt.instance, outcome, latency)
        if outcome is None or call.is_over:
            return
        if not isinstance(outcome, Answered):
            call.is_over = all(a.is_over for a in call.attempts)
            if call.is_over:
                self.failures.append(call.started)
            return
        call.is_over = True
        self.latencies.append((call.started, self.now - call.started))
        for other in call.attempts:
            self._cancel(other)

    def _cancel(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        self._end(attempt, None)
        server = self.servers[attempt.instance.node]
        if attempt.is_running:
            attempt.is_running = False
            server.running -= 1
            self.busy_ms += self.now - attempt.sent
            self._start_next(server)

    def _give_up(self, call: SimCall) -> None:
        if call.is_over:
            return
        call.is_over = True
        self.failures.append(call.started)
        for attempt in call.attempts:
            is_silent = self.servers[attempt.instance.node].is_silent
            if is_silent and not attempt.is_over:
                attempt.is_over = True
                router = call.caller.router
                late = Unknown(Reason.DEADLINE)
                router.end(attempt.instance, late, self.now - attempt.sent)
            self._cancel(attempt)
