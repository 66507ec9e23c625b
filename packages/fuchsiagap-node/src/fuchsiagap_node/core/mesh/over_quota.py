"""Response to a caller whose workspace has exceeded its quota."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.final_response import (
    DEFAULT_RETRY_AFTER_MS,
    FinalResponse,
)
from fuchsiagap_node.core.mesh.quotas import Verdict

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.quotas import QuotaDecision


def quota_refusal(decision: QuotaDecision) -> FinalResponse | None:
    """Return the refusal for a quota decision; None if the request is admitted."""
    match decision.verdict:
        case Verdict.WITHIN:
            return None
        case Verdict.OVER:
            return FinalResponse(429, retry_after=decision.retry_after)
        case Verdict.UNKNOWN:
            return FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS)
