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

    Attributes
    ----------
    report : BackendReport or None
        Newest report of the incarnation that counts.
    """

    def __init__(self) -> None:
        self.report: BackendReport | None = None
        self._left: dict[str, None] = {}
        self._superseded: dict[str, None] = {}

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
        if report.instance in self._left or report.instance in self._superseded:
            return False
        if report.state is BackendState.GONE:
            return self._leave(report)
        old = self.report
        if old is not None and old.instance == report.instance:
            if report.sequence <= old.sequence:
                return False
            if old.state is BackendState.DRAINING:
                report = _still_draining(report)
        elif old is not None:
            self._remember(self._superseded, old.instance)
        self.report = report
        return True

    def _leave(self, report: BackendReport) -> bool:
        self._remember(self._left, report.instance)
        if self.report is None or self.report.instance != report.instance:
            return False
        self.report = report
        return True

    @staticmethod
    def _remember(names: dict[str, None], instance: str) -> None:
        names[instance] = None
        if len(names) > _MAX_LEFT:
            del names[next(iter(names))]


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
