"""Settings of admission, passed whole."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


# By how much the weight shifts a setting at most, as a share of it.
_AIM_SHIFT = 0.1
_REOPENING_SHIFT = 0.3


class LimitPolicy(Enum):
    """How the concurrency limit follows the backend server."""

    NONE = "none"
    FIXED = "fixed"
    AIMD = "aimd"
    GRADIENT = "gradient"
    PROBING = "probing"


class QueueOrder(Enum):
    """Which waiting call of one priority starts next."""

    OLDEST_FIRST = "oldest-first"
    NEWEST_FIRST = "newest-first"
    ADAPTIVE = "adaptive"
    DEADLINE_FIRST = "deadline-first"


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Settings of the gate beside one backend server.

    Parameters
    ----------
    step_ms : float
        Time between two adjustments of limit and level.
    limit_policy : LimitPolicy
        How the concurrency limit is found.
    start_limit : int
        Limit until the backend server has reported its slots.
    min_limit, max_limit : int
        Bounds of the limit.
    queue_order : QueueOrder
        Order within one priority.
    by_priority : bool
        Whether the queue orders by priority, and a full queue drops the least
        important call.
    queue_share : float
        Most waiting calls, as a share of the limit.
    target_wait : float
        Milliseconds a call may wait in the queue before the level closes.
    queue_aim : float
        Waiting calls the level aims at, as a multiple of the limit's square root.
    gain : float
        Share of a surplus or deficit of calls that one step makes up for.
    opening, closing : float
        Share of the way to its target that the level goes in one step.
    busy : float
        Calls in progress and waiting, as a share of the limit, below which the
        level opens further than demand as it was would have it.
    reopening : float
        Growth of the level a step when nothing is in progress.
    chain_ms : float
        Time a chain of calls takes from its admission to its last call; so long it
        is judged by the levels of that time.
    probe_ms : float
        Time without news of a service below after which one call passes although
        that service was shut.
    use_level : bool
        Whether the admission level closes under overload.
    use_deadline : bool
        Whether calls that can't finish in time are refused.
    weight : float
        0 favours goodput, 1 favours recovery.
    """

    step_ms: Milliseconds = 50.0
    limit_policy: LimitPolicy = LimitPolicy.PROBING
    start_limit: int = 32
    min_limit: int = 1
    max_limit: int = 10_000
    queue_order: QueueOrder = QueueOrder.DEADLINE_FIRST
    by_priority: bool = True
    queue_share: float = 0.7
    target_wait: Milliseconds = 50.0
    queue_aim: float = 0.5
    gain: float = 0.02
    opening: float = 0.3
    closing: float = 0.25
    busy: float = 0.8
    reopening: float = 0.2
    chain_ms: Milliseconds = 4_000.0
    probe_ms: Milliseconds = 400.0
    use_level: bool = True
    use_deadline: bool = True
    weight: float = 0.5


def apply_weight(cfg: GateSettings) -> GateSettings:
    """Return the settings as a team's weight shifts them.

    For goodput, more calls wait so that no place stays free; for recovery, the level
    reopens faster and fewer wait.

    Parameters
    ----------
    cfg : GateSettings
        With the team's weight; at 0.5 nothing is shifted.
    """
    lean = 2.0 * min(max(cfg.weight, 0.0), 1.0) - 1.0
    return replace(
        cfg,
        queue_aim=cfg.queue_aim * (1.0 - _AIM_SHIFT * lean),
        reopening=cfg.reopening * (1.0 + _REOPENING_SHIFT * lean),
    )


@dataclass(frozen=True, slots=True)
class ReportedLevelsSettings:
    """Settings of the levels an entry node has learnt.

    Parameters
    ----------
    enabled : bool
        Whether the entry node refuses early at all.
    fresh_ms : float
        Age up to which a learnt level stands as it was reported.
    reopen_ms : float
        Time after which a level that isn't renewed has opened by one priority.
    probe_ms : float
        Time after which one call of a route passes although the level shuts it out;
        the node it meets refuses it unrun, with a fresh report.
    forget_ms : float
        Age at which a learnt level is dropped.
    """

    enabled: bool = True
    fresh_ms: Milliseconds = 300.0
    reopen_ms: Milliseconds = 500.0
    probe_ms: Milliseconds = 100.0
    forget_ms: Milliseconds = 5_000.0
