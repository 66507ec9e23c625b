"""Changes of a team's settings, by conditional update of an object on the platform.

A change is accepted once the platform holds its text under a version, together with
the id of the change. If the response of the platform is lost, the same conditional
update is repeated: it takes effect at most once, and finds its own id if it did.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import MS_PER_S, Milliseconds, sleep_ms
from fuchsiagap.core.settings.difference import difference
from fuchsiagap.core.settings.faults import SettingsFaults
from fuchsiagap.core.settings.model import settings_path
from fuchsiagap.core.settings.parse import parse_team
from fuchsiagap.core.settings.record import (
    Action,
    ChangeRecord,
    StoredText,
    format_stored_text,
    parse_stored_text,
    text_digest,
)
from fuchsiagap.core.settings.tokens import find_token_name, matches_digest
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.metrics import Counter
from fuchsiagap_node.core.ports import (
    Conflict as PlatformConflict,
)
from fuchsiagap_node.core.ports import (
    Missing,
    PlatformUnavailable,
    StoredObject,
)
from fuchsiagap_node.core.settings import watch
from fuchsiagap_node.core.settings.outcome import (
    Accepted,
    Conflict,
    Forbidden,
    Invalid,
    Unavailable,
    Unsettled,
    WriteResult,
)

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState

__all__ = [
    "OPERATORS",
    "Accepted",
    "Conflict",
    "Forbidden",
    "Invalid",
    "Unavailable",
    "Unsettled",
    "WriteResult",
    "delete_settings",
    "find_local_holder",
    "is_operators_token",
    "put_settings",
]

OPERATORS = "operators"
SETTLE_RETRY_DELAYS: tuple[Milliseconds, ...] = (100.0, 300.0, 900.0, 2_000.0)


@dataclass(frozen=True, slots=True)
class _Change:
    """A requested change."""

    team: str
    action: Action
    body: str
    expected_version: int | None
    change_id: str
    token: str
    repeat: bool


async def put_settings(
    state: NodeState,
    team: str,
    text: str,
    expected_version: int | None,
    change_id: str,
    token: str,
    repeat: bool = False,
) -> WriteResult:
    """Replace a team's settings.

    Parameters
    ----------
    state : NodeState
        State of this node.
    team : str
        Name of the team.
    text : str
        The INI text.
    expected_version : int or None
        Version that the text is based on; 0 if there are no settings; None for any
        version.
    change_id : str
        Id of the change, chosen by the caller; the same for a repeat.
    token : str
        Bearer token.
    repeat : bool, default=False
        Whether an earlier request with this id is unsettled. Then a conflict
        or an unavailable platform is reported as `Unsettled` as long as the earlier
        request may have taken effect. Needs the expected version that `Unsettled`
        named, so that only one of them can take effect.

    Returns
    -------
    Accepted, Conflict, Invalid, Forbidden, Unavailable or Unsettled
        Result of the request.
    """
    change = _Change(team, Action.PUT, text, expected_version, change_id, token, repeat)
    if (refused := _refuse_locally(state, change)) is not None:
        return refused
    settings = parse_team(team, text)
    if isinstance(settings, SettingsFaults):
        return Invalid(settings)
    return await _change(state, change)


async def delete_settings(
    state: NodeState,
    team: str,
    expected_version: int | None,
    change_id: str,
    token: str,
    repeat: bool = False,
) -> WriteResult:
    """Delete a team's settings; see `put_settings` for parameters and result."""
    change = _Change(
        team, Action.DELETE, "", expected_version, change_id, token, repeat
    )
    if (refused := _refuse_locally(state, change)) is not None:
        return refused
    return await _change(state, change)


def find_local_holder(state: NodeState, team: str, token: str) -> str | None:
    """Return the holder of a token for a team, by the settings in force locally.

    Parameters
    ----------
    state : NodeState
        State of this node.
    team : str
        Name of the team.
    token : str
        Bearer token.

    Returns
    -------
    str or None
        `OPERATORS` for the token in the node's own settings, which is valid for every
        team; None if the token is not valid for this team.
    """
    if is_operators_token(state, token):
        return OPERATORS
    settings = state.book.team(team)
    return find_token_name(settings.token_digests, token) if settings else None


def is_operators_token(state: NodeState, token: str) -> bool:
    """Return whether a token is the one that may create teams and drain the node."""
    digest = state.cfg.admin.token_digest
    return bool(digest) and matches_digest(digest, token)


def _refuse_locally(
    state: NodeState, change: _Change
) -> Forbidden | Accepted | Unsettled | None:
    """Answer most unauthorized requests without a call to the platform."""
    if not state.book.sync_status.complete:
        return None
    if find_local_holder(state, change.team, change.token) is not None:
        return None
    held = state.book.text(change.team)
    if not change.repeat or held is None:
        return _forbidden(change.team)
    return _settle_unauthorized(change, parse_stored_text(held.text), held.version)


def _settle_unauthorized(
    change: _Change, stored: StoredText, version: int
) -> Forbidden | Accepted | Unsettled:
    """Return the result of a repeat whose token is not valid for the team.

    The earlier request may have replaced the token itself.
    """
    earlier_result = _find_earlier_result(change, stored, version)
    if isinstance(earlier_result, Accepted):
        return earlier_result
    expected = change.expected_version
    is_sure = any(record.replaced == expected for record in stored.records)
    if expected is None or is_sure or version <= expected:
        return _forbidden(change.team)
    return Unsettled(change.change_id, _describe_short_history(expected), expected)


def _forbidden(team: str) -> Forbidden:
    detail = f"the token is neither a token of team {team!r} nor the operators' token"
    return Forbidden(team, detail)


async def _change(state: NodeState, change: _Change) -> WriteResult:
    expected = change.expected_version
    result = await _attempt(state, change)
    if not change.repeat or expected is None:
        return result
    if isinstance(result, Unavailable):
        return Unsettled(change.change_id, result.detail, expected)
    if isinstance(result, Conflict) and not result.is_sure:
        return Unsettled(change.change_id, _describe_short_history(expected), expected)
    return result


async def _attempt(state: NodeState, change: _Change) -> WriteResult:
    path = settings_path(change.team)
    current = await _get(state, path)
    if isinstance(current, PlatformUnavailable):
        return Unavailable(current.detail)
    held = state.book.text(change.team)
    if held is not None and current.version < held.version:
        return Unavailable(_describe_lost_changes(current, held.version))
    stored = _read(current)
    by = _find_platform_holder(state, change, current, stored)
    if by is None:
        if change.repeat:
            return _settle_unauthorized(change, stored, current.version)
        return _forbidden(change.team)
    earlier_result = _find_earlier_result(change, stored, current.version)
    if isinstance(earlier_result, Accepted):
        return earlier_result
    if earlier_result is not None:
        return _conflict(change, current)
    is_repeat_without_version = change.repeat and change.expected_version is None
    if is_repeat_without_version or not _is_expected(change, current, stored):
        return _conflict(change, current)
    record = ChangeRecord(
        change_id=change.change_id,
        action=change.action,
        by=by,
        at=_now(state),
        replaced=current.version,
        digest=text_digest(change.body),
    )
    value = format_stored_text(record, stored.records, change.body).encode()
    result = await _put_until_settled(state, change, path, value, current.version)
    if isinstance(result, Accepted):
        state.telemetry.ring.record(
            EventKind.SETTINGS_WRITTEN,
            team=change.team,
            version=result.version,
            change_id=change.change_id,
            by=by,
        )
    return result


async def _put_until_settled(
    state: NodeState, change: _Change, path: str, value: bytes, version: int
) -> WriteResult:
    """Write, and retry while it is undecided whether the write took effect."""
    maybe_applied = False
    detail = ""
    for pause in (*SETTLE_RETRY_DELAYS, None):
        state.telemetry.metrics.count(Counter.PLATFORM_CALLS, "settings-put")
        result = await state.platform.put(path, value, version)
        if isinstance(result, StoredObject):
            watch.adopt_objects(state, (result,))
            return Accepted(change.team, result.version, result.version)
        if isinstance(result, PlatformConflict):
            settled = _settle_conflict(state, change, result.current, version)
            is_undecided = isinstance(settled, Conflict) and not settled.is_sure
            if maybe_applied and is_undecided:
                return Unsettled(
                    change.change_id, _describe_short_history(version), version
                )
            return settled
        maybe_applied = maybe_applied or result.maybe_applied
        detail = result.detail
        if not maybe_applied:
            return Unavailable(detail)
        if pause is not None:
            await sleep_ms(pause)
    return Unsettled(change.change_id, detail, version)


def _settle_conflict(
    state: NodeState, change: _Change, current: StoredObject | None, replaced: int
) -> WriteResult:
    """Return the result of a write that was rejected by a version conflict.

    The current object may already hold this change, from an earlier attempt.
    """
    if current is None:
        # The object existed before: the platform has lost it and its version.
        return Unavailable("the platform lost the object that was to be replaced")
    watch.adopt_objects(state, (current,))
    earlier_result = _find_earlier_result(change, _read(current), current.version)
    if isinstance(earlier_result, Accepted):
        return earlier_result
    return _conflict(change, current, None if earlier_result else replaced)


class _OtherChange:
    """A change with the same id that has another action or text."""


def _find_earlier_result(
    change: _Change, stored: StoredText, current_version: int
) -> Accepted | _OtherChange | None:
    """Return the result of this change if it took effect before, else None."""
    found = stored.find(change.change_id, current_version)
    if found is None:
        return None
    record, version = found
    if (record.action, record.digest) != (change.action, text_digest(change.body)):
        return _OtherChange()
    return Accepted(change.team, version, current_version)


async def _get(state: NodeState, path: str) -> StoredObject | PlatformUnavailable:
    state.telemetry.metrics.count(Counter.PLATFORM_CALLS, "settings-get")
    found = await state.platform.get(path)
    if isinstance(found, Missing):
        return StoredObject(path, 0, b"", deleted=True)
    return found


def _read(current: StoredObject) -> StoredText:
    return parse_stored_text(watch.text_of(current).text)


def _find_platform_holder(
    state: NodeState, change: _Change, current: StoredObject, stored: StoredText
) -> str | None:
    """Return the token's holder by the current settings on the platform."""
    if is_operators_token(state, change.token):
        return OPERATORS
    if current.deleted or stored.deleted:
        return None
    settings = parse_team(change.team, stored.body)
    if isinstance(settings, SettingsFaults):
        return None
    return find_token_name(settings.token_digests, change.token)


def _is_expected(change: _Change, current: StoredObject, stored: StoredText) -> bool:
    expected = change.expected_version
    if expected is None or expected == current.version:
        return True
    return expected == 0 and (current.deleted or stored.deleted)


def _conflict(
    change: _Change, current: StoredObject, replaced: int | None = None
) -> Conflict:
    """Return the conflict with the current object.

    `replaced` is the version that the winning change replaced; by default the expected
    one.
    """
    stored = _read(current)
    if replaced is None:
        replaced = change.expected_version
    platform_label = f"{change.team} version {current.version}"
    return Conflict(
        team=change.team,
        expected_version=change.expected_version or 0,
        version=current.version,
        deleted=current.deleted or stored.deleted,
        text=stored.body,
        diff=difference(
            stored.body, change.body, platform_label, f"change {change.change_id}"
        ),
        by=stored.records[0].by if stored.records else "",
        is_sure=any(r.replaced == replaced for r in stored.records),
    )


def _describe_short_history(version: int) -> str:
    return f"the history does not reach back to version {version}"


def _describe_lost_changes(current: StoredObject, in_force: int) -> str:
    """Explain why a change would be accepted and never take effect."""
    return (
        f"the platform holds version {current.version} of {current.path}, but version"
        f" {in_force} is in force: it has lost changes;"
        " see docs/operators/platform-outage.md"
    )


def _now(state: NodeState) -> str:
    at = datetime.fromtimestamp(state.clock.wall() / MS_PER_S, UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")
