"""Asks other nodes for the configuration where they have a newer one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.messages import ConfigQuery

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from fuchsiagap_node.core.mesh.active_config import ActiveConfig
    from fuchsiagap_node.core.mesh.sending import SendingLink
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds within which a node that hears of a newer version on a link asks for it,
# drawn at random: those that have it first then serve the others, where one node would
# send it to all at once.
_ASK_JITTER_MS = 100.0
# Milliseconds that this node's own watch gets before another node is asked.
_ASK_AFTER_WATCH_MS = 300.0
# Milliseconds after which a version that was asked for is asked for elsewhere.
_ASK_AGAIN_MS = 600.0


class PeerConfigFetcher:
    """Follows the nodes that are ahead of this one.

    Parameters
    ----------
    in_force : ActiveConfig
        The configuration in force.
    links : callable
        Returns the links to other nodes.
    is_watching : callable
        Whether this node watches the store.
    rng : random.Random
        Spreads whom of the others is asked, and when.
    teller : Teller
        Logs.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Holds what asks other nodes; None until the node serves.
    """

    def __init__(
        self,
        in_force: ActiveConfig,
        links: Callable[[], Iterable[SendingLink]],
        is_watching: Callable[[], bool],
        rng: random.Random,
        teller: Teller,
    ) -> None:
        self._in_force = in_force
        self._links = links
        self._is_watching = is_watching
        self._rng = rng
        self._tell = teller
        self._is_fetching = False
        self.nursery: trio.Nursery | None = None

    def handle_status(self, link: SendingLink) -> None:
        """Ask for the configuration if another node has a newer one."""
        if link.version <= self._in_force.version or self._is_fetching:
            return
        if self.nursery is not None:
            self._is_fetching = True
            self.nursery.start_soon(self._fetch_from_peers)

    async def _fetch_from_peers(self) -> None:
        """Ask nodes that are ahead, one after the other, until none is."""
        try:
            wait = self._rng.random() * _ASK_JITTER_MS
            if self._is_watching():
                wait = _ASK_AFTER_WATCH_MS
            await trio.sleep(wait / MS_PER_S)
            asked: set[str] = set()
            while (link := self._pick_peer_ahead(asked)) is not None:
                asked.add(link.member.node)
                self._tell.event(
                    "config-asked", of=link.member.node, theirs=link.version
                )
                link.post(ConfigQuery())
                # A version that came meanwhile is asked for as soon as this one is
                # here, not after the wait for it.
                with trio.move_on_after(_ASK_AGAIN_MS / MS_PER_S):
                    await self._in_force.adopted.wait()
        finally:
            self._is_fetching = False

    def _pick_peer_ahead(self, asked: Collection[str]) -> SendingLink | None:
        """Return a node with a newer version, one not asked yet and near if any is.

        Bytes between data centres are dear, and a version may have thousands of routes.
        """
        own = self._in_force.version
        ahead = [link for link in self._links() if link.version > own]
        if not ahead:
            return None

        def rank(link: SendingLink) -> tuple[bool, bool, float]:
            was_asked = link.member.node in asked
            return was_asked, not link.target.local, self._rng.random()

        return min(ahead, key=rank)
