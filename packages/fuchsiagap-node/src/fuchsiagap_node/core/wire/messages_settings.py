"""Messages by which nodes tell each other of settings and fetch them."""

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
    """Versions that the sender has adopted; a notice.

    Parameters
    ----------
    versions : tuple of (str, int)
        Team and version.
    """

    versions: VersionVector


@message(51, VersionVector=_Vector)
@dataclass(frozen=True, slots=True)
class SettingsQuery:
    """Ask for the texts of some teams; the reply is `SettingsTexts`.

    Parameters
    ----------
    known : tuple of (str, int)
        Each team, with the version the sender knows; only newer texts are wanted.
    """

    known: VersionVector


@message(52, TeamText=TeamText)
@dataclass(frozen=True, slots=True)
class SettingsTexts:
    """Texts in force at the sender.

    Parameters
    ----------
    texts : tuple of TeamText
        What was asked for and is newer; at least one of these, if not all.
    more : bool
        Whether there are further ones, left out for their size.
    """

    texts: tuple[TeamText, ...]
    more: bool


@message(53)
@dataclass(frozen=True, slots=True)
class SettingsCompare:
    """Compare versions with another node; the reply is `SettingsVector`.

    Parameters
    ----------
    fingerprint : int
        Hash of the sender's versions.
    """

    fingerprint: int


@message(54, VersionVector=_Vector)
@dataclass(frozen=True, slots=True)
class SettingsVector:
    """The versions in force at the sender.

    Parameters
    ----------
    same : bool
        Whether they equal those of the node that asked.
    versions : tuple of (str, int)
        Team and version; empty if they are the same.
    complete : bool
        Whether the sender has had all that the platform held at some moment.
    """

    same: bool
    versions: VersionVector
    complete: bool


@message(55)
@dataclass(frozen=True, slots=True)
class WatchForMe:
    """Ask another node to watch the platform, which the sender cannot reach."""


@message(56)
@dataclass(frozen=True, slots=True)
class WatchReply:
    """Whether the asked node's watch works.

    Parameters
    ----------
    watching : bool
        Whether it does.
    """

    watching: bool
