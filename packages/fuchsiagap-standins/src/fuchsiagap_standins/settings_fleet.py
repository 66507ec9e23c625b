"""Fleets of nodes that run membership and settings only, over an in-memory network.

State, links, gossip and settings are those of the real node. The nodes handle no calls.
Used by the tests and benchmarks of settings.

Examples
--------
>>> async def two() -> bool:
...     async with open_settings_fleet(seed=1) as fleet:
...         one, other = fleet.add("certs-1"), fleet.add("certs-2")
...         await put_settings(one, "salt-fog", "", 0, "first", OPERATORS_TOKEN)
...         await fleet.until(lambda: fleet.in_force("salt-fog", 1))
...         return other.book.team("salt-fog") is not None
>>> run_virtual(two)
True
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import trio

from fuchsiagap_node.core import gossip
from fuchsiagap_node.core.node import make_state
from fuchsiagap_node.core.peers.links import LinkPeers
from fuchsiagap_node.core.settings import sync as settings_sync
from fuchsiagap_node.core.settings.write import put_settings
from fuchsiagap_node.core.wire import messages_settings
from fuchsiagap_node.core.wire.codec import encode
from fuchsiagap_standins.memory_nodes import (
    OPERATORS_TOKEN,
    a_node_config,
    memory_ports,
    open_fleet_environment,
    until,
)
from fuchsiagap_standins.testing import run_virtual

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable, Iterable

    from fuchsiagap.core.calls.outcome import Answered, Refused, Unknown
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.membership.member import Member
    from fuchsiagap_node.core.node import NodePorts
    from fuchsiagap_node.core.ports import BackendLoad, Peers
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.network import FakeNetwork, LinkProfile
    from fuchsiagap_standins.platform import ObjectStore

__all__ = [
    "OPERATORS_TOKEN",
    "SettingsFleet",
    "a_node_config",
    "open_settings_fleet",
    "put_settings",
    "run_virtual",
]


@dataclass(slots=True)
class Traffic:
    """Number of messages about settings, including replies, and their bytes."""

    messages: int = 0
    n_bytes: int = 0

    def count(self, msg: object) -> None:
        """Count a message if its type is one of `messages_settings`."""
        if type(msg).__module__ == messages_settings.__name__:
            self.messages += 1
            self.n_bytes += len(encode(msg))


@dataclass(slots=True, eq=False)
class _CountingPeers:
    """Peers of a node, with messages counted and `SettingsNews` lost at random."""

    links: LinkPeers
    fleet: SettingsFleet

    async def ask(self, address: str, message: object) -> object:
        self.fleet.traffic.count(message)
        reply = await self.links.ask(address, message)
        self.fleet.traffic.count(reply)
        return reply

    async def notify(self, address: str, message: object) -> None:
        self.fleet.traffic.count(message)
        is_announcement = isinstance(message, messages_settings.SettingsNews)
        if is_announcement and self.fleet.rng.random() < self.fleet.announcement_loss:
            return
        await self.links.notify(address, message)

    def __getattr__(self, name: str) -> object:
        return getattr(self.links, name)


class _NoBackend:
    """Backend server of a node that handles no calls."""

    async def send(self, *_args: object) -> Answered | Refused | Unknown:
        raise AssertionError("nodes of a settings fleet handle no calls")

    async def load(self) -> BackendLoad | None:
        return None


@dataclass(slots=True, eq=False)
class SettingsFleet:
    """Set of nodes with membership and settings that run in one nursery.

    Parameters
    ----------
    rng : random.Random
        Source of all randomness.
    network : FakeNetwork
        Network between the nodes.
    store : ObjectStore
        Object store of the platform.
    nursery : trio.Nursery
        Nursery of the nodes' tasks.
    nodes : dict
        Running nodes by name.
    announcement_loss : float
        Probability that a `SettingsNews` message is lost.
    traffic : Traffic
        Messages about settings between all nodes.
    """

    rng: random.Random
    network: FakeNetwork
    store: ObjectStore
    nursery: trio.Nursery
    nodes: dict[str, NodeState] = field(default_factory=dict)
    announcement_loss: float = 0.0
    traffic: Traffic = field(default_factory=Traffic)
    _scopes: dict[str, trio.CancelScope] = field(default_factory=dict)
    _n_started: int = 0

    def add(
        self,
        name: str,
        data_centre: str = "hall-a",
        first: Iterable[str] = (),
        known_members: Iterable[Member] = (),
    ) -> NodeState:
        """Start a node, or restart one that crashed.

        Parameters
        ----------
        name : str
            Name of the node.
        data_centre : str
            Data centre of the node.
        first : iterable of str
            Peer addresses that the node contacts first.
        known_members : iterable of Member
            Members in the node's table from the start.
        """
        self._n_started += 1
        cfg = a_node_config(name, data_centre, first)
        ports = memory_ports(
            cfg, self.network, self.store, _NoBackend(), self.rng, self._n_started
        )
        state = make_state(cfg, ports, self.nursery)
        state.membership.merge(known_members, spread=False)
        self.nodes[name] = state
        scope = self._scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, state, ports, scope)
        return state

    def crash(self, name: str) -> None:
        """Stop a node without notice to the others."""
        state = self.nodes.pop(name)
        self._scopes.pop(name).cancel()
        self.network.crash(state.cfg.peer_address)

    def addresses(self, data_centre: str) -> set[str]:
        """Return the peer addresses of the running nodes of a data centre."""
        return {state.cfg.peer_address for state in self.of(data_centre)}

    def of(self, data_centre: str) -> list[NodeState]:
        """Return the running nodes of a data centre."""
        return [s for s in self.nodes.values() if s.cfg.data_centre == data_centre]

    def in_force(self, team: str, version: int, data_centre: str = "") -> bool:
        """Whether a version is in force on all nodes, or on all of one data centre."""
        states = self.of(data_centre) if data_centre else self.nodes.values()
        texts = (state.book.text(team) for state in states)
        return all(text is not None and text.version == version for text in texts)

    async def until(
        self, condition: Callable[[], bool], limit: Milliseconds = 60_000.0
    ) -> Milliseconds:
        """Wait until a condition holds; see `memory_nodes.until`."""
        return await until(condition, limit)

    async def _run(
        self, state: NodeState, ports: NodePorts, scope: trio.CancelScope
    ) -> None:
        gossip.register(state)
        settings_sync.register(state)
        links = state.peers
        assert isinstance(links, LinkPeers)
        state.peers = cast("Peers", _CountingPeers(links, self))
        with scope:
            async with trio.open_nursery() as nursery:
                links.nursery = nursery
                nursery.start_soon(ports.listen, links.serve_link)
                nursery.start_soon(gossip.run, state)
                nursery.start_soon(settings_sync.run, state)


@asynccontextmanager
async def open_settings_fleet(
    seed: int, profile: LinkProfile | None = None
) -> AsyncIterator[SettingsFleet]:
    """Open a fleet without nodes, and stop all its nodes on exit.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    profile : LinkProfile, optional
        Delay and capacity of all links.
    """
    async with open_fleet_environment(seed, profile) as env:
        yield SettingsFleet(
            rng=env.rng,
            network=env.network,
            store=env.store,
            nursery=env.nursery,
        )
