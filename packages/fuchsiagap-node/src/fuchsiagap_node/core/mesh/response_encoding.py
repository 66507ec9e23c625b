"""Encoding of final responses as HTTP/1.1."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap_node.core.mesh.final_response import FinalResponse

_REASON_PHRASES = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_response(final: FinalResponse, close: bool) -> bytes:
    """Encode a final response as HTTP/1.1; see `encode_head`."""
    return encode_head(final, close) + final.body


def encode_head(final: FinalResponse, close: bool) -> bytes:
    """Encode the head of a final response as HTTP/1.1.

    Parameters
    ----------
    final : FinalResponse
        Response.
    close : bool
        Whether the connection is closed after it.
    """
    parts = [
        b"HTTP/1.1 %d %s\r\n" % (final.status, final.reason or _reason_phrase(final))
    ]
    if final.headers:
        parts.append(final.headers)
    if final.retry_after > 0.0:
        parts.append(b"Retry-After: %.3f\r\n" % (final.retry_after / MS_PER_S))
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"Content-Length: %d\r\n\r\n" % len(final.body))
    return b"".join(parts)


def _reason_phrase(final: FinalResponse) -> bytes:
    return _REASON_PHRASES.get(final.status, b"Answer")
