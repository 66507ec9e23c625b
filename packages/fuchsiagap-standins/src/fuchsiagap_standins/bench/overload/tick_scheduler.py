"""Coarse sleeping that keeps runs with many tasks cheap.

Each `trio.sleep` costs a cancel scope and two iterations of the event loop. Here all
sleeps that end within the same half millisecond wake in one iteration.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds

TICK_MS = 0.5


class TickScheduler:
    """Wakes sleeping tasks at ticks of the virtual clock.

    Parameters
    ----------
    clock : Clock
        Clock of the run.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tasks_by_tick: dict[int, dict[trio.lowlevel.Task, None]] = {}
        self._tick_heap: list[int] = []
        self._wait_scope = trio.CancelScope()

    def now(self) -> Milliseconds:
        """Return the time of the run in milliseconds."""
        return self._clock.now()

    async def sleep(self, duration: Milliseconds) -> None:
        """Sleep until the tick nearest to the end of a duration, but at least one tick.

        The duration is in milliseconds.
        """
        now = self._clock.now()
        tick = max(round((now + duration) / TICK_MS), int(now / TICK_MS) + 1)
        tasks = self._tasks_by_tick.get(tick)
        if tasks is None:
            tasks = self._tasks_by_tick[tick] = {}
            heapq.heappush(self._tick_heap, tick)
            if self._tick_heap[0] == tick:
                self._wait_scope.deadline = tick * TICK_MS / MS_PER_S
        task = trio.lowlevel.current_task()
        tasks[task] = None

        def abort(_raise_cancel: Any) -> trio.lowlevel.Abort:
            tasks.pop(task, None)
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)

    async def run(self) -> None:
        """Wake sleeping tasks until cancelled."""
        while True:
            with trio.CancelScope() as self._wait_scope:
                if self._tick_heap:
                    self._wait_scope.deadline = self._tick_heap[0] * TICK_MS / MS_PER_S
                await trio.sleep_forever()
            self._wake_due_tasks()

    def _wake_due_tasks(self) -> None:
        now = self._clock.now() + TICK_MS / 2
        while self._tick_heap and self._tick_heap[0] * TICK_MS <= now:
            for task in self._tasks_by_tick.pop(heapq.heappop(self._tick_heap)):
                trio.lowlevel.reschedule(task)
