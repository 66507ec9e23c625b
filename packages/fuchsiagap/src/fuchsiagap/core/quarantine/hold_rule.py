"""The rule that decides whether the evidence against a request suffices to hold it."""

from __future__ import annotations

from dataclasses import dataclass

# Thresholds of the crashes since the request was last answered. From `ONLY_CAUSE` on,
# it is held if there are no competing requests and no unrelated crashes. From
# `LIKELY_CAUSE` on, unrelated crashes are disregarded. From `CERTAIN_CAUSE` on,
# competing requests are disregarded as well, unless there are too many.
ONLY_CAUSE = 3
LIKELY_CAUSE = 4
CERTAIN_CAUSE = 5
# Number of competing requests from which on none of them is held. Otherwise a server
# that crashes whatever it runs would get all its requests held.
_TOO_MANY_COMPETING = 3


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """Evidence for and against one request as the cause of crashes.

    Parameters
    ----------
    crashes : int
        Crashes at which it was in flight, since it was last answered.
    competing : int
        Other requests, not held, that were in flight at no fewer than `crashes` - 1
        crashes, and at no fewer than `ONLY_CAUSE`.
    unrelated : int
        Recent crashes at which neither it nor a held request was in flight.
    """

    crashes: int
    competing: int
    unrelated: int


def should_hold(evidence: CrashEvidence) -> bool:
    """Whether a request is to be withheld from all servers."""
    if evidence.crashes >= CERTAIN_CAUSE:
        return evidence.competing < _TOO_MANY_COMPETING
    if evidence.competing:
        return False
    if evidence.crashes >= LIKELY_CAUSE:
        return True
    return evidence.crashes >= ONLY_CAUSE and not evidence.unrelated
