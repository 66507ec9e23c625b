"""Names of the HTTP headers between callers, nodes and backend servers."""

from __future__ import annotations

from dataclasses import dataclass

# Hop-by-hop headers (RFC 9110, 7.6.1), and headers that the node sets itself on each
# hop.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, in the spelling in which they are sent.

    Parameters
    ----------
    request_id : bytes
        Identifier of one attempt of a caller; echoed by backend servers.
    deadline : bytes
        Time that the sender continues to wait, in milliseconds.
    target : bytes
        The only incarnation of a backend server that may run the request.
    caller : bytes
        Service of the host that the request came from; set by the node.
    not_run : bytes
        On a response: the backend server did not run the request.
    load : bytes
        On a response: numbers of running requests, waiting requests and slots,
        separated by commas.
    rate_limit : bytes
        On a response: requests per second that the backend server accepts from all
        nodes together; no limit without it.
    leaving : bytes
        On a response: ``1`` if the backend server is leaving.
    instance : bytes
        On a response to a health check or to a misdirected request: incarnation that
        answered.
    signature : bytes
        On a response: shows that the backend server produced it.
    key : bytes
        API key of a caller; not forwarded by the first node.
    workspace : bytes
        Workspace that owns the API key of the caller; set by the node.
    identity : tuple of bytes
        Headers that identify the caller; the same on retries of a request.
    """

    request_id: bytes = b"Call-Id"
    deadline: bytes = b"Time-Left"
    target: bytes = b"Incarnation-Wanted"
    caller: bytes = b"Calling-Service"
    not_run: bytes = b"Not-Run"
    load: bytes = b"Load"
    rate_limit: bytes = b"Rate-Limit"
    leaving: bytes = b"Leaving"
    instance: bytes = b"Incarnation"
    signature: bytes = b"Signature"
    key: bytes = b"Api-Key"
    workspace: bytes = b"Workspace"
    identity: tuple[bytes, ...] = (b"Authorization", b"X-Api-Key", b"From")
