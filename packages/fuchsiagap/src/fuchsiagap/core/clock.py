"""The one clock of the project, in milliseconds.

Time on one process only: it never crosses the wire. What crosses the wire is a
remaining time, since hosts do not share a clock.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

Milliseconds: TypeAlias = float

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Clock:
    """A monotonic clock in milliseconds.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in milliseconds from an arbitrary origin.
    wall : callable
        Returns the time of day in milliseconds since the epoch. Only for what
        people read (time line, audit trail); no decision rests on it.

    Examples
    --------
    >>> clock = Clock(now=lambda: 5.0, wall=lambda: 0.0)
    >>> clock.now()
    5.0
    """

    now: Callable[[], Milliseconds]
    wall: Callable[[], Milliseconds]


def trio_clock(wall_offset: Milliseconds | None = None) -> Clock:
    """Return a clock that follows the running trio loop.

    Under `trio.testing.MockClock` it is a virtual clock.

    Parameters
    ----------
    wall_offset : float, optional
        If given, the time of day is this offset plus the loop's time, so that
        runs under a virtual clock are repeatable. By default the host's clock.

    Returns
    -------
    Clock
        A clock to be used from within `trio.run`.
    """

    def now() -> Milliseconds:
        return trio.current_time() * MS_PER_S

    def wall() -> Milliseconds:
        if wall_offset is None:
            return time.time() * MS_PER_S
        return wall_offset + now()

    return Clock(now=now, wall=wall)


def process_clock() -> Clock:
    """Return the steady clock of the process, without going through the loop.

    On the path of a request the time is read some 16 times; a reading through the loop
    takes 0.29 us, this one 0.17 us (timed alone). It does not follow a virtual clock.
    """

    def now() -> Milliseconds:
        return time.monotonic() * MS_PER_S

    return Clock(now=now, wall=lambda: time.time() * MS_PER_S)


async def sleep_ms(duration: Milliseconds) -> None:
    """Sleep for `duration` milliseconds; a negative duration is none.

    Parameters
    ----------
    duration : float
        Milliseconds.
    """
    await trio.sleep(max(duration, 0.0) / MS_PER_S)
