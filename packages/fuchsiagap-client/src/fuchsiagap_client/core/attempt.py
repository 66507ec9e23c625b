"""Sending of HTTP requests to one node, and reading of outcomes from its responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
import trio

from fuchsiagap import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from fuchsiagap import Milliseconds

_REASONS = {reason.value: reason for reason in Reason}
_HOP_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding"})


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """An HTTP request to a node.

    Parameters
    ----------
    node : str
        ``IP:PORT`` of the node.
    method, path : str
        HTTP method; path with query.
    headers : tuple of (str, str)
        All headers except those that the HTTP client adds.
    body : bytes
        The whole body.
    """

    node: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


async def send_to_node(
    http: httpx.AsyncClient, node_req: NodeRequest, timeout: Milliseconds
) -> httpx.Response | Refused | Unknown:
    """Send a request and read its response to the end.

    Parameters
    ----------
    http : httpx.AsyncClient
        Connection pool.
    node_req : NodeRequest
        The request.
    timeout : float
        Milliseconds to wait for the complete response.

    Returns
    -------
    httpx.Response or Refused or Unknown
        `Refused` only if nothing was sent, `Unknown` if no complete response arrived.
    """
    url = f"http://{node_req.node}{node_req.path}"
    detail = f"no answer from {node_req.node} within {timeout:.0f} ms"
    outcome: httpx.Response | Refused | Unknown
    outcome = Unknown(Reason.DEADLINE, detail=detail)
    headers = list(node_req.headers)
    with trio.move_on_after(max(timeout, 0.0) / MS_PER_S):
        try:
            outcome = await http.request(
                node_req.method, url, headers=headers, content=node_req.body
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            outcome = Refused(
                Reason.CONNECTION_LOST, detail=f"{node_req.node}: {exc!r}"
            )
        except httpx.RemoteProtocolError as exc:
            outcome = Unknown(
                Reason.INCOMPLETE_ANSWER, detail=f"{node_req.node}: {exc!r}"
            )
        except httpx.TransportError as exc:
            outcome = Unknown(
                Reason.CONNECTION_LOST, detail=f"{node_req.node}: {exc!r}"
            )
    return outcome


def read_outcome(response: httpx.Response) -> Outcome:
    """Return the outcome of a request, as stated in the headers of a response.

    Parameters
    ----------
    response : httpx.Response
        A response whose body has been read.

    Returns
    -------
    Answered, Refused or Unknown
        `Unknown` if the response is incomplete or does not state a valid outcome.
    """
    fault = _incomplete_reason(response)
    if fault:
        return Unknown(Reason.INCOMPLETE_ANSWER, detail=fault)
    name = response.headers.get(call_headers.OUTCOME, "")
    allowance = _int_header(response, call_headers.ALLOWANCE)
    if name == call_headers.OUTCOME_ANSWERED:
        return Answered(
            response.status_code,
            _end_to_end_headers(response),
            response.content,
            allowance,
            repeated=call_headers.REPEATED in response.headers,
        )
    reason = _REASONS.get(response.headers.get(call_headers.REASON, ""))
    detail = response.text
    if name == call_headers.OUTCOME_REFUSED and reason is not None:
        return Refused(reason, _retry_after(response), allowance, detail=detail)
    if name == call_headers.OUTCOME_UNKNOWN and reason is not None:
        return Unknown(reason, allowance, detail=detail)
    detail = f"status {response.status_code} without a valid {call_headers.OUTCOME}"
    return Unknown(Reason.INCOMPLETE_ANSWER, detail=detail)


def _incomplete_reason(response: httpx.Response) -> str:
    """Return why the body may be incomplete; empty if it is complete."""
    length = response.headers.get("content-length")
    if response.request.method == "HEAD" or response.status_code in (204, 304):
        return ""
    if length is None:
        chunked = response.headers.get("transfer-encoding", "").lower() == "chunked"
        return (
            ""
            if chunked
            else "the response has neither content-length nor chunked transfer-encoding"
        )
    n_bytes = response.num_bytes_downloaded
    if not length.isdigit() or int(length) != n_bytes:
        return f"content-length is {length!r:.20}, but {n_bytes} bytes were received"
    return ""


def _end_to_end_headers(response: httpx.Response) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in response.headers.multi_items()
        if not name.startswith(call_headers.PREFIX) and name not in _HOP_HEADERS
    )


def _retry_after(response: httpx.Response) -> Milliseconds:
    exact = _int_header(response, call_headers.RETRY_AFTER)
    return float(exact or _int_header(response, "retry-after") * MS_PER_S)


def _int_header(response: httpx.Response, name: str) -> int:
    text = response.headers.get(name, "")
    return int(text) if text.isascii() and text.isdigit() else 0
