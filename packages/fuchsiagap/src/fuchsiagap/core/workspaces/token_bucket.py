"""A token bucket whose rate and burst may change while it is used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


class TokenBucket:
    """Tokens that come in at a rate, up to a burst.

    Parameters
    ----------
    now : float
        Time.
    is_full : bool
        Whether it begins with the whole burst; it is filled at the first `fill`.

    Attributes
    ----------
    level : float
        Tokens that it holds.
    """

    def __init__(self, now: Milliseconds, is_full: bool) -> None:
        self._at = now
        self.level = float("inf") if is_full else 0.0

    def fill(self, rate: float, burst: float, now: Milliseconds) -> None:
        """Let in what has come since the last call.

        Parameters
        ----------
        rate : float
            Tokens a second.
        burst : float
            Most that it holds; one token at least, without which none could be taken.
        now : float
            Time.
        """
        come = rate * (now - self._at) / MS_PER_S
        self._at = now
        self.level = min(self.level + come, max(burst, 1.0))

    def take(self, most: int) -> int:
        """Take up to so many whole tokens, and return how many."""
        taken = min(most, int(self.level))
        self.level -= taken
        return taken
