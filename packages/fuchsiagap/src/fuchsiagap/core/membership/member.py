"""One member, and which of two words about it is the newer.

Words about one node are totally ordered, and a view keeps the greatest. So the order
in which they come, and how often, makes no difference.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import random

    from fuchsiagap.core.calls.head import ServiceName
    from fuchsiagap.core.clock import Clock

_RANDOM_BITS = 10


class MemberState(Enum):
    """State of a member in a view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
    LEFT = "left"


_RANKS = {state: rank for rank, state in enumerate(MemberState)}
_GONE = frozenset({MemberState.DEAD, MemberState.LEFT})

Precedence: TypeAlias = tuple[int, bool, int, int]


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of one node.

    Parameters
    ----------
    node : str
        Name of the node.
    incarnation : int
        The life of its process; a restarted node has a higher one.
    address : str
        ``IP:PORT`` at which it takes links from other nodes.
    data_centre : str
        Where it runs.
    services : tuple of ServiceName
        What its backend server serves.
    state : MemberState
        Its state; `LEAVING` and `LEFT` are its own word only.
    refutation : int
        Grows within an incarnation with each word of the node about itself, so that
        it can refute what others said.
    successor : str
        Name of the node that holds the tickets of `handed_incarnation`; empty if
        none does.
    successor_incarnation : int
        The successor's life at that time.
    handed_incarnation : int
        The life of the tickets that were handed over.
    admin_address : str
        ``IP:PORT`` for operators.
    """

    node: str
    incarnation: int
    address: str
    data_centre: str
    services: tuple[ServiceName, ...] = ()
    state: MemberState = MemberState.ALIVE
    refutation: int = 0
    successor: str = ""
    successor_incarnation: int = 0
    handed_incarnation: int = 0
    admin_address: str = ""

    @property
    def gone(self) -> bool:
        """Whether the node is dead or has left."""
        return self.state in _GONE

    @property
    def precedence(self) -> Precedence:
        """Sort key of the words about one node; the greater is the newer.

        Having left is final for an incarnation.
        """
        left = self.state is MemberState.LEFT
        return self.incarnation, left, self.refutation, _RANKS[self.state]


def supersedes(update: Member, known: Member) -> bool:
    """Whether a word about a node is newer than what is known of it.

    Parameters
    ----------
    word, known : Member
        Two words about the same node.

    Returns
    -------
    bool
        False if they are equal. Words of equal precedence that differ (two
        processes under one name) are ordered by their content, so that all views
        keep the same one.
    """
    ours, theirs = update.precedence, known.precedence
    if ours != theirs:
        return ours > theirs
    return update != known and _content(update) > _content(known)


def fingerprint(member: Member) -> int:
    """Return a 64-bit hash of a member, the same in every process."""
    text = repr((member.node, member.precedence, _content(member)))
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def ring_position(seed: str, node: str) -> int:
    """Return where a node stands on a ring, the same in every process."""
    data = blake2b(f"{seed}/{node}".encode(), digest_size=8).digest()
    position: int = struct.unpack(">Q", data)[0]
    return position


def first_incarnation(clock: Clock, rng: random.Random) -> int:
    """Return a first guess of a new process's incarnation.

    The time of day may be wrong, so it is a guess only: the node raises it above
    any earlier one that it hears of when it joins. The random bits keep two lives
    started at the same reading apart.
    """
    return (int(clock.wall()) << _RANDOM_BITS) | rng.getrandbits(_RANDOM_BITS)


def _content(member: Member) -> tuple[object, ...]:
    return (
        member.address,
        member.data_centre,
        tuple(map(str, member.services)),
        member.successor,
        member.successor_incarnation,
        member.handed_incarnation,
        member.admin_address,
    )
