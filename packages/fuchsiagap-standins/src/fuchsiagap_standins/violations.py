"""Hold what callers were told against what ran."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap_standins.calling import Ending
from fuchsiagap_standins.run_log import double_runs, false_refusals

if TYPE_CHECKING:
    from fuchsiagap_standins.caller import CallerReport
    from fuchsiagap_standins.run_log import Run


@dataclass(frozen=True, slots=True)
class Violations:
    """What must never be.

    Parameters
    ----------
    double_runs : tuple
        Non-idempotent calls that ran more than once.
    false_refusals : tuple of str
        Requests that were called not run, and were run.
    wrong_answers : int
        Answers that were not the caller's own, or not whole.
    open_requests : int
        Requests whose caller holds nothing in the end.
    """

    double_runs: tuple[tuple[str, str, str], ...]
    false_refusals: tuple[str, ...]
    wrong_answers: int
    open_requests: int

    @property
    def total(self) -> int:
        """How many there are."""
        lists = len(self.double_runs) + len(self.false_refusals)
        return lists + self.wrong_answers + self.open_requests


def find_violations(
    report: CallerReport, runs: list[Run], wrong_downstream: int
) -> Violations:
    """Hold what callers were told against what ran.

    Parameters
    ----------
    report : CallerReport
        What callers hold.
    runs : list of Run
        From all backend servers.
    wrong_downstream : int
        Wrong answers that backend servers got from others.
    """
    return Violations(
        double_runs=tuple(double_runs(runs)),
        false_refusals=tuple(false_refusals(runs, report.refused)),
        wrong_answers=report.total(Ending.WRONG) + wrong_downstream,
        open_requests=report.sent - report.ended,
    )
