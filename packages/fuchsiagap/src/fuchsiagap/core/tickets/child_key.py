"""Idempotency keys of the child calls of a root request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING
from urllib.parse import quote

if TYPE_CHECKING:
    from fuchsiagap.core.calls.head import CallHead, ServiceName

_SEPARATOR = "/"
_EXPLICIT_PREFIX = "="
_FINGERPRINT_BYTES = 8
_MAX_KEY_LENGTH = 200  # characters
_DIGEST_PREFIX = "~"
_DIGEST_BYTES = 16


@dataclass(slots=True)
class ChildOrdinals:
    """Counts the child calls without an explicit key of one call in progress.

    Parameters
    ----------
    counts : Counter
        Number of these calls so far, by endpoint (service and route).
    """

    counts: Counter[str] = field(default_factory=Counter)


def child_key(
    parent_key: str,
    explicit_key: str,
    service: ServiceName,
    route: str,
    ordinals: ChildOrdinals,
) -> str:
    """Return the key that identifies a child call among the calls of its root.

    When a parent call is repeated, each of its child calls must get the same key as
    before. The backend server can set the key; otherwise it is derived from the
    endpoint and the number of earlier calls of the parent to it without an explicit
    key. A backend server that makes several calls to one route in no fixed order must
    set keys. Otherwise a repeated call may get the key of a run with different content,
    and its outcome is `Unknown`.

    Parameters
    ----------
    parent_key : str
        The parent's own key; empty if the parent is the root call.
    explicit_key : str
        Value of the header ``fuchsiagap-child-key``; empty if there is none.
    service : ServiceName
        The called service.
    route : str
        The route of the called service.
    ordinals : ChildOrdinals
        Counts of the parent's child calls; updated if the key is derived.

    Returns
    -------
    str
        The key, never empty; replaced by its digest if longer than
        `_MAX_KEY_LENGTH` characters. An explicit key never equals a derived one.

    Examples
    --------
    >>> from fuchsiagap import ServiceName
    >>> desk = ServiceName("dakar", "desk")
    >>> child_key("", "", desk, "desk/order", ChildOrdinals())
    'dakar/desk:desk/order#0'
    """
    endpoint = f"{service}:{route}"
    if explicit_key:
        segment = f"{endpoint}{_EXPLICIT_PREFIX}{quote(explicit_key, safe='')}"
    else:
        ordinal = ordinals.counts[endpoint]
        ordinals.counts[endpoint] = ordinal + 1
        segment = f"{endpoint}#{ordinal}"
    key = f"{parent_key}{_SEPARATOR}{segment}" if parent_key else segment
    if len(key) <= _MAX_KEY_LENGTH:
        return key
    digest = blake2b(key.encode(), digest_size=_DIGEST_BYTES)
    return _DIGEST_PREFIX + digest.hexdigest()


def fingerprint(head: CallHead, body: bytes) -> bytes:
    """Return a digest of the content of a request.

    Parameters
    ----------
    head : CallHead
        The call; its service, method and target enter the digest.
    body : bytes
        The complete request body.

    Returns
    -------
    bytes
        The digest, of `_FINGERPRINT_BYTES` bytes.
    """
    text = f"{head.service}\0{head.method}\0{head.target}\0"
    digest = blake2b(text.encode(), digest_size=_FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()
