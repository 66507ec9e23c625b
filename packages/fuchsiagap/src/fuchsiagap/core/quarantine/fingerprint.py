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
    # Lengths keep the parts apart: a longer host and a shorter target differ.
    parts = (method, host.encode(), target, *identity)
    head = b"".join([b"%d:%b" % (len(part), part) for part in parts])
    digest = hashlib.blake2b(head, digest_size=FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()
