"""Frames on a link: what a message is for, and pieces of long ones.

A frame is the CBOR array ``[kind, number, time, payload]``. A message longer than
`MAX_FRAGMENT_BYTES` goes in pieces, so that a large body cannot hold the link; the last
piece bears length and checksum of the whole.
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
    """What a frame is for."""

    REQUEST = 1
    REPLY = 2
    NOTIFICATION = 3
    CANCEL = 4
    FRAGMENT = 5
    LAST_FRAGMENT = 6


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame.

    Parameters
    ----------
    kind : FrameKind
        What the frame is for.
    number : int
        Matches a reply, a cancellation or a piece with its message; the sender of
        an ask counts them up.
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
    """Yield the frame, or its pieces if it is long."""
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
    """Return the number of a message's pieces.

    An ask and the reply to one of the other side may share a number.
    """
    return number * 2 + is_reply


def decode_frame(data: bytes) -> Frame | MalformedFrame:
    """Return the frame that the bytes stand for."""
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
        return MalformedFrame(f"kind {kind} is unknown")


@dataclass(slots=True)
class FragmentBuffer:
    """Pieces of messages that are not whole yet.

    Parameters
    ----------
    max_bytes : int
        The most that may lie here over all messages of the link.
    """

    max_bytes: int
    _fragments: dict[int, list[bytes]] = field(default_factory=dict)
    _n_bytes: int = 0

    def drop(self, number: int) -> None:
        """Forget the pieces of an ask that its sender has given up."""
        fragments = self._fragments.pop(fragment_stream(number, is_reply=False), [])
        self._n_bytes -= sum(map(len, fragments))

    def add(self, frame: Frame) -> Frame | MalformedFrame | None:
        """Take a piece; return the whole frame once it is complete."""
        last = frame.kind is FrameKind.LAST_FRAGMENT
        payload = frame.payload if last else [frame.payload, 0, 0]
        if not isinstance(payload, list) or len(payload) != 3:
            return MalformedFrame("a last piece needs data, length and checksum")
        fragment, length, checksum = payload
        if not isinstance(fragment, bytes):
            return MalformedFrame("a piece must be bytes")
        self._n_bytes += len(fragment)
        if self._n_bytes > self.max_bytes:
            return MalformedFrame(f"pieces exceed {self.max_bytes} bytes on the link")
        fragments = self._fragments.setdefault(frame.number, [])
        fragments.append(fragment)
        if not last:
            return None
        del self._fragments[frame.number]
        data = b"".join(fragments)
        self._n_bytes -= len(data)
        if len(data) != length or zlib.crc32(data) != checksum:
            return MalformedFrame("pieces do not make the message that was sent")
        return decode_frame(data)
