"""Members on the platform: announcements, and a digest for each data centre.

A few nodes of each data centre write its digest, when it changed and at a bounded
rate. Who they are each node works out for itself; if two views differ for a while,
more or other nodes write, which does no harm.
"""

from __future__ import annotations

import logging
import zlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiagap.core.clock import sleep_ms
from fuchsiagap.core.membership.member import Member, MemberState, ring_position
from fuchsiagap_node.core.ports import Conflict, PlatformUnavailable, StoredObject
from fuchsiagap_node.core.wire.codec import MalformedFrame, decode, encode
from fuchsiagap_node.core.wire.messages_gossip import Updates

if TYPE_CHECKING:
    from fuchsiagap_node.core.state import NodeState

MEMBERS_PREFIX = "/members/"
ANNOUNCE_PREFIX = "/announce/"
MAX_DIGEST_BYTES = 16 * 1024 * 1024

_LOG = logging.getLogger(__name__)
_FIRST_PAUSE_MS = 500.0
_LONGEST_PAUSE_MS = 10_000.0
_JITTER = 0.2


@dataclass(slots=True)
class _Relay:
    """What this node remembers as a relay."""

    last_announcements: float = float("-inf")


async def run(state: NodeState) -> None:
    """Announce this node, read the digests, and write one if it is a relay.

    Parameters
    ----------
    state : NodeState
        The node.
    """
    await _start(state)
    relay = _Relay()
    announced = state.membership.self_member
    while True:
        await _pause(state, state.membership.cfg.digest_interval)
        if _is_other_life(announced, state.membership.self_member):
            announced = state.membership.self_member
            await _announce(state)
        if state.membership.name in relays(state):
            await _work_as_relay(state, relay)


def relays(state: NodeState) -> tuple[str, ...]:
    """Return the nodes of the own data centre that write its digest."""
    membership = state.membership
    nodes = membership.rings.nodes(membership.self_member.data_centre)
    ranked = sorted(nodes, key=lambda node: ring_position("relay", node))
    return tuple(ranked[: membership.cfg.n_relays])


def encode_members(members: tuple[Member, ...]) -> bytes:
    """Return the stored form of members."""
    return zlib.compress(encode(Updates(members)))


def decode_members(value: bytes) -> tuple[Member, ...] | MalformedFrame:
    """Return the members that a stored value stands for."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(value, MAX_DIGEST_BYTES)
    except zlib.error as exc:
        return MalformedFrame(f"the digest is not compressed data: {exc}")
    if unpacker.unconsumed_tail:
        return MalformedFrame(f"the digest is longer than {MAX_DIGEST_BYTES} bytes")
    if not unpacker.eof:
        return MalformedFrame("the digest is cut short")
    msg = decode(data)
    if isinstance(msg, Updates):
        return msg.members
    if isinstance(msg, MalformedFrame):
        return msg
    return MalformedFrame(f"expected Updates, got {type(msg).__name__}")


async def _start(state: NodeState) -> None:
    """Announce this node and learn of others, however long the platform is away."""
    pause = _FIRST_PAUSE_MS
    announced = False
    while True:
        announced = announced or await _announce(state)
        if await _learn(state) and announced:
            return
        await _pause(state, pause)
        pause = min(2 * pause, _LONGEST_PAUSE_MS)


async def _announce(state: NodeState) -> bool:
    me = state.membership.self_member
    path = f"{ANNOUNCE_PREFIX}{me.data_centre}/{me.node}"
    put = await state.platform.put(path, encode_members((me,)), None)
    return isinstance(put, StoredObject)


async def _learn(state: NodeState) -> bool:
    """Read the digests, or the announcements if there are no digests yet."""
    digests = await _read_all(state, MEMBERS_PREFIX)
    if digests is None:
        return False
    if _knows_others(state):
        return True
    return await _read_all(state, ANNOUNCE_PREFIX) is not None


def _knows_others(state: NodeState) -> bool:
    return any(not m.gone for m in state.membership.members()[1:])


async def _read_all(
    state: NodeState, prefix: str
) -> dict[str, tuple[StoredObject, tuple[Member, ...]]] | None:
    """Read and merge all members under a prefix; None if the platform is away."""
    found = await state.platform.list(prefix)
    if isinstance(found, PlatformUnavailable):
        return None
    read: dict[str, tuple[StoredObject, tuple[Member, ...]]] = {}
    for stored in found:
        members = () if stored.deleted else decode_members(stored.value)
        if isinstance(members, MalformedFrame):
            _LOG.warning("%s is malformed: %s", stored.path, members.detail)
            members = ()
        # Others read the same; only what they do not know shows in the hashes.
        state.membership.merge(members, spread=False)
        read[stored.path] = (stored, members)
    return read


async def _work_as_relay(state: NodeState, relay: _Relay) -> None:
    now = state.clock.now()
    due = relay.last_announcements + state.membership.cfg.announce_interval
    if now >= due and await _tend_announcements(state):
        relay.last_announcements = now
    digests = await _read_all(state, MEMBERS_PREFIX)
    if digests is not None:
        await _write_digest(state, digests)


async def _write_digest(
    state: NodeState, digests: dict[str, tuple[StoredObject, tuple[Member, ...]]]
) -> None:
    membership = state.membership
    own = membership.self_member.data_centre
    path = f"{MEMBERS_PREFIX}{own}"
    stored, written = digests.get(path, (None, ()))
    live = tuple(
        _without_suspicion(member)
        for member in sorted(membership.members(), key=lambda m: m.node)
        if member.data_centre == own and not member.gone
    )
    if {_identity(m) for m in live} == {_identity(m) for m in written}:
        return
    version = 0 if stored is None else stored.version
    put = await state.platform.put(path, encode_members(live), version)
    if isinstance(put, Conflict):
        # Another relay wrote; the next look shows whether its digest lacks anything.
        _LOG.debug("digest of %s was written by another relay", own)


async def _tend_announcements(state: NodeState) -> bool:
    """Learn of nodes nobody knows, and delete announcements of those gone."""
    own = state.membership.self_member.data_centre
    found = await _read_all(state, f"{ANNOUNCE_PREFIX}{own}/")
    if found is None:
        return False
    for stored, members in found.values():
        if members and all(
            state.membership.is_incarnation_gone(member) for member in members
        ):
            await state.platform.delete(stored.path, stored.version)
    return True


def _without_suspicion(member: Member) -> Member:
    if member.state is MemberState.SUSPECT:
        return replace(member, state=MemberState.ALIVE)
    return member


def _identity(member: Member) -> tuple[object, ...]:
    return member.node, member.incarnation, member.address, member.services


def _is_other_life(announced: Member, me: Member) -> bool:
    return _identity(announced) != _identity(me)


async def _pause(state: NodeState, duration: float) -> None:
    await sleep_ms(duration * state.rng.uniform(1 - _JITTER, 1 + _JITTER))
