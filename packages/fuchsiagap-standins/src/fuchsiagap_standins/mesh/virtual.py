"""Runs an asynchronous function under a virtual clock that skips idle time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, TypeVar
from unittest import mock

import trio
import trio.testing

from fuchsiagap_standins.mesh.memory_sockets import patch_sockets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Result = TypeVar("Result")

# Seconds without any event after which the clock jumps to the next deadline. A short
# time suffices, as both ends of each connection are in this process and sent bytes are
# readable at once.
_IDLE_S = 0.002


def run_on_loopback(
    main: Callable[[], Awaitable[Result]], idle_s: float = _IDLE_S
) -> Result:
    """Run `main` over loopback sockets under a virtual clock.

    Parameters
    ----------
    main : callable
        Asynchronous function.
    idle_s : float, default=0.002
        Seconds of real time without any event after which the clock jumps.

    Returns
    -------
    object
        Return value of `main`.
    """
    clock = trio.testing.MockClock(autojump_threshold=idle_s)
    return trio.run(main, clock=clock)


def run_in_memory(main: Callable[[], Awaitable[Result]], seed: int = 0) -> Result:
    """Run `main` over in-memory sockets; runs with the same seed are identical.

    Parameters
    ----------
    main : callable
        Asynchronous function.
    seed : int, default=0
        Seed of the order in which tasks run that are due at the same time.

    Returns
    -------
    object
        Return value of `main`.
    """
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    scheduler = trio._core._run  # type: ignore[attr-defined]
    with (
        patch_sockets(),
        # Private hooks of trio, meant for property-based tests: the order of a batch of
        # tasks is then determined by this random generator alone.
        mock.patch.object(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(scheduler, "_r", random.Random(seed)),
    ):
        return trio.run(main, clock=clock)
