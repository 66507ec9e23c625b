"""The keys of a node's own INI file."""

from __future__ import annotations

from fuchsiagap.core.settings import values
from fuchsiagap.core.settings.keys import Key, SectionTable

NODE_SCHEMA = SectionTable(
    "[node]",
    "Who this node is.",
    (
        Key(
            "name",
            values.PLAIN_NAME,
            None,
            "Name of the node, unlike that of any other node. A restarted node keeps"
            " its name.",
        ),
        Key("host", values.PLAIN_NAME, None, "Name of the host it runs on."),
        Key(
            "data centre",
            values.PLAIN_NAME,
            None,
            "Data centre of the host. Calls stay in it while they can.",
        ),
    ),
)

LISTEN_SCHEMA = SectionTable(
    "[listen]",
    "Where the node listens, by IP number. Port 0 takes a free one.",
    (
        Key("callers", values.ADDRESS, None, "For callers and the backend server."),
        Key(
            "peers",
            values.ADDRESS,
            None,
            "For other nodes, which dial this very address: it cannot be 0.0.0.0.",
        ),
        Key("admin", values.ADDRESS, None, "For operators."),
    ),
)

BACKEND_SCHEMA = SectionTable(
    "[backend]",
    "The backend server on the same host.",
    (
        Key("team", values.PLAIN_NAME, None, "Team that owns its service."),
        Key("service", values.PLAIN_NAME, None, "Service it is an instance of."),
        Key("address", values.ADDRESS, None, "Where it listens."),
        Key(
            "slots",
            values.integer(1, 100_000),
            "32",
            "Calls it can work on at once; a start value, the node measures.",
        ),
        Key(
            "connections",
            values.integer(1, 100_000),
            "256",
            "Most connections the node opens to it.",
        ),
    ),
)

PLATFORM_SCHEMA = SectionTable(
    "[platform]",
    "The platform's object API.",
    (
        Key("url", values.URL, None, "Its address."),
        Key(
            "timeout",
            values.duration(10, 60_000),
            "2s",
            "Within this time each call has to be answered.",
        ),
        Key(
            "watch wait",
            values.duration(100, 300_000),
            "2s",
            "How long a watch waits before it asks anew, and so how soon a platform"
            " that fell silent is noticed. Each time counts as a call, on a few nodes"
            " of each data centre.",
        ),
    ),
)

PEERS_SCHEMA = SectionTable(
    "[peers]",
    "Other nodes.",
    (
        Key(
            "first",
            values.ADDRESSES,
            "",
            "Nodes to ask first, so that a start needs no platform. Name a few of"
            " each data centre; the node's own address does no harm.",
        ),
    ),
)

LIMITS_SCHEMA = SectionTable(
    "[limits]",
    "What callers and other nodes may hold. Beyond a limit a call is refused, with"
    " the limit's name.",
    (
        Key(
            "header bytes",
            values.size(512, 1024 * 1024),
            "16KB",
            "All headers of a request.",
        ),
        Key(
            "body bytes",
            values.size(0, 64 * 1024 * 1024),
            "64MB",
            "The body of a request or of an answer.",
        ),
        Key(
            "open calls",
            values.integer(1, 1_000_000),
            "4096",
            "Callers' calls at one time.",
        ),
        Key(
            "open body bytes",
            values.size(1024, 64 * 1024 * 1024 * 1024),
            "256MB",
            "Bodies of requests in memory at one time.",
        ),
        Key(
            "link calls",
            values.integer(1, 1_000_000),
            "4096",
            "Calls of one other node that may run here at one time.",
        ),
        Key(
            "link queue frames",
            values.integer(1, 1_000_000),
            "1024",
            "Frames that may wait to be sent to one other node.",
        ),
    ),
)

ADMIN_SCHEMA = SectionTable(
    "[admin]",
    "The operators' API.",
    (
        Key(
            "token digest",
            values.optional(values.DIGEST, ""),
            "",
            "SHA-256 of the token that may create teams, drain this node and change"
            " any team's settings. With none, nobody can.",
        ),
    ),
)

TELEMETRY_SCHEMA = SectionTable(
    "[telemetry]",
    "What the node keeps of its own past, in memory.",
    (
        Key(
            "ring size",
            values.integer(64, 10_000_000),
            "20000",
            "Events kept for the time line; the oldest go first.",
        ),
    ),
)

NODE_SCHEMAS = {
    "node": NODE_SCHEMA,
    "listen": LISTEN_SCHEMA,
    "backend": BACKEND_SCHEMA,
    "platform": PLATFORM_SCHEMA,
    "peers": PEERS_SCHEMA,
    "limits": LIMITS_SCHEMA,
    "admin": ADMIN_SCHEMA,
    "telemetry": TELEMETRY_SCHEMA,
}
