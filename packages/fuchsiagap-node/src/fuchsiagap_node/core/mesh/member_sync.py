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
    from fuchsiagap_node.core.mesh.links import Links
    from fuchsiagap_node.core.mesh.sending import Member
    from fuchsiagap_node.core.mesh.settings import Bounds, MeshSettings
    from fuchsiagap_node.core.mesh.store import MembersResult, Store
    from fuchsiagap_node.core.mesh.telling import Teller

# Milliseconds between two lists, at least, and for each node that is listed; give or
# take a fifth. A new node is known at once to those that it links to; the others learn
# of it here. A list that may be some seconds old is the cheapest call, where a watch is
# woken at each start of another node (39 calls a node in 38 s with 204 starts among 81
# nodes, with those of the configuration). All nodes together list at most 5 times a
# second, however many they are.
_LIST_INTERVAL_MS = 10_000.0
_LIST_INTERVAL_PER_NODE_MS = 200.0
_LIST_JITTER = 0.2
# Milliseconds between the first lists of a node that is new, while others may be new
# too and a list may still lack them.
_STARTUP_LIST_INTERVALS_MS = (1_500.0, 1_500.0, 2_000.0)
# Milliseconds for which a list may lack what was announced before it.
_MAX_LIST_STALENESS_MS = 8_000.0
# Milliseconds for which a node that is not listed must have been out of reach before it
# is forgotten; a list may be older than its announcement.
_FORGET_AFTER_MS = 5_000.0
# Milliseconds without reach after which a listed node counts as lost for good, and is
# removed from the store. Chosen to be long against a restart, not measured; one that
# was only cut off announces itself again.
_DEAD_AFTER_MS = 60_000.0
# Nodes that remove a lost one after one list, on average, if all saw that it is lost;
# the others find it removed at their next. A fixed share of them, one in five, was 39
# calls for each lost node among 195.
_EXPECTED_REMOVERS = 3.0
# Milliseconds between two lists while the store fails, at most, for a node that has
# links; one that has none cannot serve without.
_MAX_LIST_BACKOFF_MS = 6_000.0
# Growth of the time between repeated lists of a node that has links.
_LINKED_BACKOFF_FACTOR = 3.0
# Milliseconds within which nodes write again what a store has lost that came back from
# a copy, each at a moment of its own.
_REANNOUNCE_JITTER_MS = 1_000.0
# Milliseconds that an announcement waits for its answer, at most.
_MAX_ANNOUNCE_TIMEOUT_MS = 2_500.0


class MemberSync:
    """Announces this node and follows the list of nodes.

    Parameters
    ----------
    own : Member
        This node.
    links : Links
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
    teller : Teller
        Logs.
    """

    def __init__(
        self,
        own: Member,
        links: Links,
        store: Store,
        cfg: MeshSettings,
        clock: Clock,
        rng: random.Random,
        teller: Teller,
    ) -> None:
        self._own = own
        self._links = links
        self._store = store
        self._first_start = cfg.first_start
        self._timeouts = timeouts_within(cfg.bounds.change)
        self._probe = StoreProbe(store, own.node, self._timeouts, teller)
        self._clock = clock
        self._rng = rng
        self._tell = teller
        self._removed: dict[str, str] = {}
        self._store_restored = trio.Event()
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
        first_lists = list(_STARTUP_LIST_INTERVALS_MS) if is_new else []
        while True:
            if not self._is_listed(present):
                await self._announce("not-listed")
            if first_lists:
                await trio.sleep(first_lists.pop(0) / MS_PER_S)
                present = await self._list("start")
                continue
            pause = max(_LIST_INTERVAL_MS, len(present) * _LIST_INTERVAL_PER_NODE_MS)
            spread = 1.0 + _LIST_JITTER * (2.0 * self._rng.random() - 1.0)
            with trio.move_on_after(pause * spread / MS_PER_S):
                await self._store_restored.wait()
            if self._store_restored.is_set():
                await self._reannounce()
            else:
                present = await self._list("interval")
                await self._remove_dead(present)

    def handle_store_restored(self) -> None:
        """Take in that the store has come back from a copy.

        What this node wrote may be gone, and what it removed may be back.
        """
        self._announced_at = float("-inf")
        self._removed.clear()
        self._store_restored.set()

    async def _reannounce(self) -> None:
        """Announce this node again if the store has lost that it did."""
        self._store_restored = trio.Event()
        await trio.sleep(self._rng.random() * _REANNOUNCE_JITTER_MS / MS_PER_S)
        if not await self._probe.find_entry("returned"):
            await self._announce("returned")

    def _is_listed(self, present: Mapping[str, Member]) -> bool:
        """Whether a list holds this node where it is now; else it is announced."""
        if self._clock.now() - self._announced_at < _MAX_LIST_STALENESS_MS:
            return True
        listed = present.get(self._own.node)
        own = self._own
        return listed is not None and (
            (listed.address, listed.service, listed.data_centre)
            == (own.address, own.service, own.data_centre)
        )

    async def _remove_dead(self, present: Mapping[str, Member]) -> None:
        """Remove nodes from the store that are lost, not only cut off.

        A data centre that is out of reach as a whole is cut off; and whoever was
        removed and has announced itself again lives.
        """
        now = self._clock.now()
        reachable = {link.member.data_centre for link in self._links if link.is_up()}
        reachable.add(self._own.data_centre)
        for link in self._links:
            node = link.member.node
            listed = present.get(node)
            unreachable_for = now - link.reached_at
            if (
                listed is None
                or unreachable_for < _DEAD_AFTER_MS
                or link.member.data_centre not in reachable
                or self._removed.get(node) == listed.incarnation
                or self._rng.random() > _EXPECTED_REMOVERS / len(present)
            ):
                continue
            self._removed[node] = listed.incarnation
            self._tell.store_call("member-remove", "lost")
            failed = await self._store.withdraw(node)
            cause = None if failed is None else failed.reason
            silent = round(unreachable_for)
            self._tell.event("node-removed", node=node, silent=silent, cause=cause)

    async def _list(self, cause: str) -> Mapping[str, Member]:
        """Follow a list of all nodes, however long it takes to get one."""
        wait = self._timeouts.initial_backoff
        failing = False

        async def list_members() -> MembersResult:
            self._tell.store_call("member-list-older", cause)
            return await self._store.read_members(linearizable=False)

        while True:
            interval = self._timeouts.hedge_delay
            result = (
                await hedge(list_members, interval, _ignore, self._backoff_factor)
            ).result
            if isinstance(result, Members):
                if failing:
                    self._tell.event("store-regained", what="members")
                for entry in result.malformed:
                    # It is neither dialled nor removed: who wrote it may need it.
                    self._tell.unreadable("entry-unreadable", entry)
                self._links.know(result.present.values())
                self._links.forget_unlisted(result.present, _FORGET_AFTER_MS)
                return result.present
            if not failing:
                self._tell.event("store-lost", what="members", cause=result.reason)
            failing = True
            await trio.sleep(wait / MS_PER_S)
            is_alone = self._is_alone()
            longest = self._timeouts.max_backoff if is_alone else _MAX_LIST_BACKOFF_MS
            wait = min(2.0 * wait, longest)

    def _backoff_factor(self) -> float:
        """Return how the time between repeated lists grows."""
        return 1.0 if self._is_alone() else _LINKED_BACKOFF_FACTOR

    def _is_alone(self) -> bool:
        """Whether this node is linked to no other one."""
        return not any(link.is_heard() for link in self._links)

    async def _announce(self, cause: str) -> None:
        wait = 2.0 * self._timeouts.hedge_delay
        while (failed := await self._announce_once(cause, wait)) is not None:
            self._tell.event("announce-failed", cause=failed)
            wait = min(2.0 * wait, _MAX_ANNOUNCE_TIMEOUT_MS)
            await self._probe.find_entry("announce")
        self._announced_at = self._clock.now()

    async def _announce_once(self, cause: str, wait: Milliseconds) -> str | None:
        """Return why the store has not taken the announcement; None if it has."""
        self._tell.store_call("member-announce", cause)
        with trio.move_on_after(wait / MS_PER_S):
            failed = await self._store.announce(self._own)
            return None if failed is None else failed.reason
        return f"no answer within {wait:.0f} ms"

    async def withdraw(self) -> None:
        """Take this node out of the store, once."""
        self._tell.store_call("member-remove", "stop")
        failed = await self._store.withdraw(self._own.node)
        if failed is not None:
            self._tell.event("withdraw-failed", cause=failed.reason)


def _ignore() -> None:
    """Do nothing."""
