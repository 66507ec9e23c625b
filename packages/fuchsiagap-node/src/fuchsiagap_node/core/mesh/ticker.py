"""Runs all periodic work of a node from one task.

With a sleeping task for each periodic function and each link, these tasks would take
half of the CPU time of an idle node, which is 12 ms a second at 30 nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog

# Milliseconds between two ticks, short enough to expire calls close to their deadlines.
TICK_MS = 50.0


@dataclass(slots=True)
class _PeriodicTask:
    """A function that is called at an interval."""

    interval: Milliseconds
    callback: Callable[[], None]
    due: Milliseconds


class Ticker:
    """Calls synchronous functions at intervals.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Log for exceptions, which do not stop the other functions.
    """

    def __init__(self, clock: Clock, event_log: EventLog) -> None:
        self._clock = clock
        self._event_log = event_log
        self._tasks: list[_PeriodicTask] = []

    def every(self, interval: Milliseconds, callback: Callable[[], None]) -> None:
        """Call a function at an interval, which is a multiple of `TICK_MS`."""
        self._tasks.append(
            _PeriodicTask(interval, callback, self._clock.now() + interval)
        )

    async def run(self) -> None:
        """Call the functions that are due, until cancelled."""
        while True:
            await trio.sleep(TICK_MS / MS_PER_S)
            now = self._clock.now()
            for task in self._tasks:
                # Ticks come a little late, never early, so a function that is due
                # within half a tick is called now.
                if task.due <= now + TICK_MS / 2.0:
                    task.due = now + task.interval
                    self._run_task(task)

    def _run_task(self, task: _PeriodicTask) -> None:
        try:
            task.callback()
        except Exception as exc:
            self._event_log.log_exception("ticker", exc)
