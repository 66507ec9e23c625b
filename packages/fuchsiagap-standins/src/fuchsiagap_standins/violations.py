"""Compare the outcomes that callers received with the runs of backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap_standins.request_senders import RequestOutcome
from fuchsiagap_standins.run_log import double_runs, false_refusals

if TYPE_CHECKING:
    from fuchsiagap_standins.caller import CallerReport
    from fuchsiagap_standins.run_log import Run


@dataclass(frozen=True, slots=True)
class Violations:
    """Violations of the guarantees to callers.

    Parameters
    ----------
    double_runs : tuple
        Nonce, place and route of each non-idempotent call that ran more than once.
    false_refusals : tuple of str
        Nonces of requests that were refused as not run although they ran.
    wrong_answers : int
        Number of answers that belong to another request or are incomplete.
    open_requests : int
        Number of requests without any outcome.
    """

    double_runs: tuple[tuple[str, str, str], ...]
    false_refusals: tuple[str, ...]
    wrong_answers: int
    open_requests: int

    @property
    def total(self) -> int:
        """Total number of violations."""
        lists = len(self.double_runs) + len(self.false_refusals)
        return lists + self.wrong_answers + self.open_requests


def find_violations(
    report: CallerReport, runs: list[Run], wrong_downstream: int
) -> Violations:
    """Compare the outcomes that callers received with the runs of backend servers.

    Parameters
    ----------
    report : CallerReport
        Outcomes that callers received.
    runs : list of Run
        Runs of all backend servers.
    wrong_downstream : int
        Wrong answers that backend servers received from called services.

    Returns
    -------
    Violations
        All violations found.
    """
    return Violations(
        double_runs=tuple(double_runs(runs)),
        false_refusals=tuple(false_refusals(runs, report.refused)),
        wrong_answers=report.total(RequestOutcome.WRONG) + wrong_downstream,
        open_requests=report.sent - report.ended,
    )
