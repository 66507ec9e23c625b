"""The rule that decides whether the evidence against a request suffices to hold it."""

from __future__ import annotations

from dataclasses import dataclass

# Crashes since the request was last answered. At `ONLY_CAUSE` it is held if nothing
# else explains the crashes, at `LIKELY_CAUSE` if nothing else explains them as well,
# and at `CERTAIN_CAUSE` even if servers crash without it, unless too many other
# requests explain the same crashes.
ONLY_CAUSE = 3
LIKELY_CAUSE = 4
CERTAIN_CAUSE = 5
# Competing requests from which on none is held. Otherwise a server that crashes
# whatever it runs would get all its requests held.
_TOO_MANY_COMPETING = 3


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """Evidence for and against one request as the cause of crashes.

    Parameters
    ----------
    crashes : int
        Crashes at which it was in flight, since it was last answered.
    competing : int
        Other requests that were in flight at as many crashes, or at one less.
    unrelated : int
        Recent crashes at which neither it nor a held request was in flight.
    """

    crashes: int
    competing: int
    unrelated: int


def should_hold(evidence: CrashEvidence) -> bool:
    """Whether a request is to be kept from all servers."""
    if evidence.crashes >= CERTAIN_CAUSE:
        return evidence.competing < _TOO_MANY_COMPETING
    if evidence.competing:
        return False
    if evidence.crashes >= LIKELY_CAUSE:
        return True
    return evidence.crashes >= ONLY_CAUSE and not evidence.unrelated
