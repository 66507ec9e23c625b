"""Data collected in a run for the checks: runs, request outcomes and attempts."""

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
    """Final outcome of a client request.

    Parameters
    ----------
    nonce : str
        Unique identifier of the request.
    route : str
        Name of the requested route.
    outcome : Outcome
        Outcome that the caller received last.
    ended_at : float
        Virtual time in seconds after which the caller sends no more copies.
    copies : int
        Number of copies sent.
    aggressive : bool
        Whether the caller retries early and without the client library.
    """

    nonce: str
    route: str
    outcome: Outcome
    ended_at: float
    copies: int
    aggressive: bool


@dataclass(slots=True)
class Evidence:
    """Data that the checks of a run inspect.

    Parameters
    ----------
    runs : list of Run
        Runs of all backend servers.
    requests : list of RequestRecord
        Client requests that have ended.
    refused_children : list of (str, str, str)
        Nonce, place in the call tree and route of each downstream call that was refused
        as not run.
    attempts : Counter
        Number of attempts at the admission gates of all nodes, by nonce.
    leaving_since : dict
        Virtual time in seconds at which each leaving node began to drain, by node.
    stopping : set of str
        Nodes whose ending runs count as interrupted.
    late_runs, late_calls : list of str
        Runs that a node started, and calls that it received from peers, more than
        `LEAVING_GRACE_S` after it began to drain.
    interrupted : list of str
        Runs, calls and requests that a planned stop interrupted.
    copies_started : set of (str, int)
        Nonce and number of each copy that was sent without the client library and ran.
    answers : int
        Number of answers compared with the expected ones.
    wrong_answers : list of str
        Nonces of the requests whose answers differed.
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
        """Record the start of a run.

        It is late if its node began to drain more than `LEAVING_GRACE_S` ago.
        """
        if copy and run.place == ROOT_PLACE:
            self.copies_started.add((run.nonce, int(copy)))
        self.runs.append(run)
        since = self.leaving_since.get(node)
        if since is not None and trio.current_time() - since > LEAVING_GRACE_S:
            self.late_runs.append(f"{run.route} of {run.nonce} on {node}")

    def record_peer_call(self, node: str, peer: str) -> None:
        """Record a call from a peer if it is late.

        It is late if the node began to drain more than `LEAVING_GRACE_S` ago.
        """
        since = self.leaving_since.get(node)
        if since is not None and trio.current_time() - since > LEAVING_GRACE_S:
            self.late_calls.append(f"from {peer} to {node}")

    def record_run_end(self, node: str, run: Run) -> None:
        """Record the end of a run as interrupted if its node is in `stopping`."""
        if node in self.stopping:
            self.interrupted.append(f"run {run.route} of {run.nonce} on {node}")

    def record_answer(self, nonce: str, is_correct: bool) -> None:
        """Count a checked answer, and record it if it was wrong."""
        self.answers += 1
        if not is_correct:
            self.wrong_answers.append(nonce)

    def record_child_outcome(
        self, mark: CallMark, route: Route, outcome: Outcome
    ) -> None:
        """Record a downstream call that was refused as not run."""
        if isinstance(outcome, Refused):
            self.refused_children.append((mark.nonce, mark.place, route.name))


# Seconds after the start of a drain from which on runs and peer calls are violations.
LEAVING_GRACE_S = 2.0
