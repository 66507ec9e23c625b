"""Which incarnation of the backend server a node currently serves, and its state."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds

# Maximum number of departed incarnations that are remembered, so that a delayed
# heartbeat does not make one current again. A node sees only a few per day; the bound
# only limits memory.
_MAX_DEPARTED = 1_000
# Number of successive heartbeats with an earlier start time, without one of the current
# incarnation in between, after which the earlier start is accepted as current: the wall
# clock of its host was set back. Delayed heartbeats seldom arrive in such a sequence;
# if they do, the next heartbeat of the running incarnation corrects the mistake.
_EARLIER_START_REPORTS = 3
# Maximum milliseconds by which a report is assumed to be delayed.
MAX_REPORT_DELAY_MS = 10_000.0
# Number of heartbeats, received after a departure that was announced without a start
# time, that show that an earlier incarnation of the same identifier announced it. One
# or two may have been delayed and stem from the departed incarnation itself.
_REPORTS_AFTER_DEPARTURE = 3


class BackendState(Enum):
    """State of a backend server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class BackendReport:
    """A heartbeat of a backend server.

    Parameters
    ----------
    instance : str
        Identifier of the server; may be unchanged after a restart.
    state : BackendState
        State; `BackendState.GONE` announces its departure.
    sequence : int, default=0
        Number that increases with each report of an incarnation.
    address : str, default=""
        ``IP:PORT`` at which it accepts requests.
    slots : int, default=1
        Requests that it runs concurrently.
    warm_up : float, default=0.0
        Milliseconds of its warm-up that are left, during which it is slower.
    service : str, default=""
        Service that it belongs to.
    born : int or None, default=None
        Start time in Unix milliseconds by the clock of its host; with the identifier it
        identifies an incarnation. None if not given.
    """

    instance: str
    state: BackendState
    sequence: int = 0
    address: str = ""
    slots: int = 1
    warm_up: float = 0.0
    service: str = ""
    born: int | None = None

    def is_same_start(self, other: BackendReport) -> bool:
        """Whether two reports are of one incarnation.

        A report without a start time matches any start of the same identifier.

        Parameters
        ----------
        other : BackendReport
            Report to compare with.
        """
        if self.instance != other.instance:
            return False
        return None in (self.born, other.born) or self.born == other.born

    def starts_before(self, other: BackendReport) -> bool:
        """Whether this report has an earlier start time than another.

        Parameters
        ----------
        other : BackendReport
            Report of the same identifier.
        """
        if self.born is None or other.born is None:
            return False
        return self.born < other.born


class IncarnationTracker:
    """Decides from heartbeats which incarnation of the backend server is current.

    An incarnation is an identifier and its start time. For one identifier, the latest
    start is current, and reports of an earlier one do not replace it, however late they
    arrive; within an incarnation, the highest sequence number counts. Two identifiers
    cannot be ordered by a number, so the server itself decides which one is running:
    see `refute`.

    If the wall clock is set back while the server is down, the new incarnation looks
    like an earlier one; it is accepted after several heartbeats in a row. If the later
    start has announced its departure, only heartbeats that arrive too long after it to
    be delayed count, since they would revoke the departure. A clock that is set forward
    has no effect before the next start, for which the same holds.

    A departure without a start time is attributed to the current incarnation, since
    sending new requests to a departed server is worse than sending none to a running
    one. If an earlier incarnation of the identifier never announced its departure, the
    announcement may stem from that incarnation, so several later heartbeats revoke it.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.

    Attributes
    ----------
    report : BackendReport or None
        Newest report of the current incarnation; None before the first.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.report: BackendReport | None = None
        self._departed: dict[str, BackendReport] = {}
        self._superseded: dict[str, BackendReport] = {}
        # Time at which the current incarnation announced its departure.
        self._left_at: Milliseconds = float("-inf")
        # Departed incarnations, by identifier and start time.
        self._departed_starts: dict[tuple[str, int | None], None] = {}
        # Latest heartbeat of an earlier start of the current identifier, and number of
        # such heartbeats in a row.
        self._earlier: BackendReport | None = None
        self._n_earlier = 0
        # Last report of the later start that was replaced by an earlier one.
        self._later: BackendReport | None = None
        # Identifiers with an earlier incarnation whose departure was never announced,
        # and heartbeats since a departure that may have been that incarnation's.
        self._unannounced: set[str] = set()
        self._doubted: dict[str, int] = {}

    def update(self, report: BackendReport) -> bool:
        """Apply a report.

        Parameters
        ----------
        report : BackendReport
            Report; it may be delayed or repeated.

        Returns
        -------
        bool
            Whether the current report was replaced, even by one with the same state.
        """
        was_ready = self.report is None or self.report.state is BackendState.READY
        is_new = self._apply(report)
        if was_ready and self.report and self.report.state is not BackendState.READY:
            self._left_at = self._clock.now()
        return is_new

    def _apply(self, report: BackendReport) -> bool:
        """Apply a report; return whether the current report was replaced."""
        later = self._later
        if later is not None and _is_same_incarnation(later, report):
            is_departure = report.state is BackendState.GONE
            is_outdated = report.sequence <= later.sequence and not is_departure
            if later.state is BackendState.GONE or is_outdated:
                return False
            self._later = None
            report = report if is_departure else _newer(later, report)
        known = self._latest_report(report.instance)
        if known is not None and report.starts_before(known):
            return self._apply_earlier_start(report)
        current = self.report
        if current is not None and current.instance == report.instance:
            self._earlier = None
        if known is not None and known.starts_before(report):
            return self._apply_later_start(report, known)
        return self._apply_in_order(report)

    def _latest_report(self, instance: str) -> BackendReport | None:
        """Return the newest report of an identifier, whatever its state."""
        if instance in self._departed:
            return self._departed[instance]
        if self.report is not None and self.report.instance == instance:
            return self.report
        return self._superseded.get(instance)

    def _apply_later_start(self, report: BackendReport, known: BackendReport) -> bool:
        """Apply a report of an incarnation that started after the known one."""
        instance = report.instance
        if known.state is not BackendState.GONE:
            self._unannounced.add(instance)
        self._departed.pop(instance, None)
        self._superseded.pop(instance, None)
        self._doubted.pop(instance, None)
        if self.report is None or self.report.instance != instance:
            return self._apply_in_order(report)
        self.report = report
        if report.state is BackendState.GONE:
            self._depart(report)
        return True

    def _apply_earlier_start(self, report: BackendReport) -> bool:
        """Apply a report of an incarnation that started before the known one."""
        current = self.report
        if (
            report.state is not BackendState.READY
            or current is None
            or current.instance != report.instance
            or (report.instance, report.born) in self._departed_starts
            or self._has_just_left(current)
        ):
            return False
        last = self._earlier
        if last is None or last.born != report.born:
            self._n_earlier = 0
        elif report.sequence <= last.sequence:
            return False
        self._earlier = report
        self._n_earlier += 1
        if self._n_earlier < _EARLIER_START_REPORTS:
            return False
        self._earlier = None
        self._later = current
        return self._apply_later_start(report, current)

    def _has_just_left(self, current: BackendReport) -> bool:
        """Whether reports of starts before a departed one may still be delayed."""
        left_for = self._clock.now() - self._left_at
        return (
            current.state is not BackendState.READY and left_for < MAX_REPORT_DELAY_MS
        )

    def _apply_in_order(self, report: BackendReport) -> bool:
        """Apply a report of the known incarnation, or of a new identifier."""
        if report.instance in self._departed:
            return self._apply_after_departure(report)
        if report.state is BackendState.GONE:
            return self._depart(report)
        old = self.report
        if old is not None and old.instance == report.instance:
            newer = _newer(old, report)
            self.report = newer
            return newer is not old
        if report.instance in self._superseded:
            known = self._superseded[report.instance]
            self._superseded[report.instance] = _newer(known, report)
            return False
        if old is not None:
            serves = old.state is BackendState.READY
            if serves and report.state is BackendState.DRAINING:
                # No incarnation starts out draining, so this is a delayed report of an
                # earlier one.
                self._supersede(report)
                return False
            self._supersede(old)
        self.report = report
        return True

    def _apply_after_departure(self, report: BackendReport) -> bool:
        """Apply a heartbeat of a departed identifier.

        Several of them revoke a departure that an earlier incarnation may have sent.
        """
        instance = report.instance
        last = self._departed[instance]
        if (
            instance not in self._doubted
            or report.state is not BackendState.READY
            or report.sequence <= last.sequence
        ):
            return False
        self._departed[instance] = replace(last, sequence=report.sequence)
        self._doubted[instance] += 1
        if self._doubted[instance] < _REPORTS_AFTER_DEPARTURE:
            return False
        del self._doubted[instance], self._departed[instance]
        self._departed_starts.pop((instance, report.born), None)
        if self.report is not None and self.report.instance != instance:
            return self._apply_in_order(report)
        self.report = report
        return True

    def has_departed(self, report: BackendReport) -> bool:
        """Whether the incarnation of a report is known to drain or to have departed.

        Parameters
        ----------
        report : BackendReport
            Report of the incarnation.
        """
        if (report.instance, report.born) in self._departed_starts:
            return True
        known = self._latest_report(report.instance)
        return (
            known is not None
            and known.is_same_start(report)
            and known.state is not BackendState.READY
        )

    def start_of(self, report: BackendReport) -> int | None:
        """Return the start time of the incarnation of a report, if known.

        Parameters
        ----------
        report : BackendReport
            Report of the incarnation, which may not state it.
        """
        known = self._latest_report(report.instance)
        if report.born is not None or known is None:
            return report.born
        return known.born

    def refute(self, instance: str) -> bool:
        """Apply the server's statement that it is not the given incarnation.

        Parameters
        ----------
        instance : str
            Identifier that this node assumed the server to have.

        Returns
        -------
        bool
            Whether the incarnation that was current before it is current again.
        """
        old = self.report
        if old is None or old.instance != instance or not self._superseded:
            return False
        _, self.report = self._superseded.popitem()
        self._supersede(old)
        if self.report.state is not BackendState.READY:
            self._left_at = self._clock.now()
        return True

    def _supersede(self, report: BackendReport) -> None:
        self._superseded[report.instance] = report
        if len(self._superseded) > _MAX_DEPARTED:
            del self._superseded[next(iter(self._superseded))]

    def _depart(self, report: BackendReport) -> bool:
        """Apply the departure of an incarnation."""
        instance = report.instance
        known = self._latest_report(instance)
        if report.born is None and instance in self._unannounced:
            self._doubted[instance] = 0
        self._unannounced.discard(instance)
        if known is not None:
            # A departure carries few fields, so the others are kept from before.
            born = known.born if report.born is None else report.born
            report = replace(known, state=BackendState.GONE, born=born)
        self._departed[instance] = report
        self._departed_starts[instance, report.born] = None
        if len(self._departed_starts) > _MAX_DEPARTED:
            del self._departed_starts[next(iter(self._departed_starts))]
        if len(self._departed) > _MAX_DEPARTED:
            forgotten = next(iter(self._departed))
            del self._departed[forgotten]
            self._doubted.pop(forgotten, None)
        self._superseded.pop(instance, None)
        if self.report is None or self.report.instance != instance:
            return False
        self.report = report
        return True


def _is_same_incarnation(one: BackendReport, other: BackendReport) -> bool:
    """Whether two reports have the same identifier and start time."""
    return one.instance == other.instance and one.born == other.born


def _newer(old: BackendReport, report: BackendReport) -> BackendReport:
    """Return the newer of two reports of one incarnation; draining is final."""
    if report.sequence <= old.sequence:
        return old
    if old.state is BackendState.DRAINING:
        return replace(report, state=BackendState.DRAINING)
    return report
