"""The nodes of a randomised run: real ones, over links in memory."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from fuchsiagap.core.clock import MS_PER_S, Clock, trio_clock
from fuchsiagap.core.settings.book import Adopted
from fuchsiagap.core.settings.model import settings_path
from fuchsiagap_node.core.node import NodePorts, run_node
from fuchsiagap_node.core.ports import StoredObject
from fuchsiagap_node.core.wire.messages_call import CallMessage
from fuchsiagap_standins.answers import mark_from
from fuchsiagap_standins.bench.faults.backend import RecordingBackend
from fuchsiagap_standins.bench.faults.shape import NODES, TEAMS, node_config
from fuchsiagap_standins.network import FakeNetwork
from fuchsiagap_standins.platform import ObjectStore

if TYPE_CHECKING:
    from fuchsiagap.core.admission.gate import Admitted
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Refused
    from fuchsiagap.core.settings.book import Invalid, Stale
    from fuchsiagap.core.settings.model import TeamText
    from fuchsiagap_node.core.config import NodeConfig
    from fuchsiagap_node.core.ports import Dial
    from fuchsiagap_node.core.state import NodeState
    from fuchsiagap_standins.bench.faults.conditions import Conditions
    from fuchsiagap_standins.bench.faults.evidence import Evidence

_WALL_MS = 1_700_000_000_000.0


@dataclass(slots=True, eq=False)
class Life:
    """One life of a node's process.

    Parameters
    ----------
    cfg : NodeConfig
        The node's settings.
    state : NodeState or None
        Set once it takes calls.
    edge : trio.Nursery or None
        Where its callers' requests are served.
    scope : trio.CancelScope
        Cancelled by a crash.
    backend : RecordingBackend
        The backend server on its host.
    planned : bool
        Whether it was asked to stop.
    ended : bool
        Whether the process is gone.
    adopted : list of (str, int)
        Teams and versions whose settings it took over, in order.
    """

    cfg: NodeConfig
    backend: RecordingBackend
    scope: trio.CancelScope
    state: NodeState | None = None
    edge: trio.Nursery | None = None
    planned: bool = False
    ended: bool = False
    adopted: list[tuple[str, int]] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Name of the node."""
        return self.cfg.name


@dataclass(slots=True, eq=False)
class Fleet:
    """All nodes, the network between them and the platform.

    Parameters
    ----------
    rng : random.Random
        Source of all randomness.
    conditions : Conditions
        How tight things are.
    evidence : Evidence
        What the run leaves behind.
    network : FakeNetwork
        Between nodes.
    store : ObjectStore
        The platform.
    clock : Clock
        Of all processes.
    nursery : trio.Nursery
        Where the lives run.
    lives : dict
        The latest life of each node.
    past : list of Life
        All lives, the latest included.
    """

    rng: random.Random
    conditions: Conditions
    evidence: Evidence
    network: FakeNetwork
    store: ObjectStore
    clock: Clock
    nursery: trio.Nursery
    lives: dict[str, Life] = field(default_factory=dict)
    past: list[Life] = field(default_factory=list)
    cuts: list[frozenset[str]] = field(default_factory=list)
    paused: set[str] = field(default_factory=set)
    answer_delay: float = 0.0
    request_delay: float = 0.0
    written: dict[str, dict[int, bytes]] = field(default_factory=dict)

    def write(self, path: str, value: bytes) -> None:
        """Put an object on the platform without a call."""
        self.store._apply(path, value, None, False)

    def _note_writes(self) -> None:
        """Keep each version of a team's settings that takes effect."""
        apply = self.store._apply
        teams = {settings_path(team): team for team in TEAMS}
        self.written = {team: {} for team in TEAMS}

        def noting(path: str, value: bytes, *rest: Any) -> Any:
            result = apply(path, value, *rest)
            if path in teams and isinstance(result, StoredObject):
                self.written[teams[path]][result.version] = value
            return result

        vars(self.store)["_apply"] = noting

    def start(self, name: str) -> Life:
        """Start a new life of a node."""
        data_centre = dict(NODES)[name]
        cfg = node_config(name, data_centre, self.conditions)
        life: Life

        def state() -> NodeState:
            assert life.state is not None
            return life.state

        rng = random.Random(self.rng.getrandbits(64))
        backend = RecordingBackend(
            name, self.evidence, rng, state, self.conditions.slots
        )
        life = Life(cfg, backend, trio.CancelScope())
        self.lives[name] = life
        self.past.append(life)
        self.nursery.start_soon(self._run, life)
        return life

    def crash(self, name: str) -> None:
        """End a node's process at once."""
        life = self.lives[name]
        self.evidence.leaving_since.pop(name, None)
        life.ended = True
        life.scope.cancel()
        self.network.crash(life.cfg.peer_address)

    def stop(self, name: str) -> None:
        """Ask a node to stop by plan."""
        life = self.lives[name]
        if life.state is None or life.ended or life.planned:
            return
        life.planned = True
        self.evidence.leaving_since[name] = trio.current_time()
        life.state.request_drain()

    def reachable(self, one: str, other: str) -> bool:
        """Whether two data centres reach each other."""
        return not any(
            (one in cut) is not (other in cut) for cut in self.cuts if one != other
        )

    def apply_cuts(self) -> None:
        """Make network and platform follow `cuts` and `paused`."""
        self.network.heal()
        address = {name: f"{name}:7000" for name, _ in NODES}
        for cut in self.cuts:
            inside = {address[name] for name, centre in NODES if centre in cut}
            self.network.cut(inside, set(address.values()) - inside)
        cut_off = {
            name for name, centre in NODES if any(centre in c for c in self.cuts)
        }
        self.store.set_cut_off(cut_off | self.paused)

    async def _run(self, life: Life) -> None:
        cfg = life.cfg
        with life.scope:
            ports = NodePorts(
                clock=self.clock,
                rng=random.Random(self.rng.getrandbits(64)),
                incarnation=int(_WALL_MS + trio.current_time() * MS_PER_S) + 1,
                dial=partial(_dial, self.network, cfg.peer_address),
                listen=partial(self.network.listen, cfg.peer_address),
                backend=life.backend,
                platform=self.store.view(cfg.name),
            )
            async with trio.open_nursery() as nursery:
                state = await nursery.start(run_node, cfg, ports, partial(_edge, life))
                self._watch(life, state)
                life.state = state
        self._ended(life)

    def _watch(self, life: Life, state: NodeState) -> None:
        """Count the attempts that reach the gate, by client request."""
        enter = state.gate.enter

        async def counted(head: CallHead) -> Admitted | Refused:
            self.evidence.attempts[mark_from(dict(head.headers)).nonce] += 1
            return await enter(head)

        vars(state.gate)["enter"] = counted
        serve = state.handlers.request_handlers[CallMessage]

        async def received(peer: str, msg: CallMessage) -> object:
            self.evidence.call_received(life.name, peer)
            return await serve(peer, msg)

        state.handlers.request_handlers[CallMessage] = received
        adopt = state.book.adopt

        def noting(text: TeamText) -> Adopted | Stale | Invalid:
            result = adopt(text)
            if isinstance(result, Adopted):
                life.adopted.append((text.team, result.version))
            return result

        vars(state.book)["adopt"] = noting

    def _ended(self, life: Life) -> None:
        if not life.ended and life.planned:
            assert life.state is not None
            for call_id in life.state.calls.serving:
                self.evidence.cut.append(f"call {call_id} at {life.name}")
        life.ended = True
        if self.lives[life.name] is life:
            self.evidence.leaving_since.pop(life.name, None)


async def _edge(life: Life, state: NodeState) -> None:
    async with trio.open_nursery() as nursery:
        life.edge = nursery
        try:
            await trio.sleep_forever()
        finally:
            life.edge = None


def _dial(network: FakeNetwork, address: str, nursery: trio.Nursery) -> Dial:
    return network.dial_from(address)


def open_fleet(
    rng: random.Random,
    conditions: Conditions,
    evidence: Evidence,
    nursery: trio.Nursery,
) -> Fleet:
    """Return a fleet without nodes.

    Parameters
    ----------
    rng : random.Random
        Source of all randomness.
    conditions : Conditions
        How tight things are.
    evidence : Evidence
        What the run leaves behind.
    nursery : trio.Nursery
        Where the nodes run.
    """
    fleet = Fleet(
        rng=rng,
        conditions=conditions,
        evidence=evidence,
        network=FakeNetwork(random.Random(rng.getrandbits(64))),
        store=ObjectStore(random.Random(rng.getrandbits(64))),
        clock=trio_clock(_WALL_MS),
        nursery=nursery,
    )
    fleet._note_writes()
    return fleet
