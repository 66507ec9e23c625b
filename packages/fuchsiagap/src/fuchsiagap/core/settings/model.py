"""The settings of one team, as data."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.clock import Milliseconds

SETTINGS_PREFIX = "/settings/"


@dataclass(frozen=True, slots=True)
class TokenDigest:
    """A bearer token that may change a team's settings, by its digest.

    Parameters
    ----------
    name : str
        Whose token it is, for the audit trail.
    digest : str
        SHA-256 of the token in hexadecimal.
    """

    name: str
    digest: str


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """The rules of the calls that one section matches.

    Parameters
    ----------
    route : str
        The section, for example ``"certs/issue"``; ``"certs"`` for what no
        section of the service matches.
    service : ServiceName
        The service.
    methods : tuple of str
        HTTP methods in upper case; ``("*",)`` for any.
    pattern : str
        Path pattern.
    priority : int
        0 is the most important, 9 the least.
    idempotent : bool
        Whether a call may run more than once.
    timeout : float
        Milliseconds a caller waits if it gives no deadline, and the most that it
        may ask for.
    allowance : int
        Extra attempts of a root request over its whole chain.
    retry_budget : float
        Retries as a share of the service's recent calls.
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
    """The rules of one service as a whole.

    Parameters
    ----------
    service : ServiceName
        The service.
    safe, unsafe : RouteSettings
        What holds where no route section matches: `safe` for GET, HEAD and
        OPTIONS, `unsafe` for any other method.
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
        Version the platform gave; 0 for a text that has none yet.
    text : str
        The text they were read from, without change records.
    routes : tuple of RouteSettings
        One for each route section, in the order of the text. Where the section
        leaves `idempotent` to the method, the flag holds for the section's
        methods as a whole, and `SettingsBook.route_for` tells them apart.
    services : tuple of ServiceSettings
        One for each service that a section names.
    default : ServiceSettings
        What holds for a service of the team that no section names; its service
        has the name ``*``.
    weight : float
        0 weighs goodput only, 1 recovery time only.
    token_digests : tuple of TokenDigest
        Who may change the settings.
    idempotent_by_method : frozenset of str
        Routes that leave `idempotent` to the method.
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
    """One version of a team's text, as the platform holds it.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        Version the platform gave.
    text : str
        The stored text, change records included.
    deleted : bool
        Whether the team's settings are deleted as of this version.
    """

    team: str
    version: int
    text: str
    deleted: bool = False


def settings_path(team: str) -> str:
    """Return the path of a team's settings on the platform."""
    return SETTINGS_PREFIX + team


def team_from_path(path: str) -> str:
    """Return the team whose settings stand at a path; empty if it is no such path."""
    if not path.startswith(SETTINGS_PREFIX):
        return ""
    team = path.removeprefix(SETTINGS_PREFIX)
    return "" if "/" in team else team
