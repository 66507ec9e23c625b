"""Requests and replies of the operators' API: JSON, bounded, with clear errors."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from quart import Response, request
from werkzeug.exceptions import HTTPException

if TYPE_CHECKING:
    from quart_trio import QuartTrio

JSON_TYPE = "application/json"
MAX_BODY_BYTES = 2 * 1024 * 1024
BODY_TIMEOUT_S = 10
MAX_TOKEN_CHARS = 512
_BEARER = "bearer "


@dataclass(frozen=True, slots=True)
class AdminError:
    """Why a request was not done.

    Parameters
    ----------
    status : int
        HTTP status.
    error : str
        A word for programs.
    detail : str
        What is wrong, with what was passed.
    expected : str
        What would have been valid.
    next : str
        What to do now.
    extra_fields : dict, optional
        Further fields, as of a conflict.
    """

    status: int
    error: str
    detail: str
    expected: str
    next: str
    extra_fields: dict[str, Any] | None = None


UNAUTHORIZED = AdminError(
    401,
    "no-token",
    "the request bears no token",
    "the header Authorization: Bearer TOKEN",
    "repeat the request with a token of the team, or that of the operators",
)


def json_reply(value: dict[str, Any], status: int = 200) -> Response:
    """Return a JSON response."""
    text = json.dumps(value, ensure_ascii=False)
    return Response(text, status, content_type=JSON_TYPE)


def error_reply(error: AdminError) -> Response:
    """Return the response of an error."""
    fields = {
        "error": error.error,
        "detail": error.detail,
        "expected": error.expected,
        "next": error.next,
    }
    reply = json_reply(fields | (error.extra_fields or {}), error.status)
    if error.status == 401:
        reply.headers["www-authenticate"] = "Bearer"
    return reply


def bearer_token() -> str | None:
    """Return the token of the request at hand; None if it bears none."""
    header = request.headers.get("authorization", "")
    if header[: len(_BEARER)].lower() != _BEARER:
        return None
    token = header[len(_BEARER) :].strip()
    return token if 0 < len(token) <= MAX_TOKEN_CHARS else None


async def json_body() -> dict[str, Any] | AdminError:
    """Return the JSON object of the request at hand."""
    raw = await request.get_data(cache=False, as_text=False)
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        return bad_request(f"the body is no JSON: {exc}", "a JSON object")
    if not isinstance(value, dict):
        return bad_request("the body is no JSON object", "a JSON object")
    return value


def bad_request(detail: str, expected: str) -> AdminError:
    """Return the error of a malformed request."""
    return AdminError(400, "bad-request", detail, expected, "mend the request")


def not_found(detail: str, expected: str, next_step: str) -> AdminError:
    """Return the error of something that is not there."""
    return AdminError(404, "not-found", detail, expected, next_step)


def integer_query_argument(name: str, default: int) -> int | AdminError:
    """Return a whole number from the query."""
    raw_value = request.args.get(name)
    if raw_value is None:
        return default
    if raw_value.isascii() and raw_value.isdigit() and len(raw_value) <= 19:
        return int(raw_value)
    return bad_request(f"{name}={raw_value[:40]!r}", f"a whole number as {name}")


def add_error_handlers(app: QuartTrio) -> None:
    """Have the framework's own errors replied to in the same form."""
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.config["BODY_TIMEOUT"] = BODY_TIMEOUT_S

    @app.errorhandler(HTTPException)
    async def handle_http_exception(exc: HTTPException) -> Response:
        status = exc.code or 500
        expected, next_step = _ADVICE_BY_STATUS.get(status, _DEFAULT_ADVICE)
        detail = f"{request.method} {request.path}: {exc.description}"
        error = exc.name.lower().replace(" ", "-")
        return error_reply(AdminError(status, error, detail, expected, next_step))


_DEFAULT_ADVICE = ("a request as in docs/admin-api.md", "see docs/admin-api.md")
_ADVICE_BY_STATUS = {
    404: ("a path as in docs/admin-api.md", "check the path and its version, /v1"),
    405: ("a method as in docs/admin-api.md", "check the method"),
    408: (f"the body within {BODY_TIMEOUT_S} s", "send the request again"),
    413: (f"a body of at most {MAX_BODY_BYTES} bytes", "send a smaller body"),
    500: ("no such fault", "look at the node's log, and report it"),
}
