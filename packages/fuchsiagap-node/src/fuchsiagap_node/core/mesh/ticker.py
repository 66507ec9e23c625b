"""What a node does at intervals, from one task.

A task that sleeps by itself for each job, and for each link, took most of a node's
processor time at rest: half of 12 ms a second at 30 nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds between two turns: what the door and the entry need to look at deadlines.
TICK_MS = 50.0


@dataclass(slots=True)
class _PeriodicTask:
    """Something to do at intervals."""

    interval: Milliseconds
    callback: Callable[[], None]
    due: Milliseconds


class Ticker:
    """Calls plain functions at intervals.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    teller : Teller
        Told of exceptions, which end no other work.
    """

    def __init__(self, clock: Clock, teller: Teller) -> None:
        self._clock = clock
        self._tell = teller
        self._tasks: list[_PeriodicTask] = []

    def every(self, interval: Milliseconds, callback: Callable[[], None]) -> None:
        """Call a function at an interval, a multiple of `TICK_MS`."""
        self._tasks.append(
            _PeriodicTask(interval, callback, self._clock.now() + interval)
        )

    async def run(self) -> None:
        """Call what is due until cancelled."""
        while True:
            await trio.sleep(TICK_MS / MS_PER_S)
            now = self._clock.now()
            for task in self._tasks:
                # Half a tick early is in time: turns come a little late, not early.
                if task.due <= now + TICK_MS / 2.0:
                    task.due = now + task.interval
                    self._run_task(task)

    def _run_task(self, task: _PeriodicTask) -> None:
        try:
            task.callback()
        except Exception as exc:
            self._tell.fault("ticker", exc)
