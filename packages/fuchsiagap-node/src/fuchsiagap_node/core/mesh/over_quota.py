"""What a caller gets whose workspace has no request left for now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.final import RETRY_AFTER_MS, Final
from fuchsiagap_node.core.mesh.quotas import Verdict

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.quotas import QuotaDecision


def quota_refusal(decision: QuotaDecision) -> Final | None:
    """Return the refusal that an answer leads to; None for a request that goes on."""
    match decision.verdict:
        case Verdict.WITHIN:
            return None
        case Verdict.OVER:
            return Final(429, retry_after=decision.retry_after)
        case Verdict.UNKNOWN:
            return Final(503, retry_after=RETRY_AFTER_MS)
