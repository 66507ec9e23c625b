"""How the node beside a backend server notices that it has crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.door.incarnation import BackendState
from fuchsiagap.core.quarantine.crash_watch import CrashWatch
from fuchsiagap_node.core.mesh.outcome import OTHER_INCARNATION, Answered, NotRun
from fuchsiagap_node.core.mesh.stream import RefusedStream, SilentStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.door.incarnation import BackendReport
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.job import Job
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.stream import BrokenStream

# Requests that a line about a crash names, at most.
_MOST_NAMED = 8


class ServerCrashes:
    """Distinguishes crashes of the own server from planned ends, and what it ran.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs.
    at_work : callable
        Returns the fingerprints of the requests that the server runs now.

    Attributes
    ----------
    on_crash : callable
        Called with the incarnation that crashed and the fingerprints that it ran.
    """

    def __init__(
        self, clock: Clock, event_log: EventLog, at_work: Callable[[], frozenset[bytes]]
    ) -> None:
        self._clock = clock
        self._event_log = event_log
        self._at_work = at_work
        self._watch = CrashWatch()
        self._is_ready = False
        self.on_crash: Callable[[str, frozenset[bytes]], None] = _ignore

    @property
    def is_doubted(self) -> bool:
        """Whether a request ended without an answer and no other had one since."""
        return self._watch.has_unanswered

    def record_report(self, report: BackendReport, is_same_start: bool) -> None:
        """Record which incarnation is believed in now, and its state."""
        if not is_same_start:
            self._crashed("another incarnation")
            self._start(report)
        self._is_ready = report.state is BackendState.READY

    def revert(self, report: BackendReport) -> None:
        """Go by an earlier one again: the other may never have been here."""
        self._start(report)
        self._is_ready = report.state is BackendState.READY

    def _start(self, report: BackendReport) -> None:
        start = f"{report.instance} {report.born or ''}".rstrip()
        self._watch.start_incarnation(start, self._clock.now())

    def record_answer(self, outcome: Outcome) -> None:
        """Record what the server said; another incarnation speaks for itself."""
        if isinstance(outcome, NotRun) and outcome.reason == OTHER_INCARNATION:
            return
        if isinstance(outcome, NotRun | Answered):
            self._watch.record_answer(self._clock.now())

    def record_unanswered(self, job: Job) -> None:
        """Record that a call got no answer."""
        one = job.call.fingerprint
        crashed = self._watch.record_unanswered(one, job.started, self._clock.now())
        if crashed:
            self._report_crash(crashed, "found out later", frozenset({one}))

    def record_unreachable(self, cause: BrokenStream) -> None:
        """Record that the server accepted no connection."""
        is_gone = isinstance(cause, RefusedStream | SilentStream)
        if is_gone and self.is_doubted:
            self._crashed("no connection")

    def record_heartbeat_timeout(self) -> None:
        """Record that neither heartbeats nor answers have come for too long."""
        self._crashed("no heartbeat")

    def _crashed(self, evidence: str) -> None:
        """Report a crash, unless the server was leaving or ran nothing.

        What breaks at a server that drains or has left is its planned end.
        """
        if not self._is_ready or self._watch.has_crashed:
            return
        at_work = self._watch.record_crash(self._at_work())
        if at_work:
            self._report_crash(self._watch.incarnation, evidence, at_work)

    def _report_crash(
        self, incarnation: str, evidence: str, at_work: frozenset[bytes]
    ) -> None:
        self._event_log.event(
            "backend-crashed",
            incarnation=incarnation,
            evidence=evidence,
            requests=len(at_work),
            fingerprints=[f.hex() for f in sorted(at_work)[:_MOST_NAMED]],
        )
        self.on_crash(incarnation, at_work)


def _ignore(_: str, __: frozenset[bytes]) -> None:
    """Do nothing."""
