"""HTTP/1.1 interface for callers: maps requests to calls and outcomes to responses."""

from __future__ import annotations

import json
import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fuchsiagap.core.calls import call_headers
from fuchsiagap.core.calls.head import Headers, ServiceName
from fuchsiagap.core.calls.outcome import Answered, Outcome, Reason, Refused, Unknown
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.tickets.records import NotIssued
from fuchsiagap.core.tickets.ticket import MalformedTicket, parse_ticket
from fuchsiagap_node.core.callpath.entry import CallRequest, enter, refuse
from fuchsiagap_node.core.callpath.home_tickets import issue_batch, settle
from fuchsiagap_node.core.edges.http_server import (
    BODY_TIMEOUT_S,
    BadRequest,
    HttpRequest,
    HttpResponse,
    HttpServerSettings,
    RawHeaders,
    serve_http,
)

if TYPE_CHECKING:
    import trio

    from fuchsiagap_node.core.state import NodeState

_DEADLINE_HEADER = call_headers.DEADLINE.encode()
# Digits of a deadline, in milliseconds, that extend the time limit of a body.
_MAX_DEADLINE_DIGITS = 9
_LOG = logging.getLogger(__name__)
_TICKETS_PATH = "/tickets"
_SETTLE_PREFIX = "/tickets/"
_MAX_SETTLE_WAIT_MS = 60_000
# Headers that apply only to the connection of the caller and are not forwarded.
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_ROUTE: 404,
    Reason.TOO_LARGE: 413,
    Reason.NEEDS_TICKET: 428,
    Reason.TOO_DEEP: 508,
    Reason.DEADLINE: 504,
    Reason.TICKET_BURNT: 409,
    Reason.CANCELLED: 409,
}
_REASON_BY_STATUS = {
    413: Reason.TOO_LARGE,
    431: Reason.TOO_LARGE,
    503: Reason.OVERLOAD,
}
_REFUSED_STATUS = 503
_UNKNOWN_STATUS = 502
_UNKNOWN_DEADLINE_STATUS = 504


@dataclass(slots=True)
class _OpenRequests:
    """Number of open requests of callers and the size of their bodies."""

    n_calls: int = 0
    n_body_bytes: int = 0


async def serve_callers(state: NodeState, listener: trio.SocketListener) -> None:
    """Serve callers until cancelled.

    Parameters
    ----------
    state : NodeState
        State of the node.
    listener : trio.SocketListener
        Listening socket for callers.
    """
    limits = state.cfg.limits
    open_requests = _OpenRequests()

    def reserve(n_bytes: int) -> bool:
        if (
            n_bytes > 0
            and open_requests.n_body_bytes + n_bytes > limits.open_body_bytes
        ):
            return False
        open_requests.n_body_bytes += n_bytes
        return True

    def add_open_requests(change: int) -> None:
        state.calls.n_responding += change
        state.calls.notify_if_idle()

    async def handle(req: HttpRequest) -> HttpResponse:
        if open_requests.n_calls >= limits.open_calls:
            return await _refuse_too_many_open(state, req)
        open_requests.n_calls += 1
        try:
            return await _handle_request(state, req)
        except Exception:
            _LOG.exception("unhandled exception while serving a call")
            detail = "internal error of this node; the call may have run"
            return _outcome_response(Unknown(Reason.NODE_FAILED, detail=detail))
        finally:
            open_requests.n_calls -= 1

    cfg = HttpServerSettings(
        limits.header_bytes,
        limits.body_bytes,
        reserve,
        add_open_requests,
        _body_timeout,
    )
    await serve_http(listener, cfg, handle, _error_response)


def _body_timeout(headers: RawHeaders) -> float:
    """Return the seconds within which the body of a request must be complete."""
    for name, value in headers:
        if name == _DEADLINE_HEADER and value.isdigit():
            deadline_s = int(value[:_MAX_DEADLINE_DIGITS]) / MS_PER_S
            return max(deadline_s, BODY_TIMEOUT_S)
    return BODY_TIMEOUT_S


async def _handle_request(state: NodeState, req: HttpRequest) -> HttpResponse:
    if req.target == _TICKETS_PATH:
        return _issue_tickets(state, req)
    if req.target.startswith(_SETTLE_PREFIX):
        return await _settle_ticket(state, req)
    call = _parse_request(req)
    if isinstance(call, Refused):
        return _outcome_response(call)
    return _outcome_response(await enter(state, call))


async def _refuse_too_many_open(state: NodeState, req: HttpRequest) -> HttpResponse:
    """Refuse a request because the maximum number of calls is open."""
    limit = state.cfg.limits.open_calls
    detail = f"{limit} calls are open at this node, the maximum"
    refused = Refused(Reason.OVERLOAD, 100.0, detail=detail)
    call = _parse_request(req)
    if isinstance(call, Refused):
        return _outcome_response(call)
    return _outcome_response(await refuse(state, call, refused))


def _parse_request(req: HttpRequest) -> CallRequest | Refused:
    team, _, service_path = req.target.removeprefix("/").partition("/")
    name, slash, target = service_path.partition("/")
    if not slash:
        name, question_mark, query = name.partition("?")
        target = question_mark + query
    if not team or not name or "?" in team:
        detail = f"path {req.target!r:.80}: expected /TEAM/SERVICE/..."
        return Refused(Reason.NO_ROUTE, detail=detail)
    control_headers: dict[str, str] = {}
    headers: list[tuple[str, str]] = []
    for raw_name, raw_value in req.headers:
        header = raw_name.decode("latin-1")
        value = raw_value.decode("latin-1")
        if header == call_headers.TICKET or header.startswith(call_headers.PREFIX):
            if header in control_headers:
                detail = f"{header}: expected one value, got two"
                return Refused(Reason.BAD_REQUEST, detail=detail)
            control_headers[header] = value
        elif header not in _CONNECTION_HEADERS:
            headers.append((header, value))
    service = ServiceName(team, name)
    return CallRequest(
        service, req.method, f"/{target}", control_headers, tuple(headers), req.body
    )


def _issue_tickets(state: NodeState, req: HttpRequest) -> HttpResponse:
    if req.method != "POST":
        return _json_response(
            405, {"error": f"method {req.method}", "expected": "POST"}
        )
    try:
        count = json.loads(req.body or b"{}").get("count", 1)
    except (ValueError, AttributeError, RecursionError):
        count = None
    if type(count) is not int or count < 1:
        expected = 'a JSON object such as {"count": 16}'
        error = f"body {req.body[:60]!r}"
        return _json_response(400, {"error": error, "expected": expected})
    issued = issue_batch(state, count)
    if isinstance(issued, NotIssued):
        return _outcome_response(_no_tickets_refusal(issued))
    return _json_response(200, {"tickets": [str(ticket) for ticket in issued]})


async def _settle_ticket(state: NodeState, req: HttpRequest) -> HttpResponse:
    """Settle a ticket: return the final outcome of its call."""
    ticket = parse_ticket(req.target.removeprefix(_SETTLE_PREFIX))
    if isinstance(ticket, MalformedTicket):
        return _outcome_response(Refused(Reason.BAD_REQUEST, detail=str(ticket)[:300]))
    try:
        query = json.loads(req.body)
        method, path, wait = query["method"], query["path"], query.get("wait", 0)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return _bad_settle_request(req)
    if type(method) is not str or type(path) is not str or type(wait) is not int:
        return _bad_settle_request(req)
    wait = min(max(wait, 0), _MAX_SETTLE_WAIT_MS)
    return _outcome_response(await settle(state, ticket, method, path, float(wait)))


def _bad_settle_request(req: HttpRequest) -> HttpResponse:
    expected = (
        'a JSON object such as {"method": "POST", "path": "/TEAM/SERVICE/...",'
        ' "wait": 500} with the wait in ms'
    )
    return _json_response(
        400, {"error": f"body {req.body[:60]!r}", "expected": expected}
    )


def _no_tickets_refusal(not_issued: NotIssued) -> Refused:
    detail = "this node cannot issue more tickets now; ask another node"
    return Refused(Reason.OVERLOAD, retry_after=not_issued.retry_after, detail=detail)


def _error_response(error: BadRequest) -> HttpResponse:
    """Return the response to a request that is malformed or exceeds a limit."""
    reason = _REASON_BY_STATUS.get(error.status, Reason.BAD_REQUEST)
    response = _outcome_response(Refused(reason, detail=error.detail))
    return HttpResponse(error.status, response.headers, response.body, close=True)


def _outcome_response(outcome: Outcome) -> HttpResponse:
    if isinstance(outcome, Answered):
        return _answered_response(outcome)
    name = _OUTCOME_NAMES[type(outcome)]
    control_headers = [
        (call_headers.OUTCOME, name),
        (call_headers.REASON, outcome.reason.value),
        (call_headers.ALLOWANCE, str(outcome.allowance)),
    ]
    if isinstance(outcome, Refused):
        status = _STATUS_BY_REASON.get(outcome.reason, _REFUSED_STATUS)
        control_headers.extend(_retry_after_headers(outcome))
    else:
        is_late = outcome.reason is Reason.DEADLINE
        status = _UNKNOWN_DEADLINE_STATUS if is_late else _UNKNOWN_STATUS
    value = {"outcome": name, "reason": outcome.reason.value, "detail": outcome.detail}
    response = _json_response(status, value, tuple(control_headers))
    is_leaving = outcome.reason is Reason.LEAVING
    return HttpResponse(status, response.headers, response.body, close=is_leaving)


def _answered_response(answered: Answered) -> HttpResponse:
    control_headers: Headers = (
        (call_headers.OUTCOME, call_headers.OUTCOME_ANSWERED),
        (call_headers.ALLOWANCE, str(answered.allowance)),
    )
    if answered.repeated:
        control_headers = (*control_headers, (call_headers.REPEATED, "1"))
    return HttpResponse(
        answered.status,
        _encode_headers(answered.headers + control_headers),
        answered.body,
    )


def _retry_after_headers(refused: Refused) -> Headers:
    if refused.retry_after <= 0:
        return ()
    seconds = math.ceil(refused.retry_after / MS_PER_S)
    return (
        ("retry-after", str(seconds)),
        (call_headers.RETRY_AFTER, f"{refused.retry_after:.0f}"),
    )


def _json_response(
    status: int, value: dict[str, Any], control_headers: Headers = ()
) -> HttpResponse:
    headers = (*control_headers, ("content-type", "application/json"))
    return HttpResponse(status, _encode_headers(headers), json.dumps(value).encode())


def _encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]


_OUTCOME_NAMES = {
    Refused: call_headers.OUTCOME_REFUSED,
    Unknown: call_headers.OUTCOME_UNKNOWN,
}
