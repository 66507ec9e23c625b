"""Where a process stands towards the platform's settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds


@dataclass(slots=True, eq=False)
class SyncStatus:
    """What a process knows of how current its settings are.

    Parameters
    ----------
    complete : bool
        Whether it has had, since its start, all that the platform held at some
        moment; from the platform or from another process that had.
    watching : bool
        Whether its own watch on the platform works now.
    platform_up : bool or None
        Whether the platform answered last time; None if it was not asked yet.
    proxy_watch_until : float
        Until when it holds a watch for others that cannot.
    fetching : dict
        Versions being fetched from other processes, by team.
    news : dict
        Versions adopted and not yet told to others, by team.
    changed : trio.Event
        Set, and replaced, whenever one of these changes.
    """

    complete: bool = False
    watching: bool = False
    platform_up: bool | None = None
    proxy_watch_until: Milliseconds = float("-inf")
    fetching: dict[str, int] = field(default_factory=dict)
    unannounced: dict[str, int] = field(default_factory=dict)
    changed: trio.Event = field(default_factory=trio.Event)

    def notify(self) -> None:
        """Wake those who wait for a change."""
        self.changed.set()
        self.changed = trio.Event()
