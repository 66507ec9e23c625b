"""What this node heard from others: when, and how their views compared."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

STABLE_VIEW_MS = 1_000.0
MISMATCHES_TO_SYNC = 4


@dataclass(slots=True)
class PeerContacts:
    """Signs of life, and nodes whose view differs.

    Parameters
    ----------
    heard : dict
        By node: when the last sign of life came, in milliseconds.
    mismatches : dict
        By node: how many times in a row its view had another hash.
    last_change : float
        When the own view last changed, in milliseconds.
    sync_due : trio.Event
        Set when views should be synced.
    """

    last_heard: dict[str, Milliseconds] = field(default_factory=dict)
    mismatches: dict[str, int] = field(default_factory=dict)
    last_change: Milliseconds = 0.0
    sync_due: trio.Event = field(default_factory=trio.Event)

    def record_contact(self, node: str, same_view: bool, now: Milliseconds) -> None:
        """Note a sign of life of a node and how its view compares.

        Changes on their way make views differ for a moment. So a sync is due only
        if the own view has been quiet, or if they differ again and again.

        Parameters
        ----------
        node : str
            The other node.
        same_view : bool
            Whether the hash of its view is that of the own one.
        now : float
            The time in milliseconds.
        """
        self.last_heard[node] = now
        if same_view:
            self.mismatches.pop(node, None)
            return
        self.mismatches[node] = self.mismatches.get(node, 0) + 1
        quiet = now - self.last_change > STABLE_VIEW_MS
        if quiet or self.mismatches[node] >= MISMATCHES_TO_SYNC:
            self.sync_due.set()

    def silence(self, node: str, now: Milliseconds) -> Milliseconds:
        """Return how long a node was silent; it begins with the first look."""
        return now - self.last_heard.setdefault(node, now)

    def postpone(self, duration: Milliseconds) -> None:
        """Count a pause of this process as no silence of the others."""
        for node in self.last_heard:
            self.last_heard[node] += duration

    def take_mismatches(self) -> tuple[str, ...]:
        """Return the nodes to sync with, if it is due, and begin to count anew."""
        if not self.sync_due.is_set():
            return ()
        due = tuple(self.mismatches)
        self.mismatches.clear()
        self.sync_due = trio.Event()
        return due

    def forget(self, node: str) -> None:
        """Drop what is known of a node that is gone or no neighbour any more."""
        self.last_heard.pop(node, None)
        self.mismatches.pop(node, None)
