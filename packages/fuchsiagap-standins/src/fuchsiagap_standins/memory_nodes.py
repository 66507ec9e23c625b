"""Building blocks of in-memory fleets: node settings, ports, platform, network."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds, trio_clock
from fuchsiagap_node.core.config import NodeConfig, parse_node_config
from fuchsiagap_node.core.node import NodePorts
from fuchsiagap_node.core.peers.conn import WireContext
from fuchsiagap_standins.network import FakeNetwork, LinkProfile
from fuchsiagap_standins.node_ini import HostSpec, node_ini
from fuchsiagap_standins.platform import ObjectStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from fuchsiagap_node.core.peers.handlers import Handlers
    from fuchsiagap_node.core.ports import BackendServer, Dial
    from fuchsiagap_node.core.wire.messages_call import Hello

TEAM = "salt-fog"
OPERATORS_TOKEN = "operators-token"
# Wall clock at the start of a run, in milliseconds since the epoch.
START_WALL_MS = 1_700_000_000_000.0
# Per link, see `WireContext`.
_MAX_CONCURRENT_REQUESTS = 1_000


def a_node_config(
    name: str = "certs-1",
    data_centre: str = "hall-a",
    first: Iterable[str] = (),
    service: str = "certs",
) -> NodeConfig:
    """Return the settings of an in-memory node, with addresses made from its name.

    Parameters
    ----------
    name : str
        Name of the node.
    data_centre : str
        Data centre of the node.
    first : iterable of str
        Peer addresses that the node contacts first.
    service : str
        Service of its backend server; the team is `TEAM`.
    """
    # Settings files accept only IP addresses, so placeholders are parsed. Addresses
    # with host names replace them afterwards.
    listen = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    text = node_ini(
        HostSpec(name, service, data_centre, *listen),
        team=TEAM,
        backend="127.0.0.1:4",
        platform="127.0.0.1:5",
        operators_token=OPERATORS_TOKEN,
    )
    cfg = parse_node_config(text, "node.ini")
    assert isinstance(cfg, NodeConfig), str(cfg)
    named = replace(
        cfg.listen, callers=f"{name}:80", peers=f"{name}:7000", admin=f"{name}:7100"
    )
    return replace(cfg, listen=named, peers=replace(cfg.peers, first=tuple(first)))


def memory_ports(
    cfg: NodeConfig,
    network: FakeNetwork,
    store: ObjectStore,
    backend: BackendServer,
    rng: random.Random,
    incarnation: int,
) -> NodePorts:
    """Return the ports of an in-memory node to its environment.

    Parameters
    ----------
    cfg : NodeConfig
        Settings of the node.
    network : FakeNetwork
        Network to the other nodes.
    store : ObjectStore
        Object store of the platform.
    backend : BackendServer
        Backend server on the node's host.
    rng : random.Random
        Source of the seed of the node's own random generator.
    incarnation : int
        Incarnation of the node.
    """
    return NodePorts(
        clock=trio_clock(START_WALL_MS),
        rng=random.Random(rng.getrandbits(64)),
        incarnation=incarnation,
        dial=partial(_dial, network, cfg.peer_address),
        listen=partial(network.listen, cfg.peer_address),
        backend=backend,
        platform=store.view(cfg.name),
    )


def _dial(network: FakeNetwork, address: str, _nursery: trio.Nursery) -> Dial:
    return network.dial_from(address)


@dataclass(frozen=True, slots=True)
class FleetEnvironment:
    """Environment shared by the nodes of a fleet.

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
    """

    rng: random.Random
    network: FakeNetwork
    store: ObjectStore
    nursery: trio.Nursery


@asynccontextmanager
async def open_fleet_environment(
    seed: int, profile: LinkProfile | None = None
) -> AsyncIterator[FleetEnvironment]:
    """Open a network and a platform without nodes, and stop all tasks on exit.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    profile : LinkProfile, optional
        Delay and capacity of all links.
    """
    rng = random.Random(seed)
    network = FakeNetwork(random.Random(rng.getrandbits(64)), profile)
    store = ObjectStore(random.Random(rng.getrandbits(64)))
    async with trio.open_nursery() as nursery:
        yield FleetEnvironment(rng, network, store, nursery)
        nursery.cancel_scope.cancel()


def uninstrumented_wire(
    hello: Hello, handlers: Handlers, stamp: int = 0
) -> WireContext:
    """Return a `WireContext` with a constant clock and without metrics.

    Parameters
    ----------
    hello : Hello
        First message on each link, which identifies the node.
    handlers : Handlers
        Handlers of the messages that the node receives.
    stamp : int, default=0
        Hybrid logical clock reading sent with every frame.
    """
    return WireContext(
        hello,
        handlers,
        stamp=lambda: stamp,
        observe=lambda _stamp: None,
        max_concurrent_requests=_MAX_CONCURRENT_REQUESTS,
        count=lambda _name: None,
    )


async def until(
    condition: Callable[[], bool],
    limit: Milliseconds = 60_000.0,
    interval_s: float = 0.01,
) -> Milliseconds:
    """Wait until a condition holds.

    Parameters
    ----------
    condition : callable
        Polled until it returns True.
    limit : float
        Milliseconds within which the condition has to hold.
    interval_s : float
        Seconds between two polls.

    Returns
    -------
    float
        Milliseconds waited.

    Raises
    ------
    AssertionError
        If the condition does not hold within the limit.
    """
    started = trio.current_time()
    while not condition():
        waited = (trio.current_time() - started) * MS_PER_S
        if waited > limit:
            raise AssertionError(f"condition does not hold after {waited:.0f} ms")
        await trio.sleep(interval_s)
    return (trio.current_time() - started) * MS_PER_S
