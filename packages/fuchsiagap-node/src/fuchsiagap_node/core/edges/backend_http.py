"""Calls to the backend server on this host over HTTP/1.1 with keep-alive."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.outcome import Answered, Reason, Refused, Unknown
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.edges.http_client import (
    ClientResponse,
    HttpPool,
    InvalidRequest,
    NotSent,
    ResponseTooLarge,
)
from fuchsiagap_node.core.ports import BackendLoad

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead, Headers
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.edges.http_server import RawHeaders

_LOAD_TIMEOUT_S = 0.5
_MAX_LOAD_BYTES = 4096
_LOAD_TARGET = "/-/load"
# Hop-by-hop headers are not forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class HttpBackend:
    """Sends calls to the backend server over HTTP; implements `BackendServer`.

    Parameters
    ----------
    pool : HttpPool
        Keep-alive connections to the backend server.
    """

    pool: HttpPool

    async def send(
        self, head: CallHead, body: bytes, remaining: Milliseconds
    ) -> Answered | Refused | Unknown:
        """Run one call on the backend server; see `BackendServer.send`."""
        headers = _request_headers(self.pool.address, head, body, remaining)
        result = await self.pool.exchange(
            head.method, head.target, headers, body, remaining
        )
        if isinstance(result, ClientResponse):
            return _outcome(result)
        if isinstance(result, NotSent):
            return Refused(Reason.NO_BACKEND, detail=f"backend server: {result.detail}")
        if isinstance(result, InvalidRequest):
            return Refused(
                Reason.BAD_REQUEST, detail=f"invalid HTTP request: {result.detail}"
            )
        if isinstance(result, ResponseTooLarge):
            detail = f"the response exceeds {result.limit} bytes"
            return Unknown(Reason.TOO_LARGE, detail=detail)
        reason = (
            Reason.INCOMPLETE_ANSWER
            if result.response_started
            else Reason.CONNECTION_LOST
        )
        return Unknown(reason, detail=f"backend server: {result.detail}")

    async def load(self) -> BackendLoad | None:
        """Request health and load; see `BackendServer.load`."""
        headers = [(b"host", self.pool.address.encode())]
        with trio.move_on_after(_LOAD_TIMEOUT_S):
            result = await self.pool.exchange(
                "GET", _LOAD_TARGET, headers, b"", _LOAD_TIMEOUT_S * MS_PER_S
            )
            if isinstance(result, ClientResponse):
                return _parse_load(result.status, result.body)
        return None


def http_backend(address: str, connections: int, body_bytes: int) -> HttpBackend:
    """Return a client of the backend server at an address.

    Parameters
    ----------
    address : str
        Address of the backend server as ``IP:PORT``.
    connections : int
        Maximum number of connections to it.
    body_bytes : int
        Maximum size of a response body in bytes.

    Returns
    -------
    HttpBackend
        The client; it connects with the first request.
    """
    return HttpBackend(HttpPool(address, connections, body_bytes))


def _outcome(result: ClientResponse) -> Answered | Refused:
    headers = _response_headers(result.headers)
    if any(name == call_headers.BACKEND_NOT_RUN for name, _ in headers):
        return _not_run_refusal(result.status, headers)
    return Answered(result.status, headers, result.body)


def _request_headers(
    address: str, head: CallHead, body: bytes, remaining: Milliseconds
) -> RawHeaders:
    headers = [(b"host", address.encode())]
    for name, value in head.headers:
        if name not in _HOP_BY_HOP_HEADERS and name != "host":
            headers.append((name.encode("latin-1"), value.encode("latin-1")))
    control_headers = (
        (call_headers.CALL, head.call_id),
        (call_headers.ROOT, head.root_id),
        (call_headers.DEADLINE, f"{remaining:.0f}"),
        (call_headers.PRIORITY, f"{head.priority}"),
    )
    headers.extend(
        (name.encode(), value.encode("latin-1")) for name, value in control_headers
    )
    if body or head.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"content-length", str(len(body)).encode()))
    return headers


def _response_headers(raw: RawHeaders) -> Headers:
    pairs = ((n.decode("latin-1"), v.decode("latin-1")) for n, v in raw)
    return tuple((n, v) for n, v in pairs if n not in _HOP_BY_HOP_HEADERS)


def _not_run_refusal(status: int, headers: Headers) -> Refused:
    retry_after = 0.0
    for name, value in headers:
        if name == "retry-after" and value.isascii() and value.isdigit():
            retry_after = float(value) * MS_PER_S
    detail = f"the backend server did not run the call (status {status})"
    return Refused(Reason.BACKEND_REFUSED, retry_after=retry_after, detail=detail)


def _parse_load(status: int, content: bytes) -> BackendLoad | None:
    """Return the reported load; None if the response is not a valid report."""
    if status != 200 or len(content) > _MAX_LOAD_BYTES:
        return None
    try:
        value: Any = json.loads(content)
        return BackendLoad(
            healthy=bool(value.get("healthy", True)),
            slots=max(int(value.get("slots", 0)), 0),
            in_flight=max(int(value.get("in_flight", 0)), 0),
            draining=bool(value.get("draining", False)),
        )
    except (ValueError, TypeError, AttributeError, RecursionError, OverflowError):
        return None
