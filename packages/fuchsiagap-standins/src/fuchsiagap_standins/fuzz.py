"""Mutate valid encoded messages, to fuzz decoders."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# JSON and CBOR fragments that decoders have failed on.
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
    """Return a message with a few random changes.

    Each change deletes, duplicates, replaces or inserts bytes.

    Parameters
    ----------
    text : bytes
        A valid message.
    rng : random.Random
        Source of all randomness.

    Returns
    -------
    bytes
        The changed message, which may still be valid.
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
