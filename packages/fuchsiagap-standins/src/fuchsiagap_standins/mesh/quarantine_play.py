"""Random histories of a service whose servers crash, against one who knows the truth.

Only the decisions and the messages of the nodes are real; servers, callers and links
are events on a virtual time line, so that a history takes a fraction of a second. Run
as ``python -m fuchsiagap_standins.mesh.quarantine_play [HISTORIES] [FIRST_SEED]``.
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

# Milliseconds after the third crash from which arrivals count, and how many may come.
CONTACT_MS = 3_000.0
MOST_LATE = 3
_SERVICE = "certs"


@dataclass(frozen=True, slots=True)
class History:
    """What happens in one history; times in milliseconds.

    Parameters
    ----------
    n_nodes, slots, max_attempts : int
        Nodes with a server each, places of a server, servers for one attempt.
    length, down : float
        Length, and time until a server that ended is back.
    guilty_every : tuple of float
        For each request that crashes servers, the time between two arrivals.
    crash_after : float
        Time from its begin to the crash.
    n_common : int
        Kinds that are always at work.
    common_work, unique_work : float
        Work of such a request, and of requests that each come once.
    unique_every : float
        Time between two of the latter.
    n_crashes, n_kills, n_releases : int
        Crashes for other reasons, hosts that are killed, and planned ends.
    delay, lost, late : float
        Time of a message on the way; shares of messages that are lost, and late.
    """

    n_nodes: int
    slots: int
    max_attempts: int
    length: Milliseconds
    down: Milliseconds
    guilty_every: tuple[Milliseconds, ...]
    crash_after: Milliseconds
    n_common: int
    common_work: Milliseconds
    unique_work: Milliseconds
    unique_every: Milliseconds
    n_crashes: int
    n_kills: int
    n_releases: int
    delay: Milliseconds
    lost: float
    late: float

    @classmethod
    def draw(cls, rng: random.Random) -> History:
        """Return one at random."""

        def spread(least: float, most: float) -> float:
            return least * float((most / least) ** rng.random())

        n_guilty = rng.choice((0, 0, 1, 1, 2, 3))
        return cls(
            n_nodes=rng.choice((2, 3, 5, 8, 12, 24)),
            slots=rng.randint(1, 32),
            max_attempts=rng.randint(1, 3),
            length=rng.uniform(20_000.0, 40_000.0),
            down=rng.uniform(1_000.0, 4_000.0),
            guilty_every=tuple(spread(200.0, 10_000.0) for _ in range(n_guilty)),
            crash_after=spread(5.0, 1_000.0),
            n_common=rng.choice((0, 1, 5, 20, 60)),
            common_work=spread(5.0, 2_000.0),
            unique_work=spread(5.0, 2_000.0),
            unique_every=spread(20.0, 500.0),
            n_crashes=rng.choice((0, 0, 3, 30)),
            n_kills=rng.choice((0, 0, 1, 5)),
            n_releases=rng.choice((0, 0, 2, 10)),
            delay=spread(0.2, 5.0),
            lost=rng.choice((0.0, 0.0, 0.02)),
            late=rng.choice((0.0, 0.0, 0.05)),
        )


@dataclass(slots=True)
class Verdict:
    """What became of a history.

    Attributes
    ----------
    innocent, refused : int
        Arrivals of innocent requests at entries, and how many of them were refused.
    crashes : list of int
        For each guilty request, the servers that it crashed.
    late : list of int
        For each, its arrivals later than `CONTACT_MS` after the third crash.
    known : list of float
        For each that crashed three, the milliseconds until it was first refused.
    """

    innocent: int = 0
    refused: int = 0
    crashes: list[int] = field(default_factory=list)
    late: list[int] = field(default_factory=list)
    known: list[Milliseconds] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Asked:
    """A request on its way."""

    fingerprint: bytes
    work: Milliseconds
    entry: _Node
    guilty: int = -1
    attempts: int = 1
    retries: int = 1
    tried: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Node:
    """A node and the server beside it."""

    number: int
    reports: CrashReports
    life: int = 0
    instance: str = ""
    is_up: bool = True
    is_leaving: bool = False
    at_work: dict[_Asked, int] = field(default_factory=dict)


class _Play:
    """One history on its time line."""

    def __init__(self, history: History, rng: random.Random) -> None:
        self._history = history
        self._rng = rng
        self._now = 0.0
        self._clock = Clock(lambda: self._now, lambda: 0.0)
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._nodes = [self._add(number) for number in range(history.n_nodes)]
        n_guilty = len(history.guilty_every)
        self._arrived: list[list[float]] = [[] for _ in range(n_guilty)]
        self._crashed: list[list[float]] = [[] for _ in range(n_guilty)]
        self._refused_at = [float("inf")] * n_guilty
        self._verdict = Verdict()

    def run(self) -> Verdict:
        """Play it."""
        self._schedule_all()
        length = self._history.length
        while self._events and self._events[0][0] <= length:
            self._now, _, event = heapq.heappop(self._events)
            event()
        verdict = self._verdict
        for arrived, crashed, refused_at in zip(
            self._arrived, self._crashed, self._refused_at, strict=True
        ):
            third = crashed[2] if len(crashed) > 2 else float("inf")
            verdict.crashes.append(len(crashed))
            verdict.late.append(sum(at > third + CONTACT_MS for at in arrived))
            if refused_at < float("inf"):
                verdict.known.append(max(refused_at - third, 0.0))
        return verdict

    def _at(self, delay: Milliseconds, event: Callable[[], None]) -> None:
        entry = self._now + delay, next(self._numbers), event
        heapq.heappush(self._events, entry)

    def _schedule_all(self) -> None:
        """Put on the time line what does not follow from anything else."""
        history, rng = self._history, self._rng
        for index, every in enumerate(history.guilty_every):
            self._at(rng.uniform(0.0, every), self._guilty(index, every))
        for kind in range(history.n_common):
            self._at(rng.uniform(0.0, 200.0), self._common(kind))
        self._at(0.0, self._unique)
        self._at(FLUSH_MS, self._flush)
        for n_times, happens in (
            (history.n_crashes, self._crash_any),
            (history.n_kills, self._kill_any),
            (history.n_releases, self._release_any),
        ):
            for _ in range(n_times):
                self._at(rng.uniform(0.0, 0.8 * history.length), happens)

    def _flush(self) -> None:
        for node in self._nodes:
            node.reports.flush()
        self._at(FLUSH_MS, self._flush)

    # Nodes and what they tell each other

    def _add(self, number: int) -> _Node:
        node = _Node(number, self._reports(number))
        node.instance = f"i-{next(self._numbers)}"
        return node

    def _reports(self, number: int) -> CrashReports:
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
        life = receiver.life

        def post(message: Message) -> None:
            rng, history = self._rng, self._history
            if rng.random() < history.lost:
                return
            delay = history.delay * rng.uniform(0.5, 2.0)
            if rng.random() < history.late:
                delay += rng.uniform(0.0, 500.0)

            def take() -> None:
                if receiver.life == life:
                    receiver.reports.handle(cast("Report", message), str(sender))

            self._at(delay, take)

        return post

    # Requests

    def _guilty(self, index: int, every: Milliseconds) -> Callable[[], None]:
        def come() -> None:
            after = self._history.crash_after
            self._ask(b"guilty-%09d" % index, after, guilty=index)
            self._at(every * self._rng.uniform(0.7, 1.3), come)

        return come

    def _common(self, kind: int) -> Callable[[], None]:
        def come() -> None:
            work = self._history.common_work * self._rng.uniform(0.5, 1.5)
            self._ask(b"common-%09d" % kind, work)
            self._at(work + self._rng.uniform(10.0, 200.0), come)

        return come

    def _unique(self) -> None:
        work = self._history.unique_work * self._rng.uniform(0.5, 1.5)
        self._ask(b"unique-%09d" % next(self._numbers), work)
        self._at(self._history.unique_every * self._rng.uniform(0.5, 1.5), self._unique)

    def _ask(
        self, fingerprint: bytes, work: Milliseconds, guilty: int = -1, retries: int = 1
    ) -> None:
        entry = self._rng.choice(self._nodes)
        self._place(_Asked(fingerprint, work, entry, guilty, retries=retries))

    def _place(self, asked: _Asked) -> None:
        """Send a request to a server that has room, unless it is held."""
        if asked.attempts == 1 and asked.guilty < 0:
            self._verdict.innocent += 1
        if not asked.entry.reports.may_be_sent(asked.fingerprint):
            self._refuse(asked)
            return
        free = [
            node
            for node in self._nodes
            if node.is_up
            and not node.is_leaving
            and node.number not in asked.tried
            and len(node.at_work) < self._history.slots
        ]
        if not free:
            self._retry(asked)
            return
        node = self._rng.choice(free)
        if not node.reports.may_run(asked.fingerprint):
            self._refuse(asked)
            return
        self._begin(asked, node)

    def _refuse(self, asked: _Asked) -> None:
        if asked.guilty < 0:
            self._verdict.refused += 1
        else:
            first = min(self._refused_at[asked.guilty], self._now)
            self._refused_at[asked.guilty] = first

    def _begin(self, asked: _Asked, node: _Node) -> None:
        run = next(self._numbers)
        node.at_work[asked] = run
        if asked.guilty >= 0:
            self._arrived[asked.guilty].append(self._now)

        def end() -> None:
            if node.at_work.get(asked) != run:
                return
            if asked.guilty >= 0:
                self._crashed[asked.guilty].append(self._now)
                self._crash(node)
                return
            del node.at_work[asked]
            node.reports.record_answer(asked.fingerprint)
            asked.entry.reports.record_answer(asked.fingerprint)

        self._at(asked.work, end)

    def _unanswered(self, asked: _Asked, node: _Node) -> None:
        """Repeat a request whose server ended, as far as its attempts go."""
        asked.tried.add(node.number)
        if len(asked.tried) < self._history.max_attempts:
            asked.attempts += 1
            self._place(asked)
        else:
            self._retry(asked)

    def _retry(self, asked: _Asked) -> None:
        """Let the caller of an innocent request try once more."""
        if asked.guilty < 0 and asked.retries > 0:
            pause = self._rng.uniform(50.0, 500.0)
            again = asked.fingerprint, asked.work
            self._at(pause, lambda: self._ask(*again, retries=asked.retries - 1))

    # Ends of servers

    def _crash(self, node: _Node) -> None:
        """End a server with all that it runs; the node beside it notices."""
        at_work, node.at_work = node.at_work, {}
        node.is_up = False
        instance, reports = node.instance, node.reports
        prints = frozenset(asked.fingerprint for asked in at_work)
        if prints and not node.is_leaving:
            notice = self._rng.uniform(0.5, 10.0)
            self._at(notice, lambda: reports.report_crash(instance, prints))
        for asked in at_work:
            self._at(0.2, _bind(self._unanswered, asked, node))
        self._at(self._history.down, lambda: self._start(node))

    def _start(self, node: _Node) -> None:
        node.is_up = True
        node.is_leaving = False
        node.instance = f"i-{next(self._numbers)}"
        for other in self._nodes:
            other.reports.resolve_server(str(node.number), _SERVICE, node.instance)

    def _crash_any(self) -> None:
        up = [node for node in self._nodes if node.is_up]
        if up:
            self._crash(self._rng.choice(up))

    def _kill_any(self) -> None:
        """End a server with the node beside it, which forgets all it knew."""
        up = [node for node in self._nodes if node.is_up]
        if not up:
            return
        node = self._rng.choice(up)
        at_work, node.at_work = node.at_work, {}
        node.is_up = False
        node.life += 1
        for asked in at_work:
            if asked.entry is not node:
                asked.entry.reports.record_lost_link(
                    str(node.number), node.instance, asked.fingerprint
                )
                self._at(0.2, _bind(self._unanswered, asked, node))
        node.reports = self._reports(node.number)
        self._at(self._history.down, lambda: self._start_anew(node))

    def _start_anew(self, node: _Node) -> None:
        for other in self._nodes:
            if other is not node:
                other.reports.send_snapshot(self._post(other.number, node))
        self._start(node)

    def _release_any(self) -> None:
        """Let a server leave as planned: it takes nothing new and ends later."""
        up = [node for node in self._nodes if node.is_up and not node.is_leaving]
        if not up:
            return
        node = self._rng.choice(up)
        node.is_leaving = True
        self._at(1_500.0, lambda: self._crash(node) if node.is_leaving else None)


def _bind(
    do: Callable[[_Asked, _Node], None], asked: _Asked, node: _Node
) -> Callable[[], None]:
    """Return a call with its arguments."""
    return lambda: do(asked, node)


def play_history(seed: int) -> tuple[History, Verdict]:
    """Play the history of a seed."""
    rng = random.Random(seed)
    history = History.draw(rng)
    return history, _Play(history, rng).run()


@dataclass(slots=True)
class Table:
    """Sums over histories with so many guilty requests."""

    histories: int = 0
    innocent: int = 0
    refused: int = 0
    with_refused: int = 0
    guilty: int = 0
    broken: int = 0
    most_crashes: int = 0
    known: list[Milliseconds] = field(default_factory=list)

    def add(self, verdict: Verdict) -> None:
        """Add what became of a history."""
        self.histories += 1
        self.innocent += verdict.innocent
        self.refused += verdict.refused
        self.with_refused += verdict.refused > 0
        self.guilty += sum(n >= 3 for n in verdict.crashes)
        self.broken += sum(n > MOST_LATE for n in verdict.late)
        self.most_crashes = max([self.most_crashes, *verdict.crashes])
        self.known += verdict.known

    def row(self, name: str) -> str:
        """Return it as a line of a table."""
        known = sorted(self.known)
        median = known[len(known) // 2] if known else 0.0
        rare = known[int(len(known) * 0.99)] if known else 0.0
        return (
            f"| {name} | {self.histories} | {self.innocent} | {self.refused}"
            f" (in {self.with_refused}) | {self.guilty} | {self.broken}"
            f" | {self.most_crashes} | {median / MS_PER_S:.1f}"
            f" | {rare / MS_PER_S:.1f} |"
        )


def play_many(seeds: Iterable[int]) -> tuple[dict[int, Table], list[int]]:
    """Play histories; return sums by the number of guilty requests, and bad seeds."""
    tables: dict[int, Table] = {}
    bad = []
    for seed in seeds:
        history, verdict = play_history(seed)
        n_guilty = len(history.guilty_every)
        tables.setdefault(n_guilty, Table()).add(verdict)
        is_broken = any(n > MOST_LATE for n in verdict.late)
        if is_broken or (verdict.refused and not n_guilty):
            bad.append(seed)
    return tables, bad


def main(argv: list[str]) -> int:
    """Play histories and print the table."""
    n_histories = int(argv[1]) if len(argv) > 1 else 1_000
    first = int(argv[2]) if len(argv) > 2 else 0
    tables, bad = play_many(range(first, first + n_histories))
    print(
        "| guilty | histories | innocent | refused | guilty with three crashes"
        " | bound broken | most crashes | known s, median | 99 in 100 |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for n_guilty, table in sorted(tables.items()):
        print(table.row(str(n_guilty)))
    print(f"seeds to look at: {bad[:40]}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
