"""Decides whether this node watches the store for changes of the configuration."""

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

# Nodes that watch in each data centre: one if nodes of two other data centres are
# reachable, since their watchers see the same changes; otherwise two.
_WATCHERS = 1
_WATCHERS_ISOLATED = 2
_REMOTE_DATA_CENTRES_NEEDED = 2
# Milliseconds after its start for which a node does not watch, until it is linked to
# the nodes that may do so. It takes longer when the whole system starts for the first
# time, since the nodes have to discover each other first.
_SETTLE_MS = 1_500.0
_SETTLE_FIRST_START_MS = 6_000.0


class WatcherRole:
    """Ranks this node among the nodes of its data centre that may watch.

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
        How this node learns of changes.
    is_store_lost : bool
        Whether the last request to the store failed or was not answered.
    changed : callable
        Called when `update_source` has changed.
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
        self._should_watch_since: Milliseconds | None = None
        self._may_ask = trio.Event()
        self.update_source = UpdateSource.PEERS
        self.is_store_lost = False
        self.changed: Callable[[], None] = _ignore

    @property
    def is_settled(self) -> bool:
        """Whether the node has had time to link to other nodes."""
        return self._clock.now() >= self._settled_at

    def current_rank(self) -> WatcherRank:
        """Return the rank of this node, by the nodes that it can reach now."""
        neighbours = (
            Neighbour(link.member.node, link.update_source)
            for link in self._links()
            if link.target.local and link.is_responsive()
        )
        return rank_of(self._own.node, neighbours, self.n_watchers())

    def n_watchers(self) -> int:
        """Return how many nodes are to watch in each data centre."""
        own = self._own.data_centre
        data_centres = {
            link.member.data_centre for link in self._links() if link.is_responsive()
        }
        has_enough_remote = len(data_centres - {own}) >= _REMOTE_DATA_CENTRES_NEEDED
        return _WATCHERS if has_enough_remote else _WATCHERS_ISOLATED

    def is_first(self) -> bool:
        """Whether this node is to watch when every node has a source of changes."""
        return self.current_rank().is_first(self.n_watchers())

    async def wait(self, is_urgent: Callable[[], bool]) -> None:
        """Wait until this node is to watch, or must query the store without delay."""
        self._may_ask = trio.Event()
        self.refresh(is_urgent)
        await self._may_ask.wait()

    def refresh(self, is_urgent: Callable[[], bool]) -> None:
        """Re-evaluate whether this node is to watch the store.

        Parameters
        ----------
        is_urgent : callable
            Returns whether this node must query the store regardless of its rank.
        """
        rank = self.current_rank()
        if is_urgent():
            self._may_ask.set()
        if not rank.should_watch:
            self._should_watch_since = None
            self.set_update_source(UpdateSource.PEERS)
            return
        now = self._clock.now()
        if self._should_watch_since is None:
            self._should_watch_since = now
        n_watchers = self.n_watchers()
        due_at = self._should_watch_since + rank.takeover_delay(n_watchers)
        if now < max(due_at, self._settled_at):
            return
        if self.is_store_lost and rank.others_watch and not rank.is_first(n_watchers):
            return
        self._may_ask.set()

    def record_store_answer(self) -> None:
        """Record an answer of the store.

        The store becomes the update source if this node is to watch.
        """
        if self.current_rank().should_watch:
            self.set_update_source(UpdateSource.STORE)

    def defer_to_others(self) -> bool:
        """Return whether to leave a recovered store to higher-ranked nodes.

        If so, this node stops counting as a watcher.
        """
        if self.is_first() and self.current_rank().should_watch:
            return False
        self._should_watch_since = None
        self.set_update_source(UpdateSource.PEERS)
        return True

    def set_update_source(self, update_source: UpdateSource) -> None:
        """Set how this node learns of changes, and notify if that is new."""
        if self.update_source is not update_source:
            self.update_source = update_source
            self.changed()


def _ignore() -> None:
    """Do nothing."""
