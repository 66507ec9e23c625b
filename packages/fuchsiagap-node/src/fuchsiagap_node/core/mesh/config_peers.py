"""Asks other nodes for the configuration where they have a newer one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.messages import ConfigWanted

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from fuchsiagap_node.core.mesh.config_in_force import ConfigInForce
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.outbound_link import OutboundLink

# Milliseconds within which a node that hears of a newer version on a link asks for it,
# drawn at random: those that have it first then serve the others, where one node would
# send it to all at once.
_ASK_WITHIN_MS = 100.0
# Milliseconds that this node's own watch gets before another node is asked.
_ASK_AFTER_WATCH_MS = 300.0
# Milliseconds after which a version that was asked for is asked for elsewhere.
_ASK_AGAIN_MS = 600.0


class ConfigPeers:
    """Follows the nodes that are ahead of this one.

    Parameters
    ----------
    in_force : ConfigInForce
        The configuration in force.
    links : callable
        Returns the links to other nodes.
    is_watching : callable
        Whether this node watches the store.
    rng : random.Random
        Spreads whom of the others is asked, and when.
    event_log : EventLog
        Logs.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Holds what asks other nodes; None until the node serves.
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        links: Callable[[], Iterable[OutboundLink]],
        is_watching: Callable[[], bool],
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        self._in_force = in_force
        self._links = links
        self._is_watching = is_watching
        self._rng = rng
        self._event_log = event_log
        self._is_asking = False
        self.nursery: trio.Nursery | None = None

    def handle_status(self, link: OutboundLink) -> None:
        """Ask for the configuration if another node has a newer one."""
        if link.version <= self._in_force.version or self._is_asking:
            return
        if self.nursery is not None:
            self._is_asking = True
            self.nursery.start_soon(self._ask)

    async def _ask(self) -> None:
        """Ask nodes that are ahead, one after the other, until none is."""
        try:
            wait = self._rng.random() * _ASK_WITHIN_MS
            if self._is_watching():
                wait = _ASK_AFTER_WATCH_MS
            await trio.sleep(wait / MS_PER_S)
            asked: set[str] = set()
            while (link := self._one_ahead(asked)) is not None:
                asked.add(link.member.node)
                self._event_log.event(
                    "config-asked", of=link.member.node, theirs=link.version
                )
                link.post(ConfigWanted())
                # A version that came meanwhile is asked for as soon as this one is
                # here, not after the wait for it.
                with trio.move_on_after(_ASK_AGAIN_MS / MS_PER_S):
                    await self._in_force.adopted.wait()
        finally:
            self._is_asking = False

    def _one_ahead(self, asked: Collection[str]) -> OutboundLink | None:
        """Return a node with a newer version, one not asked yet and near if any is.

        Bytes between data centres are dear, and a version may have thousands of routes.
        """
        own = self._in_force.version
        ahead = [link for link in self._links() if link.version > own]
        if not ahead:
            return None

        def rank(link: OutboundLink) -> tuple[bool, bool, float]:
            is_asked = link.member.node in asked
            return is_asked, not link.target.local, self._rng.random()

        return min(ahead, key=rank)
