"""Settings of all teams in a process; only a higher version replaces a lower one."""

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

# Names of teams with their versions, sorted by name.
VersionVector: TypeAlias = tuple[tuple[str, int], ...]
# Maximum number of cached default routes of one team.
MAX_CACHED_DEFAULTS = 256


@dataclass(frozen=True, slots=True)
class Adopted:
    """The offered text was adopted.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        Adopted version.
    """

    team: str
    version: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The offered text was ignored, since it is not newer than the active one.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        Offered version.
    active_version : int
        Active version.
    """

    team: str
    version: int
    active_version: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The offered text is newer but not valid; the active one is kept.

    Parameters
    ----------
    team : str
        Name of the team.
    version : int
        Offered version.
    faults : SettingsFaults
        Errors found in the text.
    """

    team: str
    version: int
    faults: SettingsFaults


@dataclass(slots=True)
class _TeamEntry:
    """Active text of one team, with its settings unless they are deleted.

    `defaults` caches the settings of services that no section names, by the name of
    the service and whether the method is safe.
    """

    text: TeamText
    settings: TeamSettings | None
    services: dict[str, ServiceMatcher]
    defaults: dict[tuple[str, bool], RouteSettings] = field(default_factory=dict)


@dataclass(slots=True)
class BookCounts:
    """Counts of the texts offered to a `SettingsBook`.

    Parameters
    ----------
    adopted, stale, invalid : int
        Number of texts by result of the offer. Of invalid texts, only those
        with a higher version than the last rejected one of the team count.
    split : int
        Number of texts that differ from the active one but have its version. The
        platform assigns each version once, so any count above 0 is a violation.
    """

    adopted: int = 0
    stale: int = 0
    invalid: int = 0
    split: int = 0


class SettingsBook:
    """Active settings of all teams in this process.

    The version of a team never decreases, whatever the order and the source of the
    texts. A deletion is a version too. An invalid text is never adopted.

    Attributes
    ----------
    counts : BookCounts
        Counts of the offered texts.
    sync_status : SyncStatus
        State of the synchronization with the platform.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _TeamEntry] = {}
        self._rejected: dict[str, Invalid] = {}
        self._fingerprint = 0
        self.counts = BookCounts()
        self.sync_status = SyncStatus()

    def adopt(self, text: TeamText) -> Adopted | Stale | Invalid:
        """Adopt a text if it is valid and its version is higher than the active one.

        Parameters
        ----------
        text : TeamText
            Text received from the platform or from another node.

        Returns
        -------
        Adopted, Stale or Invalid
            Result of the offer.
        """
        entry = self._entries.get(text.team)
        active_version = entry.text.version if entry else 0
        if text.version <= active_version:
            return self._stale(text, entry, active_version)
        if text.deleted:
            new = _TeamEntry(text, None, {})
        else:
            body = parse_stored_text(text.text).body
            settings = parse_team(text.team, body, text.version)
            if isinstance(settings, SettingsFaults):
                return self._reject(text, settings)
            new = _TeamEntry(text, settings, compile_team(settings))
        self._fingerprint ^= _hash(text.team, active_version) ^ _hash(
            text.team, text.version
        )
        self._entries[text.team] = new
        rejected = self._rejected.get(text.team)
        if rejected is not None and rejected.version < text.version:
            del self._rejected[text.team]
        self.counts.adopted += 1
        return Adopted(text.team, text.version)

    def route_for(
        self, service: ServiceName, method: str, target: str
    ) -> RouteSettings | None:
        """Return the settings that apply to a call.

        Parameters
        ----------
        service : ServiceName
            Called service.
        method : str
            HTTP method in upper case.
        target : str
            Path with query, as the backend server receives it.

        Returns
        -------
        RouteSettings or None
            Settings of the most specific matching section, else the defaults of the
            service, else those of the team. None if the team has no settings.
        """
        entry = self._entries.get(service.team)
        if entry is None:
            return None
        matcher = entry.services.get(service.name)
        if matcher is not None:
            return find_route(matcher, method, target)
        if entry.settings is None:
            return None
        return _default_route(entry, entry.settings, service, method in SAFE_METHODS)

    def team(self, name: str) -> TeamSettings | None:
        """Return the active settings of a team; None if there are none."""
        entry = self._entries.get(name)
        return entry.settings if entry else None

    def text(self, name: str) -> TeamText | None:
        """Return the active text or tombstone of a team; None if there is none."""
        entry = self._entries.get(name)
        return entry.text if entry else None

    def teams(self) -> tuple[str, ...]:
        """Return the sorted names of the teams that have settings."""
        return tuple(
            sorted(name for name, entry in self._entries.items() if entry.settings)
        )

    def rejected(self) -> tuple[Invalid, ...]:
        """Return the newest rejection of each team, if newer than its active text."""
        return tuple(self._rejected[name] for name in sorted(self._rejected))

    def vector(self) -> VersionVector:
        """Return the active version of each team, including tombstones."""
        return tuple(
            sorted((name, entry.text.version) for name, entry in self._entries.items())
        )

    def seen(self) -> VersionVector:
        """Return the newest version received of each team, including invalid ones.

        A process requests only newer versions than these from other nodes, so a text
        that it rejected is not sent to it repeatedly.
        """
        versions = dict(self.vector())
        for name, rejected in self._rejected.items():
            versions[name] = max(versions.get(name, 0), rejected.version)
        return tuple(sorted(versions.items()))

    @property
    def fingerprint(self) -> int:
        """Hash of `vector`; equal vectors have the same hash in every process."""
        return self._fingerprint

    def _stale(
        self, text: TeamText, entry: _TeamEntry | None, active_version: int
    ) -> Stale:
        self.counts.stale += 1
        if entry is not None and text.version == active_version and text != entry.text:
            self.counts.split += 1
        return Stale(text.team, text.version, active_version)

    def _reject(self, text: TeamText, faults: SettingsFaults) -> Invalid:
        invalid = Invalid(text.team, text.version, faults)
        previous = self._rejected.get(text.team)
        if previous is None or previous.version < text.version:
            self._rejected[text.team] = invalid
            self.counts.invalid += 1
        return invalid


def _hash(team: str, version: int) -> int:
    if not version:
        return 0
    data = blake2b(f"{team}/{version}".encode(), digest_size=8).digest()
    return int.from_bytes(data, "big")


def _default_route(
    entry: _TeamEntry, settings: TeamSettings, service: ServiceName, is_safe: bool
) -> RouteSettings:
    """Return the defaults of the team for a service that no section names."""
    key = service.name, is_safe
    route = entry.defaults.get(key)
    if route is None:
        default = settings.default.safe if is_safe else settings.default.unsafe
        route = replace(default, route=service.name, service=service)
        # Callers choose service names freely, so the cache is bounded.
        if len(entry.defaults) < MAX_CACHED_DEFAULTS:
            entry.defaults[key] = route
    return route
