"""The other nodes, from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_timeouts import timeouts_within
from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_node.core.mesh.store import Members
from fuchsiagap_node.core.mesh.store_probe import StoreProbe

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.outbound_link import Member
    from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks
    from fuchsiagap_node.core.mesh.settings import Bounds, MeshSettings
    from fuchsiagap_node.core.mesh.store import MembersResult, Store

# Milliseconds between two lists, at least, and for each node that is listed; give or
# take a fifth. A new node is known at once to those that it links to; the others learn
# of it here. A list that may be some seconds old is the cheapest call, where a watch is
# woken at each start of another node (39 calls a node in 38 s with 204 starts among 81
# nodes, with those of the configuration). All nodes together list at most 5 times a
# second, however many they are.
_LIST_MS = 10_000.0
_LIST_A_NODE_MS = 200.0
_LIST_SPREAD = 0.2
# Milliseconds between the first lists of a node that is new, while others may be new
# too and a list may still lack them.
_FIRST_LISTS_MS = (1_500.0, 1_500.0, 2_000.0)
# Milliseconds for which a list may lack what was announced before it.
_LIST_AGE_MS = 8_000.0
# Milliseconds for which a node that is not listed must have been out of reach before it
# is forgotten; a list may be older than its announcement.
_FORGET_MS = 5_000.0
# Milliseconds without reach after which a listed node counts as lost for good, and is
# removed from the store. Chosen to be long against a restart, not measured; one that
# was only cut off announces itself again.
_LOST_MS = 60_000.0
# Nodes that remove a lost one after one list, on average, if all saw that it is lost;
# the others find it removed at their next. A fixed share of them, one in five, was 39
# calls for each lost node among 195.
_REMOVERS = 3.0
# Milliseconds between two lists while the store fails, at most, for a node that has
# links; one that has none cannot serve without.
_RETRY_LIST_MAX_MS = 6_000.0
# Growth of the time between repeated lists of a node that has links.
_GROWTH_LINKED = 3.0
# Milliseconds within which nodes write again what a store has lost that came back from
# a copy, each at a moment of its own.
_WRITE_AGAIN_MS = 1_000.0
# Milliseconds that an announcement waits for its answer, at most.
_ANNOUNCE_MS = 2_500.0


class MemberSync:
    """Announces this node and follows the list of nodes.

    Parameters
    ----------
    own : Member
        This node.
    links : OutboundLinks
        Told which nodes there are.
    store : Store
        The platform's store.
    cfg : MeshSettings
        Settings. Where the whole system starts for the first time, the store knows
        nothing of this node yet.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Spreads the lists of the nodes, and who removes a lost one.
    event_log : EventLog
        Logs.
    """

    def __init__(
        self,
        own: Member,
        links: OutboundLinks,
        store: Store,
        cfg: MeshSettings,
        clock: Clock,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        self._own = own
        self._links = links
        self._store = store
        self._first_start = cfg.first_start
        self._timeouts = timeouts_within(cfg.bounds.change)
        self._probe = StoreProbe(store, own.node, self._timeouts, event_log)
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._removed: dict[str, str] = {}
        self._returned = trio.Event()
        self._announced_at = float("-inf")

    def adopt_bounds(self, bounds: Bounds) -> None:
        """Follow a bound on changes that has been set anew."""
        self._timeouts = self._probe.timeouts = timeouts_within(bounds.change)

    async def run(self) -> None:
        """Announce this node and follow the store until cancelled."""
        if self._first_start:
            await self._announce("start")
        present = await self._list("start")
        is_new = self._first_start or not self._is_listed(present)
        first_lists = list(_FIRST_LISTS_MS) if is_new else []
        while True:
            if not self._is_listed(present):
                await self._announce("not-listed")
            if first_lists:
                await trio.sleep(first_lists.pop(0) / MS_PER_S)
                present = await self._list("start")
                continue
            pause = max(_LIST_MS, len(present) * _LIST_A_NODE_MS)
            spread = 1.0 + _LIST_SPREAD * (2.0 * self._rng.random() - 1.0)
            with trio.move_on_after(pause * spread / MS_PER_S):
                await self._returned.wait()
            if self._returned.is_set():
                await self._write_again()
            else:
                present = await self._list("interval")
                await self._remove_lost(present)

    def note_return(self) -> None:
        """Take in that the store has come back from a copy.

        What this node wrote may be gone, and what it removed may be back.
        """
        self._announced_at = float("-inf")
        self._removed.clear()
        self._returned.set()

    async def _write_again(self) -> None:
        """Announce this node again if the store has lost that it did."""
        self._returned = trio.Event()
        await trio.sleep(self._rng.random() * _WRITE_AGAIN_MS / MS_PER_S)
        if not await self._probe.find_entry("returned"):
            await self._announce("returned")

    def _is_listed(self, present: Mapping[str, Member]) -> bool:
        """Whether a list holds this node where it is now; else it is announced."""
        if self._clock.now() - self._announced_at < _LIST_AGE_MS:
            return True
        listed = present.get(self._own.node)
        own = self._own
        return listed is not None and (
            (listed.address, listed.service, listed.data_centre)
            == (own.address, own.service, own.data_centre)
        )

    async def _remove_lost(self, present: Mapping[str, Member]) -> None:
        """Remove nodes from the store that are lost, not only cut off.

        A data centre that is out of reach as a whole is cut off; and whoever was
        removed and has announced itself again lives.
        """
        now = self._clock.now()
        in_reach = {link.member.data_centre for link in self._links if link.is_up()}
        in_reach.add(self._own.data_centre)
        for link in self._links:
            node = link.member.node
            listed = present.get(node)
            out_of_reach = now - link.reached_at
            if (
                listed is None
                or out_of_reach < _LOST_MS
                or link.member.data_centre not in in_reach
                or self._removed.get(node) == listed.incarnation
                or self._rng.random() > _REMOVERS / len(present)
            ):
                continue
            self._removed[node] = listed.incarnation
            self._event_log.count_store_call("member-remove", "lost")
            failed = await self._store.withdraw(node)
            cause = None if failed is None else failed.reason
            silent = round(out_of_reach)
            self._event_log.event("node-removed", node=node, silent=silent, cause=cause)

    async def _list(self, cause: str) -> Mapping[str, Member]:
        """Follow a list of all nodes, however long it takes to get one."""
        wait = self._timeouts.initial_backoff
        failing = False

        async def ask() -> MembersResult:
            self._event_log.count_store_call("member-list-older", cause)
            return await self._store.read_members(recent=False)

        while True:
            every = self._timeouts.hedge_delay
            result = (await hedge(ask, every, _ignore, self._growth)).result
            if isinstance(result, Members):
                if failing:
                    self._event_log.event("store-regained", what="members")
                for entry in result.broken:
                    # It is neither dialled nor removed: who wrote it may need it.
                    self._event_log.log_malformed_input("entry-unreadable", entry)
                self._links.add_members(result.present.values())
                self._links.remove_unlisted(result.present, _FORGET_MS)
                return result.present
            if not failing:
                self._event_log.event("store-lost", what="members", cause=result.reason)
            failing = True
            await trio.sleep(wait / MS_PER_S)
            is_alone = self._is_alone()
            longest = self._timeouts.max_backoff if is_alone else _RETRY_LIST_MAX_MS
            wait = min(2.0 * wait, longest)

    def _growth(self) -> float:
        """Return how the time between repeated lists grows."""
        return 1.0 if self._is_alone() else _GROWTH_LINKED

    def _is_alone(self) -> bool:
        """Whether this node is linked to no other one."""
        return not any(link.is_responsive() for link in self._links)

    async def _announce(self, cause: str) -> None:
        wait = 2.0 * self._timeouts.hedge_delay
        while (failed := await self._announce_once(cause, wait)) is not None:
            self._event_log.event("announce-failed", cause=failed)
            wait = min(2.0 * wait, _ANNOUNCE_MS)
            await self._probe.find_entry("announce")
        self._announced_at = self._clock.now()

    async def _announce_once(self, cause: str, wait: Milliseconds) -> str | None:
        """Return why the store has not taken the announcement; None if it has."""
        self._event_log.count_store_call("member-announce", cause)
        with trio.move_on_after(wait / MS_PER_S):
            failed = await self._store.announce(self._own)
            return None if failed is None else failed.reason
        return f"no answer within {wait:.0f} ms"

    async def withdraw(self) -> None:
        """Take this node out of the store, once."""
        self._event_log.count_store_call("member-remove", "stop")
        failed = await self._store.withdraw(self._own.node)
        if failed is not None:
            self._event_log.event("withdraw-failed", cause=failed.reason)


def _ignore() -> None:
    """Do nothing."""
