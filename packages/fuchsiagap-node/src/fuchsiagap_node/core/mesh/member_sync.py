"""The other nodes, from the store and from their own links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.mesh.sending import Member, SendingLink
from fuchsiagap_node.core.mesh.store import Members

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.frames import Hello
    from fuchsiagap_node.core.mesh.peers import Peers
    from fuchsiagap_node.core.mesh.store import Store
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds between two lists, give or take a fifth. A node that comes opens links to
# the others itself, so lists are for what that misses; a list that may be some seconds
# old is the cheapest call, where a watch is woken at each start of another node (39
# calls a node in 38 s with 204 starts among 81 nodes, with those of the configuration).
_LIST_MS = 10_000.0
_LIST_SPREAD = 0.2
# Milliseconds for which a node that is not listed must have been out of reach before it
# is forgotten; a list may be older than its announcement.
_FORGET_MS = 5_000.0
# Milliseconds without reach after which a listed node counts as lost for good, and is
# removed from the store. Chosen to be long against a restart, not measured; one that
# was only cut off announces itself again.
_LOST_MS = 60_000.0
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
    first_start : bool
        Whether the whole system starts for the first time, so that the store knows
        nothing of this node yet.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Spreads the lists of the nodes.
    removes_lost : callable
        Returns whether this node is one of the few that remove lost nodes.
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
        first_start: bool,
        clock: Clock,
        rng: random.Random,
        removes_lost: Callable[[], bool],
        teller: Teller,
    ) -> None:
        self._own = own
        self._hello = hello
        self._peers = peers
        self._store = store
        self._first_start = first_start
        self._clock = clock
        self._rng = rng
        self._removes_lost = removes_lost
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
        """Follow a list; nodes that were reached of late stay whatever it says."""
        for member in present.values():
            self._take(member)
        now = self._clock.now()
        for node, link in list(self._links.items()):
            if node not in present and now - link.reached_at > _FORGET_MS:
                self._forget(node)

    def look(self) -> None:
        """Look at each link, whether its node is silent."""
        for link in self._links.values():
            link.look()

    async def run(self) -> None:
        """Announce this node and follow the store until cancelled."""
        if self._first_start:
            await self._announce()
        missing = not self._is_listed(await self._list(recent=True))
        while True:
            if missing:
                await self._announce()
                await self._list(recent=True)
            spread = 1.0 + _LIST_SPREAD * (2.0 * self._rng.random() - 1.0)
            await trio.sleep(_LIST_MS * spread / MS_PER_S)
            present = await self._list(recent=False)
            missing = not self._is_listed(present)
            if self._removes_lost():
                await self._remove_lost(present)

    async def _remove_lost(self, present: Mapping[str, Member]) -> None:
        """Remove nodes from the store that have been out of reach for long."""
        now = self._clock.now()
        for node, link in list(self._links.items()):
            out_of_reach = now - link.reached_at
            if node not in present or out_of_reach < _LOST_MS:
                continue
            failed = await self._store.withdraw(node)
            cause = None if failed is None else failed.reason
            silent = round(out_of_reach)
            self._tell.event("node-removed", node=node, silent=silent, cause=cause)

    def _is_listed(self, present: Mapping[str, Member]) -> bool:
        """Whether a list holds this node where it is now; else it is announced."""
        listed = present.get(self._own.node)
        own = self._own
        return listed is not None and (
            (listed.address, listed.service, listed.data_centre)
            == (own.address, own.service, own.data_centre)
        )

    async def _list(self, recent: bool) -> Mapping[str, Member]:
        """Follow a list of all nodes, however long it takes to get one."""
        wait: Milliseconds = _RETRY_MS
        failing = False
        while True:
            result = await self._store.read_members(recent)
            if isinstance(result, Members):
                if failing:
                    self._tell.event("store-regained", what="members")
                self._take_all(result.present)
                return result.present
            if not failing:
                self._tell.event("store-lost", what="members", cause=result.reason)
            failing = True
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
