"""The policies that are weighed: settings of the same code."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from fuchsiagap.core.admission.settings import (
    GateSettings,
    LimitPolicy,
    QueueOrder,
    ReportedLevelsSettings,
)
from fuchsiagap.core.retries.budget import RetrySettings
from fuchsiagap.core.routing.instance import RoutingSettings


@dataclass(frozen=True, slots=True)
class BenchPolicy:
    """A policy of the nodes, and what it means for the servers around them.

    Parameters
    ----------
    gate, levels, routing, retries
        Settings of the nodes.
    at_most_once : bool
        Whether the graph's non-idempotent routes are declared as such; plain
        forwarding has no tickets.
    server_retries : int
        Maximum number of times a backend server retries a failed child call; 0 if the
        nodes retry.
    cancels : bool
        Whether a call that was given up stops at the backend server.
    """

    gate: GateSettings = field(default_factory=GateSettings)
    levels: ReportedLevelsSettings = field(default_factory=ReportedLevelsSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    retries: RetrySettings = field(default_factory=RetrySettings)
    at_most_once: bool = True
    server_retries: int = 0
    cancels: bool = True


_FULL = BenchPolicy()
_NO_LEVELS = ReportedLevelsSettings(enabled=False)
_FIXED = BenchPolicy(
    levels=_NO_LEVELS,
    gate=GateSettings(
        limit_policy=LimitPolicy.FIXED,
        queue_order=QueueOrder.OLDEST_FIRST,
        by_priority=False,
        queue_share=1.0,
        use_level=False,
        use_deadline=False,
    ),
)
_NONE = replace(
    _FIXED,
    gate=replace(_FIXED.gate, limit_policy=LimitPolicy.NONE),
    retries=RetrySettings(ratio=1.0, least_per_s=1_000.0),
    at_most_once=False,
    server_retries=2,
    cancels=False,
)


def _full_gate(**changes: object) -> BenchPolicy:
    gate = replace(_FULL.gate, **changes)  # type: ignore[arg-type]
    return replace(_FULL, gate=gate)


POLICIES: dict[str, BenchPolicy] = {
    "none": _NONE,
    "fixed-limit": _FIXED,
    "full": _FULL,
    "fixed-level": _full_gate(limit_policy=LimitPolicy.FIXED),
    "aimd": _full_gate(limit_policy=LimitPolicy.AIMD),
    "gradient": _full_gate(limit_policy=LimitPolicy.GRADIENT),
    "no-level": replace(_full_gate(use_level=False), levels=_NO_LEVELS),
    "no-early": replace(_FULL, levels=_NO_LEVELS),
    "no-deadline": _full_gate(use_deadline=False),
    "oldest-first": _full_gate(queue_order=QueueOrder.OLDEST_FIRST),
    "newest-first": _full_gate(queue_order=QueueOrder.NEWEST_FIRST),
}
