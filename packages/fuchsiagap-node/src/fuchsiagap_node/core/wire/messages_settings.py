"""Messages that announce, compare and fetch settings between nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from fuchsiagap.core.settings.model import TeamText
from fuchsiagap_node.core.wire.codec import message

if TYPE_CHECKING:
    from fuchsiagap.core.settings.book import VersionVector

_Vector: TypeAlias = tuple[tuple[str, int], ...]


@message(50, VersionVector=_Vector)
@dataclass(frozen=True, slots=True)
class SettingsNews:
    """Announcement of versions that the sender has adopted; a notification.

    Parameters
    ----------
    versions : tuple of (str, int)
        Team and version.
    """

    versions: VersionVector


@message(51, VersionVector=_Vector)
@dataclass(frozen=True, slots=True)
class SettingsQuery:
    """Request for the texts of some teams; the reply is `SettingsTexts`.

    Parameters
    ----------
    known : tuple of (str, int)
        Teams, each with the version that the sender knows; only newer texts are
        returned.
    """

    known: VersionVector


@message(52, TeamText=TeamText)
@dataclass(frozen=True, slots=True)
class SettingsTexts:
    """Texts in force at the sender.

    Parameters
    ----------
    texts : tuple of TeamText
        Requested texts that are newer than the known versions; at least one if any is.
    more : bool
        Whether further ones were left out because of their size.
    """

    texts: tuple[TeamText, ...]
    more: bool


@message(53)
@dataclass(frozen=True, slots=True)
class SettingsCompare:
    """Request to compare versions; the reply is a `SettingsVector`.

    Parameters
    ----------
    fingerprint : int
        Hash of the sender's versions.
    """

    fingerprint: int


@message(54, VersionVector=_Vector)
@dataclass(frozen=True, slots=True)
class SettingsVector:
    """Versions in force at the sender.

    Parameters
    ----------
    same : bool
        Whether they equal those of the requesting node.
    versions : tuple of (str, int)
        Team and version; empty if they are equal.
    complete : bool
        Whether the sender has received all settings that the platform held at some
        point in time.
    """

    same: bool
    versions: VersionVector
    complete: bool


@message(55)
@dataclass(frozen=True, slots=True)
class WatchForMe:
    """Request for a proxy watch of the platform, which the sender cannot reach.

    The reply is a `WatchReply`.
    """


@message(56)
@dataclass(frozen=True, slots=True)
class WatchReply:
    """Reply to a request for a proxy watch.

    Parameters
    ----------
    watching : bool
        Whether the sender's watch of the platform works.
    """

    watching: bool
