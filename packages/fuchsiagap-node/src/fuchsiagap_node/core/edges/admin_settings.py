"""Settings in the operators' API: get, put, delete, check, diff, history."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any
from uuid import uuid4

from quart import Response, request

from fuchsiagap.core.settings.difference import difference
from fuchsiagap.core.settings.faults import SettingsFaults
from fuchsiagap.core.settings.model import TeamText, settings_path
from fuchsiagap.core.settings.parse import parse_team
from fuchsiagap.core.settings.record import (
    CHANGE_ID_EXPECTED,
    is_change_id,
    read_stored,
)
from fuchsiagap_node.core.edges.admin_reply import (
    UNAUTHORIZED,
    AdminError,
    bad_request,
    bearer_token,
    error_reply,
    json_body,
    json_reply,
    not_found,
)
from fuchsiagap_node.core.ports import Missing, PlatformUnavailable
from fuchsiagap_node.core.settings import watch
from fuchsiagap_node.core.settings.write import (
    Accepted,
    Conflict,
    Forbidden,
    Invalid,
    Unavailable,
    WriteResult,
    delete_settings,
    find_local_holder,
    put_settings,
)

if TYPE_CHECKING:
    from quart_trio import QuartTrio

    from fuchsiagap_node.core.state import NodeState


_FIELDS = frozenset({"text", "expected_version", "change_id", "repeat"})


def add_settings(app: QuartTrio, state: NodeState) -> None:
    """Add the paths below ``/v1/settings``."""

    @app.get("/v1/settings")
    async def list_teams() -> Response:
        return json_reply(settings_overview(state))

    @app.get("/v1/settings/<team>")
    async def get(team: str) -> Response:
        found = await _authorised_text(state, team)
        if isinstance(found, AdminError):
            return error_reply(found)
        return json_reply(_described(found))

    @app.get("/v1/settings/<team>/history")
    async def history(team: str) -> Response:
        found = await _authorised_text(state, team)
        if isinstance(found, AdminError):
            return error_reply(found)
        return json_reply(_history(found))

    @app.post("/v1/settings/<team>/check")
    async def check(team: str) -> Response:
        refused = _refusal(state, team)
        if refused is not None:
            return error_reply(refused)
        text = await _body_text()
        if isinstance(text, AdminError):
            return error_reply(text)
        return json_reply(_checked(team, text))

    @app.post("/v1/settings/<team>/diff")
    async def diff(team: str) -> Response:
        found = await _authorised_text(state, team)
        if isinstance(found, AdminError):
            return error_reply(found)
        text = await _body_text()
        if isinstance(text, AdminError):
            return error_reply(text)
        return json_reply(_compared(found, text))

    @app.put("/v1/settings/<team>")
    async def put(team: str) -> Response:
        return await _change(state, team)

    @app.delete("/v1/settings/<team>")
    async def delete(team: str) -> Response:
        return await _change(state, team)


def settings_overview(state: NodeState) -> dict[str, Any]:
    """Return versions, refused texts and how current they are, as plain values."""
    book = state.book
    teams = []
    for team, version in book.vector():
        text = book.text(team)
        deleted = text is not None and text.deleted
        teams.append({"team": team, "version": version, "deleted": deleted})
    refused = [
        {
            "team": invalid.team,
            "version": invalid.version,
            "faults": [_fault(fault) for fault in invalid.faults.faults],
        }
        for invalid in book.rejected()
    ]
    standing = book.standing
    return {
        "teams": teams,
        "refused": refused,
        "complete": standing.complete,
        "watching": standing.watching,
        "platform_up": standing.platform_up,
        "counts": asdict(book.counts),
    }


def _refusal(state: NodeState, team: str) -> AdminError | None:
    """Refuse a request without a token of the team or of the operators."""
    token = bearer_token()
    if token is None:
        return UNAUTHORIZED
    return None if find_local_holder(state, team, token) else _forbidden(team)


async def _authorised_text(state: NodeState, team: str) -> TeamText | AdminError:
    """Return the text the query asks for: in force here, or on the platform."""
    refused = _refusal(state, team)
    if refused is not None:
        return refused
    source = request.args.get("source", "node")
    text: TeamText | AdminError | None
    if source == "node":
        text = state.book.text(team)
    elif source == "platform":
        text = await _platform_text(state, team)
    else:
        return bad_request(f"source={source[:40]!r}", "source=node or source=platform")
    if text is None:
        detail = f"team {team!r} has no settings, as far as this {source} knows"
        return not_found(detail, "a team that has settings", "see GET /v1/settings")
    return text


async def _platform_text(state: NodeState, team: str) -> TeamText | AdminError | None:
    found = await state.platform.get(settings_path(team))
    if isinstance(found, PlatformUnavailable):
        return _unavailable(Unavailable(found.detail))
    return None if isinstance(found, Missing) else watch.text_of(found)


async def _body_text() -> str | AdminError:
    body = await json_body()
    if isinstance(body, AdminError):
        return body
    text = body.get("text")
    return text if isinstance(text, str) else bad_request("no text", "text, a string")


def _described(text: TeamText) -> dict[str, Any]:
    return {
        "team": text.team,
        "version": text.version,
        "deleted": text.deleted,
        "text": "" if text.deleted else read_stored(text.text).body,
    }


def _history(text: TeamText) -> dict[str, Any]:
    changes = []
    version = text.version
    for record in read_stored(text.text).records:
        changes.append({"version": version, **asdict(record)})
        version = record.replaced
    return {"team": text.team, "version": text.version, "changes": changes}


def _checked(team: str, text: str) -> dict[str, Any]:
    found = parse_team(team, text)
    faults = found.faults if isinstance(found, SettingsFaults) else ()
    return {"valid": not faults, "faults": [_fault(fault) for fault in faults]}


def _compared(held: TeamText, text: str) -> dict[str, Any]:
    old = str(_described(held)["text"])
    there = f"{held.team} version {held.version}"
    return {
        "team": held.team,
        "version": held.version,
        "diff": difference(old, text, there, "text given"),
        **_checked(held.team, text),
    }


async def _change(state: NodeState, team: str) -> Response:
    token = bearer_token()
    if token is None:
        return error_reply(UNAUTHORIZED)
    body = await json_body()
    if isinstance(body, AdminError):
        return error_reply(body)
    fault = _body_fault(body)
    if fault is not None:
        return error_reply(fault)
    expected = body.get("expected_version")
    change_id = body.get("change_id", uuid4().hex)
    repeat = body.get("repeat", False)
    result: WriteResult
    if request.method == "DELETE":
        result = await delete_settings(state, team, expected, change_id, token, repeat)
    else:
        text = body.get("text")
        if not isinstance(text, str):
            return error_reply(bad_request("no text", "text, a string"))
        result = await put_settings(
            state, team, text, expected, change_id, token, repeat
        )
    return _change_reply(result, change_id)


def _body_fault(body: dict[str, Any]) -> AdminError | None:
    unknown = body.keys() - _FIELDS
    if unknown:
        expected = f"{', '.join(sorted(_FIELDS))} only"
        return bad_request(f"unknown fields {sorted(unknown)}", expected)
    version = body.get("expected_version")
    if version is not None and (type(version) is not int or version < 0):
        expected = "a whole number from 0, or null for any version"
        return bad_request(f"expected_version={version!r}", expected)
    change_id = body.get("change_id", "-")
    if not isinstance(change_id, str) or not is_change_id(change_id):
        return bad_request(f"change_id={change_id!r:.80}", CHANGE_ID_EXPECTED)
    repeat = body.get("repeat", False)
    if type(repeat) is not bool:
        return bad_request(f"repeat={repeat!r:.40}", "true or false")
    if repeat and version is None:
        expected = "the expected_version of the answer that was unsettled"
        return bad_request("repeat without expected_version", expected)
    return None


def _change_reply(result: WriteResult, change_id: str) -> Response:
    more = {"change_id": change_id}
    if isinstance(result, Accepted):
        return json_reply(asdict(result) | more)
    if isinstance(result, Conflict):
        return error_reply(_conflict(result, more))
    if isinstance(result, Invalid):
        return error_reply(_invalid(result, more))
    if isinstance(result, Forbidden):
        return error_reply(_forbidden(result.team))
    if isinstance(result, Unavailable):
        return error_reply(_unavailable(result))
    return error_reply(
        AdminError(
            504,
            "unsettled",
            f"the platform does not say whether the change took effect:"
            f" {result.detail}",
            "an answer of the platform",
            "send the same request again, to any node, with this change_id, this"
            " expected_version and repeat = true: it finds out, and the change cannot"
            " take effect twice",
            more | {"expected_version": result.expected_version},
        )
    )


def _conflict(conflict: Conflict, more: dict[str, Any]) -> AdminError:
    return AdminError(
        409,
        "conflict",
        f"version {conflict.version} stands"
        + (f", made by {conflict.by}" if conflict.by else ""),
        f"version {conflict.expected_version}, for which the text was written",
        f"look at diff, merge, and put with expected_version {conflict.version}",
        asdict(conflict) | more,
    )


def _invalid(invalid: Invalid, more: dict[str, Any]) -> AdminError:
    faults = [_fault(fault) for fault in invalid.faults.faults]
    return AdminError(
        422,
        "invalid-settings",
        str(invalid.faults),
        "a valid text; see docs/settings.md",
        "mend every fault; nothing was changed",
        {"faults": faults} | more,
    )


def _forbidden(team: str) -> AdminError:
    return AdminError(
        403,
        "forbidden",
        f"the token is none of team {team!r} and not that of the operators",
        f"a token whose digest stands in [team] tokens of {team!r}",
        "use the team's token; a token added a moment ago is known here within"
        " seconds. A new team is created with the token of the operators",
    )


def _unavailable(unavailable: Unavailable) -> AdminError:
    return AdminError(
        503,
        "platform-unavailable",
        f"the platform does not answer: {unavailable.detail}",
        "the platform to answer",
        "nothing was changed and what is in force stays; try again later",
    )


def _fault(fault: Any) -> dict[str, Any]:
    return asdict(fault) | {"message": str(fault)}
