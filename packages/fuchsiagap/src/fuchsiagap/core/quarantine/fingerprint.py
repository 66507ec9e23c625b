"""Fingerprints by which repeats of a request are recognised."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

FINGERPRINT_BYTES = 16


def fingerprint(
    method: bytes, host: str, target: bytes, identity: Iterable[bytes], body: bytes
) -> bytes:
    """Return a digest that all repeats of a request share, on every node.

    Parameters
    ----------
    method : bytes
        Request method.
    target : bytes
        Request target, including the query.
    host : str
        Value of the ``Host`` header.
    identity : iterable of bytes
        Header lines that identify the caller.
    body : bytes
        Complete body.

    Returns
    -------
    bytes
        `FINGERPRINT_BYTES` bytes. BLAKE2b (RFC 7693) resists second preimages, so a
        caller cannot craft a request with the digest of another caller's request.
    """
    # Length prefixes keep adjacent parts apart, so that a longer host and a shorter
    # target do not give the same input.
    parts = (method, host.encode(), target, *identity)
    head = b"".join([b"%d:%b" % (len(part), part) for part in parts])
    digest = hashlib.blake2b(head, digest_size=FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()
