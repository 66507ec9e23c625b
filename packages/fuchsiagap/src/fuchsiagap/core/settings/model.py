"""Data classes of the settings of a team."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.clock import Milliseconds

SETTINGS_PREFIX = "/settings/"


@dataclass(frozen=True, slots=True)
class TokenDigest:
    """Digest of a bearer token that may change the settings of a team.

    Parameters
    ----------
    name : str
        Name of the token's holder, for the audit trail.
    digest : str
        SHA-256 of the token in hexadecimal.
    """

    name: str
    digest: str


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """Settings for the calls that match one section of the text.

    Parameters
    ----------
    route : str
        Name of the section, for example ``"certs/issue"``; ``"certs"`` for the
        calls of that service that no route section matches.
    service : ServiceName
        Called service.
    methods : tuple of str
        HTTP methods in upper case; ``("*",)`` for any.
    pattern : str
        Path pattern; see `fuchsiagap.core.settings.pattern`.
    priority : int
        Priority; 0 is the most important, 9 the least.
    idempotent : bool
        Whether a call may run more than once.
    timeout : float
        Timeout in milliseconds of a call without a deadline, and the longest
        timeout that a caller may set.
    allowance : int
        Maximum number of extra attempts over the whole call chain of a root request.
    retry_budget : float
        Maximum ratio of retries to the recent calls of the service.
    """

    route: str
    service: ServiceName
    methods: tuple[str, ...]
    pattern: str
    priority: int
    idempotent: bool
    timeout: Milliseconds
    allowance: int
    retry_budget: float


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Default settings of a service, for calls that no route section matches.

    Parameters
    ----------
    service : ServiceName
        The service.
    safe : RouteSettings
        Settings of calls with the method GET, HEAD or OPTIONS.
    unsafe : RouteSettings
        Settings of calls with any other method.
    """

    service: ServiceName
    safe: RouteSettings
    unsafe: RouteSettings


@dataclass(frozen=True, slots=True)
class TeamSettings:
    """The settings of one team.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        Version assigned by the platform; 0 for a text that is not stored yet.
    text : str
        Text that the settings were parsed from, without change records.
    routes : tuple of RouteSettings
        Settings of each route section, in the order of the text. Where a section
        is in `idempotent_by_method`, its `idempotent` is True only if all of its
        methods are safe, and `SettingsBook.route_for` decides for each call.
    services : tuple of ServiceSettings
        Settings of each service that a section names.
    default : ServiceSettings
        Settings of the services of the team that no section names; the name of
        its service is ``*``.
    weight : float
        Objective of overload control, from 0 (goodput only) to 1 (recovery time
        only).
    token_digests : tuple of TokenDigest
        Tokens that may change the settings.
    idempotent_by_method : frozenset of str
        Names of the routes whose calls are idempotent if their method is safe.
    """

    team: str
    version: int
    text: str
    routes: tuple[RouteSettings, ...]
    services: tuple[ServiceSettings, ...]
    default: ServiceSettings
    weight: float
    token_digests: tuple[TokenDigest, ...]
    idempotent_by_method: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class TeamText:
    """One version of the settings text of a team, as stored on the platform.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        Version assigned by the platform.
    text : str
        Stored text, including the change records.
    deleted : bool
        Whether this version deletes the settings of the team.
    """

    team: str
    version: int
    text: str
    deleted: bool = False


def settings_path(team: str) -> str:
    """Return the path of the settings of a team on the platform."""
    return SETTINGS_PREFIX + team


def team_from_path(path: str) -> str:
    """Return the team of a settings path; empty if it is no such path."""
    if not path.startswith(SETTINGS_PREFIX):
        return ""
    team = path.removeprefix(SETTINGS_PREFIX)
    return "" if "/" in team else team
