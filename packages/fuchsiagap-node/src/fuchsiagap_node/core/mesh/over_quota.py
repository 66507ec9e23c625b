"""Response to a caller whose workspace has exceeded its quota."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.final import RETRY_AFTER_MS, Final
from fuchsiagap_node.core.mesh.quotas import Verdict

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.quotas import QuotaDecision


def quota_refusal(decision: QuotaDecision) -> Final | None:
    """Return the refusal for a quota decision; None if the request is admitted."""
    match decision.verdict:
        case Verdict.WITHIN:
            return None
        case Verdict.OVER:
            return Final(429, retry_after=decision.retry_after)
        case Verdict.UNKNOWN:
            return Final(503, retry_after=RETRY_AFTER_MS)
