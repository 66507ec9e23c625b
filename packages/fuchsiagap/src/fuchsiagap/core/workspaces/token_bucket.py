"""A token bucket whose rate and burst may change while it is used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


class TokenBucket:
    """A bucket that refills at a rate, up to a burst.

    Parameters
    ----------
    now : float
        Time in milliseconds.
    is_full : bool
        Whether the first `fill` fills it up to the burst; otherwise it starts empty.

    Attributes
    ----------
    level : float
        Current tokens.
    """

    def __init__(self, now: Milliseconds, is_full: bool) -> None:
        self._filled_at = now
        self.level = float("inf") if is_full else 0.0

    def fill(self, rate: float, burst: float, now: Milliseconds) -> None:
        """Add the tokens of the time since the last call.

        Parameters
        ----------
        rate : float
            Tokens per second.
        burst : float
            Capacity of the bucket; at least one token is allowed, since otherwise none
            could ever be taken.
        now : float
            Time in milliseconds.
        """
        added = rate * (now - self._filled_at) / MS_PER_S
        self._filled_at = now
        self.level = min(self.level + added, max(burst, 1.0))

    def take(self, max_tokens: int) -> int:
        """Take up to a number of whole tokens, and return how many were taken."""
        taken = min(max_tokens, int(self.level))
        self.level -= taken
        return taken
