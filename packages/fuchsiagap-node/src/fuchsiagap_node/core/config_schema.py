"""Schema of the INI file of a node."""

from __future__ import annotations

from fuchsiagap.core.settings import values
from fuchsiagap.core.settings.schema import Key, SectionSchema

NODE_SCHEMA = SectionSchema(
    "[node]",
    "Identity of the node.",
    (
        Key(
            "name",
            values.PLAIN_NAME,
            None,
            "Name of the node, unique among all nodes. A restarted node keeps its"
            " name.",
        ),
        Key("host", values.PLAIN_NAME, None, "Name of the host it runs on."),
        Key(
            "data centre",
            values.PLAIN_NAME,
            None,
            "Data centre of the host. Calls stay in it if possible.",
        ),
    ),
)

LISTEN_SCHEMA = SectionSchema(
    "[listen]",
    "Addresses the node listens on, with an IP address. Port 0 binds a free port.",
    (
        Key("callers", values.ADDRESS, None, "For callers and the backend server."),
        Key(
            "peers",
            values.ADDRESS,
            None,
            "For other nodes. They connect to this address, so it cannot be 0.0.0.0.",
        ),
        Key("admin", values.ADDRESS, None, "For operators."),
    ),
)

BACKEND_SCHEMA = SectionSchema(
    "[backend]",
    "The backend server on the same host.",
    (
        Key("team", values.PLAIN_NAME, None, "Team that owns the service."),
        Key("service", values.PLAIN_NAME, None, "Service that it is an instance of."),
        Key("address", values.ADDRESS, None, "Address it listens on."),
        Key(
            "slots",
            values.integer(1, 100_000),
            "32",
            "Calls it can run concurrently; the initial limit, which the node adapts.",
        ),
        Key(
            "connections",
            values.integer(1, 100_000),
            "256",
            "Maximum number of connections to it.",
        ),
    ),
)

PLATFORM_SCHEMA = SectionSchema(
    "[platform]",
    "The platform's object API.",
    (
        Key("url", values.URL, None, "Its base URL."),
        Key(
            "timeout",
            values.duration(10, 60_000),
            "2s",
            "Time limit of each request.",
        ),
        Key(
            "watch wait",
            values.duration(100, 300_000),
            "2s",
            "Time after which a watch request without changes ends and is repeated."
            " It bounds how long an unresponsive platform goes undetected. Only a few"
            " nodes of each data centre watch; each of their requests counts as a call"
            " at the platform.",
        ),
    ),
)

PEERS_SCHEMA = SectionSchema(
    "[peers]",
    "Other nodes.",
    (
        Key(
            "first",
            values.ADDRESSES,
            "",
            "Nodes to contact first, so that a node can start without the platform."
            " List a few of each data centre; the node's own address is ignored.",
        ),
    ),
)

LIMITS_SCHEMA = SectionSchema(
    "[limits]",
    "Resource limits for callers and other nodes. A call beyond a limit is refused,"
    " and the response names the limit.",
    (
        Key(
            "header bytes",
            values.size(512, 1024 * 1024),
            "16KB",
            "Maximum size of all headers of a request.",
        ),
        Key(
            "body bytes",
            values.size(0, 64 * 1024 * 1024),
            "64MB",
            "Maximum size of the body of a request or response.",
        ),
        Key(
            "open calls",
            values.integer(1, 1_000_000),
            "4096",
            "Maximum number of open calls of callers.",
        ),
        Key(
            "open body bytes",
            values.size(1024, 64 * 1024 * 1024 * 1024),
            "256MB",
            "Maximum total size of request bodies in memory.",
        ),
        Key(
            "link calls",
            values.integer(1, 1_000_000),
            "4096",
            "Maximum number of concurrent calls from one other node.",
        ),
        Key(
            "link queue frames",
            values.integer(1, 1_000_000),
            "1024",
            "Maximum number of frames queued for sending to one other node.",
        ),
    ),
)

ADMIN_SCHEMA = SectionSchema(
    "[admin]",
    "The operators' API.",
    (
        Key(
            "token digest",
            values.optional(values.DIGEST, ""),
            "",
            "SHA-256 of the operators' token, which may create teams, drain this node"
            " and change the settings of any team. If empty, no token has these"
            " rights.",
        ),
    ),
)

TELEMETRY_SCHEMA = SectionSchema(
    "[telemetry]",
    "Telemetry that the node keeps in memory.",
    (
        Key(
            "ring size",
            values.integer(64, 10_000_000),
            "20000",
            "Number of events kept for the timeline; the oldest are dropped first.",
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
