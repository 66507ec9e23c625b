"""What a caller gets whose workspace has no request left for now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_node.core.mesh.final_response import (
    DEFAULT_RETRY_AFTER_MS,
    FinalResponse,
)
from fuchsiagap_node.core.mesh.quotas import Verdict

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.quotas import QuotaAnswer


def quota_refusal(answer: QuotaAnswer) -> FinalResponse | None:
    """Return the refusal that an answer leads to; None for a request that goes on."""
    match answer.verdict:
        case Verdict.WITHIN:
            return None
        case Verdict.OVER:
            return FinalResponse(429, retry_after=answer.retry_after)
        case Verdict.UNKNOWN:
            return FinalResponse(503, retry_after=DEFAULT_RETRY_AFTER_MS)
