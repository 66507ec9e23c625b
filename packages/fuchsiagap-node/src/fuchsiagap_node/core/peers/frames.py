"""Frames on a link, and the fragmentation of long messages.

A frame is the CBOR array ``[kind, number, time, payload]``. A message longer than
`MAX_FRAGMENT_BYTES` is sent in fragments, so that a large body cannot block the link;
the last fragment carries the length and checksum of the whole message.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Any

import cbor2

from fuchsiagap_node.core.wire.codec import MalformedFrame, load_cbor

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FRAGMENT_BYTES = 64 * 1024


class FrameKind(IntEnum):
    """What a frame carries; the values are its numbers on the wire."""

    REQUEST = 1
    REPLY = 2
    NOTIFICATION = 3
    CANCEL = 4
    FRAGMENT = 5
    LAST_FRAGMENT = 6


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame as it is sent on a link.

    Parameters
    ----------
    kind : FrameKind
        What the frame carries.
    number : int
        Associates a reply or a cancellation with its request; the sender of a request
        assigns increasing numbers. A fragment carries its `fragment_stream` instead.
    time : int
        Reading of the sender's hybrid logical clock.
    payload : object
        Plain CBOR values.
    """

    kind: FrameKind
    number: int
    time: int
    payload: Any


def encode_frames(frame: Frame) -> Iterator[bytes]:
    """Yield the encoded frame, or its encoded fragments if it is long."""
    data = cbor2.dumps([int(frame.kind), frame.number, frame.time, frame.payload])
    if len(data) <= MAX_FRAGMENT_BYTES:
        yield data
        return
    check = [len(data), zlib.crc32(data)]
    stream = fragment_stream(frame.number, is_reply=frame.kind is FrameKind.REPLY)
    for start in range(0, len(data), MAX_FRAGMENT_BYTES):
        fragment = data[start : start + MAX_FRAGMENT_BYTES]
        last = start + MAX_FRAGMENT_BYTES >= len(data)
        kind = FrameKind.LAST_FRAGMENT if last else FrameKind.FRAGMENT
        yield cbor2.dumps(
            [int(kind), stream, 0, [fragment, *check] if last else fragment]
        )


def fragment_stream(number: int, *, is_reply: bool) -> int:
    """Return the stream number that a message's fragments carry.

    A request and the reply to a request of the other side may have the same number;
    their streams differ.
    """
    return number * 2 + is_reply


def decode_frame(data: bytes) -> Frame | MalformedFrame:
    """Decode a frame; return what is wrong with the bytes if it is malformed."""
    value = load_cbor(data)
    if isinstance(value, MalformedFrame):
        return value
    if not isinstance(value, list) or len(value) != 4:
        return MalformedFrame("expected an array of kind, number, time and payload")
    kind, number, time, payload = value
    if type(kind) is not int or type(number) is not int or type(time) is not int:
        return MalformedFrame("kind, number and time must be integers")
    try:
        return Frame(FrameKind(kind), number, time, payload)
    except ValueError:
        return MalformedFrame(f"unknown frame kind {kind}")


@dataclass(slots=True)
class FragmentBuffer:
    """Reassembles messages from their fragments.

    Parameters
    ----------
    max_bytes : int
        Limit on the buffered bytes of all messages of the link.
    """

    max_bytes: int
    _fragments: dict[int, list[bytes]] = field(default_factory=dict)
    _n_bytes: int = 0

    def drop(self, number: int) -> None:
        """Discard the fragments of a request that its sender has cancelled."""
        fragments = self._fragments.pop(fragment_stream(number, is_reply=False), [])
        self._n_bytes -= sum(map(len, fragments))

    def add(self, frame: Frame) -> Frame | MalformedFrame | None:
        """Add a fragment; return the whole frame once it is complete."""
        last = frame.kind is FrameKind.LAST_FRAGMENT
        payload = frame.payload if last else [frame.payload, 0, 0]
        if not isinstance(payload, list) or len(payload) != 3:
            return MalformedFrame("a last fragment needs data, length and checksum")
        fragment, length, checksum = payload
        if not isinstance(fragment, bytes):
            return MalformedFrame("a fragment must be bytes")
        self._n_bytes += len(fragment)
        if self._n_bytes > self.max_bytes:
            return MalformedFrame(f"fragments exceed {self.max_bytes} bytes per link")
        fragments = self._fragments.setdefault(frame.number, [])
        fragments.append(fragment)
        if not last:
            return None
        del self._fragments[frame.number]
        data = b"".join(fragments)
        self._n_bytes -= len(data)
        if len(data) != length or zlib.crc32(data) != checksum:
            return MalformedFrame("message does not match its length and checksum")
        return decode_frame(data)
