"""What makes two requests the same one."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

FINGERPRINT_BYTES = 16


def fingerprint(
    method: bytes, host: str, target: bytes, identity: Iterable[bytes], body: bytes
) -> bytes:
    """Return a digest that repeats of a request share, whichever node takes them.

    Parameters
    ----------
    method, target : bytes
        Method and request target, with its query.
    host : str
        Value of the ``Host`` header.
    identity : iterable of bytes
        Header lines that name the caller.
    body : bytes
        Whole body.

    Returns
    -------
    bytes
        `FINGERPRINT_BYTES` bytes. BLAKE2b (RFC 7693) resists second preimages, so no
        caller can make a request with the digest of another's.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, host.encode(), target, *identity):
        # Lengths keep the parts apart: a longer host and a shorter target differ.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body)
    return digest.digest()
