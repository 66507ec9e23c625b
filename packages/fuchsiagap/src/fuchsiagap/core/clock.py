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
# Seconds of a suspension below which nothing is done about it: a busy host holds up a
# process for as long.
_LEAST_SUSPENSION_S = 0.2


@dataclass(frozen=True, slots=True)
class Clock:
    """A monotonic clock in milliseconds.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in milliseconds from an arbitrary origin. Time for
        which the host is suspended counts, so that nothing looks younger after it.
    wall : callable
        Returns the time of day in milliseconds since the epoch. Only for what
        people read (time line, audit trail); no decision rests on it.
    catch_up : callable, optional
        Returns the milliseconds for which the host was suspended since the last call,
        and counts them in `now` from then on; by default none ever.

    Examples
    --------
    >>> clock = Clock(now=lambda: 5.0, wall=lambda: 0.0)
    >>> clock.now()
    5.0
    """

    now: Callable[[], Milliseconds]
    wall: Callable[[], Milliseconds]
    catch_up: Callable[[], Milliseconds] = lambda: 0.0


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

    The loop's own clock does not count the time for which the host is suspended;
    ``CLOCK_BOOTTIME`` does, and is read by `Clock.catch_up` only: on the path of a
    request the time is read some 16 times. It does not follow a virtual clock.
    """
    read, counting, steady = time.clock_gettime, time.CLOCK_BOOTTIME, time.monotonic
    ahead_s = read(counting) - steady()
    offset = ahead_s * MS_PER_S

    def now() -> Milliseconds:
        return steady() * MS_PER_S + offset

    def catch_up() -> Milliseconds:
        nonlocal ahead_s, offset
        suspended_s = read(counting) - steady() - ahead_s
        if suspended_s < _LEAST_SUSPENSION_S:
            return 0.0
        ahead_s += suspended_s
        offset = ahead_s * MS_PER_S
        return suspended_s * MS_PER_S

    return Clock(now, lambda: time.time() * MS_PER_S, catch_up)


async def sleep_ms(duration: Milliseconds) -> None:
    """Sleep for `duration` milliseconds; a negative duration is none.

    Parameters
    ----------
    duration : float
        Milliseconds.
    """
    await trio.sleep(max(duration, 0.0) / MS_PER_S)
