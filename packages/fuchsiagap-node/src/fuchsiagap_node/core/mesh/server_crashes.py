"""Detection of crashes of the backend server on this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.incarnation import BackendState
from fuchsiagap.core.quarantine.crash_tracker import CrashTracker
from fuchsiagap_node.core.mesh.outcome import OTHER_INCARNATION, Answered, NotRun
from fuchsiagap_node.core.mesh.stream import RefusedStream, SilentStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.backend_queue.incarnation import BackendReport
    from fuchsiagap.core.clock import Clock
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.pending_call import PendingCall
    from fuchsiagap_node.core.mesh.stream import BrokenStream

# Requests that the log event of a crash names, at most.
_MAX_FINGERPRINTS_LOGGED = 8


class ServerCrashes:
    """Distinguishes crashes of the server from planned stops, and reports crashes.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log.
    running_fingerprints : callable
        Returns the fingerprints of the requests that the server runs now.

    Attributes
    ----------
    on_crash : callable
        Called with the incarnation that crashed and the fingerprints of the requests
        that it ran.
    """

    def __init__(
        self,
        clock: Clock,
        event_log: EventLog,
        running_fingerprints: Callable[[], frozenset[bytes]],
    ) -> None:
        self._clock = clock
        self._event_log = event_log
        self._running_fingerprints = running_fingerprints
        self._crash_tracker = CrashTracker()
        self._is_ready = False
        self.on_crash: Callable[[str, frozenset[bytes]], None] = _ignore

    @property
    def is_suspected(self) -> bool:
        """Whether a request ended without an answer and none was answered since."""
        return self._crash_tracker.has_unanswered

    def record_report(self, report: BackendReport, is_same_start: bool) -> None:
        """Record the current incarnation and its state.

        Parameters
        ----------
        report : BackendReport
            Last report of the server.
        is_same_start : bool
            Whether the report before it was of the same incarnation.
        """
        if not is_same_start:
            self._record_crash("another incarnation")
            self._start(report)
        self._is_ready = report.state is BackendState.READY

    def revert(self, report: BackendReport) -> None:
        """Revert to an earlier incarnation, whose successor was reported by mistake."""
        self._start(report)
        self._is_ready = report.state is BackendState.READY

    def _start(self, report: BackendReport) -> None:
        start = f"{report.instance} {report.born or ''}".rstrip()
        self._crash_tracker.start_incarnation(start, self._clock.now())

    def record_answer(self, outcome: Outcome) -> None:
        """Record an answer or refusal of the server.

        A refusal by another incarnation is no sign of life of the current one.
        """
        if isinstance(outcome, NotRun) and outcome.reason == OTHER_INCARNATION:
            return
        if isinstance(outcome, NotRun | Answered):
            self._crash_tracker.record_answer(self._clock.now())

    def record_unanswered(self, pending: PendingCall) -> None:
        """Record that a call ended without an answer."""
        fingerprint = pending.call.fingerprint
        crashed = self._crash_tracker.record_unanswered(
            fingerprint, pending.started, self._clock.now()
        )
        if crashed:
            self._report_crash(
                crashed, "unanswered after an earlier crash", frozenset({fingerprint})
            )

    def record_unreachable(self, cause: BrokenStream) -> None:
        """Record that the server accepted no connection."""
        is_gone = isinstance(cause, RefusedStream | SilentStream)
        if is_gone and self.is_suspected:
            self._record_crash("no connection")

    def record_heartbeat_timeout(self) -> None:
        """Record that neither heartbeats nor answers came within the time-out."""
        self._record_crash("no heartbeat")

    def _record_crash(self, evidence: str) -> None:
        """Report a crash, unless the server was draining or ran no requests.

        Connections that break while a server drains or after it left are part of a
        planned stop.
        """
        if not self._is_ready or self._crash_tracker.has_crashed:
            return
        running_fingerprints = self._crash_tracker.record_crash(
            self._running_fingerprints()
        )
        if running_fingerprints:
            self._report_crash(
                self._crash_tracker.incarnation, evidence, running_fingerprints
            )

    def _report_crash(
        self, incarnation: str, evidence: str, running_fingerprints: frozenset[bytes]
    ) -> None:
        self._event_log.event(
            "backend-crashed",
            incarnation=incarnation,
            evidence=evidence,
            requests=len(running_fingerprints),
            fingerprints=[
                f.hex() for f in sorted(running_fingerprints)[:_MAX_FINGERPRINTS_LOGGED]
            ],
        )
        self.on_crash(incarnation, running_fingerprints)


def _ignore(_: str, __: frozenset[bytes]) -> None:
    """Ignore a crash."""
