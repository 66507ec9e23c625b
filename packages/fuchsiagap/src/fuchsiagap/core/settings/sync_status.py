"""State of the synchronization of settings with the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


@dataclass(slots=True, eq=False)
class SyncStatus:
    """State of the synchronization of settings in one process.

    Parameters
    ----------
    complete : bool
        Whether the process has received a complete snapshot of the settings since
        it started, from the platform or from another process that has one.
    watching : bool
        Whether the process has a working watch on the platform.
    platform_up : bool or None
        Whether the platform answered the last request; None if there was none yet.
    proxy_watch_until : float
        Time in milliseconds until which the process keeps a watch on behalf of a
        node that cannot reach the platform; negative infinity if never asked to.
    fetching : dict of str to int
        Versions being fetched from other processes, by team.
    unannounced : dict of str to int
        Versions adopted but not yet announced to other processes, by team.
    changed : trio.Event
        Event set by `notify`, which replaces it by a new one.
    """

    complete: bool = False
    watching: bool = False
    platform_up: bool | None = None
    proxy_watch_until: Milliseconds = float("-inf")
    fetching: dict[str, int] = field(default_factory=dict)
    unannounced: dict[str, int] = field(default_factory=dict)
    changed: trio.Event = field(default_factory=trio.Event)

    def notify(self) -> None:
        """Wake the tasks that wait for `changed`."""
        self.changed.set()
        self.changed = trio.Event()
