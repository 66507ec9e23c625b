"""Whether the crashes at which a request was at work show that it causes them."""

from __future__ import annotations

from dataclasses import dataclass

# Crashes of a request that was never answered since. With the first number it has to be
# the only explanation, with the second the best one; with the last it is held whatever
# else crashes servers, unless too many requests explain the same crashes.
ONLY_CAUSE = 3
LIKELY_CAUSE = 4
CERTAIN_CAUSE = 5
# Other requests with hardly fewer crashes from which on none of them is held: servers
# that crash whatever they run would lose all their requests.
_MOST_RIVALS = 3


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """What speaks for and against one request.

    Parameters
    ----------
    crashes : int
        Crashes at which it was at work, since it was last answered.
    rivals : int
        Other requests that were at work at as many, or at one less.
    others : int
        Recent crashes at which neither it nor a request that is held was at work.
    """

    crashes: int
    rivals: int
    others: int


def should_hold(case: CrashEvidence) -> bool:
    """Whether a request is to be kept from all servers."""
    if case.crashes >= CERTAIN_CAUSE:
        return case.rivals < _MOST_RIVALS
    if case.rivals:
        return False
    if case.crashes >= LIKELY_CAUSE:
        return True
    return case.crashes >= ONLY_CAUSE and not case.others
