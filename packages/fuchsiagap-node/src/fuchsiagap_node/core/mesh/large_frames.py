"""Frames with a large body, encoded and decoded without further copies of the body.

The format is that of `frames`: an array of fields in CBOR, of which one is the body.
"""

from __future__ import annotations

from typing import NamedTuple

import cbor2

# Minimum size of a body that is handled by this module. The body of a smaller frame is
# copied, which costs less than to treat it separately.
LARGE_BODY_BYTES = 65_536
# Major types of CBOR items.
_UNSIGNED, _BYTES, _TEXT, _ARRAY, _SIMPLE = 0, 2, 3, 4, 7
# First additional information values that state 1, and 8, bytes of length or value.
_ONE_BYTE, _EIGHT_BYTES = 24, 27
_EMPTY_BYTES = b"\x40"


class _Item(NamedTuple):
    """Position of a CBOR item that contains no other items.

    Parameters
    ----------
    major : int
        Major type.
    value : int
        Value of an integer, or length of a string.
    content : int
        Index of the first byte after the initial bytes.
    end : int
        Index of the first byte after the item.
    """

    major: int
    value: int
    content: int
    end: int


def encode_parts(fields: list[object], body: bytes) -> list[bytes]:
    """Encode fields as CBOR, in parts of which one is the large body itself.

    Parameters
    ----------
    fields : list of object
        Fields of a message, fewer than 24.
    body : bytes
        The field that is not copied, of fewer than 2 to the power of 32 bytes.
    """
    at = next(index for index, field in enumerate(fields) if field is body)
    before = [bytes([_ARRAY << 5 | len(fields)]), *map(cbor2.dumps, fields[:at])]
    before.append(bytes([_BYTES << 5 | 26]) + len(body).to_bytes(4, "big"))
    return [b"".join(before), body, b"".join(map(cbor2.dumps, fields[at + 1 :]))]


def decode_fields(payload: memoryview) -> list[object]:
    """Decode an array of fields, copying a large byte string only once.

    Parameters
    ----------
    payload : memoryview
        Encoded array.

    Raises
    ------
    ValueError, IndexError
        If the payload is not an array of fewer than 24 simple items.
    """
    n_fields = _count_fields(payload)
    position = 1
    for index in range(n_fields):
        item = _read_item(payload, position)
        if item.major == _BYTES and item.value >= LARGE_BODY_BYTES:
            before, after = bytes(payload[:position]), bytes(payload[item.end :])
            fields: list[object] = cbor2.loads(before + _EMPTY_BYTES + after)
            fields[index] = bytes(payload[item.content : item.end])
            return fields
        position = item.end
    return list(cbor2.loads(bytes(payload)))


def read_integers(payload: memoryview, n: int) -> list[int]:
    """Return the first fields of an array, which have to be unsigned integers.

    Parameters
    ----------
    payload : memoryview
        Beginning of the encoded array.
    n : int
        Number of fields.

    Raises
    ------
    ValueError, IndexError
        If the payload does not begin with an array of `n` such integers.
    """
    _count_fields(payload)
    position = 1
    numbers = []
    for _ in range(n):
        item = _read_item(payload, position)
        if item.major != _UNSIGNED:
            raise ValueError(f"item of major type {item.major} in place of a number")
        numbers.append(item.value)
        position = item.end
    return numbers


def _count_fields(payload: memoryview) -> int:
    n_fields = payload[0] & 31
    if payload[0] >> 5 != _ARRAY or n_fields >= _ONE_BYTE:
        raise ValueError(f"initial byte {payload[0]:#x} in place of a short array")
    return n_fields


def _read_item(payload: memoryview, position: int) -> _Item:
    major, value = payload[position] >> 5, payload[position] & 31
    content = position + 1
    if _ONE_BYTE <= value <= _EIGHT_BYTES:
        size = 1 << (value - _ONE_BYTE)
        value = int.from_bytes(payload[content : content + size], "big")
        content += size
    if major in (_BYTES, _TEXT):
        end = content + value
    elif major in (_UNSIGNED, 1, _SIMPLE):
        end = content
    else:
        raise ValueError(f"nested item of major type {major}")
    if end > len(payload):
        raise IndexError(f"item ends at {end} of {len(payload)} bytes")
    return _Item(major, value, content, end)
