"""What becomes of a change of settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from fuchsiagap.core.settings.faults import SettingsFaults


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change took effect.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        The version it made.
    current : int
        The version that stands now; higher if somebody has changed it since.
    """

    team: str
    version: int
    current: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another version stands there than was expected; nothing was changed.

    Parameters
    ----------
    team : str
        Name of the team.
    expected_version : int
        The version that was expected.
    version : int
        The version that stands; 0 if there is none.
    deleted : bool
        Whether the settings are deleted as of that version.
    text : str
        The text that stands.
    diff : str
        From the text that stands to the one that was offered.
    by : str
        Who made the version that stands; empty if it bears no record.
    is_sure : bool
        Whether the records reach back to the change that replaced the expected
        version, so that no earlier request with this id has taken effect either.
    """

    team: str
    expected_version: int
    version: int
    deleted: bool
    text: str
    diff: str
    by: str
    is_sure: bool


@dataclass(frozen=True, slots=True)
class Invalid:
    """The text is not valid; nothing was changed.

    Parameters
    ----------
    faults : SettingsFaults
        Every fault at once.
    """

    faults: SettingsFaults


@dataclass(frozen=True, slots=True)
class Forbidden:
    """The token may not change this team's settings; nothing was changed.

    Parameters
    ----------
    team : str
        Name of the team.
    detail : str
        For people.
    """

    team: str
    detail: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform does not answer; nothing was changed.

    Parameters
    ----------
    detail : str
        For people.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The change may have taken effect, and the platform does not say so now.

    Parameters
    ----------
    change_id : str
        With which to ask again: a repeat of the change with the same id and the
        same text finds out, and cannot take effect a second time.
    detail : str
        For people.
    expected_version : int
        The version the change is to replace: to be named by the repeat, also if the
        first request named none.
    """

    change_id: str
    detail: str
    expected_version: int


WriteResult: TypeAlias = (
    Accepted | Conflict | Invalid | Forbidden | Unavailable | Unsettled
)
