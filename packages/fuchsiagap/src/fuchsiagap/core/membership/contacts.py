"""Last contact with other nodes, and detection of differing views."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

# A view without a change for this long, in milliseconds, is stable.
STABLE_VIEW_MS = 1_000.0
# Consecutive mismatches with a node after which a sync is due while the view changes.
MISMATCHES_TO_SYNC = 4


@dataclass(slots=True)
class PeerContacts:
    """Time of the last contact with each node, and nodes whose view differs.

    Parameters
    ----------
    last_heard : dict of str to float
        Time in milliseconds of the last contact, by node.
    mismatches : dict of str to int
        Number of consecutive contacts in which the hash of the views differed, by node.
    last_change : float
        Time in milliseconds of the last change of the local view.
    sync_due : trio.Event
        Event set when views should be synced; replaced by `take_mismatches`.
    """

    last_heard: dict[str, Milliseconds] = field(default_factory=dict)
    mismatches: dict[str, int] = field(default_factory=dict)
    last_change: Milliseconds = 0.0
    sync_due: trio.Event = field(default_factory=trio.Event)

    def record_contact(self, node: str, same_view: bool, now: Milliseconds) -> None:
        """Record a contact with a node, and request a sync if the views differ.

        Updates in transit make views differ temporarily. So a sync is due only if the
        local view is stable, or after `MISMATCHES_TO_SYNC` consecutive mismatches.

        Parameters
        ----------
        node : str
            The other node.
        same_view : bool
            Whether its view has the same hash as the local one.
        now : float
            Current time in milliseconds.
        """
        self.last_heard[node] = now
        if same_view:
            self.mismatches.pop(node, None)
            return
        self.mismatches[node] = self.mismatches.get(node, 0) + 1
        is_stable = now - self.last_change > STABLE_VIEW_MS
        if is_stable or self.mismatches[node] >= MISMATCHES_TO_SYNC:
            self.sync_due.set()

    def silence(self, node: str, now: Milliseconds) -> Milliseconds:
        """Return the milliseconds since the last contact, or since the first query."""
        return now - self.last_heard.setdefault(node, now)

    def postpone(self, duration: Milliseconds) -> None:
        """Exclude a pause of this process, in milliseconds, from all silences."""
        for node in self.last_heard:
            self.last_heard[node] += duration

    def take_mismatches(self) -> tuple[str, ...]:
        """Return the nodes to sync with, if a sync is due, and reset the counts."""
        if not self.sync_due.is_set():
            return ()
        due = tuple(self.mismatches)
        self.mismatches.clear()
        self.sync_due = trio.Event()
        return due

    def forget(self, node: str) -> None:
        """Remove a node that is gone or no longer a neighbour."""
        self.last_heard.pop(node, None)
        self.mismatches.pop(node, None)
