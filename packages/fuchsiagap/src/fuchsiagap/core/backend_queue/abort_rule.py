"""When a running call that nobody awaits is left to finish instead of being aborted.

A call can only be aborted by closing its connection, and the next call then needs a new
one. Load: callers that leave and call trees that fail, whose parallel calls are
cancelled with them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# Maximum expected milliseconds until the end of a call that is left to finish. A new
# connection takes some milliseconds of the server and one of its bounded number of
# connections; more work than this is not worth it.
MAX_FINISH_MS = 50.0
# Milliseconds after its cancellation at which a call that was left to finish is aborted
# after all.
MAX_ABANDONED_MS = 200.0


def may_finish(
    service_ms: Milliseconds,
    elapsed: Milliseconds,
    makes_calls: bool,
    is_awaited: bool,
) -> bool:
    """Return whether a cancelled call is left to finish.

    Parameters
    ----------
    service_ms : float
        Mean service time of the server in milliseconds; 0 if not known.
    elapsed : float
        Milliseconds for which the call has run.
    makes_calls : bool
        Whether it makes nested calls, which its abort cancels too and which would
        otherwise use servers that may be full.
    is_awaited : bool
        Whether other calls wait for its slot.
    """
    if makes_calls or is_awaited or not service_ms:
        return False
    return max(service_ms - elapsed, 0.0) <= MAX_FINISH_MS and elapsed < (
        service_ms + MAX_ABANDONED_MS
    )
