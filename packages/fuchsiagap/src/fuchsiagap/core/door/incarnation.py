"""What a node believes of the backend server beside it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Incarnations that have left are remembered so that a late heartbeat of theirs cannot
# bring them back. One node sees a handful a day; the bound only guards memory.
_MAX_LEFT = 1_000


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
        Identifier of its incarnation.
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
    """

    instance: str
    state: BackendState
    sequence: int = 0
    address: str = ""
    slots: int = 1
    warm_up: float = 0.0
    service: str = ""


class Incarnation:
    """The backend server beside this node, as its own reports tell it.

    A heartbeat that was held up may arrive after its sender has crashed and another
    incarnation has registered at the same address. Neither sequence numbers, which each
    incarnation counts by itself, nor the order of arrival tell which of two lives, so
    the last word is the server's own: `refute`.

    Attributes
    ----------
    report : BackendReport or None
        Newest report of the incarnation that counts.
    """

    def __init__(self) -> None:
        self.report: BackendReport | None = None
        self._left: dict[str, None] = {}
        self._superseded: dict[str, BackendReport] = {}

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
        if report.instance in self._left:
            return False
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
        self._left[report.instance] = None
        if len(self._left) > _MAX_LEFT:
            del self._left[next(iter(self._left))]
        self._superseded.pop(report.instance, None)
        if self.report is None or self.report.instance != report.instance:
            return False
        self.report = report
        return True


def _newer(old: BackendReport, report: BackendReport) -> BackendReport:
    """Return the newer of two reports of one incarnation; leaving is not taken back."""
    if report.sequence <= old.sequence:
        return old
    if old.state is BackendState.DRAINING:
        return _still_draining(report)
    return report


def _still_draining(report: BackendReport) -> BackendReport:
    """Return the report as one of a server that has begun to leave."""
    return BackendReport(
        report.instance,
        BackendState.DRAINING,
        report.sequence,
        report.address,
        report.slots,
        report.warm_up,
        report.service,
    )
