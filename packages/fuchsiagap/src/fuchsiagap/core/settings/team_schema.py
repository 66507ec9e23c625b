"""Schemas of the sections of the settings text of a team."""

from __future__ import annotations

from fuchsiagap.core.calls.head import LEAST_PRIORITY, MOST_PRIORITY
from fuchsiagap.core.settings import values
from fuchsiagap.core.settings.model import TokenDigest
from fuchsiagap.core.settings.pattern import MATCH, SAFE_METHODS
from fuchsiagap.core.settings.schema import Key, SectionSchema
from fuchsiagap.core.settings.values import BAD_VALUE, BadValue, ValueType

TEAM_SECTION = "team"
BY_METHOD = "by method"
# Maximum number of extra attempts over the call chain of one client request.
MAX_ALLOWANCE = 16


def _read_tokens(text: str) -> tuple[TokenDigest, ...] | BadValue:
    found: dict[str, TokenDigest] = {}
    for item in values.split_list(text):
        name, _, digest = item.partition(" ")
        digest = digest.strip()
        if isinstance(values.PLAIN_NAME.read(name), BadValue) or name in found:
            return BAD_VALUE
        if isinstance(values.DIGEST.read(digest), BadValue):
            return BAD_VALUE
        found[name] = TokenDigest(name, digest)
    return tuple(found.values())


def _read_idempotent(text: str) -> bool | str | BadValue:
    if text == BY_METHOD:
        return BY_METHOD
    flag: bool | BadValue = values.FLAG.read(text)
    return flag


_TOKENS = ValueType(
    "NAME DIGEST items, separated by commas or line ends, no name twice, each"
    " digest the SHA-256 of a token in 64 hexadecimal digits",
    _read_tokens,
)
_IDEMPOTENT = ValueType(f"yes, no or {BY_METHOD!r}", _read_idempotent)

_INHERITED = (
    Key(
        "priority",
        values.integer(MOST_PRIORITY, LEAST_PRIORITY),
        str(LEAST_PRIORITY),
        "How much a call matters: 0 is refused last, 9 first. The priority of the"
        " root request holds for its whole chain.",
        inherited=True,
    ),
    Key(
        "idempotent",
        _IDEMPOTENT,
        BY_METHOD,
        "Whether a call may run more than once. `no` asks for a ticket and runs at"
        f" most once; `by method` is `yes` for {', '.join(sorted(SAFE_METHODS))} and"
        " `no` for the rest.",
        inherited=True,
    ),
    Key(
        "timeout",
        values.duration(1, 600_000),
        "10s",
        "How long a caller waits unless it gives a shorter deadline.",
        inherited=True,
    ),
    Key(
        "attempts",
        values.integer(0, MAX_ALLOWANCE),
        "3",
        "Extra attempts that one client request may cause over its whole chain,"
        " whatever its depth. 0 forbids retries.",
        inherited=True,
    ),
    Key(
        "retry budget",
        values.number(0, 1),
        "0.1",
        "Retries of the service as a share of its recent calls; on top of the"
        " allowance of each request.",
        inherited=True,
    ),
)

TEAM_SCHEMA = SectionSchema(
    "[team]",
    "What holds for the whole team. The inherited keys given here are the defaults"
    " of its services.",
    (
        Key(
            "weight",
            values.number(0, 1, goodput=0.0, recovery=1.0),
            "goodput",
            "What overload control weighs: 0 goodput of whole requests, 1 the time"
            " until service is back after overload.",
        ),
        Key(
            "tokens",
            _TOKENS,
            "",
            "Who may change these settings: names and digests of bearer tokens. With"
            " none, only the token that creates teams may.",
        ),
        *_INHERITED,
    ),
)

SERVICE_SCHEMA = SectionSchema(
    "[SERVICE]",
    "One service of the team. Its values hold for calls that no route section"
    " matches, and are the defaults of the service's routes.",
    _INHERITED,
)

ROUTE_SCHEMA = SectionSchema(
    "[SERVICE/ROUTE]",
    "The calls of a service that `match` names. The more specific path wins, and of"
    " equal paths the smaller set of methods; where neither is more specific the"
    " text is refused.",
    (
        Key(
            "match",
            MATCH,
            None,
            "Methods and path as the backend server sees it: `*` is one segment, a"
            " last `**` any rest.",
        ),
        *_INHERITED,
    ),
)

TEAM_SCHEMAS = (TEAM_SCHEMA, SERVICE_SCHEMA, ROUTE_SCHEMA)
