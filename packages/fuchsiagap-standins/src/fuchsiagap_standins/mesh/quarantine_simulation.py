"""Simulates the quarantine of requests that crash servers, on random histories.

The simulation knows which requests crash servers and checks the decisions of the nodes
against that. Only the code that makes these decisions and exchanges messages about them
is that of real nodes. Servers, callers and the delivery of messages are simulated as
events in virtual time, so that a history takes a fraction of a second. Run as
``python -m fuchsiagap_standins.mesh.quarantine_simulation [HISTORIES] [FIRST_SEED]``.

A "crashing" request crashes the servers that run it; all others are "harmless".
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from fuchsiagap.core.clock import MS_PER_S, Clock
from fuchsiagap.core.quarantine.quarantine import QuarantineSettings
from fuchsiagap_node.core.mesh.crash_reports import FLUSH_MS, CrashReports
from fuchsiagap_node.core.mesh.event_log import EventLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.mesh.crash_reports import Post, Report
    from fuchsiagap_node.core.mesh.messages import Message

# Time in milliseconds after the third crash by one request within which all nodes have
# to quarantine it, and the number of arrivals at servers that are allowed after that.
DETECTION_MS = 3_000.0
MAX_LATE_ARRIVALS = 3
_SERVICE = "certs"


@dataclass(frozen=True, slots=True)
class History:
    """Parameters of one simulated history; times are in milliseconds.

    Parameters
    ----------
    n_nodes : int
        Number of nodes, with one server each.
    slots : int
        Concurrency limit of a server.
    max_attempts : int
        Maximum number of servers that one request is sent to.
    length : float
        Duration of the history.
    down : float
        Time until a server that ended is up again.
    crashing_intervals : tuple of float
        Mean time between two arrivals, for each request that crashes servers.
    crash_after : float
        Time from the start of such a request on a server to the crash.
    n_common : int
        Number of requests that their callers repeat all the time.
    common_work : float
        Mean time that a repeated request runs.
    unique_work : float
        Mean time that a request runs which arrives only once.
    unique_every : float
        Mean time between two requests that arrive only once.
    n_crashes, n_kills, n_releases : int
        Numbers of server crashes for other reasons, of hosts killed, and of planned
        restarts of servers.
    delay : float
        Typical latency of a message between nodes.
    loss_share, late_share : float
        Shares of messages that are lost, and that are delayed further.
    """

    n_nodes: int
    slots: int
    max_attempts: int
    length: Milliseconds
    down: Milliseconds
    crashing_intervals: tuple[Milliseconds, ...]
    crash_after: Milliseconds
    n_common: int
    common_work: Milliseconds
    unique_work: Milliseconds
    unique_every: Milliseconds
    n_crashes: int
    n_kills: int
    n_releases: int
    delay: Milliseconds
    loss_share: float
    late_share: float

    @classmethod
    def draw(cls, rng: random.Random) -> History:
        """Return a random history."""

        def log_uniform(low: float, high: float) -> float:
            return low * float((high / low) ** rng.random())

        n_crashing = rng.choice((0, 0, 1, 1, 2, 3))
        return cls(
            n_nodes=rng.choice((2, 3, 5, 8, 12, 24)),
            slots=rng.randint(1, 32),
            max_attempts=rng.randint(1, 3),
            length=rng.uniform(20_000.0, 40_000.0),
            down=rng.uniform(1_000.0, 4_000.0),
            crashing_intervals=tuple(
                log_uniform(200.0, 10_000.0) for _ in range(n_crashing)
            ),
            crash_after=log_uniform(5.0, 1_000.0),
            n_common=rng.choice((0, 1, 5, 20, 60)),
            common_work=log_uniform(5.0, 2_000.0),
            unique_work=log_uniform(5.0, 2_000.0),
            unique_every=log_uniform(20.0, 500.0),
            n_crashes=rng.choice((0, 0, 3, 30)),
            n_kills=rng.choice((0, 0, 1, 5)),
            n_releases=rng.choice((0, 0, 2, 10)),
            delay=log_uniform(0.2, 5.0),
            loss_share=rng.choice((0.0, 0.0, 0.02)),
            late_share=rng.choice((0.0, 0.0, 0.05)),
        )


@dataclass(slots=True)
class Outcome:
    """Result of one history.

    Attributes
    ----------
    harmless : int
        Number of harmless requests received from callers.
    refused : int
        Number of refusals of harmless requests.
    crashes : list of int
        Number of servers crashed by each crashing request.
    late_arrivals : list of int
        Number of arrivals of each crashing request at servers more than `DETECTION_MS`
        after its third crash.
    detection_ms : list of float
        Milliseconds from the third crash to the first refusal, for each crashing
        request that was refused; 0 if it was refused earlier.
    """

    harmless: int = 0
    refused: int = 0
    crashes: list[int] = field(default_factory=list)
    late_arrivals: list[int] = field(default_factory=list)
    detection_ms: list[Milliseconds] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Request:
    """A request that is being handled.

    Attributes
    ----------
    fingerprint : bytes
        Identifies equal requests.
    work : float
        Milliseconds that it runs; until the crash, if it crashes the server.
    entry : _Node
        Node that received it from the caller.
    crashing : int
        Index in `History.crashing_intervals`; -1 for a harmless request.
    attempts : int
        Attempts so far.
    retries : int
        How often the caller may still send it again.
    tried : set of int
        Numbers of the nodes whose servers ended while they ran it.
    """

    fingerprint: bytes
    work: Milliseconds
    entry: _Node
    crashing: int = -1
    attempts: int = 1
    retries: int = 1
    tried: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Node:
    """A node and its server.

    Attributes
    ----------
    number : int
        Number of the node.
    reports : CrashReports
        The node's quarantine decisions, the code under test.
    generation : int
        Incremented when the node is killed; messages sent to an earlier generation
        are dropped.
    instance : str
        Incarnation of the server.
    is_up, is_draining : bool
        Whether the server is up, and whether it will end as planned.
    running : dict of _Request to int
        Requests that the server runs, with a number that is unique to each run.
    """

    number: int
    reports: CrashReports
    generation: int = 0
    instance: str = ""
    is_up: bool = True
    is_draining: bool = False
    running: dict[_Request, int] = field(default_factory=dict)


class _Simulation:
    """Discrete-event simulation of one history."""

    def __init__(self, history: History, rng: random.Random) -> None:
        self._history = history
        self._rng = rng
        self._now = 0.0
        self._clock = Clock(lambda: self._now, lambda: 0.0)
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._nodes = [self._make_node(number) for number in range(history.n_nodes)]
        n_crashing = len(history.crashing_intervals)
        self._arrived: list[list[float]] = [[] for _ in range(n_crashing)]
        self._crashed: list[list[float]] = [[] for _ in range(n_crashing)]
        self._refused_at = [float("inf")] * n_crashing
        self._outcome = Outcome()

    def run(self) -> Outcome:
        """Run the simulation."""
        self._schedule_all()
        length = self._history.length
        while self._events and self._events[0][0] <= length:
            self._now, _, event = heapq.heappop(self._events)
            event()
        outcome = self._outcome
        for arrived, crashed, refused_at in zip(
            self._arrived, self._crashed, self._refused_at, strict=True
        ):
            third = crashed[2] if len(crashed) > 2 else float("inf")
            outcome.crashes.append(len(crashed))
            outcome.late_arrivals.append(
                sum(at > third + DETECTION_MS for at in arrived)
            )
            if refused_at < float("inf"):
                outcome.detection_ms.append(max(refused_at - third, 0.0))
        return outcome

    def _schedule(self, delay: Milliseconds, event: Callable[[], None]) -> None:
        entry = self._now + delay, next(self._numbers), event
        heapq.heappush(self._events, entry)

    def _schedule_all(self) -> None:
        """Schedule the events that do not follow from other events."""
        history, rng = self._history, self._rng
        for index, interval in enumerate(history.crashing_intervals):
            self._schedule(
                rng.uniform(0.0, interval), self._crashing_arrivals(index, interval)
            )
        for kind in range(history.n_common):
            self._schedule(rng.uniform(0.0, 200.0), self._common_arrivals(kind))
        self._schedule(0.0, self._unique_arrival)
        self._schedule(FLUSH_MS, self._flush)
        for n_times, inject in (
            (history.n_crashes, self._crash_any),
            (history.n_kills, self._kill_any),
            (history.n_releases, self._release_any),
        ):
            for _ in range(n_times):
                self._schedule(rng.uniform(0.0, 0.8 * history.length), inject)

    def _flush(self) -> None:
        for node in self._nodes:
            node.reports.flush()
        self._schedule(FLUSH_MS, self._flush)

    # Nodes and their messages

    def _make_node(self, number: int) -> _Node:
        node = _Node(number, self._make_reports(number))
        node.instance = f"i-{next(self._numbers)}"
        return node

    def _make_reports(self, number: int) -> CrashReports:
        cfg = QuarantineSettings()
        rng = random.Random(self._rng.random())
        reports = CrashReports(
            cfg, _SERVICE, self._clock, rng, EventLog(str(number), self._clock)
        )
        reports.peers = lambda: {
            str(other.number): self._post(number, other)
            for other in self._nodes
            if other.number != number
        }
        return reports

    def _post(self, sender: int, receiver: _Node) -> Post:
        generation = receiver.generation

        def post(message: Message) -> None:
            rng, history = self._rng, self._history
            if rng.random() < history.loss_share:
                return
            delay = history.delay * rng.uniform(0.5, 2.0)
            if rng.random() < history.late_share:
                delay += rng.uniform(0.0, 500.0)

            def deliver() -> None:
                if receiver.generation == generation:
                    receiver.reports.handle(cast("Report", message), str(sender))

            self._schedule(delay, deliver)

        return post

    # Requests

    def _crashing_arrivals(
        self, index: int, interval: Milliseconds
    ) -> Callable[[], None]:
        def arrive() -> None:
            after = self._history.crash_after
            self._send(b"guilty-%09d" % index, after, crashing=index)
            self._schedule(interval * self._rng.uniform(0.7, 1.3), arrive)

        return arrive

    def _common_arrivals(self, kind: int) -> Callable[[], None]:
        def arrive() -> None:
            work = self._history.common_work * self._rng.uniform(0.5, 1.5)
            self._send(b"common-%09d" % kind, work)
            self._schedule(work + self._rng.uniform(10.0, 200.0), arrive)

        return arrive

    def _unique_arrival(self) -> None:
        work = self._history.unique_work * self._rng.uniform(0.5, 1.5)
        self._send(b"unique-%09d" % next(self._numbers), work)
        self._schedule(
            self._history.unique_every * self._rng.uniform(0.5, 1.5),
            self._unique_arrival,
        )

    def _send(
        self,
        fingerprint: bytes,
        work: Milliseconds,
        crashing: int = -1,
        retries: int = 1,
    ) -> None:
        entry = self._rng.choice(self._nodes)
        self._dispatch(_Request(fingerprint, work, entry, crashing, retries=retries))

    def _dispatch(self, req: _Request) -> None:
        """Send a request to a random server below its limit, unless quarantined."""
        if req.attempts == 1 and req.crashing < 0:
            self._outcome.harmless += 1
        if not req.entry.reports.may_be_sent(req.fingerprint):
            self._refuse(req)
            return
        free = [
            node
            for node in self._nodes
            if node.is_up
            and not node.is_draining
            and node.number not in req.tried
            and len(node.running) < self._history.slots
        ]
        if not free:
            self._retry(req)
            return
        node = self._rng.choice(free)
        if not node.reports.may_run(req.fingerprint):
            self._refuse(req)
            return
        self._begin(req, node)

    def _refuse(self, req: _Request) -> None:
        if req.crashing < 0:
            self._outcome.refused += 1
        else:
            first = min(self._refused_at[req.crashing], self._now)
            self._refused_at[req.crashing] = first

    def _begin(self, req: _Request, node: _Node) -> None:
        run = next(self._numbers)
        node.running[req] = run
        if req.crashing >= 0:
            self._arrived[req.crashing].append(self._now)

        def end() -> None:
            if node.running.get(req) != run:
                return
            if req.crashing >= 0:
                self._crashed[req.crashing].append(self._now)
                self._crash(node)
                return
            del node.running[req]
            node.reports.record_answer(req.fingerprint)
            req.entry.reports.record_answer(req.fingerprint)

        self._schedule(req.work, end)

    def _on_server_end(self, req: _Request, node: _Node) -> None:
        """Retry a request whose server ended, up to the maximum number of attempts."""
        req.tried.add(node.number)
        if len(req.tried) < self._history.max_attempts:
            req.attempts += 1
            self._dispatch(req)
        else:
            self._retry(req)

    def _retry(self, req: _Request) -> None:
        """Let the caller of a harmless request send it again after a pause."""
        if req.crashing < 0 and req.retries > 0:
            pause = self._rng.uniform(50.0, 500.0)
            again = req.fingerprint, req.work
            self._schedule(pause, lambda: self._send(*again, retries=req.retries - 1))

    # Crashes and restarts of servers

    def _crash(self, node: _Node) -> None:
        """End a server and its requests; unless planned, its node reports a crash."""
        running, node.running = node.running, {}
        node.is_up = False
        instance, reports = node.instance, node.reports
        fingerprints = frozenset(req.fingerprint for req in running)
        if fingerprints and not node.is_draining:
            notice_delay = self._rng.uniform(0.5, 10.0)
            self._schedule(
                notice_delay, lambda: reports.report_crash(instance, fingerprints)
            )
        for req in running:
            self._schedule(0.2, _bind(self._on_server_end, req, node))
        self._schedule(self._history.down, lambda: self._start(node))

    def _start(self, node: _Node) -> None:
        node.is_up = True
        node.is_draining = False
        node.instance = f"i-{next(self._numbers)}"
        for other in self._nodes:
            other.reports.resolve_server(str(node.number), _SERVICE, node.instance)

    def _crash_any(self) -> None:
        up = [node for node in self._nodes if node.is_up]
        if up:
            self._crash(self._rng.choice(up))

    def _kill_any(self) -> None:
        """Kill a server together with its node, which loses its state."""
        up = [node for node in self._nodes if node.is_up]
        if not up:
            return
        node = self._rng.choice(up)
        running, node.running = node.running, {}
        node.is_up = False
        node.generation += 1
        for req in running:
            if req.entry is not node:
                req.entry.reports.record_lost_link(
                    str(node.number), node.instance, req.fingerprint
                )
                self._schedule(0.2, _bind(self._on_server_end, req, node))
        node.reports = self._make_reports(node.number)
        self._schedule(self._history.down, lambda: self._start_with_node(node))

    def _start_with_node(self, node: _Node) -> None:
        for other in self._nodes:
            if other is not node:
                other.reports.send_snapshot(self._post(other.number, node))
        self._start(node)

    def _release_any(self) -> None:
        """Begin a planned stop: the server accepts no requests and ends later."""
        up = [node for node in self._nodes if node.is_up and not node.is_draining]
        if not up:
            return
        node = self._rng.choice(up)
        node.is_draining = True
        self._schedule(1_500.0, lambda: self._crash(node) if node.is_draining else None)


def _bind(
    do: Callable[[_Request, _Node], None], req: _Request, node: _Node
) -> Callable[[], None]:
    """Return `do` with its arguments bound, as a loop variable would change."""
    return lambda: do(req, node)


def simulate_history(seed: int) -> tuple[History, Outcome]:
    """Draw the history of a seed and simulate it."""
    rng = random.Random(seed)
    history = History.draw(rng)
    return history, _Simulation(history, rng).run()


@dataclass(slots=True)
class Totals:
    """Totals over histories with the same number of crashing requests.

    Attributes
    ----------
    histories : int
        Number of histories.
    harmless, refused : int
        Harmless requests received, and refusals of them.
    n_with_refusals : int
        Histories in which harmless requests were refused.
    crashing : int
        Crashing requests that crashed at least three servers.
    violations : int
        Crashing requests with more than `MAX_LATE_ARRIVALS` late arrivals.
    max_crashes : int
        Maximum number of servers crashed by one request.
    detection_ms : list of float
        See `Outcome`.
    """

    histories: int = 0
    harmless: int = 0
    refused: int = 0
    n_with_refusals: int = 0
    crashing: int = 0
    violations: int = 0
    max_crashes: int = 0
    detection_ms: list[Milliseconds] = field(default_factory=list)

    def add(self, outcome: Outcome) -> None:
        """Add the result of one history."""
        self.histories += 1
        self.harmless += outcome.harmless
        self.refused += outcome.refused
        self.n_with_refusals += outcome.refused > 0
        self.crashing += sum(n >= 3 for n in outcome.crashes)
        self.violations += sum(n > MAX_LATE_ARRIVALS for n in outcome.late_arrivals)
        self.max_crashes = max([self.max_crashes, *outcome.crashes])
        self.detection_ms += outcome.detection_ms

    def row(self, name: str) -> str:
        """Return the totals as a row of the printed table."""
        detection_ms = sorted(self.detection_ms)
        median = detection_ms[len(detection_ms) // 2] if detection_ms else 0.0
        p99 = detection_ms[int(len(detection_ms) * 0.99)] if detection_ms else 0.0
        return (
            f"| {name} | {self.histories} | {self.harmless} | {self.refused}"
            f" (in {self.n_with_refusals}) | {self.crashing} | {self.violations}"
            f" | {self.max_crashes} | {median / MS_PER_S:.1f}"
            f" | {p99 / MS_PER_S:.1f} |"
        )


def simulate_histories(seeds: Iterable[int]) -> tuple[dict[int, Totals], list[int]]:
    """Simulate the histories of some seeds.

    Parameters
    ----------
    seeds : iterable of int
        Seeds of the histories.

    Returns
    -------
    tables : dict of int to Totals
        Totals by number of crashing requests in a history.
    bad : list of int
        Seeds in which a crashing request arrived too often, or harmless requests were
        refused although no request crashes servers.
    """
    tables: dict[int, Totals] = {}
    bad = []
    for seed in seeds:
        history, outcome = simulate_history(seed)
        n_crashing = len(history.crashing_intervals)
        tables.setdefault(n_crashing, Totals()).add(outcome)
        is_violated = any(n > MAX_LATE_ARRIVALS for n in outcome.late_arrivals)
        if is_violated or (outcome.refused and not n_crashing):
            bad.append(seed)
    return tables, bad


def main(argv: list[str]) -> int:
    """Simulate histories and print the table; return 1 if any seed is bad."""
    n_histories = int(argv[1]) if len(argv) > 1 else 1_000
    first = int(argv[2]) if len(argv) > 2 else 0
    tables, bad = simulate_histories(range(first, first + n_histories))
    print(
        "| crashing | histories | harmless | refused | crashing with three crashes"
        " | bound violated | max crashes | detection s, median | 99th percentile |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for n_crashing, table in sorted(tables.items()):
        print(table.row(str(n_crashing)))
    print(f"seeds with violations: {bad[:40]}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
