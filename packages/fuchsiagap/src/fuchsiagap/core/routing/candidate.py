"""What one node knows of one instance: its load, age and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.calls.outcome import LoadReport
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routing.instance import Instance, RoutingSettings

NEVER: Milliseconds = float("-inf")
FOREVER: Milliseconds = float("inf")


class Candidate:
    """The state of one instance in the eyes of this node.

    Parameters
    ----------
    instance : Instance
        The instance.
    rank : int
        Its place in the order of this node's subset.
    started : float
        When its slow start begins, on the process's clock; `NEVER` if it needs
        none.
    now : float
        Time at which it was found.

    Attributes
    ----------
    in_flight : int
        Attempts of this node that the instance has not answered.
    limit : int
        Concurrency limit it reported; 0 if it has not.
    others : int
        Calls of other nodes there, by the last report.
    reported, replied : float
        When it last reported its load, and when it last replied or was found.
    failures : int
        Consecutive failures.
    n_ejections : int
        Ejections since it last answered.
    out_until : float
        Until when it is not chosen; `FOREVER` once it said that it is leaving.
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
        """Keep a piggybacked load report.

        The node's own calls are taken out of it, since they are known exactly.
        """
        self.limit = load.limit
        self.others = max(load.in_flight + load.queued - self.in_flight, 0)
        self.reported = now

    def weight(self, cfg: RoutingSettings, now: Milliseconds) -> float:
        """Return the weight: from the slow start's floor up to 1."""
        age = now - self.started
        if age >= cfg.slow_start:
            return 1.0
        return max(age / cfg.slow_start, cfg.slow_start_floor)

    def load(self, cfg: RoutingSettings, now: Milliseconds) -> float:
        """Return the share of the limit that is in use with one more call.

        The calls of others fade out as their report ages, so that an instance that
        looked busy is tried again.
        """
        n_calls = self.in_flight + 1.0
        age = now - self.reported
        if age < cfg.load_memory:
            n_calls += self.others * (1.0 - age / cfg.load_memory)
        return n_calls / (self.limit or cfg.assumed_limit)

    def utilisation(self, cfg: RoutingSettings, now: Milliseconds) -> float:
        """Return the load as a share of what the slow start lets the instance have."""
        if now - self.started >= cfg.slow_start:
            return self.load(cfg, now)
        return self.load(cfg, now) / self.weight(cfg, now)
