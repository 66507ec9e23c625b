"""What nodes in memory have in common: settings, ports, a platform and a network."""

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
from fuchsiagap_node.core.peers.conn import Wire
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
# Time of day at the start of a run, in milliseconds.
START_WALL_MS = 1_700_000_000_000.0
_MAX_CALLS_PER_LINK = 1_000


def a_node_config(
    name: str = "certs-1",
    data_centre: str = "hall-a",
    first: Iterable[str] = (),
    service: str = "certs",
) -> NodeConfig:
    """Return the settings of a node in memory, whose addresses are made from its name.

    Parameters
    ----------
    name, data_centre : str
        The node.
    first : iterable of str
        Addresses of its first peers.
    service : str
        What its backend server serves, for team `TEAM`.
    """
    # A file takes no names; they are set once it is read.
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
    """Return what a node in memory needs from outside.

    Parameters
    ----------
    cfg : NodeConfig
        The node's settings.
    network : FakeNetwork
        By which it reaches others.
    store : ObjectStore
        The platform.
    backend : BackendServer
        On its host.
    rng : random.Random
        The seed of its random choices is drawn from it.
    incarnation : int
        Of this life of the node.
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
    """What the nodes of a fleet stand on.

    Parameters
    ----------
    rng : random.Random
        Of all randomness.
    network : FakeNetwork
        Connects them.
    store : ObjectStore
        The platform's store.
    nursery : trio.Nursery
        Holds their tasks.
    """

    rng: random.Random
    network: FakeNetwork
    store: ObjectStore
    nursery: trio.Nursery


@asynccontextmanager
async def open_fleet_environment(
    seed: int, profile: LinkProfile | None = None
) -> AsyncIterator[FleetEnvironment]:
    """Open a network and a platform without anything on them; all stops at the end.

    Parameters
    ----------
    seed : int
        Of all randomness.
    profile : LinkProfile, optional
        Of all links.
    """
    rng = random.Random(seed)
    network = FakeNetwork(random.Random(rng.getrandbits(64)), profile)
    store = ObjectStore(random.Random(rng.getrandbits(64)))
    async with trio.open_nursery() as nursery:
        yield FleetEnvironment(rng, network, store, nursery)
        nursery.cancel_scope.cancel()


def uninstrumented_wire(hello: Hello, handlers: Handlers, stamp: int = 0) -> Wire:
    """Return a wire without a clock, that counts nothing.

    Parameters
    ----------
    hello : Hello
        What the node says of itself.
    handlers : Handlers
        Who answers what.
    stamp : int, default=0
        Reading of the clock that each frame carries.
    """
    return Wire(
        hello,
        handlers,
        stamp=lambda: stamp,
        observe=lambda _stamp: None,
        max_running=_MAX_CALLS_PER_LINK,
        count=lambda _name: None,
    )


async def until(
    condition: Callable[[], bool],
    limit: Milliseconds = 60_000.0,
    interval_s: float = 0.01,
) -> Milliseconds:
    """Wait until something holds; return after how many milliseconds.

    Parameters
    ----------
    condition : callable
        Looked at again and again.
    limit : float
        Milliseconds within which it has to hold.
    interval_s : float
        Seconds between two looks.

    Raises
    ------
    AssertionError
        If it does not hold within the limit.
    """
    started = trio.current_time()
    while not condition():
        waited = (trio.current_time() - started) * MS_PER_S
        if waited > limit:
            raise AssertionError(f"it does not hold after {waited:.0f} ms")
        await trio.sleep(interval_s)
    return (trio.current_time() - started) * MS_PER_S
