"""The other nodes, from the store and from their own links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.sending import Member, SendingLink
from fuchsiagap_node.core.mesh.store import HistoryGone, Members, StoreFailed

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.frames import Hello
    from fuchsiagap_node.core.mesh.peers import Peers
    from fuchsiagap_node.core.mesh.store import Store
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds that one watch waits. Members change seldom, and a node that comes opens
# links to the others itself.
_WATCH_MS = 25_000.0
# Milliseconds between two watches, so that many changes at once are one call.
_PAUSE_MS = 1_500.0
# Milliseconds between two calls while the store fails, at first and at most.
_RETRY_MS = 200.0
_RETRY_MAX_MS = 1_500.0


class MemberSync:
    """Keeps a link to each node that requests may go to.

    Parameters
    ----------
    own : Member
        This node.
    hello : Hello
        What it says of itself on links.
    peers : Peers
        Doors.
    store : Store
        The platform's store.
    clock : Clock
        Time in milliseconds.
    teller : Teller
        Logs.

    Attributes
    ----------
    on_link : callable
        Told of each new link before it is opened.
    """

    def __init__(
        self,
        own: Member,
        hello: Hello,
        peers: Peers,
        store: Store,
        clock: Clock,
        teller: Teller,
    ) -> None:
        self._own = own
        self._hello = hello
        self._peers = peers
        self._store = store
        self._clock = clock
        self._tell = teller
        self._links: dict[str, SendingLink] = {}
        self.nursery: trio.Nursery | None = None
        self.on_link: Callable[[SendingLink], None] = _ignore

    def take_hello(self, hello: Hello) -> None:
        """Learn of a node that has opened a link to this one."""
        self._take(
            Member(
                hello.node,
                hello.incarnation,
                hello.address,
                hello.data_centre,
                hello.service,
            )
        )

    def _take(self, member: Member) -> None:
        if member.node == self._own.node or self.nursery is None:
            return
        link = self._links.get(member.node)
        if link is not None:
            same = (link.member.address, link.member.service)
            if same == (member.address, member.service):
                return
            link.scope.cancel()
        local = member.data_centre == self._own.data_centre
        link = SendingLink(member, self._hello, local, self._clock, self._tell)
        self._links[member.node] = link
        self.on_link(link)
        self._peers.put(link)
        self._tell.event(
            "node-known",
            node=member.node,
            service=member.service,
            address=member.address,
        )
        self.nursery.start_soon(link.run)

    def _forget(self, node: str) -> None:
        link = self._links.pop(node, None)
        if link is not None:
            link.scope.cancel()
            self._peers.drop(node)
            self._tell.event("node-gone", node=node)

    def _take_all(self, present: Mapping[str, Member]) -> None:
        """Follow a whole list; nodes with a live link stay whatever it says."""
        for member in present.values():
            self._take(member)
        for node, link in list(self._links.items()):
            if node not in present and not link.target.usable:
                self._forget(node)

    async def run(self) -> None:
        """Announce this node and follow the store until cancelled."""
        await self._announce()
        revision = 0
        wait: Milliseconds = _RETRY_MS
        while True:
            if revision:
                result = await self._store.watch_members(revision, _WATCH_MS)
            else:
                result = await self._store.read_members()
            match result:
                case Members(at, present, gone):
                    if revision:
                        for member in present.values():
                            self._take(member)
                        for node in gone:
                            self._forget(node)
                    else:
                        self._take_all(present)
                    revision, wait = at, _RETRY_MS
                    await trio.sleep(_PAUSE_MS / MS_PER_S)
                case HistoryGone():
                    revision = 0
                    await trio.sleep(_RETRY_MS / MS_PER_S)
                case StoreFailed(reason):
                    self._tell.event("store-lost", what="members", cause=reason)
                    await trio.sleep(wait / MS_PER_S)
                    wait = min(2.0 * wait, _RETRY_MAX_MS)

    async def _announce(self) -> None:
        wait: Milliseconds = _RETRY_MS
        while (failed := await self._store.announce(self._own)) is not None:
            self._tell.event("announce-failed", cause=failed.reason)
            await trio.sleep(wait / MS_PER_S)
            wait = min(2.0 * wait, _RETRY_MAX_MS)

    async def withdraw(self) -> None:
        """Take this node out of the store, once."""
        failed = await self._store.withdraw(self._own.node)
        if failed is not None:
            self._tell.event("withdraw-failed", cause=failed.reason)


def _ignore(_: object) -> None:
    """Do nothing."""
