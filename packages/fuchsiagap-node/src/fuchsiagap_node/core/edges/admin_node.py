"""Routes of the operators' API for status, drain, tickets, events and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quart import Response, request

from fuchsiagap.core.calls.outcome import Answered, Outcome
from fuchsiagap.core.telemetry.events import MAX_EVENTS_PER_PAGE, event_to_dict
from fuchsiagap.core.tickets.ticket import MalformedTicket, parse_ticket
from fuchsiagap_node.core.callpath.home_lookup import RemoteHome, UnknownHome, find_home
from fuchsiagap_node.core.callpath.home_tickets import settle
from fuchsiagap_node.core.edges.admin_reply import (
    UNAUTHORIZED,
    AdminError,
    bad_request,
    bearer_token,
    error_reply,
    integer_query_argument,
    json_body,
    json_reply,
)
from fuchsiagap_node.core.edges.admin_status import node_status
from fuchsiagap_node.core.edges.metrics_text import CONTENT_TYPE, metrics_text
from fuchsiagap_node.core.settings.write import find_local_holder, is_operators_token

if TYPE_CHECKING:
    from quart_trio import QuartTrio

    from fuchsiagap.core.tickets.ticket import Ticket
    from fuchsiagap_node.core.state import NodeState

MAX_SETTLE_WAIT_MS = 30_000


def add_node_routes(app: QuartTrio, state: NodeState) -> None:
    """Add the routes for the node's status, drain, metrics, events and tickets."""

    @app.get("/v1/status")
    async def status() -> Response:
        members = request.args.get("members", "yes") != "no"
        return json_reply(node_status(state, request.args.get("team", ""), members))

    @app.post("/v1/drain")
    async def drain() -> Response:
        token = bearer_token()
        if token is None:
            return error_reply(UNAUTHORIZED)
        if not is_operators_token(state, token):
            return error_reply(_NOT_OPERATORS_TOKEN)
        state.request_drain()
        return json_reply({"node": state.node, "draining": True}, 202)

    @app.get("/v1/metrics")
    async def metrics() -> Response:
        return Response(await metrics_text(state.telemetry), content_type=CONTENT_TYPE)

    @app.get("/v1/events")
    async def events() -> Response:
        return _list_events(state)

    @app.get("/v1/tickets/<text>")
    async def ticket(text: str) -> Response:
        parsed = parse_ticket(text)
        if isinstance(parsed, MalformedTicket):
            return error_reply(_malformed_ticket_error(parsed))
        return json_reply(_describe_home(state, parsed))

    @app.post("/v1/tickets/<text>/settle")
    async def settle_ticket(text: str) -> Response:
        parsed = parse_ticket(text)
        if isinstance(parsed, MalformedTicket):
            return error_reply(_malformed_ticket_error(parsed))
        return await _settle_at_home(state, parsed)


_NOT_OPERATORS_TOKEN = AdminError(
    403,
    "forbidden",
    "the token is not the operators' token",
    "the token whose digest is set as [admin] token digest in the node's settings",
    "use that token, or send SIGTERM to the node on its host",
)


def _list_events(state: NodeState) -> Response:
    after = integer_query_argument("after", 0)
    limit = integer_query_argument("limit", MAX_EVENTS_PER_PAGE)
    if isinstance(after, AdminError):
        return error_reply(after)
    if isinstance(limit, AdminError):
        return error_reply(limit)
    ring = state.telemetry.ring
    call, root = request.args.get("call", ""), request.args.get("root", "")
    page = ring.since(after, call, root, limit)
    event_dicts = [event_to_dict(event) for event in page.events]
    return json_reply(
        {
            "process": ring.process,
            "events": event_dicts,
            "overwritten": page.overwritten,
            "more": page.more,
        }
    )


def _describe_home(state: NodeState, ticket: Ticket) -> dict[str, Any]:
    home = find_home(state, ticket)
    description: dict[str, Any] = {
        "ticket": str(ticket),
        "node": ticket.node,
        "incarnation": ticket.incarnation,
        "sequence": ticket.sequence,
        "home": "here",
        "address": state.cfg.peer_address,
    }
    if isinstance(home, RemoteHome):
        description |= {"home": "elsewhere", "address": home.address}
    elif isinstance(home, UnknownHome):
        description |= {"home": "gone", "address": "", "reason": home.reason.value}
    return description


async def _settle_at_home(state: NodeState, ticket: Ticket) -> Response:
    token = bearer_token()
    if token is None:
        return error_reply(UNAUTHORIZED)
    body = await json_body()
    if isinstance(body, AdminError):
        return error_reply(body)
    method, path = body.get("method"), body.get("path")
    wait = body.get("wait_ms", 0)
    if not isinstance(method, str) or not isinstance(path, str):
        expected = "method and path of the request, such as POST and /TEAM/SERVICE/..."
        return error_reply(bad_request("method or path is missing", expected))
    if type(wait) not in (int, float) or not 0 <= wait <= MAX_SETTLE_WAIT_MS:
        expected = f"wait_ms from 0 to {MAX_SETTLE_WAIT_MS}"
        return error_reply(bad_request(f"wait_ms={wait!r:.40}", expected))
    team = path.removeprefix("/").partition("/")[0]
    if find_local_holder(state, team, token) is None:
        return error_reply(_wrong_team_error(team))
    outcome = await settle(state, ticket, method.upper(), path, float(wait))
    return json_reply({"ticket": str(ticket), **_describe_outcome(outcome)})


def _describe_outcome(outcome: Outcome) -> dict[str, Any]:
    if isinstance(outcome, Answered):
        n_bytes = len(outcome.body)
        return {"outcome": "answered", "status": outcome.status, "body_bytes": n_bytes}
    name = type(outcome).__name__.lower()
    return {"outcome": name, "reason": outcome.reason.value, "detail": outcome.detail}


def _malformed_ticket_error(error: MalformedTicket) -> AdminError:
    return bad_request(str(error), "NODE.INCARNATION.SEQUENCE")


def _wrong_team_error(team: str) -> AdminError:
    return AdminError(
        403,
        "forbidden",
        f"the token is neither a token of team {team[:63]!r} nor the operators' token",
        "a token of the team that owns the called service",
        "use the team's token",
    )
