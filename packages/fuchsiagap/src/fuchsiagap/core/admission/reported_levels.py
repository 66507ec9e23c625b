"""Levels learnt from load reports, by which an entry node refuses early."""

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

_RETRY_AFTER = 1_000.0


@dataclass(frozen=True, slots=True)
class _Learnt:
    """What one instance reported last, and when."""

    position: int
    load: LoadReport
    at: Milliseconds


class ReportedLevels:
    """The levels that an entry node has heard of, by route and instance.

    Parameters
    ----------
    clock : Clock
        Clock of the process.
    cfg : ReportedLevelsSettings
        Settings.
    """

    def __init__(self, clock: Clock, cfg: ReportedLevelsSettings | None = None) -> None:
        self._clock = clock
        self._cfg = cfg or ReportedLevelsSettings()
        self._probe_at: dict[tuple[ServiceName, str], Milliseconds] = {}
        self._learnt: dict[tuple[ServiceName, str], dict[str, _Learnt]] = {}

    def learn(
        self, service: ServiceName, route: str, instance: str, load: LoadReport
    ) -> None:
        """Take in the load report that came with an answer or a refusal.

        Parameters
        ----------
        service : ServiceName
            Service of the instance.
        route : str
            Route of the call the report came with.
        instance : str
            Name of the node beside the instance.
        load : LoadReport
            Its report for the route.
        """
        position = position_of(load.level_priority, load.level_cohort)
        entry = _Learnt(position, load, self._clock.now())
        self._learnt.setdefault((service, route), {})[instance] = entry

    def refusal(self, head: CallHead) -> Refused | None:
        """Refuse a call that every instance heard of would refuse.

        Parameters
        ----------
        head : CallHead
            Head of the call.

        Returns
        -------
        Refused or None
            None if the call may go on.
        """
        # A chain that was let in goes on: its next gate decides.
        if not self._cfg.enabled or head.depth > 1:
            return None
        key = (head.service, head.route)
        by_instance = self._learnt.get(key)
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
            retry_after=_RETRY_AFTER,
            allowance=head.allowance,
            load=LoadReport(priority, cohort, 0, 0, 0),
            detail=f"{head.service} admits up to priority {priority}, "
            f"cohort {cohort}; this call has {head.priority}, {head.cohort}",
        )

    def _may_probe(self, key: tuple[ServiceName, str]) -> bool:
        """Return whether a call shall pass only to bring a fresh report back."""
        now = self._clock.now()
        if now < self._probe_at.get(key, 0.0):
            return False
        self._probe_at[key] = now + self._cfg.probe_ms
        return True

    def _position(self, by_instance: dict[str, _Learnt]) -> float | None:
        """Return the most open of the levels that still count."""
        now = self._clock.now()
        best: float | None = None
        for instance, learnt in list(by_instance.items()):
            age = now - learnt.at
            if age > self._cfg.forget_ms:
                del by_instance[instance]
                continue
            stale = max(age - self._cfg.fresh_ms, 0.0)
            reopened = learnt.position + N_COHORTS * stale / self._cfg.reopen_ms
            position = min(reopened, OPEN_POSITION)
            best = position if best is None else max(best, position)
        return best
