"""Discovery of members through the platform.

Each node writes an announcement of itself. A few nodes of each data centre, its
relays, write a digest of its live members, only when it changed and at a bounded rate.
Each node computes the relays from its own view of the members. While views differ,
additional or different nodes write, which is harmless since updates of a digest are
conditional.
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
# Maximum size after decompression; bounds the memory for a malformed digest.
MAX_DIGEST_BYTES = 16 * 1024 * 1024

_LOG = logging.getLogger(__name__)
_INITIAL_RETRY_DELAY_MS = 500.0
_MAX_RETRY_DELAY_MS = 10_000.0
_JITTER_SHARE = 0.2


@dataclass(slots=True)
class _RelayState:
    """State of this node as a relay.

    Parameters
    ----------
    announcements_read_at : float
        Time in milliseconds when announcements were last read; -inf before the first.
    """

    announcements_read_at: float = float("-inf")


async def run(state: NodeState) -> None:
    """Announce this node, read the digests, and write one while it is a relay.

    Parameters
    ----------
    state : NodeState
        State of the node.
    """
    await _announce_and_read(state)
    relay_state = _RelayState()
    announced = state.membership.self_member
    while True:
        await _sleep_with_jitter(state, state.membership.cfg.digest_interval)
        if _has_identity_changed(announced, state.membership.self_member):
            announced = state.membership.self_member
            await _announce(state)
        if state.membership.name in relays(state):
            await _run_relay_step(state, relay_state)


def relays(state: NodeState) -> tuple[str, ...]:
    """Return the nodes that write the digest of the local data centre."""
    membership = state.membership
    nodes = membership.rings.nodes(membership.self_member.data_centre)
    ranked = sorted(nodes, key=lambda node: ring_position("relay", node))
    return tuple(ranked[: membership.cfg.n_relays])


def encode_members(members: tuple[Member, ...]) -> bytes:
    """Encode members for storage on the platform."""
    return zlib.compress(encode(Updates(members)))


def decode_members(value: bytes) -> tuple[Member, ...] | MalformedFrame:
    """Decode members from a value stored on the platform."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(value, MAX_DIGEST_BYTES)
    except zlib.error as exc:
        return MalformedFrame(f"the digest is not zlib data: {exc}")
    if unpacker.unconsumed_tail:
        return MalformedFrame(f"the digest is longer than {MAX_DIGEST_BYTES} bytes")
    if not unpacker.eof:
        return MalformedFrame("the digest is truncated")
    msg = decode(data)
    if isinstance(msg, Updates):
        return msg.members
    if isinstance(msg, MalformedFrame):
        return msg
    return MalformedFrame(f"expected Updates, got {type(msg).__name__}")


async def _announce_and_read(state: NodeState) -> None:
    """Announce this node and read other members; retry until both succeed."""
    retry_delay = _INITIAL_RETRY_DELAY_MS
    announced = False
    while True:
        announced = announced or await _announce(state)
        if await _read_members(state) and announced:
            return
        await _sleep_with_jitter(state, retry_delay)
        retry_delay = min(2 * retry_delay, _MAX_RETRY_DELAY_MS)


async def _announce(state: NodeState) -> bool:
    local_member = state.membership.self_member
    path = f"{ANNOUNCE_PREFIX}{local_member.data_centre}/{local_member.node}"
    put = await state.platform.put(path, encode_members((local_member,)), None)
    return isinstance(put, StoredObject)


async def _read_members(state: NodeState) -> bool:
    """Read the digests, and the announcements if no other member is known yet.

    Returns False if the platform is unavailable.
    """
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
    """Read and merge all members under a prefix; None if the platform is unavailable.

    The result has each object with its members, by path.
    """
    found = await state.platform.list(prefix)
    if isinstance(found, PlatformUnavailable):
        return None
    members_by_path: dict[str, tuple[StoredObject, tuple[Member, ...]]] = {}
    for stored in found:
        members = () if stored.deleted else decode_members(stored.value)
        if isinstance(members, MalformedFrame):
            _LOG.warning("%s is malformed: %s", stored.path, members.detail)
            members = ()
        # Not spread by gossip, since other nodes read the same objects. A comparison of
        # membership hashes finds members that another node still lacks.
        state.membership.merge(members, spread=False)
        members_by_path[stored.path] = (stored, members)
    return members_by_path


async def _run_relay_step(state: NodeState, relay_state: _RelayState) -> None:
    now = state.clock.now()
    read_due_at = (
        relay_state.announcements_read_at + state.membership.cfg.announce_interval
    )
    if now >= read_due_at and await _process_announcements(state):
        relay_state.announcements_read_at = now
    digests = await _read_all(state, MEMBERS_PREFIX)
    if digests is not None:
        await _write_digest(state, digests)


async def _write_digest(
    state: NodeState, digests: dict[str, tuple[StoredObject, tuple[Member, ...]]]
) -> None:
    membership = state.membership
    local_data_centre = membership.self_member.data_centre
    path = f"{MEMBERS_PREFIX}{local_data_centre}"
    stored, stored_members = digests.get(path, (None, ()))
    live_members = tuple(
        _as_alive(member)
        for member in sorted(membership.members(), key=lambda m: m.node)
        if member.data_centre == local_data_centre and not member.gone
    )
    if {_identity(m) for m in live_members} == {_identity(m) for m in stored_members}:
        return
    version = 0 if stored is None else stored.version
    put = await state.platform.put(path, encode_members(live_members), version)
    if isinstance(put, Conflict):
        # The next step reads the digest of the other relay and completes it if needed.
        _LOG.debug("digest of %s was written by another relay", local_data_centre)


async def _process_announcements(state: NodeState) -> bool:
    """Merge announced members and delete announcements of members that are gone."""
    local_data_centre = state.membership.self_member.data_centre
    found = await _read_all(state, f"{ANNOUNCE_PREFIX}{local_data_centre}/")
    if found is None:
        return False
    for stored, members in found.values():
        if members and all(
            state.membership.is_incarnation_gone(member) for member in members
        ):
            await state.platform.delete(stored.path, stored.version)
    return True


def _as_alive(member: Member) -> Member:
    if member.state is MemberState.SUSPECT:
        return replace(member, state=MemberState.ALIVE)
    return member


def _identity(member: Member) -> tuple[object, ...]:
    return member.node, member.incarnation, member.address, member.services


def _has_identity_changed(announced: Member, local_member: Member) -> bool:
    return _identity(announced) != _identity(local_member)


async def _sleep_with_jitter(state: NodeState, duration: float) -> None:
    await sleep_ms(duration * state.rng.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE))
