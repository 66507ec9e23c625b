"""Bearer tokens, known by their digests only."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.settings.model import TokenDigest


def digest_of(token: str) -> str:
    """Return the SHA-256 of a token in hexadecimal."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def matches_digest(digest: str, token: str) -> bool:
    """Whether a token has a digest, in a time that does not depend on either."""
    return hmac.compare_digest(digest_of(token), digest)


def find_token_name(digests: Iterable[TokenDigest], token: str) -> str | None:
    """Return the name of a token's holder.

    Parameters
    ----------
    digests : iterable of TokenDigest
        Known tokens; all are compared, whichever fits.
    token : str
        What was presented.

    Returns
    -------
    str or None
        The name; None if no digest fits.
    """
    holder = None
    for known in digests:
        if matches_digest(known.digest, token):
            holder = known.name
    return holder
