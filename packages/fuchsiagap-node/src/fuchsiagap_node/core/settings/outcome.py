"""Results of a request to change settings."""

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
        Version created by the change.
    current : int
        Current version; higher if the settings have been changed since.
    """

    team: str
    version: int
    current: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The current version is not the expected one; nothing was changed.

    Parameters
    ----------
    team : str
        Name of the team.
    expected_version : int
        Version that the request expected.
    version : int
        Current version; 0 if there is none.
    deleted : bool
        Whether the current version is a deletion.
    text : str
        Current text.
    diff : str
        Difference from the current text to the requested one.
    by : str
        Author of the current version; empty if it has no change record.
    is_sure : bool
        Whether the change records reach back to the change that replaced the expected
        version. Then no earlier request with the same id has taken effect either.
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
    """The text is invalid; nothing was changed.

    Parameters
    ----------
    faults : SettingsFaults
        All faults of the text.
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
        Human-readable reason.
    """

    team: str
    detail: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform does not respond; nothing was changed.

    Parameters
    ----------
    detail : str
        Human-readable reason.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Whether the change took effect cannot be determined now.

    Parameters
    ----------
    change_id : str
        Id for a repeat of the request. A repeat with the same id and the same text
        returns the result and cannot take effect a second time.
    detail : str
        Human-readable reason.
    expected_version : int
        Version that the change replaces. A repeat must name it, even if the first
        request named none.
    """

    change_id: str
    detail: str
    expected_version: int


WriteResult: TypeAlias = (
    Accepted | Conflict | Invalid | Forbidden | Unavailable | Unsettled
)
