"""Member records and their order.

The records of one node are totally ordered, and a view keeps the greatest. So neither
the order in which updates arrive nor their repetition affects the result.
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

# Random low bits of an incarnation, below the wall time in milliseconds.
_RANDOM_BITS = 10


class MemberState(Enum):
    """State of a member.

    The order matters: of two records that differ only in the state, the one whose
    state is listed later is the newer one.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
    LEFT = "left"


_STATE_ORDER = {state: rank for rank, state in enumerate(MemberState)}
_GONE_STATES = frozenset({MemberState.DEAD, MemberState.LEFT})

# Incarnation, whether the node has left, refutation, and position of the state.
Precedence: TypeAlias = tuple[int, bool, int, int]


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one node.

    Parameters
    ----------
    node : str
        Name of the node.
    incarnation : int
        Incarnation of the process; higher after each restart.
    address : str
        ``IP:PORT`` at which the node accepts links from other nodes.
    data_centre : str
        Data centre of the node.
    services : tuple of ServiceName
        Services of its backend server.
    state : MemberState
        State of the node. Only the node itself announces `LEAVING` and `LEFT`.
    refutation : int
        Number that the node increases with each announcement about itself within an
        incarnation, so that it supersedes what other nodes announced.
    successor : str
        Name of the node that took over the tickets of `handed_incarnation`; empty if
        none did.
    successor_incarnation : int
        Incarnation of the successor when it took over the tickets.
    handed_incarnation : int
        Incarnation of this node that issued the tickets.
    admin_address : str
        ``IP:PORT`` of the API for operators.
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
        return self.state in _GONE_STATES

    @property
    def precedence(self) -> Precedence:
        """Sort key of the records of one node; newer records have greater keys.

        `LEFT` is final for an incarnation, whatever the refutation.
        """
        left = self.state is MemberState.LEFT
        return self.incarnation, left, self.refutation, _STATE_ORDER[self.state]


def supersedes(update: Member, known: Member) -> bool:
    """Return whether an update is newer than the known record of the same node.

    Parameters
    ----------
    update : Member
        Record that arrived.
    known : Member
        Record of the same node that is known.

    Returns
    -------
    bool
        False if they are equal. Different records of equal precedence, which come
        from two processes with one node name, are ordered by their content, so that
        all views keep the same one.
    """
    ours, theirs = update.precedence, known.precedence
    if ours != theirs:
        return ours > theirs
    return update != known and _content(update) > _content(known)


def fingerprint(member: Member) -> int:
    """Return a 64-bit hash of a record, which is the same in every process."""
    text = repr((member.node, member.precedence, _content(member)))
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def ring_position(seed: str, node: str) -> int:
    """Return the position of a node on a ring, which is the same in every process."""
    data = blake2b(f"{seed}/{node}".encode(), digest_size=8).digest()
    position: int = struct.unpack(">Q", data)[0]
    return position


def first_incarnation(clock: Clock, rng: random.Random) -> int:
    """Return a preliminary incarnation for a new process.

    It is derived from the wall clock, which may be wrong. So the node raises it above
    any earlier incarnation that it learns of when it joins. The random bits distinguish
    two processes that start at the same clock reading.
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
