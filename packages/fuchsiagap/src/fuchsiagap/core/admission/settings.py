"""Settings of admission control."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


# Largest change of a setting by the team's weight, as a share of the setting.
_QUEUE_TARGET_SHIFT = 0.1
_REOPENING_SHIFT = 0.3


class LimitPolicy(Enum):
    """How the concurrency limit adapts to the backend server."""

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
    """Settings of the gate in front of one backend server.

    Parameters
    ----------
    step_ms : float
        Milliseconds between two adjustments of limit and level.
    limit_policy : LimitPolicy
        How the concurrency limit adapts.
    start_limit : int
        Concurrency limit until the backend server has reported its slots.
    min_limit, max_limit : int
        Bounds of the concurrency limit.
    queue_order : QueueOrder
        Order within one priority.
    by_priority : bool
        Whether the queue orders by priority, and a full queue drops the least
        important call.
    queue_share : float
        Maximum queue length, as a share of the concurrency limit.
    target_wait : float
        Milliseconds a call may wait in the queue before the level closes.
    queue_target : float
        Target queue length, as a multiple of the square root of the concurrency limit.
    gain : float
        Share of a surplus or deficit of calls that one step corrects.
    opening, closing : float
        Share of the distance to its target that the level moves in one step.
    busy : float
        Calls in progress and waiting, as a share of the concurrency limit, below which
        the level opens further than the demand estimate suggests.
    reopening : float
        Growth of the level per step when no call is in progress, as a share of it.
    chain_ms : float
        Milliseconds from the admission of a chain to its last call; for so long its
        calls are judged by the highest level of that time.
    probe_ms : float
        Milliseconds without a report of a downstream service after which one call
        passes although the service's level rejects it.
    use_level : bool
        Whether the admission level closes under overload.
    use_deadline : bool
        Whether calls that cannot finish in time are refused.
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
    queue_target: float = 0.5
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
    """Return the settings adjusted by the team's weight.

    To favour goodput, more calls wait so that no slot idles; to favour recovery, fewer
    wait and the level reopens faster.

    Parameters
    ----------
    cfg : GateSettings
        Settings with the team's weight; 0.5 changes nothing.
    """
    bias = 2.0 * min(max(cfg.weight, 0.0), 1.0) - 1.0
    return replace(
        cfg,
        queue_target=cfg.queue_target * (1.0 - _QUEUE_TARGET_SHIFT * bias),
        reopening=cfg.reopening * (1.0 + _REOPENING_SHIFT * bias),
    )


@dataclass(frozen=True, slots=True)
class ReportedLevelsSettings:
    """Settings of the levels reported to an entry node.

    Parameters
    ----------
    enabled : bool
        Whether the entry node refuses calls early.
    fresh_ms : float
        Age up to which a reported level applies unchanged.
    reopen_ms : float
        Milliseconds in which a level without new reports opens by one priority.
    probe_ms : float
        Milliseconds after which one call of a route passes although the level rejects
        it; the node it reaches refuses it without running it and returns a fresh
        report.
    forget_ms : float
        Age at which a reported level is dropped.
    """

    enabled: bool = True
    fresh_ms: Milliseconds = 300.0
    reopen_ms: Milliseconds = 500.0
    probe_ms: Milliseconds = 100.0
    forget_ms: Milliseconds = 5_000.0
