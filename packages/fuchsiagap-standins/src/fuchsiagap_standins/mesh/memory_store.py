"""The platform's store, kept in memory, with its troubles."""

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
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.routes.model import RouteConfig
    from fuchsiagap_node.core.mesh.outbound_link import Member
    from fuchsiagap_node.core.mesh.store import (
        ConfigResult,
        MembersResult,
        ProbeResult,
    )


class SharedState:
    """What all nodes see of one store.

    Attributes
    ----------
    epoch : int
        Counts its returns from a copy.
    revision : int
        Counts the changes.
    config : StoredConfig or None
        The configuration.
    members : dict of str to Member
        Nodes that have announced themselves.
    missing_in_stale_list : frozenset of str
        Nodes that lists which may be old do not hold.
    older : ConfigUpdate or None
        What reads that may be old return; None for the newest.
    calls : float
        Calls by their price, watches included; a list that may be old counts a tenth.
    writes : int
        Calls that change something.
    history_from : int
        Oldest revision that can still be watched from.
    news : trio.Event
        Set at the next change.
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
        """Wake the waiting watches."""
        news, self.next_change = self.next_change, trio.Event()
        news.set()

    def put_config(self, config: RouteConfig) -> None:
        """Accept a configuration."""
        self.revision += 1
        text = str(config.version).encode()
        self.config = StoredConfig(self.cursor, text, config)
        self.notify_watches()

    def restore(
        self, revision: int, config: StoredConfig | None, members: Iterable[str] = ()
    ) -> None:
        """Hold what a copy held; an entry that it lacks is gone."""
        self.epoch += 1
        self.revision = revision
        self.config = config
        kept = frozenset(members)
        self.members = {n: m for n, m in self.members.items() if n in kept}
        self.notify_watches()

    @property
    def cursor(self) -> Cursor:
        """Its newest place."""
        return Cursor(self.epoch, self.revision)


class MemoryStore:
    """One node's way to the shared state.

    Parameters
    ----------
    state : SharedState
        What the store holds.
    known : dict of int to RouteConfig
        Configurations by version, to decode what other nodes send.

    Attributes
    ----------
    down : bool
        Whether every call of this node fails.
    mute : bool
        Whether changes of this node are never answered.
    silent : bool
        Whether its watches hear of no changes and end without news.
    """

    def __init__(self, state: SharedState, known: dict[int, RouteConfig]) -> None:
        self._state = state
        self._known = known
        self.down = False
        self.hangs_on_deregister = False
        self.watch_is_silent = False

    def _call(self, price: float = 1.0) -> StoreFailed | None:
        self._state.call_cost += price
        return StoreFailed("down") if self.down else None

    async def read_config(self, linearizable: bool) -> ConfigResult:
        """Return the configuration, or the one before unless `linearizable`."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call(1.0 if linearizable else 0.1)) is not None:
            return failed
        state = self._state
        if not linearizable and state.stale_config is not None:
            return state.stale_config
        return ConfigUpdate(state.cursor, state.config)

    async def watch_config(self, cursor: Cursor, wait: Milliseconds) -> ConfigResult:
        """Wait for a change of the configuration after a cursor."""
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

    async def probe(self, node: str) -> ProbeResult:
        """Ask for the entry of a node."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call(0.1)) is not None:
            return failed
        return ProbeReply(self._state.epoch, node in self._state.members)

    def decode_config(self, cursor: Cursor, text: bytes) -> StoredConfig | None:
        """Return a configuration that another node sent; None if it is none."""
        config = self._known.get(int(text))
        return None if config is None else StoredConfig(cursor, text, config)

    async def read_members(self, linearizable: bool) -> MembersResult:
        """Return all nodes; unless `linearizable`, the list may be outdated."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call(1.0 if linearizable else 0.1)) is not None:
            return failed
        hidden = frozenset() if linearizable else self._state.missing_in_stale_list
        members = self._state.members
        return Members({n: m for n, m in members.items() if n not in hidden})

    async def register(self, member: Member) -> StoreFailed | None:
        """Put this node among the others."""
        await trio.lowlevel.checkpoint()
        if (failed := self._call()) is not None:
            return failed
        self._state.members[member.node] = member
        self._state.writes += 1
        return None

    async def deregister(self, node: str) -> StoreFailed | None:
        """Take this node out."""
        await (
            trio.sleep_forever()
            if self.hangs_on_deregister
            else trio.lowlevel.checkpoint()
        )
        if (failed := self._call()) is not None:
            return failed
        self._state.members.pop(node, None)
        return None
