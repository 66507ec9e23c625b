"""The commands ``ticket`` and ``ticket settle``, for non-idempotent requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap.core.tickets.ticket import MalformedTicket, parse_ticket
from fuchsiagap_ctl.admin_client import Reply
from fuchsiagap_ctl.commands.command import argument, quote_segment, report_failure
from fuchsiagap_ctl.exit_codes import ExitCode

if TYPE_CHECKING:
    from fuchsiagap_ctl.commands.command import Context

_MAX_WAIT_MS = 30_000.0


async def home(context: Context) -> ExitCode:
    """Write which node keeps the records of a ticket."""
    text = argument(context, -1)
    if not _is_ticket(context, text):
        return ExitCode.USAGE
    answer = await context.client.request_any(
        context.invocation.nodes, "GET", f"/v1/tickets/{quote_segment(text)}"
    )
    if not isinstance(answer, Reply) or not answer.ok:
        return report_failure(context, answer, f"find the home of ticket {text}")
    if context.invocation.json:
        context.output.json(answer.body)
    else:
        context.output.line(_home_text(answer))
    return ExitCode.NOT_FOUND if answer.body["home"] == "gone" else ExitCode.DONE


async def settle(context: Context) -> ExitCode:
    """Write the outcome of a request; the ticket of an unstarted request is burnt."""
    text, method, path = (argument(context, index) for index in (-3, -2, -1))
    if not _is_ticket(context, text):
        return ExitCode.USAGE
    if not context.invocation.yes:
        context.output.note(
            f"if the request with ticket {text} has not started, it is refused for"
            " good; next: add --yes to confirm"
        )
        return ExitCode.USAGE
    wait = min(context.invocation.wait, context.invocation.timeout / 2, _MAX_WAIT_MS)
    answer = await context.client.request_any(
        context.invocation.nodes,
        "POST",
        f"/v1/tickets/{quote_segment(text)}/settle",
        body={"method": method, "path": path, "wait_ms": wait},
    )
    if not isinstance(answer, Reply) or not answer.ok:
        return report_failure(context, answer, f"settle ticket {text}")
    if context.invocation.json:
        context.output.json(answer.body)
    else:
        context.output.line(_outcome_text(answer))
    unknown = answer.body["outcome"] == "unknown"
    return ExitCode.INCOMPLETE if unknown else ExitCode.DONE


def _is_ticket(context: Context, text: str) -> bool:
    found = parse_ticket(text)
    if isinstance(found, MalformedTicket):
        context.output.note(str(found))
        return False
    return True


def _home_text(answer: Reply) -> str:
    body = answer.body
    prefix = f"ticket {body['ticket']}: issued by {body['node']}"
    if body["home"] == "gone":
        reason = body.get("reason", "unknown")
        return f"{prefix}; its home is gone ({reason}), so its outcome can't be known"
    return f"{prefix}; its home is the node at {body['address']}"


def _outcome_text(answer: Reply) -> str:
    body = answer.body
    prefix = f"ticket {body['ticket']}: {body['outcome']}"
    if body["outcome"] == "answered":
        return f"{prefix} with status {body['status']}, {body['body_bytes']} bytes"
    return f"{prefix} ({body['reason']}): {body['detail']}"
