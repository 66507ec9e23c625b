"""Encoding of messages between nodes: length-prefixed CBOR on a TCP connection.

Links use plain frames instead of websockets: on the request path the websocket layer
costs as much as everything else that a link does, and a link carries no other protocol.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple, TypeAlias, cast

import cbor2

from fuchsiagap.core.backend_queue.departures import Departure
from fuchsiagap.core.backend_queue.server_load import NO_SPEED
from fuchsiagap.core.freshness.store_view import NO_EPOCH
from fuchsiagap.core.quarantine.fingerprint import FINGERPRINT_BYTES
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest
from fuchsiagap.core.retries.rank_coverage import N_SAMPLING_KEYS
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES, read_integers
from fuchsiagap_node.core.mesh.large_frames import decode_fields as decode_large
from fuchsiagap_node.core.mesh.large_frames import encode_parts as encode_large
from fuchsiagap_node.core.mesh.messages import (
    NO_CALLS,
    NO_RATE,
    PROTOCOL,
    Call,
    Cancel,
    Cleared,
    ConfigQuery,
    DepartureReceipt,
    DownstreamSummary,
    EncodedConfig,
    Hello,
    Message,
    NoticeReport,
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

# Maximum size of a frame: a body at the default limit of 64 MB and its head.
MAX_FRAME_BYTES = 80_000_000
# Maximum size of a frame without a body of a request or response, such as a
# configuration.
MAX_CONTROL_FRAME_BYTES = 16_777_216
_PREFIX_BYTES = 4
# Bytes after which the kind and the call of a message are known.
_MIN_HEAD_BYTES = 32
# Offered load is sent in replies as an integer of tenths of a slot: a small integer
# takes 2 bytes where a float takes 9, and most of a reply is its head.
_OFFERED_SCALE = 10

# Index of the protocol version among the fields of a `Hello`; it is the last one.
_PROTOCOL_INDEX = 6
_HELLO, _STATUS, _CALL, _CANCEL, _PING, _PONG, _CONFIG_QUERY, _ENCODED_CONFIG = range(8)
_CRASH, _HELD = 8, 9
_ANSWERED, _NOT_RUN, _MAY_HAVE_RUN = range(10, 13)
_CLEARED = 13
_STALENESS_QUERY, _STALENESS_REPLY, _TOKEN_REQUEST, _TOKEN_GRANT = range(14, 18)
_NOTICE_REPORT = 18
_DEPARTURE, _DEPARTURE_RECEIPT = 19, 20
# Start time in the departure of a server that does not state it.
_NO_START = 0


class DroppedCall(NamedTuple):
    """A call that was skipped, because there is no memory for its body.

    Parameters
    ----------
    call_id : int
        Identifier of the call.
    """

    call_id: int


class DroppedAnswer(NamedTuple):
    """An answer that was skipped, because there is no memory for its body.

    Parameters
    ----------
    call_id : int
        Identifier of the call that was answered.
    """

    call_id: int


Dropped: TypeAlias = DroppedCall | DroppedAnswer


class BadFrame(Exception):
    """A frame that is not a valid message."""


def encode(message: Message, level: int = 0) -> bytes:
    """Encode a message as a frame with its length prefix.

    Parameters
    ----------
    message : Message
        The message.
    level : int, default=0
        Level of extension that the receiver understands; see `message_level`. Fields
        beyond it are left out, and so are those that have their defaults.
    """
    fields = _encode_fields(message)
    if level > 0:
        fields += _encode_extension(message)
    payload = cbor2.dumps(fields)
    return len(payload).to_bytes(_PREFIX_BYTES, "big") + payload


def encode_parts(message: Message, level: int = 0) -> list[bytes]:
    """Encode a message as a frame in parts, of which a large body is one by itself."""
    match message:
        case Call(body=bytes() as body) | Reply(outcome=Answered(body=bytes() as body)):
            if len(body) < LARGE_BODY_BYTES:
                return [encode(message, level)]
        case _:
            return [encode(message, level)]
    fields = _encode_fields(message)
    if level > 0:
        fields += _encode_extension(message)
    before, body, after = encode_large(fields, body)
    size = len(before) + len(body) + len(after)
    return [size.to_bytes(_PREFIX_BYTES, "big") + before, body, after]


def _encode_extension(message: Message) -> list[object]:
    """Return the fields that level 1 adds at the end; empty if all are defaults."""
    match message:
        case Reply(_, _, _, _, downstream, speed):
            covered_keys = downstream.covered_keys
            if speed != NO_SPEED or covered_keys != N_SAMPLING_KEYS:
                return [speed, covered_keys]
        case Status() as m:
            if m.speed != NO_SPEED or m.refusing:
                return [m.speed, m.refusing]
    return []


def _encode_fields(message: Message) -> list[object]:
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
            return _encode_reply(reply)
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
            return [_CONFIG_QUERY]
        case EncodedConfig(epoch, revision, text):
            return [_ENCODED_CONFIG, epoch, revision, text]
        case Crash(incarnation, service, age, fingerprints):
            return [_CRASH, incarnation, service, age, b"".join(sorted(fingerprints))]
        case HeldRequest(fingerprint, service, crashes, age):
            return [_HELD, fingerprint, service, crashes, age]
        case Cleared(fingerprints):
            return [_CLEARED, b"".join(fingerprints)]
        case StalenessQuery(query_id):
            return [_STALENESS_QUERY, query_id]
        case StalenessReply(query_id, version, age):
            return [_STALENESS_REPLY, query_id, version, age]
        case TokenRequest(query_id, workspace, tokens):
            return [_TOKEN_REQUEST, query_id, workspace, tokens]
        case TokenGrant(query_id, workspace, tokens, wait, is_owner):
            return [_TOKEN_GRANT, query_id, workspace, tokens, wait, is_owner]
        case NoticeReport(instance, rate, is_leaving):
            return [_NOTICE_REPORT, instance, rate, is_leaving]
        case Departure(node, instance, born, is_revoked):
            start = _NO_START if born is None else born
            return [_DEPARTURE, node, instance, start, is_revoked]
        case DepartureReceipt(instance):
            return [_DEPARTURE_RECEIPT, instance]


def _encode_reply(reply: Reply) -> list[object]:
    call_id, outcome, load, offered, downstream, _ = reply
    fullness, calls, failed, _ = downstream
    common = [call_id, load, round(offered * _OFFERED_SCALE), fullness, calls, failed]
    match outcome:
        case Answered(status, reason, headers, body):
            return [_ANSWERED, *common, status, reason, headers, body]
        case NotRun(why, was_offered):
            return [_NOT_RUN, *common, why, was_offered]
        case MayHaveRun(why):
            return [_MAY_HAVE_RUN, *common, why]


def decode(payload: bytes | memoryview) -> Message:
    """Decode the payload of a frame.

    Parameters
    ----------
    payload : bytes or memoryview
        Frame without its length prefix; a view for one that may have a large body.

    Raises
    ------
    BadFrame
        If the payload is not a valid message.
    """
    try:
        if isinstance(payload, memoryview):
            fields: list[Any] = decode_large(payload)
        else:
            fields = cbor2.loads(payload)
        return _decode_fields(fields[0], fields[1:])
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


def _decode_fields(kind: int, rest: list[object]) -> Message:
    if kind == _HELLO and rest[_PROTOCOL_INDEX:] != [PROTOCOL]:
        raise ValueError(f"protocol {rest[_PROTOCOL_INDEX:]} instead of {PROTOCOL}")
    is_extended = _check_types(kind, rest)
    if kind in _CRASH_REPORT_KINDS:
        return _decode_crash_report(kind, rest)
    if kind in _OUTCOME_CLASSES:
        speed, covered_keys = NO_SPEED, N_SAMPLING_KEYS
        if is_extended:
            *rest, speed, covered_keys = rest  # type: ignore[assignment]
        call_id, load, offered, fullness, calls, failed, *outcome = rest
        call_outcome = _OUTCOME_CLASSES[kind](*outcome)  # type: ignore[arg-type]
        if not (
            0 <= load < _MAX_NUMBER  # type: ignore[operator]
            and 0 <= offered < _MAX_NUMBER  # type: ignore[operator]
            and NO_CALLS <= fullness < _MAX_NUMBER  # type: ignore[operator]
            and 0 <= calls < _MAX_NUMBER  # type: ignore[operator]
            and 0 <= speed < _MAX_NUMBER
            and 0 <= covered_keys <= N_SAMPLING_KEYS
        ):
            found = [*rest[1:5], speed, covered_keys]
            raise ValueError(f"number of a reply out of range: {found}")
        offered_slots = offered / _OFFERED_SCALE  # type: ignore[operator]
        downstream = DownstreamSummary(fullness, calls, failed, covered_keys)  # type: ignore[arg-type]
        return Reply(call_id, call_outcome, load, offered_slots, downstream, speed)  # type: ignore[arg-type]
    message = cast("Message", _MESSAGE_CLASSES[kind](*rest))
    if isinstance(message, Status):
        _check_status(message)
        return replace(message, update_source=UpdateSource(message.update_source))
    if isinstance(message, Call):
        _check_call(message)
    elif isinstance(message, EncodedConfig):
        _check_config_position(message)
    elif isinstance(message, StalenessReply):
        _check_version(message.version)
        _check_age(message.age)
    elif isinstance(message, TokenRequest | TokenGrant):
        _check_tokens(message)
    elif isinstance(message, NoticeReport):
        _check_notice(message)
    elif isinstance(message, Departure):
        return _read_departure(message)
    return message


def _read_departure(departure: Departure) -> Departure:
    """Return a departure with its start time; raise `ValueError` if out of range."""
    if departure.born == _NO_START:
        return replace(departure, born=None)
    if not 0 < departure.born < _MAX_NUMBER:  # type: ignore[operator]
        raise ValueError(f"start time out of range: {departure.born}")
    return departure


def _check_notice(report: NoticeReport) -> None:
    """Raise `ValueError` unless the rate is in range or absent."""
    if report.rate != NO_RATE and not 0 <= report.rate < _MAX_NUMBER:
        raise ValueError(f"rate out of range: {report.rate}")


def _check_config_position(config: EncodedConfig) -> None:
    """Raise `ValueError` unless the position in the store's history is valid."""
    if not (
        NO_EPOCH <= config.epoch < _MAX_NUMBER and 0 <= config.revision < _MAX_NUMBER
    ):
        raise ValueError(
            f"store position out of range: {config.epoch}, {config.revision}"
        )


def _check_version(version: int) -> None:
    """Raise `ValueError` unless a version is in range."""
    if not 0 <= version < _MAX_NUMBER:
        raise ValueError(f"version out of range: {version}")


def _check_call(call: Call) -> None:
    """Raise `ValueError` unless the time left and the fingerprint are valid."""
    if not -_MAX_NUMBER < call.time_left < _MAX_NUMBER:
        raise ValueError(f"time left out of range: {call.time_left}")
    if len(call.fingerprint) != FINGERPRINT_BYTES:
        raise ValueError(f"fingerprint of {len(call.fingerprint)} bytes")


def _check_tokens(message: TokenRequest | TokenGrant) -> None:
    """Raise `ValueError` unless the token count and the wait are in range."""
    if not 0 <= message.tokens < _MAX_NUMBER:
        raise ValueError(f"tokens out of range: {message.tokens}")
    if isinstance(message, TokenGrant):
        _check_age(message.wait)


def _decode_crash_report(kind: int, rest: list[object]) -> Message:
    """Decode a report about requests that crash backend servers."""
    match kind, rest:
        case int(), [str() as incarnation, str() as service, age, bytes() as joined]:
            _check_age(age)
            fingerprints = frozenset(_fingerprints(joined))
            return Crash(incarnation, service, age, fingerprints)  # type: ignore[arg-type]
        case int(), [bytes() as fingerprint, str() as service, int() as crashes, age]:
            _check_age(age)
            if not 0 <= crashes < _MAX_NUMBER:
                raise ValueError(f"crashes out of range: {crashes}")
            (fingerprint,) = _fingerprints(fingerprint)
            return HeldRequest(fingerprint, service, crashes, age)  # type: ignore[arg-type]
        case int(), [bytes() as joined]:
            return Cleared(tuple(_fingerprints(joined)))
    raise ValueError(f"invalid crash report of kind {kind}")


def _check_age(age: object) -> None:
    """Raise `ValueError` unless an age in milliseconds is in range."""
    if not 0 <= age < _MAX_NUMBER:  # type: ignore[operator]
        raise ValueError(f"age out of range: {age}")


def _fingerprints(joined: bytes) -> list[bytes]:
    """Split concatenated fingerprints."""
    if len(joined) % FINGERPRINT_BYTES:
        raise ValueError(f"truncated fingerprint: {len(joined)} bytes in total")
    offsets = range(0, len(joined), FINGERPRINT_BYTES)
    return [joined[at : at + FINGERPRINT_BYTES] for at in offsets]


def _check_types(kind: int, rest: list[object]) -> bool:
    """Return whether a message has the fields of its extension.

    Valid combinations are cached, because every call and reply is checked here. Raises
    `TypeError` if the fields do not have the types of their message.
    """
    types = tuple(map(type, rest))
    is_extended = _VALIDATED_TYPES.get((kind, types))
    if is_extended is not None:
        return is_extended
    expected = _TYPES[kind]
    extension = _EXTENSION_TYPES.get(kind, ())
    is_extended = bool(extension) and len(types) == len(expected) + len(extension)
    if is_extended:
        expected += extension
    if len(types) != len(expected):
        raise TypeError(f"{len(types)} fields instead of {len(expected)}")
    for index, (found, allowed) in enumerate(zip(types, expected, strict=True)):
        if found not in allowed:
            raise TypeError(f"field {index}: unexpected type {found.__name__}")
    _VALIDATED_TYPES[kind, types] = is_extended
    return is_extended


def _check_status(status: Status) -> None:
    """Raise `ValueError` unless all numbers of a status are in range."""
    if not (
        0 <= status.limit < _MAX_NUMBER
        and 0 <= status.load < _MAX_NUMBER
        and 0 <= status.offered < _MAX_NUMBER
        and 0 <= status.failing <= 1
        and 0 <= status.version < _MAX_NUMBER
        and 0 <= status.service_ms < _MAX_NUMBER
        and NO_EPOCH <= status.epoch < _MAX_NUMBER
        and 0 <= status.speed < _MAX_NUMBER
        and 0 <= status.refusing <= 1
    ):
        raise ValueError(f"number of a status out of range: {status}")


# Exclusive upper bound of all loads, times, versions and revisions that nodes exchange,
# far above any that occur.
_MAX_NUMBER = 2**53
_STR, _BYTES, _INT, _BOOL = (str,), (bytes,), (int,), (bool,)
_NUMBER = (float, int)
_REPLY_PREFIX = (_INT, _INT, _INT, _NUMBER, _INT, _BOOL)
# Allowed types of each field of a message, by message kind. Exact types are compared,
# because `bool` is a subclass of `int`.
_TYPES: dict[int, tuple[tuple[type, ...], ...]] = {
    _HELLO: (*5 * (_STR,), _BOOL, _INT),
    _STATUS: (_STR, _INT, _INT, _NUMBER, _NUMBER, _BOOL, *4 * (_INT,)),
    _CALL: (
        *(_INT, _STR, _BYTES, _BYTES, _NUMBER, _INT, _INT),
        *3 * (_BOOL,),
        _INT,
        _BOOL,
        *2 * (_STR,),
        _BYTES,
    ),
    _CANCEL: (_INT,),
    _PING: (),
    _PONG: (),
    _CONFIG_QUERY: (),
    _ENCODED_CONFIG: (_INT, _INT, _BYTES),
    _CRASH: (_STR, _STR, _NUMBER, _BYTES),
    _HELD: (_BYTES, _STR, _INT, _NUMBER),
    _CLEARED: (_BYTES,),
    _STALENESS_QUERY: (_INT,),
    _STALENESS_REPLY: (_INT, _INT, _NUMBER),
    _TOKEN_REQUEST: (_INT, _STR, _INT),
    _TOKEN_GRANT: (_INT, _STR, _INT, _NUMBER, _BOOL),
    _NOTICE_REPORT: (_STR, _NUMBER, _BOOL),
    _DEPARTURE: (_STR, _STR, _INT, _BOOL),
    _DEPARTURE_RECEIPT: (_STR,),
    _ANSWERED: (*_REPLY_PREFIX, _INT, *3 * (_BYTES,)),
    _NOT_RUN: (*_REPLY_PREFIX, _STR, _BOOL),
    _MAY_HAVE_RUN: (*_REPLY_PREFIX, _STR),
}
# Types of the fields that level 1 adds at the end of messages.
_REPLY_EXTENSION = (_INT, _INT)
_EXTENSION_TYPES: dict[int, tuple[tuple[type, ...], ...]] = {
    _STATUS: (_INT, _NUMBER),
    _ANSWERED: _REPLY_EXTENSION,
    _NOT_RUN: _REPLY_EXTENSION,
    _MAY_HAVE_RUN: _REPLY_EXTENSION,
}
# Valid combinations of kind and field types, and whether they have the fields of the
# extension. The size of the cache is bounded, since only valid combinations are added.
_VALIDATED_TYPES: dict[tuple[int, tuple[type, ...]], bool] = {}
_MESSAGE_CLASSES = {
    _HELLO: Hello,
    _STATUS: Status,
    _CALL: Call,
    _CANCEL: Cancel,
    _PING: Ping,
    _PONG: Pong,
    _CONFIG_QUERY: ConfigQuery,
    _ENCODED_CONFIG: EncodedConfig,
    _STALENESS_QUERY: StalenessQuery,
    _STALENESS_REPLY: StalenessReply,
    _TOKEN_REQUEST: TokenRequest,
    _TOKEN_GRANT: TokenGrant,
    _NOTICE_REPORT: NoticeReport,
    _DEPARTURE: Departure,
    _DEPARTURE_RECEIPT: DepartureReceipt,
}
_CRASH_REPORT_KINDS = frozenset({_CRASH, _HELD, _CLEARED})
_OUTCOME_CLASSES = {_ANSWERED: Answered, _NOT_RUN: NotRun, _MAY_HAVE_RUN: MayHaveRun}


class FrameReader:
    """Incremental parser of the messages on one link.

    Parameters
    ----------
    memory : BodyMemory, optional
        Memory for bodies; by default unlimited. A large call or answer that does not
        fit is skipped.
    """

    def __init__(self, memory: BodyMemory | None = None) -> None:
        self._buffer = bytearray()
        self._memory = memory or BodyMemory()
        self._n_held = 0
        self._n_skipped = 0

    def feed(self, data: bytes) -> list[Message | Dropped]:
        """Parse data and return the messages that it completes.

        Parsing stops after a `Hello`, because it determines how the rest is encoded. A
        skipped message is returned as soon as that is known.

        Parameters
        ----------
        data : bytes
            Received bytes.

        Raises
        ------
        BadFrame
            If the data is not a valid message; the link has to be closed.
        """
        buffer = self._buffer
        if self._n_skipped:
            data = self._skip(data)
        buffer += data
        messages: list[Message | Dropped] = []
        start = 0
        while len(buffer) - start >= _PREFIX_BYTES:
            body = start + _PREFIX_BYTES
            size = int.from_bytes(buffer[start:body], "big")
            if size > MAX_FRAME_BYTES:
                raise BadFrame(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes")
            if len(buffer) < body + size:
                if size >= LARGE_BODY_BYTES and not self._n_held:
                    dropped = self._hold_or_drop(body, size)
                    if dropped is not None:
                        messages.append(dropped)
                        self._n_skipped = body + size - len(buffer)
                        start = len(buffer)
                break
            self._release()
            if size < LARGE_BODY_BYTES:
                message = decode(bytes(buffer[body : body + size]))
            else:
                with memoryview(buffer) as view, view[body : body + size] as payload:
                    message = decode(payload)
            messages.append(message)
            start = body + size
            if isinstance(message, Hello):
                break
        del buffer[:start]
        return messages

    def _hold_or_drop(self, body: int, size: int) -> Dropped | None:
        """Reserve memory for an incomplete frame; return it if it has to be skipped.

        Parameters
        ----------
        body : int
            Index of the frame's content in the buffer.
        size : int
            Number of bytes of the content.

        Raises
        ------
        BadFrame
            If it carries no body and is larger than such a frame may be.
        """
        if len(self._buffer) - body < _MIN_HEAD_BYTES:
            return None
        head = memoryview(bytes(self._buffer[body : body + _MIN_HEAD_BYTES]))
        try:
            kind, call_id = read_integers(head, 2)
        except (ValueError, IndexError):
            kind = call_id = -1
        if kind not in (_CALL, _ANSWERED) and size > MAX_CONTROL_FRAME_BYTES:
            raise BadFrame(
                f"frame of kind {kind} and {size} bytes exceeds "
                f"{MAX_CONTROL_FRAME_BYTES} bytes"
            )
        if not self._memory.fits(size):
            if kind == _CALL:
                return DroppedCall(call_id)
            if kind == _ANSWERED:
                return DroppedAnswer(call_id)
        self._memory.hold(size)
        self._n_held = size
        return None

    def _skip(self, data: bytes) -> bytes:
        """Skip the rest of a dropped frame; return the data after it."""
        n_skipped = min(self._n_skipped, len(data))
        self._n_skipped -= n_skipped
        return data[n_skipped:]

    def _release(self) -> None:
        self._memory.release(self._n_held)
        self._n_held = 0

    def close(self) -> None:
        """Drop what has not been parsed."""
        self._buffer = bytearray()
        self._release()

    def take_rest(self) -> bytes:
        """Remove and return the bytes that have not been parsed."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest
