"""Messages between nodes as bytes: length-prefixed CBOR on one TCP connection.

Plain frames stand here in place of websockets: on the path of a request the websocket
layer costs as much as everything else a link does, and a link carries no other
protocol.
"""

from __future__ import annotations

from dataclasses import replace
from typing import cast

import cbor2

from fuchsiagap.core.freshness.store_view import NO_EPOCH
from fuchsiagap.core.quarantine.fingerprint import FINGERPRINT_BYTES
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.messages import (
    NO_CALLS,
    PROTOCOL,
    Call,
    Cancel,
    Cleared,
    ConfigQuery,
    DownstreamSummary,
    EncodedConfig,
    Hello,
    Message,
    Ping,
    Pong,
    Reply,
    StalenessQuery,
    StalenessReply,
    Status,
    TokenGrant,
    TokenRequest,
)
from fuchsiagap_node.core.mesh.outcome import Answered, MayHaveRun, NotRun

# Largest frame: a body at the usual limit of 64 MB and its head.
MAX_FRAME_BYTES = 80_000_000
_PREFIX_BYTES = 4
# Parts of a place in which replies tell the offered load: a small number takes 2 bytes
# where a fraction takes 9, and most of a reply is its head.
_PARTS_OF_A_PLACE = 10

# Where the protocol stands among the fields of a `Hello`, at its end.
_PROTOCOL_AT = 6
_HELLO, _STATUS, _CALL, _CANCEL, _PING, _PONG, _WANTED, _CONFIG = range(8)
_CRASH, _HELD = 8, 9
_ANSWERED, _NOT_RUN, _MAY_HAVE_RUN = range(10, 13)
_CLEARED = 13
_AGE_WANTED, _AGE, _TOKENS_WANTED, _TOKENS_GRANTED = range(14, 18)


class BadFrame(Exception):
    """A frame that is none of the messages."""


def encode(message: Message) -> bytes:
    """Return the frame of a message."""
    payload = cbor2.dumps(_fields(message))
    return len(payload).to_bytes(_PREFIX_BYTES, "big") + payload


def _fields(message: Message) -> list[object]:
    match message:
        case Call() as m:
            return [
                _CALL,
                m.call_id,
                m.instance,
                m.head,
                m.body,
                m.time_left,
                m.slack,
                m.rank,
                m.is_nested,
                m.in_retried_tree,
                m.is_retry,
                m.sampling_key,
                m.idempotent,
                m.request_id,
                m.route,
                m.fingerprint,
            ]
        case Reply() as reply:
            return _reply_fields(reply)
        case Status() as m:
            return [
                _STATUS,
                m.instance,
                m.limit,
                m.load,
                m.offered,
                m.failing,
                m.warming,
                m.version,
                int(m.update_source),
                m.service_ms,
                m.epoch,
            ]
        case Cancel(call_id):
            return [_CANCEL, call_id]
        case Ping():
            return [_PING]
        case Pong():
            return [_PONG]
        case Hello() as m:
            return [
                _HELLO,
                m.node,
                m.incarnation,
                m.address,
                m.data_centre,
                m.service,
                m.compressed,
                m.protocol,
            ]
        case ConfigQuery():
            return [_WANTED]
        case EncodedConfig(epoch, revision, text):
            return [_CONFIG, epoch, revision, text]
        case Crash(incarnation, service, age, fingerprints):
            return [_CRASH, incarnation, service, age, b"".join(sorted(fingerprints))]
        case HeldRequest(fingerprint, service, crashes, age):
            return [_HELD, fingerprint, service, crashes, age]
        case Cleared(fingerprints):
            return [_CLEARED, b"".join(fingerprints)]
        case StalenessQuery(question):
            return [_AGE_WANTED, question]
        case StalenessReply(question, version, age):
            return [_AGE, question, version, age]
        case TokenRequest(question, workspace, tokens):
            return [_TOKENS_WANTED, question, workspace, tokens]
        case TokenGrant(question, workspace, tokens, wait, is_owner):
            return [_TOKENS_GRANTED, question, workspace, tokens, wait, is_owner]


def _reply_fields(reply: Reply) -> list[object]:
    call_id, outcome, load, offered, below = reply
    common = [call_id, load, round(offered * _PARTS_OF_A_PLACE), *below]
    match outcome:
        case Answered(status, reason, headers, body):
            return [_ANSWERED, *common, status, reason, headers, body]
        case NotRun(why, was_offered):
            return [_NOT_RUN, *common, why, was_offered]
        case MayHaveRun(why):
            return [_MAY_HAVE_RUN, *common, why]


def decode(payload: bytes) -> Message:
    """Return the message of a frame's payload; `BadFrame` if it is none."""
    try:
        fields = cbor2.loads(payload)
        return _message(fields[0], fields[1:])
    except (
        cbor2.CBORDecodeError,
        TypeError,
        IndexError,
        KeyError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise BadFrame(f"{type(exc).__name__}: {exc}") from exc


def _message(kind: int, rest: list[object]) -> Message:
    if kind == _HELLO and rest[_PROTOCOL_AT:] != [PROTOCOL]:
        raise ValueError(f"protocol {rest[_PROTOCOL_AT:]} where {PROTOCOL} is spoken")
    _check_types(kind, rest)
    if kind in _REPORTS:
        return _report(kind, rest)
    if kind in _OUTCOMES:
        call_id, load, offered, fullness, calls, failed, *outcome = rest
        settled = _OUTCOMES[kind](*outcome)  # type: ignore[arg-type]
        if not (
            0 <= load < _MOST  # type: ignore[operator]
            and 0 <= offered < _MOST  # type: ignore[operator]
            and NO_CALLS <= fullness < _MOST  # type: ignore[operator]
            and 0 <= calls < _MOST  # type: ignore[operator]
        ):
            raise ValueError(f"a number of the reply is out of range: {rest[1:5]}")
        places = offered / _PARTS_OF_A_PLACE  # type: ignore[operator]
        below = DownstreamSummary(fullness, calls, failed)  # type: ignore[arg-type]
        return Reply(call_id, settled, load, places, below)  # type: ignore[arg-type]
    message = cast("Message", _KINDS[kind](*rest))
    if isinstance(message, Status):
        _check_status(message)
        return replace(message, update_source=UpdateSource(message.update_source))
    if isinstance(message, Call):
        _check_call(message)
    elif isinstance(message, EncodedConfig):
        _check_place(message)
    elif isinstance(message, StalenessReply):
        _check_version(message.version)
        _check_age(message.age)
    elif isinstance(message, TokenRequest | TokenGrant):
        _check_tokens(message)
    return message


def _check_place(config: EncodedConfig) -> None:
    """Raise `ValueError` where a number could be no place in a store's history."""
    if not (NO_EPOCH <= config.epoch < _MOST and 0 <= config.revision < _MOST):
        raise ValueError(f"no place: {config.epoch}, {config.revision}")


def _check_version(version: int) -> None:
    """Raise `ValueError` unless a number may be a version."""
    if not 0 <= version < _MOST:
        raise ValueError(f"version out of range: {version}")


def _check_call(call: Call) -> None:
    """Raise `ValueError` where a field would make no sense to whoever uses it."""
    if not -_MOST < call.time_left < _MOST:
        raise ValueError(f"time left out of range: {call.time_left}")
    if len(call.fingerprint) != FINGERPRINT_BYTES:
        raise ValueError(f"fingerprint of {len(call.fingerprint)} bytes")


def _check_tokens(message: TokenRequest | TokenGrant) -> None:
    """Raise `ValueError` where a number could be no count or no time."""
    if not 0 <= message.tokens < _MOST:
        raise ValueError(f"tokens out of range: {message.tokens}")
    if isinstance(message, TokenGrant):
        _check_age(message.wait)


def _report(kind: int, rest: list[object]) -> Message:
    """Return a report about requests that crash servers."""
    match kind, rest:
        case int(), [str() as incarnation, str() as service, age, bytes() as joined]:
            _check_age(age)
            prints = frozenset(_fingerprints(joined))
            return Crash(incarnation, service, age, prints)  # type: ignore[arg-type]
        case int(), [bytes() as fingerprint, str() as service, int() as crashes, age]:
            _check_age(age)
            if not 0 <= crashes < _MOST:
                raise ValueError(f"crashes out of range: {crashes}")
            (fingerprint,) = _fingerprints(fingerprint)
            return HeldRequest(fingerprint, service, crashes, age)  # type: ignore[arg-type]
        case int(), [bytes() as joined]:
            return Cleared(tuple(_fingerprints(joined)))
    raise ValueError(f"no report: {kind}")


def _check_age(age: object) -> None:
    """Raise `ValueError` unless a number may be an age in milliseconds."""
    if not 0 <= age < _MOST:  # type: ignore[operator]
        raise ValueError(f"age out of range: {age}")


def _fingerprints(joined: bytes) -> list[bytes]:
    """Return the fingerprints that stand one after the other."""
    if len(joined) % FINGERPRINT_BYTES:
        raise ValueError(f"{len(joined)} bytes are no whole fingerprints")
    places = range(0, len(joined), FINGERPRINT_BYTES)
    return [joined[at : at + FINGERPRINT_BYTES] for at in places]


def _check_types(kind: int, rest: list[object]) -> None:
    """Raise `TypeError` unless the fields of a message have its types.

    Those seen before are found by one look-up, since each call and reply comes here.
    """
    types = tuple(map(type, rest))
    if (kind, types) in _SEEN_TYPES:
        return
    expected = _TYPES[kind]
    if len(types) != len(expected):
        raise TypeError(f"{len(types)} fields where {len(expected)} were expected")
    for place, (found, allowed) in enumerate(zip(types, expected, strict=True)):
        if found not in allowed:
            raise TypeError(f"field {place}: {found.__name__} was not expected")
    _SEEN_TYPES.add((kind, types))


def _check_status(status: Status) -> None:
    """Raise `ValueError` where a number would make no sense to whoever uses it."""
    if not (
        0 <= status.limit < _MOST
        and 0 <= status.load < _MOST
        and 0 <= status.offered < _MOST
        and 0 <= status.failing <= 1
        and 0 <= status.version < _MOST
        and 0 <= status.service_ms < _MOST
        and NO_EPOCH <= status.epoch < _MOST
    ):
        raise ValueError(f"a number is out of range: {status}")


# No number that a node tells of a load, a time or a revision comes near it.
_MOST = 2**53
_TEXT, _BYTES, _WHOLE, _TRUTH = (str,), (bytes,), (int,), (bool,)
_NUMBER = (float, int)
_BELOW = (_WHOLE, _WHOLE, _WHOLE, _NUMBER, _WHOLE, _TRUTH)
# Types that each field of a message may have, by its kind. A truth value is no number,
# so exact types are compared.
_TYPES: dict[int, tuple[tuple[type, ...], ...]] = {
    _HELLO: (*5 * (_TEXT,), _TRUTH, _WHOLE),
    _STATUS: (_TEXT, _WHOLE, _WHOLE, _NUMBER, _NUMBER, _TRUTH, *4 * (_WHOLE,)),
    _CALL: (
        *(_WHOLE, _TEXT, _BYTES, _BYTES, _NUMBER, _WHOLE, _WHOLE),
        *3 * (_TRUTH,),
        _WHOLE,
        _TRUTH,
        *2 * (_TEXT,),
        _BYTES,
    ),
    _CANCEL: (_WHOLE,),
    _PING: (),
    _PONG: (),
    _WANTED: (),
    _CONFIG: (_WHOLE, _WHOLE, _BYTES),
    _CRASH: (_TEXT, _TEXT, _NUMBER, _BYTES),
    _HELD: (_BYTES, _TEXT, _WHOLE, _NUMBER),
    _CLEARED: (_BYTES,),
    _AGE_WANTED: (_WHOLE,),
    _AGE: (_WHOLE, _WHOLE, _NUMBER),
    _TOKENS_WANTED: (_WHOLE, _TEXT, _WHOLE),
    _TOKENS_GRANTED: (_WHOLE, _TEXT, _WHOLE, _NUMBER, _TRUTH),
    _ANSWERED: (*_BELOW, _WHOLE, *3 * (_BYTES,)),
    _NOT_RUN: (*_BELOW, _TEXT, _TRUTH),
    _MAY_HAVE_RUN: (*_BELOW, _TEXT),
}
# Kinds and types that were found right; as many as messages have ways to be written.
_SEEN_TYPES: set[tuple[int, tuple[type, ...]]] = set()
_KINDS = {
    _HELLO: Hello,
    _STATUS: Status,
    _CALL: Call,
    _CANCEL: Cancel,
    _PING: Ping,
    _PONG: Pong,
    _WANTED: ConfigQuery,
    _CONFIG: EncodedConfig,
    _AGE_WANTED: StalenessQuery,
    _AGE: StalenessReply,
    _TOKENS_WANTED: TokenRequest,
    _TOKENS_GRANTED: TokenGrant,
}
_REPORTS = frozenset({_CRASH, _HELD, _CLEARED})
_OUTCOMES = {_ANSWERED: Answered, _NOT_RUN: NotRun, _MAY_HAVE_RUN: MayHaveRun}


class FrameReader:
    """Cuts the bytes of a link into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Take in bytes and return the messages that they complete.

        A `Hello` ends what is returned, since it says how to read what follows.

        Raises
        ------
        BadFrame
            If they are no frames; the link has to be closed.
        """
        buffer = self._buffer
        buffer += data
        messages: list[Message] = []
        start = 0
        while len(buffer) - start >= _PREFIX_BYTES:
            body = start + _PREFIX_BYTES
            size = int.from_bytes(buffer[start:body], "big")
            if size > MAX_FRAME_BYTES:
                raise BadFrame(f"frame of {size} bytes, at most {MAX_FRAME_BYTES}")
            if len(buffer) < body + size:
                break
            message = decode(bytes(buffer[body : body + size]))
            messages.append(message)
            start = body + size
            if isinstance(message, Hello):
                break
        del buffer[:start]
        return messages

    def take_rest(self) -> bytes:
        """Return and forget the bytes that are in no message yet."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest
