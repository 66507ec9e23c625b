"""Fleets of nodes that run membership only, over an in-memory network.

Members table, links, gossip and digests are those of the real node. The nodes handle
no calls. Used by the tests and benchmarks of membership.

Examples
--------
>>> async def two() -> bool:
...     async with open_membership_fleet(seed=1) as fleet:
...         one, other = fleet.add("certs-1"), fleet.add("certs-2")
...         await fleet.until(lambda: fleet.agree())
...         return other.membership.get("certs-1") is not None
>>> run_virtual(two)
True
"""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import trio

from fuchsiagap.core.calls.head import ServiceName
from fuchsiagap.core.clock import Clock, Milliseconds, trio_clock
from fuchsiagap.core.membership.member import Member, MemberState
from fuchsiagap.core.membership.settings import MembershipSettings
from fuchsiagap.core.membership.table import Membership
from fuchsiagap_node.core import gossip
from fuchsiagap_node.core.config import PeersConfig
from fuchsiagap_node.core.drain import stopping as drain
from fuchsiagap_node.core.peers.handlers import Handlers
from fuchsiagap_node.core.peers.links import LinkPeers, LinkSettings
from fuchsiagap_node.core.ports import DialFailed, LinkClosed
from fuchsiagap_node.core.wire.messages_call import Hello
from fuchsiagap_standins.memory_nodes import (
    START_WALL_MS,
    open_fleet_environment,
    uninstrumented_wire,
    until,
)
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from fuchsiagap.core.routing.instance import Instance
    from fuchsiagap_node.core.ports import Dial, Link, Platform
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.network import FakeNetwork, LinkProfile
    from fuchsiagap_standins.platform import ObjectStore

__all__ = [
    "MemberNode",
    "MembershipFleet",
    "Traffic",
    "open_membership_fleet",
    "run_virtual",
]


@dataclass(slots=True)
class Traffic:
    """Number of messages that a node sent, and their bytes."""

    messages: int = 0
    n_bytes: int = 0


@dataclass(frozen=True, slots=True)
class _Config:
    name: str
    peers: PeersConfig


@dataclass(slots=True)
class _Router:
    """Router that stores the latest list of instances."""

    instances: tuple[Instance, ...] = ()

    def update(self, members: tuple[Instance, ...]) -> None:
        """Replace the instances."""
        self.instances = members


@dataclass(slots=True, eq=False)
class MemberNode:
    """Node with the attributes of `NodeState` that membership uses."""

    cfg: _Config
    clock: Clock
    rng: random.Random
    membership: Membership
    platform: Platform
    peers: LinkPeers
    handlers: Handlers
    scope: trio.CancelScope
    router: _Router = field(default_factory=_Router)
    sent: Traffic = field(default_factory=Traffic)

    @property
    def name(self) -> str:
        """The node's name."""
        return self.membership.name

    @property
    def address(self) -> str:
        """Address at which the node listens for other nodes."""
        return self.membership.self_member.address

    def state_of(self, node: str) -> MemberState | None:
        """Return the state of a node in this node's members table; None if unknown."""
        member = self.membership.get(node)
        return None if member is None else member.state


@dataclass(slots=True, eq=False)
class MembershipFleet:
    """Set of membership nodes that run in one nursery.

    Parameters
    ----------
    rng : random.Random
        Source of all randomness.
    network : FakeNetwork
        Network between the nodes.
    store : ObjectStore
        Object store of the platform.
    cfg : MembershipSettings
        Membership settings of every node.
    nursery : trio.Nursery
        Nursery of the nodes' tasks.
    nodes : dict
        Running nodes by name.
    """

    rng: random.Random
    network: FakeNetwork
    store: ObjectStore
    cfg: MembershipSettings
    nursery: trio.Nursery
    nodes: dict[str, MemberNode] = field(default_factory=dict)
    _n_started: int = 0

    def add(
        self,
        name: str,
        data_centre: str = "hall-a",
        *,
        first: Iterable[str] = (),
        incarnation: int | None = None,
        platform: Platform | None = None,
        known_members: Iterable[Member] = (),
    ) -> MemberNode:
        """Start a node, or restart one that crashed or left.

        Parameters
        ----------
        name : str
            Name of the node.
        data_centre : str
            Data centre of the node.
        first : iterable of str
            Peer addresses that the node contacts first.
        incarnation : int, optional
            Incarnation of the node; by default higher than all earlier ones.
        platform : Platform, optional
            Platform that the node uses; by default the fleet's store.
        known_members : iterable of Member
            Members in the node's table from the start, which saves a large fleet the
            time for its nodes to join one after another.
        """
        self._n_started += 1
        node = self._make(
            name,
            data_centre,
            tuple(first),
            incarnation or 1_000 * self._n_started,
            platform or self.store,
        )
        node.membership.merge(known_members, spread=False)
        self.nodes[name] = node
        self.nursery.start_soon(self._run, node)
        return node

    def crash(self, name: str) -> None:
        """Stop a node without notice to the others."""
        node = self.nodes.pop(name)
        node.scope.cancel()
        self.network.crash(node.address)

    def addresses(self, data_centre: str) -> set[str]:
        """Return the peer addresses of the running nodes of a data centre."""
        members = (node.membership.self_member for node in self.nodes.values())
        return {m.address for m in members if m.data_centre == data_centre}

    def agree(self) -> bool:
        """Whether all members tables are equal and list exactly the running nodes."""
        names = set(self.nodes)
        return len({n.membership.hash for n in self.nodes.values()}) <= 1 and all(
            {m.node for m in node.membership.members() if not m.gone} == names
            for node in self.nodes.values()
        )

    async def until(
        self, condition: Callable[[], bool], limit: Milliseconds = 60_000.0
    ) -> Milliseconds:
        """Wait until a condition holds; see `memory_nodes.until`."""
        return await until(condition, limit, interval_s=0.02)

    def _make(
        self,
        name: str,
        data_centre: str,
        first: tuple[str, ...],
        incarnation: int,
        platform: Platform,
    ) -> MemberNode:
        clock = trio_clock(START_WALL_MS)
        rng = random.Random(self.rng.getrandbits(64))
        member = Member(
            node=name,
            incarnation=incarnation,
            address=f"{name}:7000",
            data_centre=data_centre,
            services=(ServiceName("salt-fog", name.rsplit("-", 1)[0]),),
            admin_address=f"{name}:7100",
        )
        sent = Traffic()
        handlers = Handlers()
        hello = Hello(name, incarnation, data_centre, member.address)
        dial = _counting_dial(self.network.dial_from(member.address), sent)
        peers = LinkPeers(
            LinkSettings(), uninstrumented_wire(hello, handlers), dial, self.nursery
        )
        return MemberNode(
            cfg=_Config(name, PeersConfig(first)),
            clock=clock,
            rng=rng,
            membership=Membership(self.cfg, member, clock, rng),
            platform=platform,
            peers=peers,
            handlers=handlers,
            scope=trio.CancelScope(),
            sent=sent,
        )

    async def _run(self, node: MemberNode) -> None:
        state = cast("NodeState", node)
        gossip.register(state)
        drain.register(state)

        async def serve(link: Link) -> None:
            await node.peers.serve_link(_CountingLink(link, node.sent))

        with node.scope:
            async with trio.open_nursery() as nursery:
                node.peers.nursery = nursery
                nursery.start_soon(self.network.listen, node.address, serve)
                nursery.start_soon(gossip.run, state)


@asynccontextmanager
async def open_membership_fleet(
    seed: int,
    cfg: MembershipSettings | None = None,
    profile: LinkProfile | None = None,
) -> AsyncIterator[MembershipFleet]:
    """Open a fleet without nodes, and stop all its nodes on exit.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    cfg : MembershipSettings, optional
        Membership settings of every node.
    profile : LinkProfile, optional
        Delay and capacity of all links.
    """
    async with open_fleet_environment(seed, profile) as env:
        yield MembershipFleet(
            rng=env.rng,
            network=env.network,
            store=env.store,
            cfg=cfg or MembershipSettings(),
            nursery=env.nursery,
        )


@dataclass(slots=True, eq=False)
class _CountingLink:
    """Link that counts the frames and bytes sent over it."""

    link: Link
    sent: Traffic

    async def send(self, frame: bytes) -> LinkClosed | None:
        """Count a frame and send it."""
        self.sent.messages += 1
        self.sent.n_bytes += len(frame)
        return await self.link.send(frame)

    async def receive(self) -> bytes | LinkClosed:
        """Wait for the next frame."""
        return await self.link.receive()

    async def aclose(self) -> None:
        """Close the link."""
        await self.link.aclose()


def _counting_dial(dial: Dial, sent: Traffic) -> Dial:
    async def counting(address: str) -> Link | DialFailed:
        link = await dial(address)
        return link if isinstance(link, DialFailed) else _CountingLink(link, sent)

    return counting
