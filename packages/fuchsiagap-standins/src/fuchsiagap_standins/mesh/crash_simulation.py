"""Simulates a service whose servers crash on one request, with real nodes.

The nodes run in virtual time on in-memory sockets.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.stream import BrokenStream
from fuchsiagap_standins.mesh.backend_server import Behaviour, ResponseMode
from fuchsiagap_standins.mesh.deployment import a_deployment, a_route
from fuchsiagap_standins.mesh.virtual import run_in_memory

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.http_request import Request
    from fuchsiagap_standins.mesh.deployment import Deployment, Host

# Body of the request that crashes servers.
POISON = b"poison"


class CrashSymptom(Enum):
    """How a crash of a server shows to other processes."""

    RESET = "its connections are closed"
    SILENT = "its connections stay open without any response"
    WITH_NODE = "its node is killed together with the server"


# Last letters of the names of data centres.
_DATA_CENTRES = "abc"
# Maximum additional downtime in seconds, so that servers that crash at the same moment
# don't restart together.
_START_SPREAD_S = 0.2


@dataclass(frozen=True, slots=True)
class CrashScenario:
    """Parameters of a simulation.

    The *poison request* is the one that crashes each server that runs it.

    Parameters
    ----------
    n_nodes, n_data_centres : int
        Number of nodes of the service, and of data centres they are spread over.
    seconds : float
        Duration of the simulation in seconds.
    n_poison_callers : int
        Number of callers that send the poison request; 0 for none.
    poison_every_s : float
        Mean pause of such a caller between two requests, in seconds.
    crash_after_ms : float
        Milliseconds from the start of the poison request on a server to the crash.
    down_s : float
        Minimum time in seconds until a crashed server is restarted.
    n_other_crashes : int
        Number of crashes for other reasons, spread over the first half.
    restart_every_s : float
        Seconds between two nodes that are killed and restarted; 0 for none.
    n_callers : int
        Number of callers of other requests.
    every_s : float
        Mean pause of such a caller between two requests, in seconds.
    work_ms : float
        Mean time in milliseconds that a server runs such a request.
    slots : int
        Concurrency limit of a server.
    is_deep : bool
        Whether the poison request is a nested call, made by the servers of another
        service.
    symptom : CrashSymptom
        How a crash of a server shows.
    """

    n_nodes: int = 12
    n_data_centres: int = 3
    seconds: float = 24.0
    n_poison_callers: int = 2
    poison_every_s: float = 0.35
    crash_after_ms: float = 30.0
    down_s: float = 3.0
    n_other_crashes: int = 0
    restart_every_s: float = 0.0
    n_callers: int = 60
    every_s: float = 0.35
    work_ms: float = 40.0
    slots: int = 16
    is_deep: bool = False
    symptom: CrashSymptom = CrashSymptom.RESET


@dataclass(slots=True)
class CrashRecord:
    """Events of a simulation; times are in seconds of virtual time.

    Attributes
    ----------
    started_at : float
        Time at which the callers started.
    crashed_at : list of float
        Times at which servers crashed on the poison request.
    arrived_at : list of float
        Times at which servers started to run the poison request.
    n_other_crashes : int
        Number of crashes for other reasons.
    answers : list of tuple
        Kind, start time and status of each request that is not a poison request;
        status 0 without a response.
    poison_statuses : list of tuple
        Start time and status of each poison request.
    """

    started_at: float = 0.0
    crashed_at: list[float] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)
    n_other_crashes: int = 0
    answers: list[tuple[str, float, int]] = field(default_factory=list)
    poison_statuses: list[tuple[float, int]] = field(default_factory=list)

    def third_crash_at(self) -> float:
        """Return the time of the third crash; infinity if there were fewer."""
        return self.crashed_at[2] if len(self.crashed_at) > 2 else float("inf")

    def late_arrivals(self, detection_s: float) -> int:
        """Return the number of poison requests that arrived too late.

        These are arrivals more than `detection_s` seconds after the third crash.
        """
        since = self.third_crash_at() + detection_s
        return sum(at > since for at in self.arrived_at)

    def answered_shares(self, since: float) -> dict[str, float]:
        """Return the share of requests answered with 200, by kind.

        Only requests sent at `since` or later count.
        """
        shares = {}
        for kind in sorted({kind for kind, _, _ in self.answers}):
            found = [s for k, at, s in self.answers if k == kind and at >= since]
            shares[kind] = sum(s == 200 for s in found) / max(len(found), 1)
        return shares


def simulate_crashes(scenario: CrashScenario, seed: int) -> CrashRecord:
    """Simulate a scenario in virtual time.

    Parameters
    ----------
    scenario : CrashScenario
        Parameters of the simulation.
    seed : int
        Seed of all random choices.

    Returns
    -------
    CrashRecord
        Events of the simulation.
    """

    async def main() -> CrashRecord:
        routes = [
            a_route("read", timeout=2_000.0),
            a_route("write", timeout=2_000.0, idempotent=False),
            a_route("front", service="front", timeout=2_000.0),
        ]
        async with a_deployment(*routes) as deployment:
            return await _Simulation(scenario, seed, deployment).run()

    return run_in_memory(main, seed)


class _Simulation:
    """A simulation of one scenario."""

    def __init__(
        self, scenario: CrashScenario, seed: int, deployment: Deployment
    ) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._deployment = deployment
        self._record = CrashRecord()
        self._numbers = itertools.count(1)
        self._hosts: list[Host] = []
        self._bodies: dict[str, bytes] = {}

    async def run(self) -> CrashRecord:
        """Run the simulation and return its events."""
        scenario = self._scenario
        self._hosts = [self._add("certs", n) for n in range(scenario.n_nodes)]
        if scenario.is_deep:
            self._hosts += [self._add_front(n) for n in range(3)]
        await self._deployment.settle()
        self._record.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(scenario.n_poison_callers):
                nursery.start_soon(self._send_poison)
            for number in range(scenario.n_callers):
                nursery.start_soon(self._send_others, number)
            if scenario.n_other_crashes:
                nursery.start_soon(self._crash_at_random)
            if scenario.restart_every_s:
                nursery.start_soon(self._restart_nodes)
            await trio.sleep(scenario.seconds)
            nursery.cancel_scope.cancel()
        return self._record

    def _add(self, service: str, number: int) -> Host:
        data_centre = _DATA_CENTRES[number % self._scenario.n_data_centres]
        host = self._deployment.add(
            service, f"hall-{data_centre}", slots=self._scenario.slots
        )
        host.server.behave = self._behave
        host.server.on_crash = lambda: self._on_crash(host)
        return host

    def _add_front(self, number: int) -> Host:
        """Add a host whose server makes one nested call with the body it received."""
        host = self._add("front", number)

        async def call(request_id: str) -> None:
            body = self._bodies.pop(request_id)
            method = "POST" if body else "GET"
            await host.send("/read/1", f"{request_id}.1", method=method, body=body)

        host.server.on_run = call
        return host

    def _behave(self, req: Request) -> Behaviour:
        work = self._scenario.work_ms * self._rng.uniform(0.5, 1.5)
        if req.target.startswith(b"/front/"):
            request_id = req.headers.partition(b"Call-Id: ")[2].partition(b"\r")[0]
            self._bodies[request_id.decode()] = req.body
            return Behaviour(work=work)
        if req.body != POISON:
            return Behaviour(work=work)
        self._record.arrived_at.append(trio.current_time())
        is_silent = self._scenario.symptom is CrashSymptom.SILENT
        mode = ResponseMode.CRASH_SILENTLY if is_silent else ResponseMode.CRASH
        return Behaviour(mode, self._scenario.crash_after_ms)

    def _on_crash(self, host: Host) -> None:
        self._record.crashed_at.append(trio.current_time())
        if self._scenario.symptom is CrashSymptom.WITH_NODE:
            self._current_host(host).kill()
        self._schedule_restart(host)

    def _current_host(self, host: Host) -> Host:
        """Return the current entry of a host, whose node may have been restarted."""
        return next(h for h in self._hosts if h.server is host.server)

    def _schedule_restart(self, host: Host) -> None:
        """Restart a crashed server as a new incarnation after its downtime."""

        async def start() -> None:
            spread = self._rng.uniform(0.0, _START_SPREAD_S)
            await trio.sleep(self._scenario.down_s + spread)
            host.server.start_new_incarnation(f"i-{next(self._numbers)}")
            if self._scenario.symptom is CrashSymptom.WITH_NODE:
                index = self._hosts.index(self._current_host(host))
                self._hosts[index] = self._deployment.restart(self._hosts[index])

        self._deployment.nursery.start_soon(start)

    async def _crash_at_random(self) -> None:
        """Crash random servers, independently of the requests they run."""
        scenario = self._scenario
        pause = scenario.seconds / 2.0 / scenario.n_other_crashes
        for _ in range(scenario.n_other_crashes):
            up = [h for h in self._hosts if h.server.is_up]
            if up:
                host = self._rng.choice(up)
                host.server.crash()
                self._record.n_other_crashes += 1
                self._schedule_restart(host)
            await trio.sleep(pause)

    async def _restart_nodes(self) -> None:
        """Kill and restart one node after the other."""
        for index in itertools.cycle(range(self._scenario.n_nodes)):
            await trio.sleep(self._scenario.restart_every_s)
            self._hosts[index] = self._deployment.restart(self._hosts[index])

    async def _send_poison(self) -> None:
        path = "/front/1" if self._scenario.is_deep else "/read/1"
        while True:
            started = trio.current_time()
            status = await self._send(path, POISON)
            self._record.poison_statuses.append((started, status))
            await self._pause(self._scenario.poison_every_s)

    async def _send_others(self, number: int) -> None:
        """Send harmless requests of one kind: all equal, or each with its own body."""
        kind = ("plain", "other body", "own body", "write")[number % 4]
        path = "/write/1" if kind == "write" else "/read/1"
        await self._pause(self._scenario.every_s)
        while True:
            started = trio.current_time()
            own = f"{number}-{next(self._numbers)}".encode()
            body = {"plain": b"", "other body": b"another"}.get(kind, own)
            status = await self._send(path, body)
            self._record.answers.append((kind, started, status))
            await self._pause(self._scenario.every_s)

    async def _pause(self, mean_s: float) -> None:
        await trio.sleep(mean_s * self._rng.uniform(0.7, 1.3))

    async def _send(self, path: str, body: bytes) -> int:
        """Send a request to a random node; return its status, 0 without a response."""
        host = self._rng.choice(self._hosts)
        method = "POST" if body else "GET"
        request_id = f"r{next(self._numbers)}"
        wait = 2.0 * MS_PER_S
        with trio.move_on_after(wait / MS_PER_S + 0.5):
            try:
                answer = await host.send(path, request_id, wait, method, body)
            except BrokenStream:
                return 0
            return 0 if answer is None else answer.status
        return 0
