"""Propagation times and traffic of in-memory fleets under a virtual clock."""

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

# Duration of the measurement without membership changes.
_STEADY_S = 20.0
# Time to wait for the effects of a change of the fleet.
_SETTLE_S = 5.0
_TRIALS = 5
_TIMEOUT_MS = 20_000.0
_MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class FleetFigures:
    """Measurements of a fleet.

    Parameters
    ----------
    nodes, data_centres : int
        Number of nodes and of data centres.
    vanish_ms_median, vanish_ms_max : float
        Milliseconds from the silent loss of a host until every node considers it dead.
    end_ms_median : float
        Milliseconds from the exit of a process, after which its address refuses links,
        until every node considers it dead.
    spread_ms_median, spread_ms_max : float
        Milliseconds from a node's announcement of a new record until every node has it,
        through updates between neighbours only.
    join_ms : float
        Milliseconds from the start of a new node with one seed peer until all views
        agree.
    heal_ms : float
        Milliseconds from the end of a partition of one data centre until all views
        agree. During the partition a node crashes on one side and a new one starts on
        the other.
    messages_per_s, bytes_per_s : float
        Mean rates sent per node while the membership does not change.
    bytes_per_s_max : float
        Rate of the node that sends the most bytes.
    cpu_ms_per_s : float
        Mean CPU time per node while the membership does not change, including the
        in-memory links, which stand in for real ones.
    links : float
        Mean number of open links per node, inbound and outbound.
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
    """Measure a fleet of the given size.

    Parameters
    ----------
    n_nodes : int
        Number of nodes.
    n_data_centres : int
        Number of data centres.
    seed : int
        Seed of all random numbers; equal seeds give equal times and traffic.

    Returns
    -------
    FleetFigures
        Times, rates and CPU time.
    """
    return run_virtual(_measure, n_nodes, n_data_centres, seed, real_limit_s=3_600.0)


async def _measure(n_nodes: int, n_data_centres: int, seed: int) -> FleetFigures:
    rng = random.Random(seed)
    async with open_membership_fleet(seed) as fleet:
        data_centre_names = [f"hall-{i}" for i in range(n_data_centres)]
        await _start_nodes(fleet, n_nodes, data_centre_names)
        steady = await _measure_steady_state(fleet)
        spread = [await _measure_spread(fleet, rng) for _ in range(_TRIALS)]
        exits = [await _measure_process_exit(fleet, rng) for _ in range(_TRIALS)]
        vanished = [await _measure_host_loss(fleet, rng) for _ in range(_TRIALS)]
        fleet.add("new-1", data_centre_names[0], first=_seed_peers(fleet))
        joined = await fleet.until(fleet.agree, _TIMEOUT_MS)
        healed = await _measure_partition_recovery(fleet, data_centre_names)
    return FleetFigures(
        nodes=n_nodes,
        data_centres=n_data_centres,
        vanish_ms_median=statistics.median(vanished),
        vanish_ms_max=max(vanished),
        end_ms_median=statistics.median(exits),
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
class _SteadyState:
    messages: float
    n_bytes: float
    n_bytes_max: float
    cpu_ms: float
    links: float


async def _start_nodes(
    fleet: MembershipFleet, n_nodes: int, data_centre_names: list[str]
) -> None:
    """Start all nodes with complete views, as in a fleet that has run for long."""
    nodes = [
        fleet.add(
            f"certs-{i}",
            data_centre_names[i % len(data_centre_names)],
            incarnation=1_000 + i,
        )
        for i in range(n_nodes)
    ]
    members = [node.membership.self_member for node in nodes]
    for node in nodes:
        node.membership.merge(members, spread=False)
    await trio.sleep(_SETTLE_S)
    assert fleet.agree()


async def _measure_steady_state(fleet: MembershipFleet) -> _SteadyState:
    nodes = list(fleet.nodes.values())
    before = [(node.sent.messages, node.sent.n_bytes) for node in nodes]
    started = time.process_time()
    await trio.sleep(_STEADY_S)
    cpu_s = time.process_time() - started
    messages = [n.sent.messages - b[0] for n, b in zip(nodes, before, strict=True)]
    n_bytes = [n.sent.n_bytes - b[1] for n, b in zip(nodes, before, strict=True)]
    return _SteadyState(
        messages=statistics.mean(messages) / _STEADY_S,
        n_bytes=statistics.mean(n_bytes) / _STEADY_S,
        n_bytes_max=max(n_bytes) / _STEADY_S,
        cpu_ms=cpu_s * _MS_PER_S / _STEADY_S / len(nodes),
        links=statistics.mean(len(node.peers.linked()) for node in nodes),
    )


async def _measure_spread(fleet: MembershipFleet, rng: random.Random) -> Milliseconds:
    node = fleet.nodes[rng.choice(sorted(fleet.nodes))]
    await trio.sleep(rng.random())
    announced = node.membership.announce_state(MemberState.ALIVE)

    def is_in_all_views() -> bool:
        views = (other.membership for other in fleet.nodes.values())
        return all(view.get(node.name) == announced for view in views)

    return await fleet.until(is_in_all_views, _TIMEOUT_MS)


async def _measure_process_exit(
    fleet: MembershipFleet, rng: random.Random
) -> Milliseconds:
    name = rng.choice(sorted(fleet.nodes))
    data_centre_name = fleet.nodes[name].membership.self_member.data_centre
    await trio.sleep(rng.random())
    fleet.crash(name)
    elapsed_ms = await _wait_until_dead(fleet, name)
    await _replace(fleet, name, data_centre_name)
    return elapsed_ms


async def _measure_host_loss(
    fleet: MembershipFleet, rng: random.Random
) -> Milliseconds:
    name = rng.choice(sorted(fleet.nodes))
    data_centre_name = fleet.nodes[name].membership.self_member.data_centre
    await trio.sleep(rng.random())
    node = fleet.nodes.pop(name)
    fleet.network.pause(node.address)
    node.scope.cancel()
    elapsed_ms = await _wait_until_dead(fleet, name)
    fleet.network.crash(node.address)
    fleet.network.resume(node.address)
    await _replace(fleet, name, data_centre_name)
    return elapsed_ms


async def _wait_until_dead(fleet: MembershipFleet, name: str) -> Milliseconds:
    def is_dead_in_all_views() -> bool:
        states = (node.state_of(name) for node in fleet.nodes.values())
        return all(state is MemberState.DEAD for state in states)

    return await fleet.until(is_dead_in_all_views, _TIMEOUT_MS)


async def _replace(fleet: MembershipFleet, name: str, data_centre_name: str) -> None:
    fleet.add(name, data_centre_name, first=_seed_peers(fleet))
    await fleet.until(fleet.agree, _TIMEOUT_MS)
    await trio.sleep(_SETTLE_S)


def _seed_peers(fleet: MembershipFleet) -> list[str]:
    return [next(iter(fleet.nodes.values())).address]


async def _measure_partition_recovery(
    fleet: MembershipFleet, data_centre_names: list[str]
) -> Milliseconds:
    isolated_addresses = fleet.addresses(data_centre_names[-1])
    other_addresses = {
        node.address for node in fleet.nodes.values()
    } - isolated_addresses
    fleet.network.cut(isolated_addresses | {"new-2:7000"}, other_addresses)
    # With a working platform, each side would learn of the other from the digests.
    fleet.store.set_faults(PlatformFaults(outage=True))
    await trio.sleep(_SETTLE_S)
    crashed_node = next(
        n for n in sorted(fleet.nodes) if fleet.nodes[n].address in other_addresses
    )
    fleet.crash(crashed_node)
    fleet.add("new-2", data_centre_names[-1], first=sorted(isolated_addresses)[:1])
    await trio.sleep(_SETTLE_S)
    # Drop delayed messages, so that only the periodic synchronisation can repair views.
    for address in isolated_addresses:
        fleet.network.drop_links(address)
    fleet.network.heal()
    return await fleet.until(fleet.agree, _TIMEOUT_MS)
