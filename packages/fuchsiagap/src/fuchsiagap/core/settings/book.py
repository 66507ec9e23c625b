"""All teams' settings on one process, adopted by version only."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import TYPE_CHECKING, TypeAlias

from fuchsiagap.core.settings.faults import SettingsFaults
from fuchsiagap.core.settings.matcher import (
    ServiceMatcher,
    compile_team,
    find_route,
)
from fuchsiagap.core.settings.parse import parse_team
from fuchsiagap.core.settings.pattern import SAFE_METHODS
from fuchsiagap.core.settings.record import parse_stored_text
from fuchsiagap.core.settings.sync_status import SyncStatus

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.settings.model import RouteSettings, TeamSettings, TeamText

VersionVector: TypeAlias = tuple[tuple[str, int], ...]
MAX_CACHED_DEFAULTS = 256


@dataclass(frozen=True, slots=True)
class Adopted:
    """The text is in force from now on.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        The version now in force.
    """

    team: str
    version: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The text is no newer than the one in force, and was left.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        The version offered.
    in_force : int
        The version in force.
    """

    team: str
    version: int
    in_force: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The text is newer but not valid; the one in force stays.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        The version offered.
    faults : SettingsFaults
        What is wrong with it.
    """

    team: str
    version: int
    faults: SettingsFaults


@dataclass(slots=True)
class _TeamEntry:
    """The text in force of one team, with its settings unless it is deleted.

    `defaults` are routes already made for services that no section names, by name
    and whether the method is safe.
    """

    text: TeamText
    settings: TeamSettings | None
    services: dict[str, ServiceMatcher]
    defaults: dict[tuple[str, bool], RouteSettings] = field(default_factory=dict)


@dataclass(slots=True)
class BookCounts:
    """What the book has counted.

    Parameters
    ----------
    adopted, stale, invalid : int
        Offers by what became of them.
    split : int
        Offers of the version in force with another text. The platform gives a
        version once, so any at all is a violation.
    """

    adopted: int = 0
    stale: int = 0
    invalid: int = 0
    split: int = 0


class SettingsBook:
    """The settings of all teams on this process.

    A team's version only grows, whatever order texts arrive in and whoever offers
    them; a deletion is a version too. An invalid text is never in force.

    Attributes
    ----------
    counts : BookCounts
        What has been counted.
    sync_status : SyncStatus
        How current the book is.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _TeamEntry] = {}
        self._rejected: dict[str, Invalid] = {}
        self._fingerprint = 0
        self.counts = BookCounts()
        self.sync_status = SyncStatus()

    def adopt(self, text: TeamText) -> Adopted | Stale | Invalid:
        """Take a text over if its version is higher than the one in force.

        Parameters
        ----------
        text : TeamText
            The text, from the platform or from a peer.

        Returns
        -------
        Adopted, Stale or Invalid
            What became of it.
        """
        held = self._entries.get(text.team)
        in_force = held.text.version if held else 0
        if text.version <= in_force:
            return self._stale(text, held, in_force)
        if text.deleted:
            new = _TeamEntry(text, None, {})
        else:
            body = parse_stored_text(text.text).body
            settings = parse_team(text.team, body, text.version)
            if isinstance(settings, SettingsFaults):
                return self._reject(text, settings)
            new = _TeamEntry(text, settings, compile_team(settings))
        self._fingerprint ^= _hash(text.team, in_force) ^ _hash(text.team, text.version)
        self._entries[text.team] = new
        rejected = self._rejected.get(text.team)
        if rejected is not None and rejected.version < text.version:
            del self._rejected[text.team]
        self.counts.adopted += 1
        return Adopted(text.team, text.version)

    def route_for(
        self, service: ServiceName, method: str, target: str
    ) -> RouteSettings | None:
        """Return the rules of a call.

        Parameters
        ----------
        service : ServiceName
            The called service.
        method : str
            HTTP method in upper case.
        target : str
            Path with query, as the backend server will see it.

        Returns
        -------
        RouteSettings or None
            The most specific section's; else the service's default; else the
            team's. None if no settings of the team are in force.
        """
        held = self._entries.get(service.team)
        if held is None:
            return None
        matcher = held.services.get(service.name)
        if matcher is not None:
            return find_route(matcher, method, target)
        if held.settings is None:
            return None
        return _default_route(held, held.settings, service, method in SAFE_METHODS)

    def team(self, name: str) -> TeamSettings | None:
        """Return a team's settings in force; None if there are none."""
        held = self._entries.get(name)
        return held.settings if held else None

    def text(self, name: str) -> TeamText | None:
        """Return the text in force of a team, a tombstone included."""
        held = self._entries.get(name)
        return held.text if held else None

    def teams(self) -> tuple[str, ...]:
        """Return the names of the teams whose settings are in force."""
        return tuple(
            sorted(name for name, held in self._entries.items() if held.settings)
        )

    def rejected(self) -> tuple[Invalid, ...]:
        """Return the newest text of each team that was found invalid."""
        return tuple(self._rejected[name] for name in sorted(self._rejected))

    def vector(self) -> VersionVector:
        """Return the version in force of each team, tombstones included."""
        return tuple(
            sorted((name, held.text.version) for name, held in self._entries.items())
        )

    def seen(self) -> VersionVector:
        """Return the newest version looked at of each team, invalid ones included.

        What a process asks others for is what is newer than this, so that a text
        it has rejected is not sent to it again and again.
        """
        versions = dict(self.vector())
        for name, rejected in self._rejected.items():
            versions[name] = max(versions.get(name, 0), rejected.version)
        return tuple(sorted(versions.items()))

    @property
    def fingerprint(self) -> int:
        """Hash of `vector`: equal for equal vectors, in any process."""
        return self._fingerprint

    def _stale(self, text: TeamText, held: _TeamEntry | None, in_force: int) -> Stale:
        self.counts.stale += 1
        if held is not None and text.version == in_force and text != held.text:
            self.counts.split += 1
        return Stale(text.team, text.version, in_force)

    def _reject(self, text: TeamText, faults: SettingsFaults) -> Invalid:
        invalid = Invalid(text.team, text.version, faults)
        held = self._rejected.get(text.team)
        if held is None or held.version < text.version:
            self._rejected[text.team] = invalid
            self.counts.invalid += 1
        return invalid


def _hash(team: str, version: int) -> int:
    if not version:
        return 0
    data = blake2b(f"{team}/{version}".encode(), digest_size=8).digest()
    return int.from_bytes(data, "big")


def _default_route(
    held: _TeamEntry, settings: TeamSettings, service: ServiceName, is_safe: bool
) -> RouteSettings:
    """Return the team's default for a service that no section names."""
    key = service.name, is_safe
    route = held.defaults.get(key)
    if route is None:
        default = settings.default.safe if is_safe else settings.default.unsafe
        route = replace(default, route=service.name, service=service)
        # Callers may make up names.
        if len(held.defaults) < MAX_CACHED_DEFAULTS:
            held.defaults[key] = route
    return route
