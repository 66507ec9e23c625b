"""Bytes that are nearly right, for decoders."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# What decoders have been seen to stumble over, in JSON and in CBOR.
_FRAGMENTS = (
    b"null",
    b"true",
    b"1e999",
    b"-1",
    b"NaN",
    b'"4"',
    b"[[[[",
    b"{",
    b"}",
    b"\xff\xfe",
    b"\xf6",
    b"\xf5",
    b"\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00",
    b"\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
    b"\x81\x81\x81",
    b"\xbf",
    b"9" * 400,
)
_MAX_CHANGES = 4


def mutate(text: bytes, rng: random.Random) -> bytes:
    """Return bytes with a few changes: cut, doubled, replaced or put in.

    Parameters
    ----------
    text : bytes
        Bytes that are right.
    rng : random.Random
        Decides what is changed.
    """
    for _ in range(rng.randint(1, _MAX_CHANGES)):
        start = rng.randrange(len(text) + 1)
        end = min(len(text), start + rng.randrange(12))
        fragment = rng.choice(
            (b"", text[start:end] * 2, rng.choice(_FRAGMENTS), _random_byte(rng))
        )
        text = text[:start] + fragment + text[end:]
    return text


def _random_byte(rng: random.Random) -> bytes:
    return bytes((rng.randrange(256),))
