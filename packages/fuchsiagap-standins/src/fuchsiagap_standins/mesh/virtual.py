"""Runs of nodes in one process under a virtual clock."""

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

# Seconds without any event after which the clock jumps to the next deadline. Both ends
# of each connection stand in this process, so what was sent is readable at once.
_IDLE_S = 0.002


def run_on_loopback(
    main: Callable[[], Awaitable[Result]], idle_s: float = _IDLE_S
) -> Result:
    """Run `main` over loopback sockets under a clock that jumps over waiting.

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


def run_in_memory(main: Callable[[], Awaitable[Result]], seed: int = 0) -> Result:
    """Run `main` over connections in memory; two runs of one seed are the same.

    Parameters
    ----------
    main : callable
        Asynchronous function.
    seed : int, default=0
        Decides the order in which tasks run that are due at the same time.

    Returns
    -------
    object
        What it returns.
    """
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    scheduler = trio._core._run  # type: ignore[attr-defined]
    with (
        patch_sockets(),
        # What trio offers to property-based tests, without a public name: the order of
        # a batch of tasks then comes from this source alone.
        mock.patch.object(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(scheduler, "_r", random.Random(seed)),
    ):
        return trio.run(main, clock=clock)
