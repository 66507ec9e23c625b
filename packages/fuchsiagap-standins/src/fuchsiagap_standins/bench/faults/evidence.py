"""What a run leaves behind, for the checks: runs, callers' outcomes, attempts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.calls.outcome import Refused
from fuchsiagap_standins.answers import ROOT_PLACE

if TYPE_CHECKING:
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap_standins.answers import CallMark
    from fuchsiagap_standins.bench.faults.topology import Route
    from fuchsiagap_standins.run_log import Run


@dataclass(slots=True)
class RequestRecord:
    """What one client request was told in the end.

    Parameters
    ----------
    nonce : str
        Of the request.
    route : str
        What was asked for.
    outcome : Outcome
        What its caller holds.
    ended_at : float
        Seconds; the caller sends no copy after this.
    copies : int
        Copies that were sent.
    aggressive : bool
        Whether the caller repeats hard, without the client library.
    """

    nonce: str
    route: str
    outcome: Outcome
    ended_at: float
    copies: int
    aggressive: bool


@dataclass(slots=True)
class Evidence:
    """All that the checks of a run look at.

    Parameters
    ----------
    runs : list of Run
        Logs of all backend servers.
    requests : list of RequestRecord
        What callers hold.
    refused_children : list of (str, str, str)
        (nonce, place, route) of children whose parent was told "not run".
    attempts : Counter
        Attempts that reached a node beside a backend server, by nonce.
    leaving_since : dict
        Seconds at which each leaving node began to leave, by node.
    late_runs, late_calls : list of str
        Runs that a leaving node started late, and calls it was sent late.
    copies_started : set of (str, int)
        Copies, by nonce and number, of callers without the library that ran.
    interrupted : list of str
        What a planned stop cut.
    """

    runs: list[Run] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    refused_children: list[tuple[str, str, str]] = field(default_factory=list)
    attempts: Counter[str] = field(default_factory=Counter)
    leaving_since: dict[str, float] = field(default_factory=dict)
    stopping: set[str] = field(default_factory=set)
    late_runs: list[str] = field(default_factory=list)
    late_calls: list[str] = field(default_factory=list)
    interrupted: list[str] = field(default_factory=list)
    copies_started: set[tuple[str, int]] = field(default_factory=set)
    answers: int = 0
    wrong_answers: list[str] = field(default_factory=list)

    def record_run_start(self, node: str, run: Run, copy: str) -> None:
        """Log a run; note if its node has been leaving for long."""
        if copy and run.place == ROOT_PLACE:
            self.copies_started.add((run.nonce, int(copy)))
        self.runs.append(run)
        since = self.leaving_since.get(node)
        if since is not None and trio.current_time() - since > LEAVING_GRACE_S:
            self.late_runs.append(f"{run.route} of {run.nonce} on {node}")

    def record_peer_call(self, node: str, peer: str) -> None:
        """Note a call that another node sends to one that has long been leaving."""
        since = self.leaving_since.get(node)
        if since is not None and trio.current_time() - since > LEAVING_GRACE_S:
            self.late_calls.append(f"from {peer} to {node}")

    def record_run_end(self, node: str, run: Run) -> None:
        """Note a run that ended because its node stopped by plan."""
        if node in self.stopping:
            self.interrupted.append(f"run {run.route} of {run.nonce} on {node}")

    def record_answer(self, nonce: str, is_correct: bool) -> None:
        """Count an answer that was compared with what it should be."""
        self.answers += 1
        if not is_correct:
            self.wrong_answers.append(nonce)

    def record_child_outcome(
        self, mark: CallMark, route: Route, outcome: Outcome
    ) -> None:
        """Note a child that a backend server was told was not run."""
        if isinstance(outcome, Refused):
            self.refused_children.append((mark.nonce, mark.place, route.name))


LEAVING_GRACE_S = 2.0
