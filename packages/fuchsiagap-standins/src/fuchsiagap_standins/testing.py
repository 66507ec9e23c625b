"""Run tests under a virtual clock and a seeded scheduler.

See Also
--------
fuchsiagap_standins.network : in-memory network between nodes, with faults.
fuchsiagap_standins.builders : builders of test data.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, TypeVar, TypeVarTuple

import trio
from trio._core import _run as _trio_run
from trio.testing import MockClock

from fuchsiagap_standins.network import FakeNetwork, LinkProfile

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["FakeNetwork", "LinkProfile", "VirtualRunStuck", "run_virtual"]

T = TypeVar("T")
Ts = TypeVarTuple("Ts")

VIRTUAL_LIMIT_S = 24 * 3600.0
REAL_LIMIT_S = 120.0


class VirtualRunStuck(AssertionError):
    """Raised if a run under the virtual clock exceeds one of its time limits."""


def run_virtual(
    async_fn: Callable[[*Ts], Awaitable[T]],
    *args: *Ts,
    seed: int = 0,
    limit_s: float = VIRTUAL_LIMIT_S,
    real_limit_s: float = REAL_LIMIT_S,
) -> T:
    """Run an async function under a virtual clock that skips all waiting.

    Two runs with the same seed schedule their tasks in the same order.

    Parameters
    ----------
    async_fn : callable
        The async function to run.
    *args
        Its arguments.
    seed : int
        Seed of the order in which the scheduler runs tasks that are ready together.
    limit_s : float
        Virtual seconds after which the run fails; ends a wait for an event that never
        occurs.
    real_limit_s : float
        Real seconds after which the run fails; ends a loop that never waits.

    Returns
    -------
    object
        Return value of `async_fn`.

    Raises
    ------
    VirtualRunStuck
        If the run exceeds one of the limits.

    Examples
    --------
    >>> async def nap() -> float:
    ...     await trio.sleep(3600)
    ...     return trio.current_time()
    >>> run_virtual(nap)
    3600.0
    """
    watchdog = _Watchdog(real_limit_s)
    results: list[T] = []

    async def main() -> None:
        with trio.move_on_after(limit_s) as scope:
            watchdog.scope = scope
            results.append(await async_fn(*args))

    _seed_scheduler(seed)
    trio.run(main, clock=MockClock(autojump_threshold=0), instruments=[watchdog])
    if not results:
        raise VirtualRunStuck(
            f"run did not end within {limit_s} virtual seconds and"
            f" {real_limit_s} real seconds"
        )
    return results[0]


class _Watchdog(trio.abc.Instrument):
    """Instrument that cancels the run after a limit in real seconds."""

    def __init__(self, limit_s: float) -> None:
        self.scope: trio.CancelScope | None = None
        self._limit_s = limit_s
        self._deadline_s = time.monotonic() + limit_s

    def before_io_wait(self, timeout: float) -> None:
        if self.scope is not None and time.monotonic() > self._deadline_s:
            self.scope.cancel()


def _seed_scheduler(seed: int) -> None:
    # trio runs tasks that are ready together in random order, so that programs do not
    # depend on the order. These private variables make it reproducible for tests.
    vars(_trio_run)["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    vars(_trio_run)["_r"] = random.Random(seed)
