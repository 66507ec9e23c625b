"""Parser and validation of the settings text of a team."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.settings import team_schema
from fuchsiagap.core.settings.faults import Fault, SettingsFaults
from fuchsiagap.core.settings.ini import Section, read_ini
from fuchsiagap.core.settings.model import (
    RouteSettings,
    ServiceSettings,
    TeamSettings,
    settings_path,
)
from fuchsiagap.core.settings.pattern import (
    MATCH_ALL,
    SAFE_METHODS,
    Match,
    is_ambiguous,
)
from fuchsiagap.core.settings.schema import SectionSchema, read_entries, with_defaults
from fuchsiagap.core.settings.values import NAME

if TYPE_CHECKING:
    from collections.abc import Iterator

# Texts are parsed in the event loop that serves calls. These bounds keep the parse time
# of the largest text near that of a few calls (docs/design/settings.md).
MAX_TEXT_BYTES = 128 * 1024
MAX_LINES = 5000
MAX_SECTIONS = 500
MAX_ROUTES = 200
MAX_FAULTS = 1000
DEFAULT_SERVICE = "*"


@dataclass(frozen=True, slots=True)
class _ParsedRoute:
    """A valid route section with its settings, before the check for ambiguities."""

    section: Section
    match: Match
    settings: RouteSettings
    idempotent_by_method: bool


def parse_team(team: str, text: str, version: int = 0) -> TeamSettings | SettingsFaults:
    r"""Parse the settings text of a team.

    Parameters
    ----------
    team : str
        Name of the team.
    text : str
        INI text.
    version : int, default=0
        Version assigned by the platform.

    Returns
    -------
    TeamSettings or SettingsFaults
        Settings of the team, or all errors found in the text.

    Examples
    --------
    >>> settings = parse_team("salt-fog", "[certs/issue]\nmatch = POST /issue\n")
    >>> settings.routes[0].route
    'certs/issue'
    """
    path = settings_path(team)
    text_fault = _find_text_fault(path, team, text)
    if text_fault is not None:
        return SettingsFaults(path, (text_fault,))
    ini = read_ini(path, text)
    faults = list(ini.faults)
    if len(ini.sections) > MAX_SECTIONS:
        expected = f"at most {MAX_SECTIONS} sections"
        faults.append(Fault(path, "", "", str(len(ini.sections)), expected))
        return SettingsFaults(path, tuple(faults))
    settings = _build_settings(path, team, text, version, ini.sections, faults)
    if faults:
        return SettingsFaults(path, _limit_faults(path, faults))
    return settings


def _limit_faults(path: str, faults: list[Fault]) -> tuple[Fault, ...]:
    ordered = sorted(faults, key=lambda fault: fault.line)
    left_out = len(ordered) - MAX_FAULTS
    if left_out <= 0:
        return tuple(ordered)
    rest = Fault(path, "", "", f"{left_out} more errors", "none; fix these first")
    return (*ordered[:MAX_FAULTS], rest)


def _find_text_fault(path: str, team: str, text: str) -> Fault | None:
    if not NAME.fullmatch(team):
        expected = "a team name of lower-case letters, digits and inner hyphens"
        return Fault(path, "", "", team, expected)
    try:
        n_bytes = len(text.encode())
    except UnicodeEncodeError:
        return Fault(path, "", "", "bytes that are not valid UTF-8", "text in UTF-8")
    if n_bytes > MAX_TEXT_BYTES:
        expected = f"at most {MAX_TEXT_BYTES} bytes"
        return Fault(path, "", "", f"{n_bytes} bytes", expected)
    n_lines = len(text.splitlines())
    if n_lines > MAX_LINES:
        return Fault(path, "", "", f"{n_lines} lines", f"at most {MAX_LINES} lines")
    if "\0" in text:
        return Fault(path, "", "", "a NUL character", "text without NUL")
    return None


def _build_settings(
    path: str,
    team: str,
    text: str,
    version: int,
    sections: tuple[Section, ...],
    faults: list[Fault],
) -> TeamSettings:
    by_name = {section.name: section for section in sections}
    team_section = by_name.get(
        team_schema.TEAM_SECTION, Section(team_schema.TEAM_SECTION, 0, ())
    )
    team_given = read_entries(path, team_schema.TEAM_SCHEMA, team_section, faults)
    team_values = with_defaults(
        path, team_schema.TEAM_SCHEMA, team_section, team_given, faults
    )
    services: dict[str, dict[str, Any]] = {}
    routes: list[_ParsedRoute] = []
    for section in sections:
        if section.name == team_schema.TEAM_SECTION:
            continue
        name, slash, route_name = section.name.partition("/")
        if not NAME.fullmatch(name) or (slash and not NAME.fullmatch(route_name)):
            expected = "[team], [SERVICE] or [SERVICE/ROUTE], names in lower case"
            faults.append(Fault(path, section.name, "", "", expected, section.line))
        elif name == team_schema.TEAM_SECTION:
            expected = "another name: a service cannot be called team"
            faults.append(Fault(path, section.name, "", "", expected, section.line))
        else:
            if name not in services:
                service_section = by_name.get(name, Section(name, section.line, ()))
                services[name] = _service_values(
                    path, service_section, team_values, faults
                )
            if slash:
                route = _route(path, team, section, services[name], faults)
                if route is not None:
                    routes.append(route)
    faults.extend(_ambiguities(path, routes))
    default = _service_values(
        path, Section(DEFAULT_SERVICE, 0, ()), team_values, faults
    )
    return TeamSettings(
        team=team,
        version=version,
        text=text,
        routes=tuple(route.settings for route in routes),
        services=tuple(_service(team, name, services[name]) for name in services),
        default=_service(team, DEFAULT_SERVICE, default),
        weight=team_values["weight"],
        token_digests=team_values["tokens"],
        idempotent_by_method=frozenset(
            r.settings.route for r in routes if r.idempotent_by_method
        ),
    )


def _inherit(schema: SectionSchema, values: dict[str, Any]) -> dict[str, Any]:
    return {key.field: values[key.field] for key in schema.keys if key.inherited}


def _service_values(
    path: str, section: Section, parent: dict[str, Any], faults: list[Fault]
) -> dict[str, Any]:
    given = read_entries(path, team_schema.SERVICE_SCHEMA, section, faults)
    given = _inherit(team_schema.TEAM_SCHEMA, parent) | given
    return with_defaults(path, team_schema.SERVICE_SCHEMA, section, given, faults)


def _route(
    path: str,
    team: str,
    section: Section,
    parent: dict[str, Any],
    faults: list[Fault],
) -> _ParsedRoute | None:
    n_faults = len(faults)
    given = read_entries(path, team_schema.ROUTE_SCHEMA, section, faults)
    given = _inherit(team_schema.SERVICE_SCHEMA, parent) | given
    values = with_defaults(path, team_schema.ROUTE_SCHEMA, section, given, faults)
    if len(faults) > n_faults:
        return None
    name = section.name.partition("/")[0]
    match = values["match"]
    safe = set(match.methods) <= SAFE_METHODS
    settings = _route_settings(
        section.name, ServiceName(team, name), match, values, safe
    )
    idempotent_by_method = values["idempotent"] == team_schema.BY_METHOD
    return _ParsedRoute(section, match, settings, idempotent_by_method)


def _route_settings(
    route: str, service: ServiceName, match: Match, values: dict[str, Any], safe: bool
) -> RouteSettings:
    idempotent = values["idempotent"]
    if idempotent == team_schema.BY_METHOD:
        idempotent = safe
    return RouteSettings(
        route=route,
        service=service,
        methods=match.methods,
        pattern=match.pattern,
        priority=values["priority"],
        idempotent=idempotent,
        timeout=values["timeout"],
        allowance=values["attempts"],
        retry_budget=values["retry_budget"],
    )


def _service(team: str, name: str, values: dict[str, Any]) -> ServiceSettings:
    service = ServiceName(team, name)
    return ServiceSettings(
        service=service,
        safe=_route_settings(name, service, MATCH_ALL, values, safe=True),
        unsafe=_route_settings(name, service, MATCH_ALL, values, safe=False),
    )


def _ambiguities(path: str, routes: list[_ParsedRoute]) -> list[Fault]:
    faults = []
    by_service: dict[str, list[_ParsedRoute]] = {}
    for route in routes:
        by_service.setdefault(route.settings.service.name, []).append(route)
    for candidates in by_service.values():
        if len(candidates) > MAX_ROUTES:
            section = candidates[MAX_ROUTES].section
            expected = f"at most {MAX_ROUTES} routes of one service"
            value = f"{len(candidates)} routes"
            faults.append(Fault(path, section.name, "", value, expected, section.line))
            continue
        faults.extend(
            _ambiguity(path, route, other)
            for other, route in _overlap_candidates(candidates)
            if is_ambiguous(route.match, other.match)
        )
    return faults


def _overlap_candidates(
    routes: list[_ParsedRoute],
) -> Iterator[tuple[_ParsedRoute, _ParsedRoute]]:
    """Yield the pairs of routes that may match the same call, in order of the text.

    Literal patterns match the same call only if they are equal. Since most patterns
    are literal, this avoids most of the comparisons.
    """
    literal: dict[tuple[str, ...], list[_ParsedRoute]] = {}
    wildcard: list[_ParsedRoute] = []
    earlier: list[_ParsedRoute] = []
    for route in routes:
        if route.match.is_literal:
            same = literal.setdefault(route.match.segments, [])
            others = [*same, *wildcard]
            same.append(route)
        else:
            others = earlier
            wildcard.append(route)
        for other in others:
            yield other, route
        earlier.append(route)


def _ambiguity(path: str, route: _ParsedRoute, other: _ParsedRoute) -> Fault:
    section = route.section
    methods = "|".join(route.match.methods)
    value = f"{methods} {route.match.pattern}"
    expected = (
        f"a match that is more specific than that of [{other.section.name}]"
        f" ({'|'.join(other.match.methods)} {other.match.pattern}), less specific,"
        " or disjoint from it: some calls match both"
    )
    line = next((e.line for e in section.entries if e.key == "match"), section.line)
    return Fault(path, section.name, "match", value, expected, line)
