"""Request parsing and JSON responses of the operators' API."""

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
    """Error response of the operators' API.

    Parameters
    ----------
    status : int
        HTTP status.
    error : str
        Machine-readable error code.
    detail : str
        What is wrong, with the value that was given.
    expected : str
        What would have been a valid request.
    next : str
        What the operator can do next.
    extra_fields : dict, optional
        Further fields of the response, such as those of a conflict.
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
    "the request has no bearer token",
    "the header Authorization: Bearer TOKEN",
    "send the request with a token of the team or with the operators' token",
)


def json_reply(value: dict[str, Any], status: int = 200) -> Response:
    """Return a response with a JSON body."""
    text = json.dumps(value, ensure_ascii=False)
    return Response(text, status, content_type=JSON_TYPE)


def error_reply(error: AdminError) -> Response:
    """Return the response for an error."""
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
    """Return the bearer token of the current request; None if missing or too long."""
    header = request.headers.get("authorization", "")
    if header[: len(_BEARER)].lower() != _BEARER:
        return None
    token = header[len(_BEARER) :].strip()
    return token if 0 < len(token) <= MAX_TOKEN_CHARS else None


async def json_body() -> dict[str, Any] | AdminError:
    """Return the JSON object in the body of the current request, or an error."""
    raw = await request.get_data(cache=False, as_text=False)
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        return bad_request(f"the body is not valid JSON: {exc}", "a JSON object")
    if not isinstance(value, dict):
        return bad_request("the body is not a JSON object", "a JSON object")
    return value


def bad_request(detail: str, expected: str) -> AdminError:
    """Return the error for a malformed request."""
    return AdminError(400, "bad-request", detail, expected, "correct the request")


def not_found(detail: str, expected: str, next_step: str) -> AdminError:
    """Return the error for an object that does not exist."""
    return AdminError(404, "not-found", detail, expected, next_step)


def integer_query_argument(name: str, default: int) -> int | AdminError:
    """Return a non-negative integer argument of the query string, or an error."""
    raw_value = request.args.get(name)
    if raw_value is None:
        return default
    if raw_value.isascii() and raw_value.isdigit() and len(raw_value) <= 19:
        return int(raw_value)
    return bad_request(f"{name}={raw_value[:40]!r}", f"a whole number for {name}")


def add_error_handlers(app: QuartTrio) -> None:
    """Limit request bodies and return errors of the framework as `AdminError`."""
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.config["BODY_TIMEOUT"] = BODY_TIMEOUT_S

    @app.errorhandler(HTTPException)
    async def handle_http_exception(exc: HTTPException) -> Response:
        status = exc.code or 500
        expected, next_step = _ADVICE_BY_STATUS.get(status, _DEFAULT_ADVICE)
        detail = f"{request.method} {request.path}: {exc.description}"
        error = exc.name.lower().replace(" ", "-")
        return error_reply(AdminError(status, error, detail, expected, next_step))


_DEFAULT_ADVICE = ("a request described in docs/admin-api.md", "see docs/admin-api.md")
_ADVICE_BY_STATUS = {
    404: ("a path listed in docs/admin-api.md", "check the path and its version, /v1"),
    405: ("a method listed in docs/admin-api.md", "check the method"),
    408: (f"the whole body within {BODY_TIMEOUT_S} s", "send the request again"),
    413: (f"a body of at most {MAX_BODY_BYTES} bytes", "send a smaller body"),
    500: ("no internal error", "check the node's log and report the error"),
}
