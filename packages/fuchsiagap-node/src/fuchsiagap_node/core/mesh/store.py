"""What the node needs of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.freshness.store_view import Cursor
    from fuchsiagap.core.routes.model import RouteConfig
    from fuchsiagap_node.core.mesh.malformed_input import Unreadable
    from fuchsiagap_node.core.mesh.outbound_link import Member


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The store gave no usable answer; a change may still take effect later.

    Parameters
    ----------
    reason : str
        What went wrong.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The changes since the revision are no longer known; list instead."""


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """A configuration as the store holds it.

    Parameters
    ----------
    cursor : Cursor
        Where it stands in the history of the store.
    text : bytes
        As the platform encodes it, for other nodes.
    config : RouteConfig
        What it says.
    """

    cursor: Cursor
    text: bytes
    config: RouteConfig


@dataclass(frozen=True, slots=True)
class Members:
    """Nodes that have announced themselves.

    Parameters
    ----------
    present : mapping of str to Member
        Nodes by name.
    broken : tuple of Unreadable
        Entries that name no node: of another writer, or of another version.
    """

    present: Mapping[str, Member]
    broken: tuple[Unreadable, ...] = ()


@dataclass(frozen=True, slots=True)
class Probed:
    """What a probe showed.

    Parameters
    ----------
    epoch : int
        Epoch of the store; `NO_EPOCH` if it told none.
    is_listed : bool
        Whether the entry of the node that was asked for is there.
    """

    epoch: int
    is_listed: bool


@dataclass(frozen=True, slots=True)
class ConfigNews:
    """What a look at the configuration gave.

    Parameters
    ----------
    cursor : Cursor
        Where to watch from.
    stored : StoredConfig or None
        The configuration, if there is a new one.
    """

    cursor: Cursor
    stored: StoredConfig | None


ConfigResult: TypeAlias = ConfigNews | HistoryGone | StoreFailed
MembersResult: TypeAlias = Members | StoreFailed
ProbeResult: TypeAlias = Probed | StoreFailed


class Store(Protocol):
    """The platform's store, behind its own names and formats."""

    async def read_config(self, recent: bool) -> ConfigResult:
        """Return the configuration; as of seconds ago, for less, unless `recent`."""

    async def watch_config(self, cursor: Cursor, wait: Milliseconds) -> ConfigResult:
        """Wait for a change of the configuration after a cursor."""

    async def probe(self, node: str) -> ProbeResult:
        """Ask the cheapest question there is, for the entry of a node."""

    def decode_config(self, cursor: Cursor, text: bytes) -> StoredConfig | None:
        """Return a configuration that another node sent; None if it is none."""

    async def read_members(self, recent: bool) -> MembersResult:
        """Return all nodes; as of a few seconds ago, for less, unless `recent`."""

    async def announce(self, member: Member) -> StoreFailed | None:
        """Put this node among the others."""

    async def withdraw(self, node: str) -> StoreFailed | None:
        """Take this node out."""
