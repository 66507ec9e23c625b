"""Fetches the configuration from other nodes that have a newer version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.messages import ConfigQuery

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from fuchsiagap_node.core.mesh.active_config import ActiveConfig
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.outbound_link import OutboundLink

# Upper limit, in milliseconds, of the random delay before a newer version is requested.
# The nodes that fetch it first then serve the others; without the delay one node would
# send it to all of them at once.
_ASK_JITTER_MS = 100.0
# Milliseconds to wait for this node's own watch before another node is asked.
_ASK_AFTER_WATCH_MS = 300.0
# Milliseconds without an answer after which the version is requested elsewhere.
_ASK_AGAIN_MS = 600.0


class PeerConfigFetcher:
    """Requests the configuration from linked nodes whose version is newer.

    Parameters
    ----------
    active : ActiveConfig
        The active configuration.
    links : callable
        Returns the links to other nodes.
    is_watching : callable
        Returns whether this node watches the store.
    rng : random.Random
        Chooses which node is asked, and the delay before.
    event_log : EventLog
        Receives the events.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Runs the requests to other nodes; None until the node serves.
    """

    def __init__(
        self,
        active: ActiveConfig,
        links: Callable[[], Iterable[OutboundLink]],
        is_watching: Callable[[], bool],
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        self._active = active
        self._links = links
        self._is_watching = is_watching
        self._rng = rng
        self._event_log = event_log
        self._is_fetching = False
        self.nursery: trio.Nursery | None = None

    def handle_status(self, link: OutboundLink) -> None:
        """Start a fetch if the node at the other end has a newer version."""
        if link.version <= self._active.version or self._is_fetching:
            return
        if self.nursery is not None:
            self._is_fetching = True
            self.nursery.start_soon(self._fetch_from_peers)

    async def _fetch_from_peers(self) -> None:
        """Request the configuration from nodes that are ahead until none is left."""
        try:
            wait = self._rng.random() * _ASK_JITTER_MS
            if self._is_watching():
                wait = _ASK_AFTER_WATCH_MS
            await trio.sleep(wait / MS_PER_S)
            asked: set[str] = set()
            while (link := self._pick_peer_ahead(asked)) is not None:
                asked.add(link.member.node)
                self._event_log.event(
                    "config-asked", of=link.member.node, theirs=link.version
                )
                link.post(ConfigQuery())
                # Adoption ends the wait early, so that a version published meanwhile
                # is requested at once and not after the full timeout.
                with trio.move_on_after(_ASK_AGAIN_MS / MS_PER_S):
                    await self._active.adopted.wait()
        finally:
            self._is_fetching = False

    def _pick_peer_ahead(self, asked: Collection[str]) -> OutboundLink | None:
        """Return a link to a node that has a newer version, or None.

        Nodes that were not asked yet come first, then nodes of the own data centre:
        traffic between data centres is expensive, and a version may have thousands of
        routes.
        """
        own = self._active.version
        ahead = [link for link in self._links() if link.version > own]
        if not ahead:
            return None

        def rank(link: OutboundLink) -> tuple[bool, bool, float]:
            was_asked = link.member.node in asked
            return was_asked, not link.target.local, self._rng.random()

        return min(ahead, key=rank)
