"""State that one node keeps of one instance: its load, age and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.calls.outcome import LoadReport
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routing.instance import Instance, RoutingSettings

NEVER: Milliseconds = float("-inf")
FOREVER: Milliseconds = float("inf")


class Candidate:
    """State of one instance, as observed by this node.

    Parameters
    ----------
    instance : Instance
        The instance.
    rank : int
        Its rendezvous rank for this node, which decides the subset.
    started : float
        Start of its slow start in milliseconds on the clock of the process; `NEVER` if
        it needs none.
    now : float
        Time of its discovery in milliseconds.

    Attributes
    ----------
    in_flight : int
        Attempts of this node that the instance has not answered.
    limit : int
        Concurrency limit that it reported; 0 before the first report.
    others : int
        Calls of other nodes in flight there, by the last report.
    reported : float
        Time of its last load report in milliseconds; `NEVER` before the first.
    replied : float
        Time of its last reply, or of its discovery, in milliseconds.
    failures : int
        Consecutive failures.
    n_ejections : int
        Ejections since its last answer.
    out_until : float
        Time in milliseconds until which it is not chosen; `FOREVER` once it reported
        that it is leaving.
    """

    __slots__ = (
        "failures",
        "in_flight",
        "instance",
        "limit",
        "n_ejections",
        "others",
        "out_until",
        "rank",
        "replied",
        "reported",
        "started",
    )

    def __init__(
        self, instance: Instance, rank: int, started: Milliseconds, now: Milliseconds
    ) -> None:
        self.instance = instance
        self.rank = rank
        self.started = started
        self.in_flight = 0
        self.limit = 0
        self.others = 0
        self.reported = NEVER
        self.replied = now
        self.failures = 0
        self.n_ejections = 0
        self.out_until = NEVER

    def record_load(self, load: LoadReport, now: Milliseconds) -> None:
        """Store the load report of an answer.

        The calls of this node are subtracted, since their number is known exactly.

        Parameters
        ----------
        load : LoadReport
            The report.
        now : float
            Time in milliseconds.
        """
        self.limit = load.limit
        self.others = max(load.in_flight + load.queued - self.in_flight, 0)
        self.reported = now

    def weight(self, cfg: RoutingSettings, now: Milliseconds) -> float:
        """Return the weight during the slow start, from its floor up to 1."""
        age = now - self.started
        if age >= cfg.slow_start:
            return 1.0
        return max(age / cfg.slow_start, cfg.slow_start_floor)

    def load(self, cfg: RoutingSettings, now: Milliseconds) -> float:
        """Return the share of the limit in use if one more call is sent.

        The calls of other nodes count less as their report ages, so that an instance
        that was busy is tried again.
        """
        n_calls = self.in_flight + 1.0
        age = now - self.reported
        if age < cfg.load_memory:
            n_calls += self.others * (1.0 - age / cfg.load_memory)
        return n_calls / (self.limit or cfg.assumed_limit)

    def utilisation(self, cfg: RoutingSettings, now: Milliseconds) -> float:
        """Return the load relative to the instance's weight during the slow start."""
        if now - self.started >= cfg.slow_start:
            return self.load(cfg, now)
        return self.load(cfg, now) / self.weight(cfg, now)
