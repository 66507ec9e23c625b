"""Monotonic and wall-clock time in milliseconds.

Readings of `Clock.now` are only meaningful within one process and are never sent to
another one. Deadlines are sent as the remaining time, since hosts do not share a clock.
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
# Shorter gaps are not treated as a suspension: on a busy host, a process may have to
# wait this long for the CPU between the readings of the two clocks.
_MIN_SUSPENSION_S = 0.2


@dataclass(frozen=True, slots=True)
class Clock:
    """The monotonic clock and the wall clock of a process, in milliseconds.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in milliseconds from an arbitrary origin. Includes
        the time for which the host was suspended, so that ages are not
        underestimated after a suspension.
    wall : callable
        Returns the time of day in milliseconds since the epoch. It may be wrong or
        step, so it is used only for display (event timeline, audit trail) and for the
        first guess of a node's incarnation, which the node corrects when it joins.
    catch_up : callable, optional
        Returns the milliseconds for which the host was suspended since the previous
        call, and adds them to the time that `now` returns. By default the clock
        detects no suspension and this returns 0.

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
    """Return a clock that reads the clock of the running trio event loop.

    Under `trio.testing.MockClock` it is a virtual clock.

    Parameters
    ----------
    wall_offset : float, optional
        Milliseconds added to the loop's time to give the time of day, which makes
        runs under a virtual clock repeatable. By default the host's clock is used.

    Returns
    -------
    Clock
        A clock that can only be read within `trio.run`.
    """

    def now() -> Milliseconds:
        return trio.current_time() * MS_PER_S

    def wall() -> Milliseconds:
        if wall_offset is None:
            return time.time() * MS_PER_S
        return wall_offset + now()

    return Clock(now=now, wall=wall)


def process_clock() -> Clock:
    """Return the monotonic clock of the process, read without the event loop.

    The event loop's clock does not include the time for which the host is suspended,
    whereas ``CLOCK_BOOTTIME`` does. To keep `Clock.now` cheap, which is called about
    16 times for each request, ``CLOCK_BOOTTIME`` is read by `Clock.catch_up` only. This
    clock does not follow a virtual clock.

    Returns
    -------
    Clock
        A clock that can also be read outside `trio.run`.
    """
    read_clock, boottime_clock, read_monotonic = (
        time.clock_gettime,
        time.CLOCK_BOOTTIME,
        time.monotonic,
    )
    boottime_lead_s = read_clock(boottime_clock) - read_monotonic()
    offset_ms = boottime_lead_s * MS_PER_S

    def now() -> Milliseconds:
        return read_monotonic() * MS_PER_S + offset_ms

    def catch_up() -> Milliseconds:
        nonlocal boottime_lead_s, offset_ms
        suspended_s = read_clock(boottime_clock) - read_monotonic() - boottime_lead_s
        if suspended_s < _MIN_SUSPENSION_S:
            return 0.0
        boottime_lead_s += suspended_s
        offset_ms = boottime_lead_s * MS_PER_S
        return suspended_s * MS_PER_S

    return Clock(now, lambda: time.time() * MS_PER_S, catch_up)


async def sleep_ms(duration: Milliseconds) -> None:
    """Sleep for `duration` milliseconds.

    Parameters
    ----------
    duration : float
        Milliseconds; a negative duration counts as 0.
    """
    await trio.sleep(max(duration, 0.0) / MS_PER_S)
