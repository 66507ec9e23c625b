"""Hashes of a membership view by bucket, updated with each change.

Two nodes compare the hash of their whole views first. If it differs, they compare the
hashes of the buckets, and exchange only the members of buckets that differ.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from fuchsiagap.core.membership.member import fingerprint

if TYPE_CHECKING:
    from fuchsiagap.core.membership.member import Member

N_BUCKETS = 256


class BucketHashes:
    """Hash of each bucket of members.

    Dead and left members are listed in their bucket but not included in its hash, since
    views drop them at different times.

    Attributes
    ----------
    root : int
        Hash of all live members.
    """

    def __init__(self) -> None:
        self.root = 0
        self._hashes = [0] * N_BUCKETS
        self._nodes: list[dict[str, int]] = [{} for _ in range(N_BUCKETS)]

    def replace(self, known: Member | None, member: Member | None) -> None:
        """Replace the record of a member.

        Parameters
        ----------
        known : Member or None
            Previous record; None if the member is new.
        member : Member or None
            New record; None if the member is dropped.
        """
        existing = member or known
        assert existing is not None
        number = bucket_of(existing.node)
        nodes = self._nodes[number]
        before = nodes.pop(existing.node, 0)
        after = 0
        if member is not None:
            after = 0 if member.gone else fingerprint(member)
            nodes[member.node] = after
        self._hashes[number] ^= before ^ after
        self.root ^= before ^ after

    def hashes(self) -> tuple[int, ...]:
        """Return the hash of each bucket."""
        return tuple(self._hashes)

    def differing(self, hashes: tuple[int, ...]) -> tuple[int, ...]:
        """Return the numbers of the buckets whose hash differs from the given ones."""
        pairs = zip(self._hashes, hashes, strict=False)
        return tuple(i for i, (ours, theirs) in enumerate(pairs) if ours != theirs)

    def nodes(self, number: int) -> tuple[str, ...]:
        """Return the names of the nodes in a bucket."""
        return tuple(self._nodes[number])


def bucket_of(node: str) -> int:
    """Return the bucket of a node, which is the same in every process."""
    return zlib.crc32(node.encode()) % N_BUCKETS
