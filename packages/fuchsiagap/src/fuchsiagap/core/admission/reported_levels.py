"""Admission levels from load reports, by which an entry node refuses calls early."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.admission.position import OPEN_POSITION, level_at, position_of
from fuchsiagap.core.admission.settings import ReportedLevelsSettings
from fuchsiagap.core.calls.head import N_COHORTS
from fuchsiagap.core.calls.outcome import LoadReport, Reason, Refused

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead, ServiceName
    from fuchsiagap.core.clock import Clock, Milliseconds

_RETRY_AFTER_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class _Report:
    """The last load report of one instance, and when it was received."""

    position: int
    load: LoadReport
    received_at: Milliseconds


class ReportedLevels:
    """The levels reported to an entry node, by route and instance.

    Parameters
    ----------
    clock : Clock
        Clock of the process.
    cfg : ReportedLevelsSettings, optional
        Settings.
    """

    def __init__(self, clock: Clock, cfg: ReportedLevelsSettings | None = None) -> None:
        self._clock = clock
        self._cfg = cfg or ReportedLevelsSettings()
        self._next_probe_at: dict[tuple[ServiceName, str], Milliseconds] = {}
        self._reports: dict[tuple[ServiceName, str], dict[str, _Report]] = {}

    def learn(
        self, service: ServiceName, route: str, instance: str, load: LoadReport
    ) -> None:
        """Record the load report that came with an answer or a refusal.

        Parameters
        ----------
        service : ServiceName
            Service of the instance.
        route : str
            Route of the call that returned the report.
        instance : str
            Name of the node that fronts the instance.
        load : LoadReport
            Its report for the route.
        """
        position = position_of(load.level_priority, load.level_cohort)
        report = _Report(position, load, self._clock.now())
        self._reports.setdefault((service, route), {})[instance] = report

    def refusal(self, head: CallHead) -> Refused | None:
        """Refuse a call that every instance with a valid report would refuse.

        Parameters
        ----------
        head : CallHead
            Head of the call.

        Returns
        -------
        Refused or None
            None if the call may proceed.
        """
        # Calls within an admitted chain are decided by the gate they reach.
        if not self._cfg.enabled or head.depth > 1:
            return None
        key = (head.service, head.route)
        by_instance = self._reports.get(key)
        if not by_instance:
            return None
        position = self._position(by_instance)
        if position is None or position_of(head.priority, head.cohort) <= position:
            return None
        if self._may_probe(key):
            return None
        priority, cohort = level_at(position)
        return Refused(
            Reason.OVERLOAD,
            retry_after=_RETRY_AFTER_MS,
            allowance=head.allowance,
            load=LoadReport(priority, cohort, 0, 0, 0),
            detail=f"{head.service} admits up to priority {priority}, "
            f"cohort {cohort}; this call has {head.priority}, {head.cohort}",
        )

    def _may_probe(self, key: tuple[ServiceName, str]) -> bool:
        """Return whether a call passes only as a probe for a fresh report."""
        now = self._clock.now()
        if now < self._next_probe_at.get(key, 0.0):
            return False
        self._next_probe_at[key] = now + self._cfg.probe_ms
        return True

    def _position(self, by_instance: dict[str, _Report]) -> float | None:
        """Return the most open level among the valid reports; None if none is valid."""
        now = self._clock.now()
        highest: float | None = None
        for instance, report in list(by_instance.items()):
            age = now - report.received_at
            if age > self._cfg.forget_ms:
                del by_instance[instance]
                continue
            stale_for = max(age - self._cfg.fresh_ms, 0.0)
            reopened = report.position + N_COHORTS * stale_for / self._cfg.reopen_ms
            position = min(reopened, OPEN_POSITION)
            highest = position if highest is None else max(highest, position)
        return highest
