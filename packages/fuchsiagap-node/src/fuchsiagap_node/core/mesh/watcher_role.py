"""Whether this node is to watch the store for changes of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.watching.watcher_rank import (
    Neighbour,
    UpdateSource,
    WatcherRank,
    rank_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.outbound_link import Member, OutboundLink

# Nodes that watch in each data centre: one where nodes of two others are in reach,
# whose watchers hear of the same changes, else two.
_WATCHERS = 1
_WATCHERS_ALONE = 2
_ENOUGH_ELSEWHERE = 2
# Milliseconds after its start for which a node does not watch, until it has links to
# those that may do it: where all nodes start for the first time, they have to find each
# other before.
_SETTLE_MS = 1_500.0
_SETTLE_FIRST_START_MS = 6_000.0


class WatcherRole:
    """The rank of this node among those that may watch.

    Parameters
    ----------
    own : Member
        This node.
    links : callable
        Returns the links to other nodes.
    first_start : bool
        Whether the whole system starts for the first time.
    clock : Clock
        Time in milliseconds.

    Attributes
    ----------
    update_source : UpdateSource
        How this node hears of changes.
    is_lost : bool
        Whether the store did not answer the last request.
    changed : callable
        Told that `update_source` has changed.
    """

    def __init__(
        self,
        own: Member,
        links: Callable[[], Iterable[OutboundLink]],
        first_start: bool,
        clock: Clock,
    ) -> None:
        self._own = own
        self._links = links
        self._clock = clock
        settle = _SETTLE_FIRST_START_MS if first_start else _SETTLE_MS
        self._settled_at = clock.now() + settle
        self._due_since: Milliseconds | None = None
        self._may_ask = trio.Event()
        self.update_source = UpdateSource.PEERS
        self.is_lost = False
        self.changed: Callable[[], None] = _ignore

    @property
    def is_settled(self) -> bool:
        """Whether the node has had time to link others."""
        return self._clock.now() >= self._settled_at

    def now(self) -> WatcherRank:
        """Return the rank as the links show it now."""
        near = (
            Neighbour(link.member.node, link.update_source)
            for link in self._links()
            if link.target.local and link.is_responsive()
        )
        return rank_of(self._own.node, near, self.n_watchers())

    def n_watchers(self) -> int:
        """Return how many nodes are to watch in each data centre."""
        own = self._own.data_centre
        data_centres = {
            link.member.data_centre for link in self._links() if link.is_responsive()
        }
        enough = len(data_centres - {own}) >= _ENOUGH_ELSEWHERE
        return _WATCHERS if enough else _WATCHERS_ALONE

    def is_first(self) -> bool:
        """Whether this node would watch where all hear of changes."""
        return self.now().is_first(self.n_watchers())

    async def wait(self, is_urgent: Callable[[], bool]) -> None:
        """Wait until this node is to watch, or cannot wait for others."""
        self._may_ask = trio.Event()
        self.refresh(is_urgent)
        await self._may_ask.wait()

    def refresh(self, is_urgent: Callable[[], bool]) -> None:
        """Update whether this node is to watch the store."""
        rank = self.now()
        if is_urgent():
            self._may_ask.set()
        if not rank.should_watch:
            self._due_since = None
            self.set_update_source(UpdateSource.PEERS)
            return
        now = self._clock.now()
        if self._due_since is None:
            self._due_since = now
        n_watchers = self.n_watchers()
        due_at = self._due_since + rank.takeover_delay(n_watchers)
        if now < max(due_at, self._settled_at):
            return
        if self.is_lost and rank.others_watch and not rank.is_first(n_watchers):
            return
        self._may_ask.set()

    def note_store_answer(self) -> None:
        """Take in that the store has answered this node, which may be to watch."""
        if self.now().should_watch:
            self.set_update_source(UpdateSource.STORE)

    def defer_to_others(self) -> bool:
        """Whether one before this node is to ask the store that answers again."""
        if self.is_first() and self.now().should_watch:
            return False
        self._due_since = None
        self.set_update_source(UpdateSource.PEERS)
        return True

    def set_update_source(self, update_source: UpdateSource) -> None:
        """Take in how this node hears of changes."""
        if self.update_source is not update_source:
            self.update_source = update_source
            self.changed()


def _ignore() -> None:
    """Do nothing."""
