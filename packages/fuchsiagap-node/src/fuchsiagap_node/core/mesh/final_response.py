"""What a caller gets in the end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Milliseconds after which a caller may come back where nothing better is known.
DEFAULT_RETRY_AFTER_MS = 500.0


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """What the caller gets.

    Parameters
    ----------
    status : int
        HTTP status.
    reason, headers, body : bytes
        The rest of the answer.
    retry_after : float, default=0
        Milliseconds after which the caller may come back; 0 says nothing.
    """

    status: int
    reason: bytes = b""
    headers: bytes = b""
    body: bytes = b""
    retry_after: Milliseconds = 0.0
