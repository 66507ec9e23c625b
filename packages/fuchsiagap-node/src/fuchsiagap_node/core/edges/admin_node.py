"""The node itself in the operators' API: status, drain, tickets, events, metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quart import Response, request

from fuchsiagap.core.calls.outcome import Answered, Outcome
from fuchsiagap.core.telemetry.events import MAX_EVENTS_PER_PAGE, plain
from fuchsiagap.core.tickets.ticket import MalformedTicket, parse_ticket
from fuchsiagap_node.core.callpath.home_of import HomeAt, HomeGone, home_of
from fuchsiagap_node.core.callpath.home_tickets import settle
from fuchsiagap_node.core.edges.admin_reply import (
    UNAUTHORIZED,
    AdminError,
    bad_request,
    bearer_token,
    error_reply,
    json_body,
    json_reply,
    number_argument,
)
from fuchsiagap_node.core.edges.admin_status import node_status
from fuchsiagap_node.core.edges.metrics_text import CONTENT_TYPE, metrics_text
from fuchsiagap_node.core.settings.write import find_local_holder, is_operators_token

if TYPE_CHECKING:
    from quart_trio import QuartTrio

    from fuchsiagap.core.tickets.ticket import Ticket
    from fuchsiagap_node.core.state import NodeState

MAX_SETTLE_WAIT_MS = 30_000


def add_node(app: QuartTrio, state: NodeState) -> None:
    """Add the paths that are about the node itself."""

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
            return error_reply(_NOT_OPERATORS)
        state.request_drain()
        return json_reply({"node": state.node, "draining": True}, 202)

    @app.get("/v1/metrics")
    async def metrics() -> Response:
        return Response(await metrics_text(state.telemetry), content_type=CONTENT_TYPE)

    @app.get("/v1/events")
    async def events() -> Response:
        return _events(state)

    @app.get("/v1/tickets/<text>")
    async def ticket(text: str) -> Response:
        found = parse_ticket(text)
        if isinstance(found, MalformedTicket):
            return error_reply(_bad_ticket(found))
        return json_reply(_home(state, found))

    @app.post("/v1/tickets/<text>/settle")
    async def settle_ticket(text: str) -> Response:
        found = parse_ticket(text)
        if isinstance(found, MalformedTicket):
            return error_reply(_bad_ticket(found))
        return await _settle(state, found)


_NOT_OPERATORS = AdminError(
    403,
    "forbidden",
    "the token is not that of the operators",
    "the token whose digest stands in [admin] token digest of the node's settings",
    "use that token, or stop the node by SIGTERM on its host",
)


def _events(state: NodeState) -> Response:
    after = number_argument("after", 0)
    limit = number_argument("limit", MAX_EVENTS_PER_PAGE)
    if isinstance(after, AdminError):
        return error_reply(after)
    if isinstance(limit, AdminError):
        return error_reply(limit)
    ring = state.telemetry.ring
    call, root = request.args.get("call", ""), request.args.get("root", "")
    page = ring.since(after, call, root, limit)
    found = [plain(event) for event in page.events]
    return json_reply(
        {
            "process": ring.process,
            "events": found,
            "overwritten": page.overwritten,
            "more": page.more,
        }
    )


def _home(state: NodeState, ticket: Ticket) -> dict[str, Any]:
    home = home_of(state, ticket)
    shown: dict[str, Any] = {
        "ticket": str(ticket),
        "node": ticket.node,
        "incarnation": ticket.incarnation,
        "sequence": ticket.sequence,
        "home": "here",
        "address": state.cfg.peer_address,
    }
    if isinstance(home, HomeAt):
        shown |= {"home": "elsewhere", "address": home.address}
    elif isinstance(home, HomeGone):
        shown |= {"home": "gone", "address": "", "reason": home.reason.value}
    return shown


async def _settle(state: NodeState, ticket: Ticket) -> Response:
    token = bearer_token()
    if token is None:
        return error_reply(UNAUTHORIZED)
    body = await json_body()
    if isinstance(body, AdminError):
        return error_reply(body)
    method, path = body.get("method"), body.get("path")
    wait = body.get("wait_ms", 0)
    if not isinstance(method, str) or not isinstance(path, str):
        expected = "method and path of the request, as POST and /TEAM/SERVICE/..."
        return error_reply(bad_request("no method or no path", expected))
    if type(wait) not in (int, float) or not 0 <= wait <= MAX_SETTLE_WAIT_MS:
        expected = f"wait_ms from 0 to {MAX_SETTLE_WAIT_MS}"
        return error_reply(bad_request(f"wait_ms={wait!r:.40}", expected))
    team = path.removeprefix("/").partition("/")[0]
    if find_local_holder(state, team, token) is None:
        return error_reply(_not_of_team(team))
    outcome = await settle(state, ticket, method.upper(), path, float(wait))
    return json_reply({"ticket": str(ticket), **_outcome(outcome)})


def _outcome(outcome: Outcome) -> dict[str, Any]:
    if isinstance(outcome, Answered):
        n_bytes = len(outcome.body)
        return {"outcome": "answered", "status": outcome.status, "body_bytes": n_bytes}
    name = type(outcome).__name__.lower()
    return {"outcome": name, "reason": outcome.reason.value, "detail": outcome.detail}


def _bad_ticket(fault: MalformedTicket) -> AdminError:
    return bad_request(str(fault), "NODE.INCARNATION.SEQUENCE")


def _not_of_team(team: str) -> AdminError:
    return AdminError(
        403,
        "forbidden",
        f"the token is none of team {team[:63]!r} and not that of the operators",
        "a token of the team whose request it was",
        "use the team's token",
    )
