"""Names of the headers by which callers and backend servers speak to the node."""

from __future__ import annotations

from dataclasses import dataclass

# Headers that concern one connection only (RFC 9110, 7.6.1), and those that the node
# writes itself for each hop.
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
    """Header names, in the case in which they are sent.

    Parameters
    ----------
    request_id : bytes
        Identifies one attempt of a caller; echoed by backend servers.
    deadline : bytes
        Milliseconds that the sender still waits.
    target : bytes
        Incarnation that alone may run the request.
    caller : bytes
        Service on whose host the request began; set by the node.
    not_run : bytes
        On an answer: the backend server did not run the request.
    load : bytes
        On an answer: running, waiting and places, separated by commas.
    instance : bytes
        On a health answer or a misdirected one: incarnation that answered.
    signature : bytes
        On an answer: the backend server made it.
    key : bytes
        API key of a caller; goes no further than the first node.
    workspace : bytes
        Workspace that holds the caller's key; set by the node.
    identity : tuple of bytes
        Headers by which callers say who they are; repeats of a request share them.
    """

    request_id: bytes = b"Call-Id"
    deadline: bytes = b"Time-Left"
    target: bytes = b"Incarnation-Wanted"
    caller: bytes = b"Calling-Service"
    not_run: bytes = b"Not-Run"
    load: bytes = b"Load"
    instance: bytes = b"Incarnation"
    signature: bytes = b"Signature"
    key: bytes = b"Api-Key"
    workspace: bytes = b"Workspace"
    identity: tuple[bytes, ...] = (b"Authorization", b"X-Api-Key", b"From")
