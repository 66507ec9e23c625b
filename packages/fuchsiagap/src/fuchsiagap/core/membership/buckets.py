"""Hashes of a view by bucket, kept up with each change.

Two views compare one number; if it differs, the numbers of the buckets; and exchange
the members of the buckets that differ only.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from fuchsiagap.core.membership.member import fingerprint

if TYPE_CHECKING:
    from fuchsiagap.core.membership.member import Member

N_BUCKETS = 256


class BucketHashes:
    """The hash of each bucket of live members.

    Dead and left members lie in their bucket too but count for nothing in its hash,
    since views drop them at different moments.
    """

    def __init__(self) -> None:
        self.root = 0
        self._hashes = [0] * N_BUCKETS
        self._nodes: list[dict[str, int]] = [{} for _ in range(N_BUCKETS)]

    def replace(self, known: Member | None, member: Member | None) -> None:
        """Take over the change of one member; None is no member."""
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
        """Return the numbers of the buckets whose hashes differ."""
        pairs = zip(self._hashes, hashes, strict=False)
        return tuple(i for i, (ours, theirs) in enumerate(pairs) if ours != theirs)

    def nodes(self, number: int) -> tuple[str, ...]:
        """Return the nodes of a bucket."""
        return tuple(self._nodes[number])


def bucket_of(node: str) -> int:
    """Return the bucket of a node, the same in every process."""
    return zlib.crc32(node.encode()) % N_BUCKETS
