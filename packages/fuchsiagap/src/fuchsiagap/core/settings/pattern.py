"""Patterns of the calls that a route section matches: ``POST|PUT /panels/*/results``.

``*`` matches one path segment. ``**``, allowed only at the end, matches any number of
segments, including none.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from fuchsiagap.core.settings.values import BAD_VALUE, BadValue, ValueType

ANY_SEGMENT = "*"
ANY_REST = "**"
ANY_METHOD = "*"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"})
_SEGMENT = re.compile(r"[A-Za-z0-9._~!$&'()+,;=:@-]*")
MAX_SEGMENTS = 32


@dataclass(frozen=True, slots=True)
class Match:
    """Pattern of the calls that a route section matches.

    Parameters
    ----------
    methods : tuple of str
        HTTP methods in upper case; ``("*",)`` for any.
    pattern : str
        Path pattern, for example ``/panels/*``.
    segments : tuple of str
        Path pattern split at its slashes.
    """

    methods: tuple[str, ...]
    pattern: str
    segments: tuple[str, ...]

    @property
    def is_literal(self) -> bool:
        """Whether the pattern matches one path only."""
        return ANY_SEGMENT not in self.segments and self.segments[-1] != ANY_REST


def make_match(methods: tuple[str, ...], pattern: str) -> Match:
    """Return the `Match` of methods and a path pattern."""
    return Match(methods, pattern, tuple(pattern[1:].split("/")))


MATCH_ALL = make_match((ANY_METHOD,), "/**")


def _read_match(text: str) -> Match | BadValue:
    words = text.split()
    if len(words) != 2 or not words[1].startswith("/"):
        return BAD_VALUE
    methods = tuple(words[0].split("|"))
    if methods != (ANY_METHOD,) and not set(methods) <= _METHODS:
        return BAD_VALUE
    if len(set(methods)) != len(methods):
        return BAD_VALUE
    match = make_match(methods, words[1])
    segments = match.segments
    if len(segments) > MAX_SEGMENTS:
        return BAD_VALUE
    for index, segment in enumerate(segments):
        last = index == len(segments) - 1
        if segment == ANY_SEGMENT or (segment == ANY_REST and last):
            continue
        if not _SEGMENT.fullmatch(segment):
            return BAD_VALUE
    return match


MATCH = ValueType(
    "methods and a path pattern, such as GET|HEAD /panels/* or * /**"
    " (* is one segment, a last ** any rest)",
    _read_match,
)


def shares_method(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    """Return whether two sets of methods have a method in common."""
    if ANY_METHOD in one or ANY_METHOD in other:
        return True
    return not set(one).isdisjoint(other)


def covers_methods(wide: tuple[str, ...], narrow: tuple[str, ...]) -> bool:
    """Return whether `wide` contains every method of `narrow`."""
    return ANY_METHOD in wide or set(narrow) <= set(wide)


def overlap(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    """Return whether some path matches both patterns, given as segments."""
    for this, that in zip(one, other, strict=False):
        if ANY_REST in (this, that):
            return True
        if this != that and this != ANY_SEGMENT and that != ANY_SEGMENT:
            return False
    longer, n_common = max(one, other, key=len), min(len(one), len(other))
    return longer[n_common:] in ((), (ANY_REST,))


def covers(wide: tuple[str, ...], narrow: tuple[str, ...]) -> bool:
    """Return whether every path that matches `narrow` also matches `wide`."""
    for this, that in zip(wide, narrow, strict=False):
        if this == ANY_REST:
            return True
        if that == ANY_REST or this not in (ANY_SEGMENT, that):
            return False
    if len(narrow) > len(wide):
        return False
    return wide[len(narrow) :] in ((), (ANY_REST,))


def is_ambiguous(one: Match, other: Match) -> bool:
    """Return whether some call matches both sections and neither is more specific.

    The section with the more specific path has precedence; for equal paths, the one
    with the smaller set of methods.
    """
    if not overlap(one.segments, other.segments):
        return False
    if not shares_method(one.methods, other.methods):
        return False
    if one.segments == other.segments:
        same = set(one.methods) == set(other.methods)
        one_wins = covers_methods(other.methods, one.methods)
        other_wins = covers_methods(one.methods, other.methods)
        return same or not (one_wins or other_wins)
    one_wins = covers(other.segments, one.segments)
    other_wins = covers(one.segments, other.segments)
    return not (one_wins or other_wins)
