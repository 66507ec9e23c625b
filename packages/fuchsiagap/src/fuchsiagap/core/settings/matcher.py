"""Route lookup with a trie of path segments for each method."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING
from urllib.parse import unquote

from fuchsiagap.core.settings.pattern import (
    ANY_METHOD,
    ANY_REST,
    ANY_SEGMENT,
    SAFE_METHODS,
    covers_methods,
    make_match,
)

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.settings.model import (
        RouteSettings,
        ServiceSettings,
        TeamSettings,
    )


@dataclass(slots=True)
class _TrieNode:
    """Routes below one path prefix.

    Parameters
    ----------
    exact : RouteSettings or None
        Route whose pattern ends here.
    suffix_wildcard : RouteSettings or None
        Route whose pattern continues with ``**``.
    children : dict of str to _TrieNode
        Nodes of literal segments.
    wildcard_child : _TrieNode or None
        Node of the segment ``*``.
    """

    exact: RouteSettings | None = None
    suffix_wildcard: RouteSettings | None = None
    children: dict[str, _TrieNode] = field(default_factory=dict)
    wildcard_child: _TrieNode | None = None


@dataclass(frozen=True, slots=True)
class ServiceMatcher:
    """Routes of one service, compiled for lookups.

    Parameters
    ----------
    settings : ServiceSettings
        Defaults for calls that no route matches.
    tries : dict of str to _TrieNode
        Trie of each method that a section names and of each safe method. The trie
        ``"*"`` is for all other methods.
    """

    settings: ServiceSettings
    tries: dict[str, _TrieNode]


def compile_team(team: TeamSettings) -> dict[str, ServiceMatcher]:
    """Return the matchers of the services of a team, by service name."""
    routes: dict[ServiceName, list[RouteSettings]] = {}
    for route in team.routes:
        routes.setdefault(route.service, []).append(route)
    return {
        settings.service.name: ServiceMatcher(
            settings, _compile(team, routes.get(settings.service, []))
        )
        for settings in team.services
    }


def _compile(team: TeamSettings, routes: list[RouteSettings]) -> dict[str, _TrieNode]:
    methods = {ANY_METHOD, *SAFE_METHODS}
    for route in routes:
        methods.update(route.methods)
    tries = {method: _TrieNode() for method in methods}
    for route in routes:
        for method in methods if ANY_METHOD in route.methods else route.methods:
            _insert(tries[method], _for_method(team, route, method))
    return tries


def find_route(matcher: ServiceMatcher, method: str, target: str) -> RouteSettings:
    """Return the settings of the most specific route, or the defaults of the service.

    Parameters
    ----------
    matcher : ServiceMatcher
        Routes of the service.
    method : str
        HTTP method in upper case.
    target : str
        Path with query, as the backend server receives it.
    """
    path = target.partition("?")[0]
    segments = path.split("/")
    if "%" in path:
        segments = [unquote(segment) for segment in segments]
    trie = matcher.tries.get(method) or matcher.tries[ANY_METHOD]
    found = _search(trie, segments, 1)
    if found is not None:
        return found
    settings = matcher.settings
    return settings.safe if method in SAFE_METHODS else settings.unsafe


def _for_method(team: TeamSettings, route: RouteSettings, method: str) -> RouteSettings:
    is_safe = method in SAFE_METHODS
    if route.route not in team.idempotent_by_method or route.idempotent == is_safe:
        return route
    return replace(route, idempotent=is_safe)


def _insert(trie: _TrieNode, route: RouteSettings) -> None:
    for segment in make_match(route.methods, route.pattern).segments:
        if segment == ANY_REST:
            trie.suffix_wildcard = _more_specific(trie.suffix_wildcard, route)
            return
        if segment == ANY_SEGMENT:
            trie.wildcard_child = trie.wildcard_child or _TrieNode()
            trie = trie.wildcard_child
        else:
            trie = trie.children.setdefault(segment, _TrieNode())
    trie.exact = _more_specific(trie.exact, route)


def _more_specific(known: RouteSettings | None, new: RouteSettings) -> RouteSettings:
    """Return the route with fewer methods out of two with the same path."""
    if known is None:
        return new
    return new if covers_methods(known.methods, new.methods) else known


def _search(trie: _TrieNode, segments: list[str], index: int) -> RouteSettings | None:
    """Search depth first: a literal segment before ``*``, and ``*`` before ``**``.

    Validation rejects overlapping patterns of which neither is more specific, so the
    first match is the most specific one.
    """
    if index == len(segments):
        return trie.exact or trie.suffix_wildcard
    child = trie.children.get(segments[index])
    if child is not None:
        found = _search(child, segments, index + 1)
        if found is not None:
            return found
    if trie.wildcard_child is not None:
        found = _search(trie.wildcard_child, segments, index + 1)
        if found is not None:
            return found
    return trie.suffix_wildcard
