"""Checks of bearer tokens, of which only digests are stored."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.settings.model import TokenDigest


def digest_of(token: str) -> str:
    """Return the SHA-256 digest of a token in hexadecimal."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def matches_digest(digest: str, token: str) -> bool:
    """Return whether a token has a digest, compared in constant time."""
    return hmac.compare_digest(digest_of(token), digest)


def find_token_name(digests: Iterable[TokenDigest], token: str) -> str | None:
    """Return the name of the holder of a token.

    Parameters
    ----------
    digests : iterable of TokenDigest
        Known tokens. All are compared, so that the duration does not reveal which
        one matches.
    token : str
        Presented token.

    Returns
    -------
    str or None
        Name of the holder; None if no digest matches.
    """
    holder = None
    for known in digests:
        if matches_digest(known.digest, token):
            holder = known.name
    return holder
