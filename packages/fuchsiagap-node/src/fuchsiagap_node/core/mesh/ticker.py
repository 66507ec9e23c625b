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
    from fuchsiagap_node.core.mesh.event_log import EventLog

# Milliseconds between two turns: what the door and the entry need to look at deadlines.
TICK_MS = 50.0


@dataclass(slots=True)
class _Work:
    """Something to do at intervals."""

    interval: Milliseconds
    do: Callable[[], None]
    due: Milliseconds


class Ticker:
    """Calls plain functions at intervals.

    Parameters
    ----------
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Told of exceptions, which end no other work.
    """

    def __init__(self, clock: Clock, event_log: EventLog) -> None:
        self._clock = clock
        self._event_log = event_log
        self._works: list[_Work] = []

    def every(self, interval: Milliseconds, do: Callable[[], None]) -> None:
        """Call a function at an interval, a multiple of `TICK_MS`."""
        self._works.append(_Work(interval, do, self._clock.now() + interval))

    async def run(self) -> None:
        """Call what is due until cancelled."""
        while True:
            await trio.sleep(TICK_MS / MS_PER_S)
            now = self._clock.now()
            for work in self._works:
                # Half a tick early is in time: turns come a little late, not early.
                if work.due <= now + TICK_MS / 2.0:
                    work.due = now + work.interval
                    self._do(work)

    def _do(self, work: _Work) -> None:
        try:
            work.do()
        except Exception as exc:
            self._event_log.log_exception("ticker", exc)
