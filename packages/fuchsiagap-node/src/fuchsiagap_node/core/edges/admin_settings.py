"""Routes of the operators' API for the settings of teams."""

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
    parse_stored_text,
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


_CHANGE_FIELDS = frozenset({"text", "expected_version", "change_id", "repeat"})


def add_settings_routes(app: QuartTrio, state: NodeState) -> None:
    """Add the routes below ``/v1/settings``."""

    @app.get("/v1/settings")
    async def list_teams() -> Response:
        return json_reply(settings_overview(state))

    @app.get("/v1/settings/<team>")
    async def get(team: str) -> Response:
        result = await _read_authorized_text(state, team)
        if isinstance(result, AdminError):
            return error_reply(result)
        return json_reply(_describe_text(result))

    @app.get("/v1/settings/<team>/history")
    async def history(team: str) -> Response:
        result = await _read_authorized_text(state, team)
        if isinstance(result, AdminError):
            return error_reply(result)
        return json_reply(_describe_history(result))

    @app.post("/v1/settings/<team>/check")
    async def check(team: str) -> Response:
        error = _authorization_error(state, team)
        if error is not None:
            return error_reply(error)
        text = await _read_body_text()
        if isinstance(text, AdminError):
            return error_reply(text)
        return json_reply(_check_text(team, text))

    @app.post("/v1/settings/<team>/diff")
    async def diff(team: str) -> Response:
        result = await _read_authorized_text(state, team)
        if isinstance(result, AdminError):
            return error_reply(result)
        text = await _read_body_text()
        if isinstance(text, AdminError):
            return error_reply(text)
        return json_reply(_compare_text(result, text))

    @app.put("/v1/settings/<team>")
    async def put(team: str) -> Response:
        return await _change_settings(state, team)

    @app.delete("/v1/settings/<team>")
    async def delete(team: str) -> Response:
        return await _change_settings(state, team)


def settings_overview(state: NodeState) -> dict[str, Any]:
    """Return versions, rejected texts and synchronization status as JSON values."""
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
            "faults": [_describe_fault(fault) for fault in invalid.faults.faults],
        }
        for invalid in book.rejected()
    ]
    sync_status = book.sync_status
    return {
        "teams": teams,
        "refused": refused,
        "complete": sync_status.complete,
        "watching": sync_status.watching,
        "platform_up": sync_status.platform_up,
        "counts": asdict(book.counts),
    }


def _authorization_error(state: NodeState, team: str) -> AdminError | None:
    """Return an error unless the request has a token of the team or the operators."""
    token = bearer_token()
    if token is None:
        return UNAUTHORIZED
    return None if find_local_holder(state, team, token) else _forbidden_error(team)


async def _read_authorized_text(state: NodeState, team: str) -> TeamText | AdminError:
    """Return the settings text of a team if the request is authorized.

    The query argument ``source`` selects the copy of the node or of the platform.
    """
    error = _authorization_error(state, team)
    if error is not None:
        return error
    source = request.args.get("source", "node")
    text: TeamText | AdminError | None
    if source == "node":
        text = state.book.text(team)
    elif source == "platform":
        text = await _read_platform_text(state, team)
    else:
        return bad_request(f"source={source[:40]!r}", "source=node or source=platform")
    if text is None:
        detail = f"team {team!r} has no settings according to the {source}"
        return not_found(
            detail, "a team that has settings", "list the teams with GET /v1/settings"
        )
    return text


async def _read_platform_text(
    state: NodeState, team: str
) -> TeamText | AdminError | None:
    result = await state.platform.get(settings_path(team))
    if isinstance(result, PlatformUnavailable):
        return _unavailable_error(Unavailable(result.detail))
    return None if isinstance(result, Missing) else watch.text_of(result)


async def _read_body_text() -> str | AdminError:
    body = await json_body()
    if isinstance(body, AdminError):
        return body
    text = body.get("text")
    return text if isinstance(text, str) else bad_request("no text", "text, a string")


def _describe_text(text: TeamText) -> dict[str, Any]:
    return {
        "team": text.team,
        "version": text.version,
        "deleted": text.deleted,
        "text": "" if text.deleted else parse_stored_text(text.text).body,
    }


def _describe_history(text: TeamText) -> dict[str, Any]:
    changes = []
    version = text.version
    for record in parse_stored_text(text.text).records:
        changes.append({"version": version, **asdict(record)})
        version = record.replaced
    return {"team": text.team, "version": text.version, "changes": changes}


def _check_text(team: str, text: str) -> dict[str, Any]:
    result = parse_team(team, text)
    faults = result.faults if isinstance(result, SettingsFaults) else ()
    return {"valid": not faults, "faults": [_describe_fault(fault) for fault in faults]}


def _compare_text(current: TeamText, text: str) -> dict[str, Any]:
    old = str(_describe_text(current)["text"])
    label = f"{current.team} version {current.version}"
    return {
        "team": current.team,
        "version": current.version,
        "diff": difference(old, text, label, "text given"),
        **_check_text(current.team, text),
    }


async def _change_settings(state: NodeState, team: str) -> Response:
    token = bearer_token()
    if token is None:
        return error_reply(UNAUTHORIZED)
    body = await json_body()
    if isinstance(body, AdminError):
        return error_reply(body)
    error = _find_body_error(body)
    if error is not None:
        return error_reply(error)
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


def _find_body_error(body: dict[str, Any]) -> AdminError | None:
    unknown = body.keys() - _CHANGE_FIELDS
    if unknown:
        expected = f"{', '.join(sorted(_CHANGE_FIELDS))} only"
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
        expected = "the expected_version that the unsettled response named"
        return bad_request("repeat without expected_version", expected)
    return None


def _change_reply(result: WriteResult, change_id: str) -> Response:
    extra_fields = {"change_id": change_id}
    if isinstance(result, Accepted):
        return json_reply(asdict(result) | extra_fields)
    if isinstance(result, Conflict):
        return error_reply(_conflict_error(result, extra_fields))
    if isinstance(result, Invalid):
        return error_reply(_invalid_error(result, extra_fields))
    if isinstance(result, Forbidden):
        return error_reply(_forbidden_error(result.team))
    if isinstance(result, Unavailable):
        return error_reply(_unavailable_error(result))
    return error_reply(
        AdminError(
            504,
            "unsettled",
            f"the platform did not confirm whether the change took effect:"
            f" {result.detail}",
            "a response from the platform",
            "send the same request again, to any node, with this change_id, this"
            " expected_version and repeat = true: the repeat settles whether the change"
            " took effect, and the change cannot take effect twice",
            extra_fields | {"expected_version": result.expected_version},
        )
    )


def _conflict_error(conflict: Conflict, extra_fields: dict[str, Any]) -> AdminError:
    return AdminError(
        409,
        "conflict",
        f"the current version is {conflict.version}"
        + (f", written by {conflict.by}" if conflict.by else ""),
        f"version {conflict.expected_version}, on which the text is based",
        f"merge the diff and put with expected_version {conflict.version}",
        asdict(conflict) | extra_fields,
    )


def _invalid_error(invalid: Invalid, extra_fields: dict[str, Any]) -> AdminError:
    faults = [_describe_fault(fault) for fault in invalid.faults.faults]
    return AdminError(
        422,
        "invalid-settings",
        str(invalid.faults),
        "a valid text; see docs/settings.md",
        "correct every fault; nothing was changed",
        {"faults": faults} | extra_fields,
    )


def _forbidden_error(team: str) -> AdminError:
    return AdminError(
        403,
        "forbidden",
        f"the token is neither a token of team {team!r} nor the operators' token",
        f"a token whose digest is listed in [team] tokens of {team!r}",
        "use the team's token; a new token is accepted here within seconds. A new team"
        " is created with the operators' token",
    )


def _unavailable_error(unavailable: Unavailable) -> AdminError:
    return AdminError(
        503,
        "platform-unavailable",
        f"the platform does not respond: {unavailable.detail}",
        "a response from the platform",
        "nothing was changed and the current settings stay in force; try again later",
    )


def _describe_fault(fault: Any) -> dict[str, Any]:
    return asdict(fault) | {"message": str(fault)}
