"""Look-up of workspaces by API key; nodes keep only digests of the keys."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiagap.core.workspaces.model import Workspace

DIGEST_BYTES = 16
# BLAKE2b personalization, which separates these digests from others of the same bytes.
_PERSON = b"fuchsiagap-key"


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is looked up.

    BLAKE2b (RFC 7693) resists preimages, so neither a log nor a memory dump reveals a
    key, and the time of a look-up reveals nothing about the stored keys.
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, person=_PERSON).digest()


class DuplicateKeyError(Exception):
    """Two workspaces hold the same API key.

    Parameters
    ----------
    first : str
        Name of one workspace.
    second : str
        Name of the other.
    """

    def __init__(self, first: str, second: str) -> None:
        super().__init__(f"workspaces {first!r} and {second!r} hold the same key")
        self.first = first
        self.second = second


class KeyTable:
    """The API keys of one configuration.

    Parameters
    ----------
    workspaces : iterable of Workspace
        All workspaces.

    Raises
    ------
    DuplicateKeyError
        If two of them hold the same key.
    """

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._holders: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            for digest in workspace.key_digests:
                holder = self._holders.setdefault(digest, workspace)
                if holder is not workspace:
                    raise DuplicateKeyError(holder.name, workspace.name)

    def find(self, digest: bytes) -> Workspace | None:
        """Return the workspace that holds the key with a digest; None if none does."""
        return self._holders.get(digest)
