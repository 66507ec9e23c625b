"""Hybrid logical clock that orders events of processes with differing host clocks.

A timestamp is one integer: the time of day in units of 1 / `UNITS_PER_MS` milliseconds,
or the previous timestamp plus one if that is greater. The low bits serve as the logical
counter of the clock, and also hold fractions of a millisecond of the time of day.
Timestamps of one process strictly increase, and a timestamp taken after `observe` is
greater than the observed one, unless that was rejected as too far ahead. A cause is
therefore ordered before its effect even if the hosts' clocks differ. Timestamps are
used for display and never for decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Milliseconds

Stamp: TypeAlias = int

UNITS_PER_MS = 65_536.0
# Timestamps further ahead than this are rejected, so that one host whose clock is wrong
# does not advance the clocks of all others.
MAX_DRIFT_MS = 300_000.0


@dataclass(frozen=True, slots=True)
class DriftTooLarge:
    """An observed timestamp was rejected since it is too far ahead of the own clock.

    Parameters
    ----------
    ahead : float
        Milliseconds by which the observed timestamp is ahead of the own time of day.
    allowed : float
        Maximum allowed difference in milliseconds.
    """

    ahead: Milliseconds
    allowed: Milliseconds

    def __str__(self) -> str:
        return (
            f"observed clock is {self.ahead:.0f} ms ahead, more than the allowed"
            f" {self.allowed:.0f} ms: set the clocks of both hosts"
        )


class HybridClock:
    """The hybrid logical clock of one process.

    Parameters
    ----------
    wall : callable
        Returns the time of day in milliseconds since the epoch.
    max_drift : float, default=MAX_DRIFT_MS
        Milliseconds; observed timestamps further ahead of the own time of day are
        rejected.

    Attributes
    ----------
    on_drift : callable
        Called with the error for each rejected timestamp.

    Examples
    --------
    >>> clock = HybridClock(lambda: 1000.0)
    >>> clock.tick() < clock.tick()
    True
    """

    __slots__ = ("_last", "_max_drift", "_wall", "on_drift")

    def __init__(
        self, wall: Callable[[], Milliseconds], max_drift: Milliseconds = MAX_DRIFT_MS
    ) -> None:
        self._wall = wall
        self._max_drift = max_drift
        self._last = 0
        self.on_drift: Callable[[DriftTooLarge], None] = _ignore

    def tick(self) -> Stamp:
        """Return a timestamp greater than all returned or observed before."""
        stamp = int(self._wall() * UNITS_PER_MS)
        if stamp <= self._last:
            stamp = self._last + 1
        self._last = stamp
        return stamp

    def observe(self, remote: Stamp) -> DriftTooLarge | None:
        """Advance the clock to the timestamp of a received message.

        Must be called before the message is handled.

        Parameters
        ----------
        remote : int
            Timestamp of the sender; 0 if it sent none.

        Returns
        -------
        DriftTooLarge or None
            The error if the timestamp was rejected.
        """
        if remote <= self._last:
            return None
        ahead = wall_of(remote) - self._wall()
        if ahead > self._max_drift:
            fault = DriftTooLarge(ahead, self._max_drift)
            self.on_drift(fault)
            return fault
        self._last = remote
        return None


def _ignore(_fault: DriftTooLarge) -> None:
    """Ignore a rejected timestamp."""


def stamp_at(wall: Milliseconds) -> Stamp:
    """Return the lowest timestamp of a time of day, in milliseconds since the epoch."""
    return max(int(wall * UNITS_PER_MS), 0)


def wall_of(stamp: Stamp) -> Milliseconds:
    """Return the time of day of a timestamp, in milliseconds since the epoch."""
    return stamp / UNITS_PER_MS
