"""Interface to the platform's store, and the results of its operations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.freshness.store_view import Cursor
    from fuchsiagap.core.routes.model import RouteConfig
    from fuchsiagap_node.core.mesh.malformed_input import MalformedInput
    from fuchsiagap_node.core.mesh.outbound_link import Member


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The store gave no usable answer; a write may still take effect later.

    Parameters
    ----------
    reason : str
        Description of the failure.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The store has compacted the changes after the cursor; a new read is needed."""


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """A configuration as the store holds it.

    Parameters
    ----------
    cursor : Cursor
        Position in the history of the store.
    text : bytes
        The configuration in the encoding of the platform, to send to other nodes.
    config : RouteConfig
        Decoded configuration.
    """

    cursor: Cursor
    text: bytes
    config: RouteConfig


@dataclass(frozen=True, slots=True)
class Members:
    """Registered nodes.

    Parameters
    ----------
    present : mapping of str to Member
        Nodes by name.
    malformed : tuple of MalformedInput
        Entries that could not be read: from another writer or another version.
    """

    present: Mapping[str, Member]
    malformed: tuple[MalformedInput, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Answer to a probe.

    Parameters
    ----------
    epoch : int
        Epoch of the store; `NO_EPOCH` if the answer has none.
    is_listed : bool
        Whether the entry of the given node exists.
    """

    epoch: int
    is_listed: bool


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Result of a read or watch of the configuration.

    Parameters
    ----------
    cursor : Cursor
        Position to watch from next.
    stored : StoredConfig or None
        The configuration; None if there is no new one.
    malformed : tuple of MalformedInput
        Other objects beside the configuration that could not be read.
    """

    cursor: Cursor
    stored: StoredConfig | None
    malformed: tuple[MalformedInput, ...] = ()


@dataclass(frozen=True, slots=True)
class StorePosition:
    """Position of the store, from an answer without a configuration.

    Parameters
    ----------
    cursor : Cursor
        Epoch and revision of the store.
    """

    cursor: Cursor


ConfigResult: TypeAlias = ConfigUpdate | HistoryCompacted | StoreFailed
MembersResult: TypeAlias = Members | StoreFailed
ProbeResult: TypeAlias = ProbeReply | StoreFailed
PositionResult: TypeAlias = StorePosition | StoreFailed


class Store(Protocol):
    """The platform's store; implementations translate its names and formats."""

    async def read_config(self, linearizable: bool) -> ConfigResult:
        """Read the configuration.

        Parameters
        ----------
        linearizable : bool
            Whether to read the newest version; otherwise the result may be some
            seconds old, at a lower cost.
        """

    async def watch_config(self, cursor: Cursor, wait: Milliseconds) -> ConfigResult:
        """Wait up to `wait` milliseconds for a change after the cursor."""

    async def read_position(self, linearizable: bool) -> PositionResult:
        """Read the position of the store, by a response of constant size.

        Parameters
        ----------
        linearizable : bool
            Whether to read the newest position; otherwise the result may be some
            seconds old, at a lower cost.
        """

    async def probe(self, node: str) -> ProbeResult:
        """Check by the store's cheapest request whether a node's entry exists."""

    def decode_config(self, cursor: Cursor, text: bytes) -> StoredConfig | None:
        """Decode a configuration from another node; None if it is malformed."""

    async def read_members(self, linearizable: bool) -> MembersResult:
        """Read all registered nodes.

        Parameters
        ----------
        linearizable : bool
            Whether to read the newest list; otherwise the result may be some
            seconds old, at a lower cost.
        """

    async def register(
        self, member: Member, is_listed: bool = False
    ) -> StoreFailed | None:
        """Register a node, or replace its entry.

        Parameters
        ----------
        member : Member
            Entry of the node.
        is_listed : bool, default=False
            Whether the entry probably exists, which saves a call.
        """

    async def deregister(self, node: str) -> StoreFailed | None:
        """Remove the entry of a node."""
