"""Registers this node in the store and discovers the other nodes there."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_timeouts import timeouts_within
from fuchsiagap_node.core.mesh.hedging import hedge
from fuchsiagap_node.core.mesh.store import Members
from fuchsiagap_node.core.mesh.store_probe import StoreProbe

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from fuchsiagap.core.backend_queue.departures import Departure
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.outbound_link import Member
    from fuchsiagap_node.core.mesh.outbound_links import OutboundLinks
    from fuchsiagap_node.core.mesh.settings import Bounds, MeshSettings
    from fuchsiagap_node.core.mesh.store import MembersResult, Store

# Interval between two list calls in milliseconds: the minimum, the part per listed
# node, and the jitter as a share of the interval. Nodes to which a new node opens a
# link add it immediately; the others discover it by a list call. A list call that may
# return data some seconds old is the cheapest call. A watch would end at each start of
# another node: with 204 starts among 81 nodes it took 39 calls per node in 38 s, those
# for the configuration included. The part per node limits all nodes together to 5 list
# calls a second.
_LIST_INTERVAL_MS = 10_000.0
_LIST_INTERVAL_PER_NODE_MS = 200.0
_LIST_JITTER = 0.2
# Milliseconds after each of the first list calls of a new node. Other nodes may be new
# as well, and missing in the list so far.
_STARTUP_LIST_INTERVALS_MS = (1_500.0, 1_500.0, 2_000.0)
# Maximum age of a list in milliseconds; entries newer than this may be missing.
_MAX_LIST_STALENESS_MS = 8_000.0
# Maximum milliseconds for which the acknowledgement of a departure waits for the store,
# and the interval of the checks. With the wait for another node it stays below the
# second within which a server expects the acknowledgement.
_STORED_TIMEOUT_MS = 400.0
_STORED_POLL_MS = 10.0
# Milliseconds for which an unlisted node must have been unreachable before it is
# forgotten; the list may be older than the registration of the node.
_FORGET_AFTER_MS = 5_000.0
# Milliseconds without contact after which a listed node counts as dead and is removed
# from the store. Much longer than a restart; a node that was only partitioned registers
# again.
_DEAD_AFTER_MS = 60_000.0
# Expected number of nodes that remove a dead node after one list call, if all nodes see
# that it is dead; the others find it removed at their next list call. Removal by a
# fixed share of one node in five took 39 calls per dead node among 195 nodes.
_EXPECTED_REMOVERS = 3.0
# Maximum milliseconds between two list calls while the store fails, for a node that has
# links. A node without links uses the shorter maximum of the store timeouts, since it
# cannot serve without a list.
_MAX_LIST_BACKOFF_MS = 6_000.0
# Factor by which the hedging delay of list calls grows, for a node that has links.
_LINKED_BACKOFF_FACTOR = 3.0
# Upper limit, in milliseconds, of the random delay before a node checks its entry in a
# store that was restored from a backup.
_REGISTER_AGAIN_JITTER_MS = 1_000.0
# Maximum timeout of a registration request, in milliseconds.
_MAX_REGISTER_TIMEOUT_MS = 2_500.0


class MemberSync:
    """Registers this node and keeps the list of known nodes up to date.

    Parameters
    ----------
    own : Member
        This node.
    links : OutboundLinks
        Outbound links to other nodes; receives the nodes that are discovered.
    store : Store
        The platform's store.
    cfg : MeshSettings
        Settings. When the whole system starts for the first time, the node registers
        without looking for its entry, since the store has none yet.
    clock : Clock
        Time in milliseconds.
    rng : random.Random
        Spreads the list calls of the nodes, and chooses who removes a dead node.
    event_log : EventLog
        Receives events and counts of calls.

    Attributes
    ----------
    on_departures : callable
        Called after each list with the departures in this node's entry in the store
        that are not known yet; a previous process of the node wrote them.
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
        self._store_restored = trio.Event()
        self._registered_at = float("-inf")
        # Departures in the entry of this node, as far as known.
        self._stored_departures: frozenset[Departure] = frozenset()
        self._departures_changed = trio.Event()
        self.on_departures: Callable[[Sequence[Departure]], None] = _ignore_departures

    def adopt_bounds(self, bounds: Bounds) -> None:
        """Recompute the timeouts of store requests from `bounds.change`."""
        self._timeouts = self._probe.timeouts = timeouts_within(bounds.change)

    async def run(self) -> None:
        """Register this node and follow the list of nodes until cancelled."""
        if self._first_start:
            await self._register("start")
        present = await self._list("start")
        is_new = self._first_start or not self._is_listed(present)
        first_lists = list(_STARTUP_LIST_INTERVALS_MS) if is_new else []
        while True:
            if not self._is_listed(present):
                await self._register("not-listed")
            if first_lists:
                await trio.sleep(first_lists.pop(0) / MS_PER_S)
                present = await self._list("start")
                continue
            pause = max(_LIST_INTERVAL_MS, len(present) * _LIST_INTERVAL_PER_NODE_MS)
            spread = 1.0 + _LIST_JITTER * (2.0 * self._rng.random() - 1.0)
            with trio.move_on_after(pause * spread / MS_PER_S):
                await self._store_restored.wait()
            if self._store_restored.is_set():
                await self._register_again()
            else:
                present = await self._list("interval")
                await self._remove_dead(present)

    def store_departures(self, departures: tuple[Departure, ...]) -> None:
        """Store the departures beside this node, in its entry.

        They outlast a restart of all nodes at once.

        Parameters
        ----------
        departures : tuple of Departure
            The departures.
        """
        self._own = replace(self._own, departures=departures)
        if frozenset(departures) != self._stored_departures:
            self._departures_changed.set()

    async def write_departures(self) -> None:
        """Write changed departures to the store until cancelled."""
        while True:
            await self._departures_changed.wait()
            self._departures_changed = trio.Event()
            await self._register("departure", is_listed=True)

    async def wait_until_stored(self) -> bool:
        """Wait a limited time until the store has the departures beside this node.

        Returns
        -------
        bool
            Whether it has them.
        """
        with trio.move_on_after(_STORED_TIMEOUT_MS / MS_PER_S):
            while frozenset(self._own.departures) != self._stored_departures:
                await trio.sleep(_STORED_POLL_MS / MS_PER_S)
        return frozenset(self._own.departures) == self._stored_departures

    def _read_departures(self, present: Mapping[str, Member]) -> None:
        """Read the departures in the entry of this node."""
        listed = present.get(self._own.node)
        departures = () if listed is None else listed.departures
        known, self._stored_departures = self._stored_departures, frozenset(departures)
        self.on_departures([d for d in departures if d not in known])

    def handle_store_restored(self) -> None:
        """Handle the restoration of the store from a backup.

        The entry of this node may be gone, and entries that it removed may be back.
        """
        self._registered_at = float("-inf")
        self._removed.clear()
        self._store_restored.set()

    async def _register_again(self) -> None:
        """Register this node again if the store has lost its entry."""
        self._store_restored = trio.Event()
        await trio.sleep(self._rng.random() * _REGISTER_AGAIN_JITTER_MS / MS_PER_S)
        if self._own.departures or not await self._probe.find_entry("returned"):
            await self._register("returned")

    def _is_listed(self, present: Mapping[str, Member]) -> bool:
        """Whether a list contains this node at its current address.

        Also true shortly after a registration, which the list may not contain yet.
        """
        if self._clock.now() - self._registered_at < _MAX_LIST_STALENESS_MS:
            return True
        listed = present.get(self._own.node)
        own = self._own
        return listed is not None and (
            (listed.address, listed.service, listed.data_centre)
            == (own.address, own.service, own.data_centre)
        )

    async def _remove_dead(self, present: Mapping[str, Member]) -> None:
        """Remove nodes from the store that are dead and not only partitioned.

        If no node of a data centre is reachable, the data centre counts as partitioned.
        A node that registered again after its removal, under the same incarnation, is
        alive and is not removed a second time.
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
            self._event_log.count_store_call("member-remove", "lost")
            failed = await self._store.deregister(node)
            cause = None if failed is None else failed.reason
            silent = round(unreachable_for)
            self._event_log.event("node-removed", node=node, silent=silent, cause=cause)

    async def _list(self, cause: str) -> Mapping[str, Member]:
        """List all nodes, retrying until the store answers; update the links."""
        wait = self._timeouts.initial_backoff
        failing = False

        async def list_members() -> MembersResult:
            self._event_log.count_store_call("member-list-older", cause)
            return await self._store.read_members(linearizable=False)

        while True:
            interval = self._timeouts.hedge_delay
            result = (
                await hedge(list_members, interval, _ignore, self._backoff_factor)
            ).result
            if isinstance(result, Members):
                if failing:
                    self._event_log.event("store-regained", what="members")
                for entry in result.malformed:
                    # Neither linked nor removed: its writer may still need it.
                    self._event_log.log_malformed_input("entry-unreadable", entry)
                self._read_departures(result.present)
                self._links.add_members(result.present.values())
                self._links.remove_unlisted(result.present, _FORGET_AFTER_MS)
                return result.present
            if not failing:
                self._event_log.event("store-lost", what="members", cause=result.reason)
            failing = True
            await trio.sleep(wait / MS_PER_S)
            is_alone = self._is_alone()
            longest = self._timeouts.max_backoff if is_alone else _MAX_LIST_BACKOFF_MS
            wait = min(2.0 * wait, longest)

    def _backoff_factor(self) -> float:
        """Return the factor by which the hedging delay of list calls grows."""
        return 1.0 if self._is_alone() else _LINKED_BACKOFF_FACTOR

    def _is_alone(self) -> bool:
        """Whether this node has no working link to another node."""
        return not any(link.is_responsive() for link in self._links)

    async def _register(self, cause: str, is_listed: bool = False) -> None:
        wait = 2.0 * self._timeouts.hedge_delay
        while (failed := await self._register_once(cause, wait, is_listed)) is not None:
            self._event_log.event("announce-failed", cause=failed)
            wait = min(2.0 * wait, _MAX_REGISTER_TIMEOUT_MS)
            await self._probe.find_entry("announce")
        self._registered_at = self._clock.now()

    async def _register_once(
        self, cause: str, wait: Milliseconds, is_listed: bool
    ) -> str | None:
        """Register once; return why the store did not accept it, or None if it did."""
        self._event_log.count_store_call("member-announce", cause)
        own = self._own
        with trio.move_on_after(wait / MS_PER_S):
            failed = await self._store.register(own, is_listed)
            if failed is not None:
                return failed.reason
            self._stored_departures = frozenset(own.departures)
            return None
        return f"no answer within {wait:.0f} ms"

    async def deregister(self) -> None:
        """Remove this node from the store, without a retry."""
        self._event_log.count_store_call("member-remove", "stop")
        failed = await self._store.deregister(self._own.node)
        if failed is not None:
            self._event_log.event("withdraw-failed", cause=failed.reason)


def _ignore() -> None:
    """Do nothing."""


def _ignore_departures(_: Sequence[Departure]) -> None:
    """Ignore the departures in the entry of this node."""
