"""What a run records: requests, their attempts and the work done for them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_standins.graphs import GraphRoute

ATTEMPT_HEADER = "x-attempt"


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One client request.

    Parameters
    ----------
    route : GraphRoute
        What it asks for.
    sent_at : float
        When the caller sent it first.
    calls : int
        Calls that reached a gate for it, over its whole chain.
    work : list of float
        Milliseconds backend servers worked for it, by attempt of the caller.
    attempt_starts : list of float
        When the caller began each attempt.
    answered_at : float or None
        When its whole answer came.
    answered_by : int
        The attempt that was answered.
    is_from_earlier_run : bool
        Whether the answer is that of an earlier attempt's run.
    last_reason : str
        Why the last attempt failed.
    """

    route: GraphRoute
    sent_at: Milliseconds
    calls: int = 0
    work: list[Milliseconds] = field(default_factory=list)
    attempt_starts: list[Milliseconds] = field(default_factory=list)
    answered_at: Milliseconds | None = None
    answered_by: int = -1
    is_from_earlier_run: bool = False
    last_reason: str = ""

    @property
    def useful_work(self) -> Milliseconds:
        """Milliseconds of work that the answer came from."""
        if self.answered_at is None:
            return 0.0
        if self.is_from_earlier_run:
            return sum(self.work)
        return self.work[self.answered_by]


@dataclass(slots=True, eq=False)
class Records:
    """All that one run records.

    Parameters
    ----------
    requests : list of RequestRecord
        In the order they were sent.
    by_root : dict
        Requests in progress by the root id their calls bear.
    inversions : int
        See `MeteredGate`.
    violations : Counter
        What must never happen, by kind.
    runs : Counter
        Runs of non-idempotent calls, by root and child key.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    by_root: dict[str, RequestRecord] = field(default_factory=dict)
    inversions: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    runs: Counter[tuple[str, str]] = field(default_factory=Counter)
