"""Deterministic subsetting of instances by rendezvous hashing."""

from __future__ import annotations

import hashlib
from heapq import nsmallest
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiagap.core.routing.candidate import Candidate

_RANK_BYTES = 8
_rank = attrgetter("rank")


def rendezvous_rank(node: str, member: str) -> int:
    """Return the rendezvous hash of a node and a member, the same in every process.

    Parameters
    ----------
    node : str
        Name of the node that chooses.
    member : str
        Name of the node to be chosen.

    Returns
    -------
    int
        Rank of the member for the node; the lowest ranks are chosen.
    """
    pair = f"{node}\0{member}".encode()
    digest = hashlib.blake2b(pair, digest_size=_RANK_BYTES).digest()
    return int.from_bytes(digest, "big")


def subset_of(candidates: Sequence[Candidate], n_max: int) -> tuple[Candidate, ...]:
    """Return the candidates with the lowest ranks.

    Adding or removing one candidate changes at most one member of the subset.

    Parameters
    ----------
    candidates : sequence of Candidate
        Candidates to choose from.
    n_max : int
        Maximum size of the subset.

    Returns
    -------
    tuple of Candidate
        All candidates if there are at most `n_max`.
    """
    if len(candidates) <= n_max:
        return tuple(candidates)
    return tuple(nsmallest(n_max, candidates, key=_rank))
