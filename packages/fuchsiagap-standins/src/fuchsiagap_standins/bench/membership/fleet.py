"""Fleets of member nodes in memory under a virtual clock: times and traffic."""

from __future__ import annotations

import random
import statistics
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.membership.member import MemberState
from fuchsiagap_standins.membership_fleet import (
    MembershipFleet,
    open_membership_fleet,
    run_virtual,
)
from fuchsiagap_standins.platform import PlatformFaults

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds

_STEADY_S = 20.0
_SETTLE_S = 5.0
_TRIALS = 5
_LIMIT_MS = 20_000.0
_MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class FleetFigures:
    """Figures of one fleet.

    Parameters
    ----------
    nodes, data_centres : int
        Its size.
    vanish_ms_median, vanish_ms_max : float
        From the moment a host vanishes until every node counts it as dead.
    end_ms_median : float
        The same for a process that ends, so that its address refuses links.
    spread_ms_median, spread_ms_max : float
        From a node's word that it is leaving until every node has it, by updates
        between neighbours alone.
    join_ms : float
        From the start of a new node with one first peer until all views agree.
    heal_ms : float
        From the end of a cut of one data centre, with a crash on the one side and a
        new node on the other, until all views agree.
    messages_per_s, bytes_per_s : float
        Sent by a node while nothing changes, mean over the nodes.
    bytes_per_s_max : float
        By the node that sends most.
    cpu_ms_per_s : float
        Processor time of a node while nothing changes; fake links included, real
        ones not.
    links : float
        Open links of a node, taken or dialled, mean over the nodes.
    """

    nodes: int
    data_centres: int
    vanish_ms_median: float
    vanish_ms_max: float
    end_ms_median: float
    spread_ms_median: float
    spread_ms_max: float
    join_ms: float
    heal_ms: float
    messages_per_s: float
    bytes_per_s: float
    bytes_per_s_max: float
    cpu_ms_per_s: float
    links: float


def measure_fleet(n_nodes: int, n_data_centres: int, seed: int) -> FleetFigures:
    """Measure a fleet of one size.

    Parameters
    ----------
    n_nodes, n_data_centres : int
        Its size.
    seed : int
        Of all randomness; the same seed gives the same times and traffic.
    """
    return run_virtual(_measure, n_nodes, n_data_centres, seed, real_limit_s=3_600.0)


async def _measure(n_nodes: int, n_data_centres: int, seed: int) -> FleetFigures:
    rng = random.Random(seed)
    async with open_membership_fleet(seed) as fleet:
        halls = [f"hall-{i}" for i in range(n_data_centres)]
        await _start(fleet, n_nodes, halls)
        steady = await _steady(fleet)
        spread = [await _spread(fleet, rng) for _ in range(_TRIALS)]
        ends = [await _end(fleet, rng) for _ in range(_TRIALS)]
        vanished = [await _vanish(fleet, rng) for _ in range(_TRIALS)]
        fleet.add("new-1", halls[0], first=_first(fleet))
        joined = await fleet.until(fleet.agree, _LIMIT_MS)
        healed = await _heal(fleet, halls)
    return FleetFigures(
        nodes=n_nodes,
        data_centres=n_data_centres,
        vanish_ms_median=statistics.median(vanished),
        vanish_ms_max=max(vanished),
        end_ms_median=statistics.median(ends),
        spread_ms_median=statistics.median(spread),
        spread_ms_max=max(spread),
        join_ms=joined,
        heal_ms=healed,
        messages_per_s=steady.messages,
        bytes_per_s=steady.n_bytes,
        bytes_per_s_max=steady.n_bytes_max,
        cpu_ms_per_s=steady.cpu_ms,
        links=steady.links,
    )


@dataclass(frozen=True, slots=True)
class _Steady:
    messages: float
    n_bytes: float
    n_bytes_max: float
    cpu_ms: float
    links: float


async def _start(fleet: MembershipFleet, n_nodes: int, halls: list[str]) -> None:
    """Start all nodes, each knowing all others, as after a long time together."""
    nodes = [
        fleet.add(f"certs-{i}", halls[i % len(halls)], incarnation=1_000 + i)
        for i in range(n_nodes)
    ]
    members = [node.membership.self_member for node in nodes]
    for node in nodes:
        node.membership.merge(members, spread=False)
    await trio.sleep(_SETTLE_S)
    assert fleet.agree()


async def _steady(fleet: MembershipFleet) -> _Steady:
    nodes = list(fleet.nodes.values())
    before = [(node.sent.messages, node.sent.n_bytes) for node in nodes]
    started = time.process_time()
    await trio.sleep(_STEADY_S)
    cpu_s = time.process_time() - started
    messages = [n.sent.messages - b[0] for n, b in zip(nodes, before, strict=True)]
    n_bytes = [n.sent.n_bytes - b[1] for n, b in zip(nodes, before, strict=True)]
    return _Steady(
        messages=statistics.mean(messages) / _STEADY_S,
        n_bytes=statistics.mean(n_bytes) / _STEADY_S,
        n_bytes_max=max(n_bytes) / _STEADY_S,
        cpu_ms=cpu_s * _MS_PER_S / _STEADY_S / len(nodes),
        links=statistics.mean(len(node.peers.linked()) for node in nodes),
    )


async def _spread(fleet: MembershipFleet, rng: random.Random) -> Milliseconds:
    node = fleet.nodes[rng.choice(sorted(fleet.nodes))]
    await trio.sleep(rng.random())
    word = node.membership.announce_state(MemberState.ALIVE)

    def everywhere() -> bool:
        views = (other.membership for other in fleet.nodes.values())
        return all(view.get(node.name) == word for view in views)

    return await fleet.until(everywhere, _LIMIT_MS)


async def _end(fleet: MembershipFleet, rng: random.Random) -> Milliseconds:
    name = rng.choice(sorted(fleet.nodes))
    hall = fleet.nodes[name].membership.self_member.data_centre
    await trio.sleep(rng.random())
    fleet.crash(name)
    taken = await _until_dead(fleet, name)
    await _replace(fleet, name, hall)
    return taken


async def _vanish(fleet: MembershipFleet, rng: random.Random) -> Milliseconds:
    name = rng.choice(sorted(fleet.nodes))
    hall = fleet.nodes[name].membership.self_member.data_centre
    await trio.sleep(rng.random())
    node = fleet.nodes.pop(name)
    fleet.network.pause(node.address)
    node.scope.cancel()
    taken = await _until_dead(fleet, name)
    fleet.network.crash(node.address)
    fleet.network.resume(node.address)
    await _replace(fleet, name, hall)
    return taken


async def _until_dead(fleet: MembershipFleet, name: str) -> Milliseconds:
    def noticed() -> bool:
        states = (node.state_of(name) for node in fleet.nodes.values())
        return all(state is MemberState.DEAD for state in states)

    return await fleet.until(noticed, _LIMIT_MS)


async def _replace(fleet: MembershipFleet, name: str, hall: str) -> None:
    fleet.add(name, hall, first=_first(fleet))
    await fleet.until(fleet.agree, _LIMIT_MS)
    await trio.sleep(_SETTLE_S)


def _first(fleet: MembershipFleet) -> list[str]:
    return [next(iter(fleet.nodes.values())).address]


async def _heal(fleet: MembershipFleet, halls: list[str]) -> Milliseconds:
    cut_off = fleet.addresses(halls[-1])
    rest = {node.address for node in fleet.nodes.values()} - cut_off
    fleet.network.cut(cut_off | {"new-2:7000"}, rest)
    # The digests would tell each side of the other.
    fleet.store.set_faults(PlatformFaults(outage=True))
    await trio.sleep(_SETTLE_S)
    lost = next(n for n in sorted(fleet.nodes) if fleet.nodes[n].address in rest)
    fleet.crash(lost)
    fleet.add("new-2", halls[-1], first=sorted(cut_off)[:1])
    await trio.sleep(_SETTLE_S)
    # What was held back is lost, so that nothing but the syncs can help.
    for address in cut_off:
        fleet.network.drop_links(address)
    fleet.network.heal()
    return await fleet.until(fleet.agree, _LIMIT_MS)
