"""Records of a run: requests, their attempts and the work done for them."""

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
    """Record of one client request; times are in milliseconds.

    Parameters
    ----------
    route : GraphRoute
        Requested route.
    sent_at : float
        Time of the first attempt.
    calls : int
        Number of calls that reached an admission gate, over the whole call chain.
    work : list of float
        Work that backend servers did for it, by attempt of the caller.
    attempt_starts : list of float
        Start time of each attempt.
    answered_at : float or None
        Time of a successful answer that was in time; None without one.
    answered_by : int
        Index of the answered attempt, or -1.
    is_from_earlier_run : bool
        Whether the answer comes from the run of an earlier attempt.
    last_reason : str
        Reason of the last failure; ``late`` for an answer that was not in time.
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
        """Work that contributed to the answer; 0 without an answer in time."""
        if self.answered_at is None:
            return 0.0
        if self.is_from_earlier_run:
            return sum(self.work)
        return self.work[self.answered_by]


@dataclass(slots=True, eq=False)
class Records:
    """All records of one run.

    Parameters
    ----------
    requests : list of RequestRecord
        Requests in the order of sending.
    by_root : dict
        Requests by the root id of their calls.
    inversions : int
        Number of priority inversions, as `MeteredGate` defines them.
    violations : Counter
        Number of violations by kind, such as ``double_run`` and ``wrong_answer``.
    runs : Counter
        Number of runs of non-idempotent calls by root id and child key.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    by_root: dict[str, RequestRecord] = field(default_factory=dict)
    inversions: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    runs: Counter[tuple[str, str]] = field(default_factory=Counter)
