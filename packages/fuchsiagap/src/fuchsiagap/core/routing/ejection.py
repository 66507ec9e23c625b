"""Outlier ejection: which failures count, and when an instance is ejected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.calls.outcome import Reason, Refused, Unknown
from fuchsiagap.core.routing.candidate import FOREVER

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routing.candidate import Candidate
    from fuchsiagap.core.routing.instance import RoutingSettings

_FAILED_UNKNOWNS = frozenset({Reason.CONNECTION_LOST, Reason.INCOMPLETE_ANSWER})
_FAILED_REFUSALS = frozenset({Reason.CONNECTION_LOST, Reason.NO_BACKEND})


def is_failure(
    candidate: Candidate, outcome: Outcome, cfg: RoutingSettings, now: Milliseconds
) -> bool:
    """Whether an outcome counts as a failure of the instance itself.

    An expired deadline does so only if the instance has not replied to anything for
    `RoutingSettings.silence`: one that is merely slow or overloaded still replies, and
    its capacity is needed.

    Parameters
    ----------
    candidate : Candidate
        The instance.
    outcome : Outcome
        Outcome of the attempt.
    cfg : RoutingSettings
        Settings of the router.
    now : float
        Time in milliseconds.
    """
    if isinstance(outcome, Refused):
        return outcome.reason in _FAILED_REFUSALS
    if not isinstance(outcome, Unknown):
        return False
    if outcome.reason is Reason.DEADLINE and outcome.load is None:
        return now - candidate.replied > cfg.silence
    return outcome.reason in _FAILED_UNKNOWNS


def record_failure(
    candidate: Candidate,
    pool: Sequence[Candidate],
    cfg: RoutingSettings,
    now: Milliseconds,
) -> bool:
    """Count a failure, and eject the instance after too many in a row.

    Each further ejection lasts twice as long. No instance is ejected if that would
    exceed `RoutingSettings.ejected_share_max`.

    Parameters
    ----------
    candidate : Candidate
        The instance that failed.
    pool : sequence of Candidate
        All instances of the service that this node may choose.
    cfg : RoutingSettings
        Settings of the router.
    now : float
        Time in milliseconds.

    Returns
    -------
    bool
        Whether this failure ejected it.
    """
    candidate.failures += 1
    if candidate.failures < cfg.failures_to_eject or candidate.out_until > now:
        return False
    n_ejected = sum(1 for c in pool if now < c.out_until < FOREVER)
    if n_ejected + 1 > len(pool) * cfg.ejected_share_max:
        return False
    duration = min(cfg.ejection * 2.0**candidate.n_ejections, cfg.ejection_max)
    candidate.out_until = now + duration
    # It returns with a slow start.
    candidate.started = candidate.out_until
    candidate.n_ejections += 1
    candidate.failures = 0
    return True
