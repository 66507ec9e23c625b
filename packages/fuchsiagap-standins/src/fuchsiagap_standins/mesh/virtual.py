"""Runs on loopback sockets under a virtual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import trio
import trio.testing

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Result = TypeVar("Result")

# Seconds without any event after which the clock jumps to the next deadline. Both ends
# of each connection stand in this process, so what was sent is readable at once.
_IDLE_S = 0.002


def run_on_loopback(
    main: Callable[[], Awaitable[Result]], idle_s: float = _IDLE_S
) -> Result:
    """Run `main` under a clock that jumps over waiting.

    Parameters
    ----------
    main : callable
        Asynchronous function.
    idle_s : float, default=0.002
        Seconds without any event after which the clock jumps.

    Returns
    -------
    object
        What it returns.
    """
    clock = trio.testing.MockClock(autojump_threshold=idle_s)
    return trio.run(main, clock=clock)
