"""CPU time and traffic of a fleet over real websockets on loopback."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import trio

from fuchsiagap.core.membership.member import MemberState
from fuchsiagap.core.membership.settings import MembershipSettings
from fuchsiagap_node.core.edges.peer_websocket import serve_links, websocket_dial
from fuchsiagap_node.core.ports import DialFailed
from fuchsiagap_standins.membership_fleet import MembershipFleet
from fuchsiagap_standins.platform import ObjectStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap_node.core.ports import Dial, Link
    from fuchsiagap_standins.network import FakeNetwork

_N_NODES = 18
_N_DATA_CENTRES = 3
_SETTLE_S = 3.0
_MEASURED_S = 10.0
_MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class LoopbackFigures:
    """Measurements of a fleet in one process, in real time.

    Parameters
    ----------
    nodes, data_centres : int
        Number of nodes and of data centres.
    cpu_ms_per_s : float
        Mean CPU time per node while the membership does not change, including the
        links.
    messages_per_s, bytes_per_s : float
        Mean rates sent per node, without the pings of the websocket library.
    links : float
        Mean number of open links per node.
    end_ms : float
        Milliseconds from the exit of a node's process until every other node considers
        it dead.
    """

    nodes: int
    data_centres: int
    cpu_ms_per_s: float
    messages_per_s: float
    bytes_per_s: float
    links: float
    end_ms: float


@dataclass(slots=True)
class _LoopbackNetwork:
    """Substitute for `FakeNetwork` that maps addresses of nodes to local ports."""

    nursery: trio.Nursery
    ports: dict[str, int] = field(default_factory=dict)

    def dial_from(self, _source: str) -> Dial:
        """Return a function that dials a node's address over a websocket."""
        dial = websocket_dial(self.nursery)

        async def by_name(address: str) -> Link | DialFailed:
            if address not in self.ports:
                return DialFailed(address, "connection refused")
            return await dial(f"127.0.0.1:{self.ports[address]}")

        return by_name

    def crash(self, address: str) -> None:
        """Refuse new links to a node's address; the node closes its open ones."""
        self.ports.pop(address, None)

    async def listen(
        self, address: str, take: Callable[[Link], Awaitable[None]]
    ) -> None:
        """Serve the inbound links of a node."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.ports[address] = listener.socket.getsockname()[1]
        await serve_links([listener], take)


def measure_loopback(seed: int) -> LoopbackFigures:
    """Measure a fleet over loopback in real time.

    Parameters
    ----------
    seed : int
        Seed of the nodes' random choices.

    Returns
    -------
    LoopbackFigures
        CPU time, rates and detection time.
    """
    return trio.run(_measure, seed)


async def _measure(seed: int) -> LoopbackFigures:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = MembershipFleet(
            rng=rng,
            network=cast("FakeNetwork", _LoopbackNetwork(nursery)),
            store=ObjectStore(random.Random(seed)),
            cfg=MembershipSettings(),
            nursery=nursery,
        )
        for i in range(_N_NODES):
            fleet.add(f"certs-{i}", f"hall-{i % _N_DATA_CENTRES}")
        await fleet.until(fleet.agree)
        await trio.sleep(_SETTLE_S)
        nodes = list(fleet.nodes.values())
        messages = sum(node.sent.messages for node in nodes)
        n_bytes = sum(node.sent.n_bytes for node in nodes)
        started, started_wall = time.process_time(), time.monotonic()
        await trio.sleep(_MEASURED_S)
        cpu_s, elapsed_s = (
            time.process_time() - started,
            time.monotonic() - started_wall,
        )
        messages = sum(node.sent.messages for node in nodes) - messages
        n_bytes = sum(node.sent.n_bytes for node in nodes) - n_bytes
        links = sum(len(node.peers.linked()) for node in nodes)
        fleet.crash("certs-1")
        exit_ms = await fleet.until(lambda: _all_see_dead(fleet, "certs-1"))
        nursery.cancel_scope.cancel()
    node_seconds = _N_NODES * elapsed_s
    return LoopbackFigures(
        nodes=_N_NODES,
        data_centres=_N_DATA_CENTRES,
        cpu_ms_per_s=cpu_s * _MS_PER_S / node_seconds,
        messages_per_s=messages / node_seconds,
        bytes_per_s=n_bytes / node_seconds,
        links=links / _N_NODES,
        end_ms=exit_ms,
    )


def _all_see_dead(fleet: MembershipFleet, name: str) -> bool:
    states = (node.state_of(name) for node in fleet.nodes.values())
    return all(state is MemberState.DEAD for state in states)
