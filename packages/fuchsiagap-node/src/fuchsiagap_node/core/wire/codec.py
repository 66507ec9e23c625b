"""CBOR encoding of the messages between nodes.

A message is a frozen data class registered with a tag. It is encoded as the array
``[tag, field, ...]``; nested data classes without a tag are encoded as arrays of
their fields. Decoding checks each value against the field's type, so that a malformed
frame becomes a `MalformedFrame` and never a partially filled message.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from typing import Any, TypeAlias, TypeVar

import cbor2

from fuchsiagap.core.calls.head import CallHead, Headers, ServiceName
from fuchsiagap.core.calls.outcome import Answered, LoadReport, Reason, Refused, Unknown
from fuchsiagap.core.clock import Milliseconds
from fuchsiagap.core.membership.member import Member
from fuchsiagap.core.tickets.ticket import Ticket

_Cls = TypeVar("_Cls", bound=type)
_Convert: TypeAlias = Callable[[Any], Any]

# Types that message modules import for type checking only; `message` resolves them.
_SHARED_NAMES: dict[str, Any] = {
    "Answered": Answered,
    "CallHead": CallHead,
    "Headers": Headers,
    "LoadReport": LoadReport,
    "Member": Member,
    "Milliseconds": Milliseconds,
    "Reason": Reason,
    "Refused": Refused,
    "ServiceName": ServiceName,
    "Ticket": Ticket,
    "Unknown": Unknown,
}
_SCALARS = (int, float, str, bytes, bool)


@dataclass(frozen=True, slots=True)
class MalformedFrame:
    """The reason why a frame could not be decoded.

    Parameters
    ----------
    detail : str
        The field, the expected value and the one received.
    """

    detail: str


class _ShapeError(Exception):
    """A value does not match the type of its field; never leaves this module."""


@dataclass(frozen=True, slots=True)
class _MessageCodec:
    """Encoder and decoder of a registered data class."""

    tag: int
    cls: type
    write: _Convert
    read: _Convert


_BY_TAG: dict[int, _MessageCodec] = {}
_BY_CLASS: dict[type, _MessageCodec] = {}


def message(tag: int, **names: Any) -> Callable[[_Cls], _Cls]:
    """Register a frozen data class as a message.

    Parameters
    ----------
    tag : int
        Number of the message on the wire, unique over all messages.
    **names
        Types in the annotations that the module imports for type checking only.

    Returns
    -------
    callable
        The class decorator.

    Raises
    ------
    ValueError
        If the tag is already in use.
    """

    def register(cls: _Cls) -> _Cls:
        if tag in _BY_TAG:
            raise ValueError(f"tag {tag} of {cls} is in use by {_BY_TAG[tag].cls}")
        names.setdefault(cls.__name__, cls)
        write, read = _class_converters(cls, {**_SHARED_NAMES, **names})
        codec = _MessageCodec(tag, cls, write, read)
        _BY_TAG[tag] = codec
        _BY_CLASS[cls] = codec
        return cls

    return register


def to_array(msg: object) -> list[Any]:
    """Convert a message to plain values, its tag first."""
    codec = _BY_CLASS[type(msg)]
    return [codec.tag, *codec.write(msg)]


def from_array(value: Any) -> object | MalformedFrame:
    """Convert plain values to a message; return the reason if they do not match."""
    try:
        return _read_tagged(value)
    except _ShapeError as exc:
        return MalformedFrame(str(exc))


def encode(msg: object) -> bytes:
    """Encode a message as CBOR.

    Parameters
    ----------
    msg : object
        An instance of a registered data class.

    Returns
    -------
    bytes
        The frame.
    """
    return cbor2.dumps(to_array(msg))


def decode(frame: bytes) -> object | MalformedFrame:
    """Decode a CBOR frame.

    Parameters
    ----------
    frame : bytes
        Bytes received from a link.

    Returns
    -------
    object or MalformedFrame
        The message, or the reason why the frame is malformed.
    """
    value = load_cbor(frame)
    if isinstance(value, MalformedFrame):
        return value
    return from_array(value)


def load_cbor(frame: bytes) -> Any | MalformedFrame:
    """Return the plain values of a CBOR frame, or the reason if it is malformed."""
    try:
        return cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, RecursionError, TypeError) as exc:
        return MalformedFrame(f"the frame is not valid CBOR: {exc}")


def _read_tagged(value: Any) -> object:
    if not isinstance(value, (list, tuple)) or not value:
        raise _ShapeError(
            f"expected an array that starts with a tag, got {value!r:.60}"
        )
    # A boolean would find the codec of the equal integer.
    codec = _BY_TAG.get(value[0]) if type(value[0]) is int else None
    if codec is None:
        raise _ShapeError(f"unknown tag {value[0]!r:.60}")
    return codec.read(value[1:])


def _class_converters(
    cls: type, names: dict[str, Any]
) -> tuple[Callable[[Any], list[Any]], _Convert]:
    module = vars(__import__(cls.__module__, fromlist=["_"]))
    hints = typing.get_type_hints(cls, globalns={**names, **module}, localns=names)
    parts = []
    for field in fields(cls):
        write, read = _converters(hints[field.name], names)
        parts.append((field.name, write, read))
    return _class_writer(parts), _class_reader(cls, parts)


def _class_writer(
    parts: list[tuple[str, _Convert | None, _Convert]],
) -> Callable[[Any], list[Any]]:
    def write(msg: Any) -> list[Any]:
        return [
            getattr(msg, name) if conv is None else conv(getattr(msg, name))
            for name, conv, _ in parts
        ]

    return write


def _class_reader(
    cls: type, parts: list[tuple[str, _Convert | None, _Convert]]
) -> _Convert:
    n_fields = len(parts)

    def read(value: Any) -> Any:
        if not isinstance(value, (list, tuple)) or len(value) != n_fields:
            raise _ShapeError(
                f"{cls.__name__}: expected an array of {n_fields} fields, got"
                f" {value!r:.60}"
            )
        args = []
        for (name, _, conv), item in zip(parts, value, strict=True):
            try:
                args.append(conv(item))
            except _ShapeError as exc:
                raise _ShapeError(f"{cls.__name__}.{name}: {exc}") from None
        return cls(*args)

    return read


def _converters(hint: Any, names: dict[str, Any]) -> tuple[_Convert | None, _Convert]:
    """Return the writer and reader of a type; no writer if values are plain."""
    if hint in _SCALARS:
        return None, _scalar_reader(hint)
    if hint is type(None):
        return None, _read_none
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _write_enum, _enum_reader(hint)
    if hint in _BY_CLASS:
        codec = _BY_CLASS[hint]
        return codec.write, codec.read
    if isinstance(hint, type) and is_dataclass(hint):
        return _class_converters(hint, names)
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _tuple_converters(typing.get_args(hint), names)
    if origin in (typing.Union, types.UnionType):
        return _union_converters(typing.get_args(hint), names)
    raise TypeError(f"messages cannot carry {hint!r}")


def _scalar_reader(cls: type) -> _Convert:
    def read(value: Any) -> Any:
        if type(value) is cls:
            return value
        if cls is float and type(value) is int:
            return float(value)
        raise _ShapeError(f"expected {cls.__name__}, got {value!r:.60}")

    return read


def _read_none(value: Any) -> None:
    if value is not None:
        raise _ShapeError(f"expected null, got {value!r:.60}")


def _write_enum(value: Any) -> Any:
    return value.value


def _enum_reader(cls: type[Enum]) -> _Convert:
    by_value = {member.value: member for member in cls}

    def read(value: Any) -> Any:
        try:
            return by_value[value]
        except (KeyError, TypeError):
            known = ", ".join(map(repr, by_value))
            raise _ShapeError(f"expected one of {known}, got {value!r:.60}") from None

    return read


def _tuple_converters(
    args: tuple[Any, ...], names: dict[str, Any]
) -> tuple[_Convert | None, _Convert]:
    if len(args) == 2 and args[1] is Ellipsis:
        return _sequence_converters(*_converters(args[0], names))
    parts = [_converters(arg, names) for arg in args]
    n_items = len(parts)
    is_passthrough = all(write is None for write, _ in parts)

    def write(value: Any) -> Any:
        return [
            item if conv is None else conv(item)
            for (conv, _), item in zip(parts, value, strict=True)
        ]

    def read(value: Any) -> Any:
        if not isinstance(value, (list, tuple)) or len(value) != n_items:
            raise _ShapeError(f"expected {n_items} items, got {value!r:.60}")
        return tuple(conv(item) for (_, conv), item in zip(parts, value, strict=True))

    return (None if is_passthrough else write), read


def _sequence_converters(
    write_item: _Convert | None, read_item: _Convert
) -> tuple[_Convert | None, _Convert]:
    def write(value: Any) -> Any:
        assert write_item is not None
        return [write_item(item) for item in value]

    def read(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise _ShapeError(f"expected an array, got {value!r:.60}")
        return tuple(read_item(item) for item in value)

    return (None if write_item is None else write), read


def _union_converters(
    args: tuple[Any, ...], names: dict[str, Any]
) -> tuple[_Convert | None, _Convert]:
    """Return converters for ``X | None`` or a union of registered classes."""
    others = [arg for arg in args if arg is not type(None)]
    optional = len(others) < len(args)
    if len(others) == 1:
        write, read = _converters(others[0], names)
    else:
        write, read = to_array, _members_reader(tuple(others))
    if not optional:
        return write, read
    return (None if write is None else _optional(write)), _optional(read)


def _members_reader(members: tuple[type, ...]) -> _Convert:
    def read(value: Any) -> Any:
        msg = _read_tagged(value)
        if not isinstance(msg, members):
            expected = " or ".join(cls.__name__ for cls in members)
            raise _ShapeError(f"expected {expected}, got {type(msg).__name__}")
        return msg

    return read


def _optional(convert: _Convert) -> _Convert:
    def apply(value: Any) -> Any:
        return None if value is None else convert(value)

    return apply


message(1)(Answered)
message(2)(Refused)
message(3)(Unknown)
