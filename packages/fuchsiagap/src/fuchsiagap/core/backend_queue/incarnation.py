"""What a node believes of the backend server beside it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

# Identifiers that have left are remembered so that a late heartbeat of theirs cannot
# bring them back. One node sees a handful a day; the bound only guards memory.
_MAX_LEFT = 1_000
# Heartbeats, one newer than the other and none of the incarnation believed in between
# them, after which one that seems to have started before it is believed: the time of
# day of its host has gone back. Held-up heartbeats seldom come in such a row, and if
# they do, the next word of the one that lives puts it right.
_EARLIER_REPORTS = 3
# Heartbeats after a leaving without a time of start that show that it was said by an
# earlier incarnation of the same identifier. One or two may have been held up and be of
# the one that has left.
_REPORTS_AFTER_LEAVING = 3


class BackendState(Enum):
    """State of a backend server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class BackendReport:
    """What a backend server says of itself in a heartbeat.

    Parameters
    ----------
    instance : str
        Its identifier, which it may have had before it was started anew.
    state : BackendState
        State; `BackendState.GONE` says that it has left.
    sequence : int
        Increases with each report of an incarnation.
    address : str
        Where it takes requests, ``IP:PORT``.
    slots : int
        Requests that it runs at the same time.
    warm_up : float
        Milliseconds for which it is still slow after its start.
    service : str
        Service that it belongs to.
    born : int or None
        Unix milliseconds of its start, by the clock of its host; with the identifier it
        names an incarnation. None where it is not said.
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
        """Whether two reports are of one incarnation, as far as starts are said."""
        if self.instance != other.instance:
            return False
        return None in (self.born, other.born) or self.born == other.born


class Incarnation:
    """The backend server beside this node, as its own reports tell it.

    An incarnation is an identifier and the time of its start. Of one identifier the
    later start counts, whatever was said of the earlier one and whenever that arrives,
    and within one incarnation the higher sequence number. Between identifiers no number
    tells which of two lives, so the last word is the server's own: `refute`.

    A clock that goes back while the server is down makes a new incarnation look like an
    earlier one: it is believed after some heartbeats in a row. A clock that goes
    forward does no harm but until the next start, for which the same holds.

    A leaving that says no start is taken for that of the incarnation believed in, since
    new work for a server that has left is worse than none for one that lives. If an
    earlier incarnation of the identifier was never heard to leave, some heartbeats
    afterwards show that the leaving was its own.

    Attributes
    ----------
    report : BackendReport or None
        Newest report of the incarnation that counts.
    """

    def __init__(self) -> None:
        self.report: BackendReport | None = None
        self._left: dict[str, BackendReport] = {}
        self._superseded: dict[str, BackendReport] = {}
        # Starts that were heard to leave, by identifier and time.
        self._left_starts: dict[tuple[str, int | None], None] = {}
        # Earlier start of the identifier believed in, as it speaks now, and how often.
        self._earlier: BackendReport | None = None
        self._n_earlier = 0
        # What was known of the later start when an earlier one was believed instead.
        self._later: BackendReport | None = None
        # Identifiers of which an earlier incarnation was never heard to leave, and how
        # many heartbeats came since a leaving that may have been its.
        self._may_leave_late: set[str] = set()
        self._doubted: dict[str, int] = {}

    def take(self, report: BackendReport) -> bool:
        """Take in a report.

        Parameters
        ----------
        report : BackendReport
            Report, perhaps an old one that arrives late.

        Returns
        -------
        bool
            Whether the report changed what is believed of the backend server.
        """
        later = self._later
        if later is not None and _is_same(later, report):
            if later.state is BackendState.GONE or report.sequence <= later.sequence:
                return False
            self._later = None
            report = _newer(later, report)
        known = self._last_word(report.instance)
        if known is not None and _starts_before(report, known):
            return self._take_earlier(report)
        believed = self.report
        if believed is not None and believed.instance == report.instance:
            self._earlier = None
        if known is not None and _starts_before(known, report):
            return self._take_later(report, known)
        return self._take_in_order(report)

    def _last_word(self, instance: str) -> BackendReport | None:
        """Return the newest report of an identifier, whatever became of it."""
        if instance in self._left:
            return self._left[instance]
        if self.report is not None and self.report.instance == instance:
            return self.report
        return self._superseded.get(instance)

    def _take_later(self, report: BackendReport, known: BackendReport) -> bool:
        """Take in the word of an incarnation that started after the known one."""
        instance = report.instance
        if known.state is not BackendState.GONE:
            self._may_leave_late.add(instance)
        self._left.pop(instance, None)
        self._superseded.pop(instance, None)
        self._doubted.pop(instance, None)
        if self.report is None or self.report.instance != instance:
            return self._take_in_order(report)
        self.report = report
        if report.state is BackendState.GONE:
            self._leave(report)
        return True

    def _take_earlier(self, report: BackendReport) -> bool:
        """Take in the word of an incarnation that started before the known one."""
        believed = self.report
        if (
            report.state is not BackendState.READY
            or believed is None
            or believed.instance != report.instance
            or (report.instance, report.born) in self._left_starts
        ):
            return False
        last = self._earlier
        if last is None or last.born != report.born:
            self._n_earlier = 0
        elif report.sequence <= last.sequence:
            return False
        self._earlier = report
        self._n_earlier += 1
        if self._n_earlier < _EARLIER_REPORTS:
            return False
        self._earlier = None
        self._later = believed
        return self._take_later(report, believed)

    def _take_in_order(self, report: BackendReport) -> bool:
        """Take in the word of an incarnation that is known, or of a new identifier."""
        if report.instance in self._left:
            return self._speaks_after_leaving(report)
        if report.state is BackendState.GONE:
            return self._leave(report)
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
                # No incarnation begins by leaving: this one was here before.
                self._supersede(report)
                return False
            self._supersede(old)
        self.report = report
        return True

    def _speaks_after_leaving(self, report: BackendReport) -> bool:
        """Hear one that has left; if the leaving was another's, it has not."""
        instance = report.instance
        last = self._left[instance]
        if (
            instance not in self._doubted
            or report.state is not BackendState.READY
            or report.sequence <= last.sequence
        ):
            return False
        self._left[instance] = replace(last, sequence=report.sequence)
        self._doubted[instance] += 1
        if self._doubted[instance] < _REPORTS_AFTER_LEAVING:
            return False
        del self._doubted[instance], self._left[instance]
        self._left_starts.pop((instance, report.born), None)
        if self.report is not None and self.report.instance != instance:
            return self._take_in_order(report)
        self.report = report
        return True

    def refute(self, instance: str) -> bool:
        """Take in that the server says that it is not an incarnation.

        Parameters
        ----------
        instance : str
            The incarnation that it was taken for.

        Returns
        -------
        bool
            Whether another one, which it was before, is believed in now.
        """
        old = self.report
        if old is None or old.instance != instance or not self._superseded:
            return False
        _, self.report = self._superseded.popitem()
        self._supersede(old)
        return True

    def _supersede(self, report: BackendReport) -> None:
        self._superseded[report.instance] = report
        if len(self._superseded) > _MAX_LEFT:
            del self._superseded[next(iter(self._superseded))]

    def _leave(self, report: BackendReport) -> bool:
        """Take in that an incarnation has left."""
        instance = report.instance
        known = self._last_word(instance)
        if report.born is None and instance in self._may_leave_late:
            self._doubted[instance] = 0
        self._may_leave_late.discard(instance)
        if known is not None:
            # A leaving says little of who leaves; what was known before still holds.
            born = known.born if report.born is None else report.born
            report = replace(known, state=BackendState.GONE, born=born)
        self._left[instance] = report
        self._left_starts[instance, report.born] = None
        if len(self._left_starts) > _MAX_LEFT:
            del self._left_starts[next(iter(self._left_starts))]
        if len(self._left) > _MAX_LEFT:
            forgotten = next(iter(self._left))
            del self._left[forgotten]
            self._doubted.pop(forgotten, None)
        self._superseded.pop(instance, None)
        if self.report is None or self.report.instance != instance:
            return False
        self.report = report
        return True


def _starts_before(report: BackendReport, other: BackendReport) -> bool:
    """Whether one report is of an earlier start than another of its identifier."""
    if report.born is None or other.born is None:
        return False
    return report.born < other.born


def _is_same(one: BackendReport, other: BackendReport) -> bool:
    """Whether two reports are of one incarnation."""
    return one.instance == other.instance and one.born == other.born


def _newer(old: BackendReport, report: BackendReport) -> BackendReport:
    """Return the newer of two reports of one incarnation; leaving is not taken back."""
    if report.sequence <= old.sequence:
        return old
    if old.state is BackendState.DRAINING:
        return replace(report, state=BackendState.DRAINING)
    return report
