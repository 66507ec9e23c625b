"""CPU time and memory of one node's view of many members."""

from __future__ import annotations

import random
import time
import tracemalloc
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.clock import Clock
from fuchsiagap.core.membership.member import Member, MemberState
from fuchsiagap.core.membership.settings import MembershipSettings
from fuchsiagap.core.membership.table import Membership
from fuchsiagap_node.core.gossip.neighbours import gossip_targets, predecessors
from fuchsiagap_node.core.member_digest import decode_members, encode_members
from fuchsiagap_node.core.wire.codec import decode, encode
from fuchsiagap_node.core.wire.messages_gossip import Updates

if TYPE_CHECKING:
    from collections.abc import Callable

_N_DATA_CENTRES = 10
_ROUNDS = 5
_US_PER_S = 1e6
_MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class ViewFigures:
    """Measurements of a view of the members.

    Times are CPU times, in microseconds (``_us``) or milliseconds (``_ms``).

    Parameters
    ----------
    members : int
        Number of members in the view.
    apply_us : float
        Applying a newer update of a member that stays on the rings.
    stale_us : float
        Ignoring an update that the view has already applied.
    join_us, death_us : float
        Adding a member to the rings, and removing it.
    bytes_per_member : float
        Bytes of memory per member, with members decoded from frames.
    instances_us : float
        Listing the instances.
    neighbours_us : float
        Determining which members are monitored and which receive updates.
    digest_us : float
        Hashing all buckets.
    wire_bytes_per_member : float
        Bytes per member in a batch of updates.
    wire_us_per_member : float
        Encoding and decoding, per member of the batch.
    stored_bytes : float
        Bytes of the stored digest of a data centre with a tenth of the members.
    stored_ms : float
        Encoding and decoding that digest.
    """

    members: int
    apply_us: float
    stale_us: float
    join_us: float
    death_us: float
    bytes_per_member: float
    instances_us: float
    neighbours_us: float
    digest_us: float
    wire_bytes_per_member: float
    wire_us_per_member: float
    stored_bytes: float
    stored_ms: float


def measure_view(n_members: int, seed: int) -> ViewFigures:
    """Measure a view.

    Parameters
    ----------
    n_members : int
        Number of members in the view.
    seed : int
        Seed of all random numbers.

    Returns
    -------
    ViewFigures
        CPU times and sizes.
    """
    members = [_make_member(i) for i in range(n_members)]
    newer = [replace(member, refutation=1) for member in members]
    dead = [replace(member, refutation=1, state=MemberState.DEAD) for member in newer]
    view = _make_empty_view(seed)
    join_us = _cpu_us_per_item(lambda: view.merge(members), n_members)
    stale_us = _cpu_us_per_item(lambda: view.merge(members), n_members)
    apply_us = _cpu_us_per_item(lambda: view.merge(newer), n_members)
    instances_us = _min_cpu_s(view.instances) * _US_PER_S
    neighbours_us = _min_cpu_s(lambda: (predecessors(view), gossip_targets(view)))
    digest_us = _min_cpu_s(view.digest) * _US_PER_S
    batch = Updates(tuple(members[: view.cfg.max_updates]))
    wire_s = _min_cpu_s(lambda: decode(encode(batch)))
    data_centre_members = tuple(members[::_N_DATA_CENTRES])
    stored_s = _min_cpu_s(lambda: decode_members(encode_members(data_centre_members)))
    death_us = _cpu_us_per_item(lambda: view.merge(dead), n_members)
    return ViewFigures(
        members=n_members,
        apply_us=apply_us,
        stale_us=stale_us,
        join_us=join_us,
        death_us=death_us,
        bytes_per_member=_measure_memory(n_members, seed) / n_members,
        instances_us=instances_us,
        neighbours_us=neighbours_us * _US_PER_S,
        digest_us=digest_us,
        wire_bytes_per_member=len(encode(batch)) / len(batch.members),
        wire_us_per_member=wire_s * _US_PER_S / len(batch.members),
        stored_bytes=len(encode_members(data_centre_members)),
        stored_ms=stored_s * _MS_PER_S,
    )


def _make_member(number: int) -> Member:
    service = f"service-{number % 220}"
    return Member(
        node=f"{service}-{number // 220}",
        incarnation=1_700_000_000_000 + number,
        address=f"10.{number >> 8 & 255}.{number & 255}.7:7000",
        data_centre=f"hall-{number % _N_DATA_CENTRES}",
        services=(ServiceName("salt-fog", service),),
        admin_address=f"10.{number >> 8 & 255}.{number & 255}.7:7100",
    )


def _make_empty_view(seed: int) -> Membership:
    clock = Clock(now=lambda: 0.0, wall=lambda: 0.0)
    self_member = replace(_make_member(0), node="self", services=())
    return Membership(MembershipSettings(), self_member, clock, random.Random(seed))


def _measure_memory(n_members: int, seed: int) -> int:
    """Return the bytes of a view whose members are decoded from frames."""
    size = MembershipSettings().max_updates
    members = [_make_member(i) for i in range(n_members)]
    frames = [
        encode(Updates(tuple(members[start : start + size])))
        for start in range(0, n_members, size)
    ]
    del members
    tracemalloc.start()
    try:
        view = _make_empty_view(seed)
        for frame in frames:
            msg = decode(frame)
            assert isinstance(msg, Updates)
            view.merge(msg.members)
        del msg
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def _cpu_us_per_item(action: Callable[[], object], n_items: int) -> float:
    started = time.process_time()
    action()
    return (time.process_time() - started) * _US_PER_S / n_items


def _min_cpu_s(action: Callable[[], object]) -> float:
    times = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times)
