"""In-memory double of the platform's store, with failures that tests can inject."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_view import Cursor
from fuchsiagap_node.core.mesh.store import (
    ConfigUpdate,
    HistoryCompacted,
    Members,
    ProbeReply,
    StoredConfig,
    StoreFailed,
    StorePosition,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routes.model import RouteConfig
    from fuchsiagap_node.core.mesh.outbound_link import Member
    from fuchsiagap_node.core.mesh.store import (
        ConfigResult,
        MembersResult,
        PositionResult,
        ProbeResult,
    )


class SharedState:
    """Contents of the store, shared by the store clients of all nodes.

    Attributes
    ----------
    epoch : int
        Incremented each time the store is restored from a backup.
    revision : int
        Incremented by each change of the configuration.
    config : StoredConfig or None
        The configuration.
    members : dict of str to Member
        Registered nodes by name.
    missing_in_stale_list : frozenset of str
        Nodes that are missing in member lists that are not linearizable.
    stale_config : ConfigUpdate or None
        Result of configuration reads that are not linearizable; None for the current
        configuration.
    call_cost : float
        Total cost of all calls, watches included. A call costs 1, but a probe or a
        read that is not linearizable costs 0.1.
    writes : int
        Number of registrations.
    history_from : int
        Oldest revision from which a watch can start.
    next_change : trio.Event
        Set at the next change, then replaced by a new event.
    """

    def __init__(self) -> None:
        self.epoch = 1
        self.revision = 1
        self.config: StoredConfig | None = None
        self.members: dict[str, Member] = {}
        self.missing_in_stale_list: frozenset[str] = frozenset()
        self.stale_config: ConfigUpdate | None = None
        self.call_cost = 0.0
        self.writes = 0
        self.history_from = 0
        self.next_change = trio.Event()

    def notify_watches(self) -> None:
        """Wake the waiting watches after a change."""
        change, self.next_change = self.next_change, trio.Event()
        change.set()

    def put_config(self, config: RouteConfig) -> None:
        """Store a configuration and notify the watches."""
        self.revision += 1
        text = str(config.version).encode()
        self.config = StoredConfig(self.cursor, text, config)
        self.notify_watches()

    def restore(
        self, revision: int, config: StoredConfig | None, members: Iterable[str] = ()
    ) -> None:
        """Restore the store from a backup, in a new epoch.

        Parameters
        ----------
        revision : int
            Revision of the backup.
        config : StoredConfig or None
            Configuration in the backup.
        members : iterable of str
            Nodes in the backup; all others are removed.
        """
        self.epoch += 1
        self.revision = revision
        self.config = config
        kept = frozenset(members)
        self.members = {n: m for n, m in self.members.items() if n in kept}
        self.notify_watches()

    @property
    def cursor(self) -> Cursor:
        """Cursor of the newest revision."""
        return Cursor(self.epoch, self.revision)


class MemoryStore:
    """Store client of one node.

    Parameters
    ----------
    state : SharedState
        Contents of the store.
    known : dict of int to RouteConfig
        Configurations by version, for decoding those that other nodes send.

    Attributes
    ----------
    down : bool
        Whether every call fails.
    hangs_on_deregister : bool
        Whether `deregister` never returns.
    watch_is_silent : bool
        Whether watches are not notified of changes and time out without an update.
    """

    def __init__(self, state: SharedState, known: dict[int, RouteConfig]) -> None:
        self._state = state
        self._known = known
        self.down = False
        self.hangs_on_deregister = False
        self.watch_is_silent = False

    def _call(self, cost: float = 1.0) -> StoreFailed | None:
        """Count a call; return a failure if the store is down."""
        self._state.call_cost += cost
        return StoreFailed("down") if self.down else None

    async def read_config(self, linearizable: bool) -> ConfigResult:
        """Return the configuration; unless `linearizable`, it may be `stale_config`."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call(1.0 if linearizable else 0.1)) is not None:
            return failed
        state = self._state
        if not linearizable and state.stale_config is not None:
            return state.stale_config
        return ConfigUpdate(state.cursor, state.config)

    async def watch_config(self, cursor: Cursor, wait: Milliseconds) -> ConfigResult:
        """Wait up to `wait` milliseconds for a configuration newer than a cursor.

        Parameters
        ----------
        cursor : Cursor
            Position after which changes are of interest.
        wait : float
            Maximum wait in milliseconds.

        Returns
        -------
        ConfigUpdate, HistoryCompacted or StoreFailed
            An update without configuration if there was no change within the wait;
            `HistoryCompacted` if the store does not have the cursor's revision or has
            another epoch; `StoreFailed` if the store is down.
        """
        revision = cursor.revision
        if (failed := self._call()) is not None:
            await trio.lowlevel.checkpoint()
            return failed
        state = self._state
        if not state.history_from <= revision <= state.revision:
            await trio.lowlevel.checkpoint()
            return HistoryCompacted()
        with trio.move_on_after(wait / MS_PER_S):
            while True:
                if self.down:
                    return StoreFailed("down")
                if cursor.epoch != state.epoch:
                    return HistoryCompacted()
                is_newer = (
                    state.config is not None and state.config.cursor.revision > revision
                )
                if is_newer and not self.watch_is_silent:
                    return ConfigUpdate(state.cursor, state.config)
                await state.next_change.wait()
        return ConfigUpdate(Cursor(state.epoch, max(revision, 1)), None)

    async def read_position(self, linearizable: bool) -> PositionResult:
        """Return the newest position, whether or not `linearizable`."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call(1.0 if linearizable else 0.1)) is not None:
            return failed
        return StorePosition(self._state.cursor)

    async def probe(self, node: str) -> ProbeResult:
        """Return the epoch, and whether a node is registered."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call(0.1)) is not None:
            return failed
        return ProbeReply(self._state.epoch, node in self._state.members)

    def decode_config(self, cursor: Cursor, text: bytes) -> StoredConfig | None:
        """Return the configuration encoded in `text`; None for an unknown version."""
        config = self._known.get(int(text))
        return None if config is None else StoredConfig(cursor, text, config)

    async def read_members(self, linearizable: bool) -> MembersResult:
        """Return all members; unless `linearizable`, some may be missing."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call(1.0 if linearizable else 0.1)) is not None:
            return failed
        hidden = frozenset() if linearizable else self._state.missing_in_stale_list
        members = self._state.members
        return Members({n: m for n, m in members.items() if n not in hidden})

    async def register(
        self, member: Member, is_listed: bool = False
    ) -> StoreFailed | None:
        """Add or replace the member entry of this node."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call()) is not None:
            return failed
        self._state.members[member.node] = member
        self._state.writes += 1
        return None

    async def deregister(self, node: str) -> StoreFailed | None:
        """Remove the member entry of this node."""
        await (
            trio.sleep_forever()
            if self.hangs_on_deregister
            else trio.lowlevel.checkpoint()
        )
        if (failed := self._call()) is not None:
            return failed
        self._state.members.pop(node, None)
        return None
