"""Real nodes of a randomised run, connected by an in-memory network."""

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
from fuchsiagap_standins.bench.faults.topology import NODES, TEAMS, node_config
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

# Wall-clock time at the start of a run, in milliseconds since the Unix epoch.
_START_WALL_MS = 1_700_000_000_000.0


@dataclass(slots=True, eq=False)
class NodeProcess:
    """A process of a node, from its start to its exit.

    Parameters
    ----------
    cfg : NodeConfig
        Settings of the node.
    backend : RecordingBackend
        Backend server on the host of the node.
    scope : trio.CancelScope
        Cancelled by a crash.
    state : NodeState or None
        Set once the node takes calls.
    request_nursery : trio.Nursery or None
        Runs the requests of callers.
    stop_requested : bool
        Whether a planned stop was requested.
    exited : bool
        Whether the process has exited.
    adopted : list of (str, int)
        Team and version of each settings text adopted, in order.
    """

    cfg: NodeConfig
    backend: RecordingBackend
    scope: trio.CancelScope
    state: NodeState | None = None
    request_nursery: trio.Nursery | None = None
    stop_requested: bool = False
    exited: bool = False
    adopted: list[tuple[str, int]] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The name of the node."""
        return self.cfg.name


@dataclass(slots=True, eq=False)
class Fleet:
    """All nodes, the network between them and the platform.

    Parameters
    ----------
    rng : random.Random
        Source of all random numbers.
    conditions : Conditions
        Capacity and load of the run.
    evidence : Evidence
        Collects the data for the checks.
    network : FakeNetwork
        Network between the nodes.
    store : ObjectStore
        Object store of the platform.
    clock : Clock
        Clock of all processes.
    nursery : trio.Nursery
        Runs the processes.
    processes : dict
        Latest process of each node, by node.
    all_processes : list of NodeProcess
        All processes since the start, including the latest ones.
    partitions : list of frozenset of str
        For each partition in force, the data centres that it isolates.
    paused : set of str
        Nodes that are paused.
    max_answer_delay_ms, max_request_delay_ms : float
        Upper bounds of the extra delay of answers and requests in milliseconds.
    written : dict
        Text of each stored version of the settings, by team and version.
    """

    rng: random.Random
    conditions: Conditions
    evidence: Evidence
    network: FakeNetwork
    store: ObjectStore
    clock: Clock
    nursery: trio.Nursery
    processes: dict[str, NodeProcess] = field(default_factory=dict)
    all_processes: list[NodeProcess] = field(default_factory=list)
    partitions: list[frozenset[str]] = field(default_factory=list)
    paused: set[str] = field(default_factory=set)
    max_answer_delay_ms: float = 0.0
    max_request_delay_ms: float = 0.0
    written: dict[str, dict[int, bytes]] = field(default_factory=dict)

    def write(self, path: str, value: bytes) -> None:
        """Write an object directly to the store of the platform."""
        self.store._apply(path, value, None, False)

    def _record_writes(self) -> None:
        """Record each version of a team's settings that the store accepts."""
        apply = self.store._apply
        teams = {settings_path(team): team for team in TEAMS}
        self.written = {team: {} for team in TEAMS}

        def recording(path: str, value: bytes, *rest: Any) -> Any:
            result = apply(path, value, *rest)
            if path in teams and isinstance(result, StoredObject):
                self.written[teams[path]][result.version] = value
            return result

        vars(self.store)["_apply"] = recording

    def start(self, name: str) -> NodeProcess:
        """Start a new process of a node."""
        data_centre = dict(NODES)[name]
        cfg = node_config(name, data_centre, self.conditions)
        process: NodeProcess

        def state() -> NodeState:
            assert process.state is not None
            return process.state

        rng = random.Random(self.rng.getrandbits(64))
        backend = RecordingBackend(
            name, self.evidence, rng, state, self.conditions.slots
        )
        process = NodeProcess(cfg, backend, trio.CancelScope())
        self.processes[name] = process
        self.all_processes.append(process)
        self.nursery.start_soon(self._run, process)
        return process

    def crash(self, name: str) -> None:
        """Kill the process of a node."""
        process = self.processes[name]
        self.evidence.leaving_since.pop(name, None)
        process.exited = True
        process.scope.cancel()
        self.network.crash(process.cfg.peer_address)

    def stop(self, name: str) -> None:
        """Request a planned stop of a node."""
        process = self.processes[name]
        if process.state is None or process.exited or process.stop_requested:
            return
        process.stop_requested = True
        self.evidence.leaving_since[name] = trio.current_time()
        process.state.request_drain()

    def reachable(self, one: str, other: str) -> bool:
        """Whether two data centres can reach each other."""
        return not any(
            (one in partition) is not (other in partition)
            for partition in self.partitions
            if one != other
        )

    def apply_partitions(self) -> None:
        """Update network and platform to match `partitions` and `paused`."""
        self.network.heal()
        address = {name: f"{name}:7000" for name, _ in NODES}
        for partition in self.partitions:
            inside = {address[name] for name, centre in NODES if centre in partition}
            self.network.cut(inside, set(address.values()) - inside)
        isolated = {
            name for name, centre in NODES if any(centre in c for c in self.partitions)
        }
        self.store.set_cut_off(isolated | self.paused)

    async def _run(self, process: NodeProcess) -> None:
        cfg = process.cfg
        with process.scope:
            ports = NodePorts(
                clock=self.clock,
                rng=random.Random(self.rng.getrandbits(64)),
                incarnation=int(_START_WALL_MS + trio.current_time() * MS_PER_S) + 1,
                dial=partial(_dial, self.network, cfg.peer_address),
                listen=partial(self.network.listen, cfg.peer_address),
                backend=process.backend,
                platform=self.store.view(cfg.name),
            )
            async with trio.open_nursery() as nursery:
                state = await nursery.start(
                    run_node, cfg, ports, partial(_hold_request_nursery, process)
                )
                self._instrument(process, state)
                process.state = state
        self._record_exit(process)

    def _instrument(self, process: NodeProcess, state: NodeState) -> None:
        """Record attempts at the admission gate, peer calls and adopted settings."""
        enter = state.gate.enter

        async def counting_enter(head: CallHead) -> Admitted | Refused:
            self.evidence.attempts[mark_from(dict(head.headers)).nonce] += 1
            return await enter(head)

        vars(state.gate)["enter"] = counting_enter
        serve = state.handlers.request_handlers[CallMessage]

        async def recording_serve(peer: str, msg: CallMessage) -> object:
            self.evidence.record_peer_call(process.name, peer)
            return await serve(peer, msg)

        state.handlers.request_handlers[CallMessage] = recording_serve
        adopt = state.book.adopt

        def recording(text: TeamText) -> Adopted | Stale | Invalid:
            result = adopt(text)
            if isinstance(result, Adopted):
                process.adopted.append((text.team, result.version))
            return result

        vars(state.book)["adopt"] = recording

    def _record_exit(self, process: NodeProcess) -> None:
        """Record an exit, and the calls in progress if it was a planned stop."""
        if not process.exited and process.stop_requested:
            assert process.state is not None
            for call_id in process.state.calls.serving:
                self.evidence.interrupted.append(f"call {call_id} at {process.name}")
        process.exited = True
        if self.processes[process.name] is process:
            self.evidence.leaving_since.pop(process.name, None)


async def _hold_request_nursery(process: NodeProcess, state: NodeState) -> None:
    async with trio.open_nursery() as nursery:
        process.request_nursery = nursery
        try:
            await trio.sleep_forever()
        finally:
            process.request_nursery = None


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
        Source of all random numbers.
    conditions : Conditions
        Capacity and load of the run.
    evidence : Evidence
        Collects the data for the checks.
    nursery : trio.Nursery
        Runs the processes.

    Returns
    -------
    Fleet
        Fleet on which `Fleet.start` starts the nodes.
    """
    fleet = Fleet(
        rng=rng,
        conditions=conditions,
        evidence=evidence,
        network=FakeNetwork(random.Random(rng.getrandbits(64))),
        store=ObjectStore(random.Random(rng.getrandbits(64))),
        clock=trio_clock(_START_WALL_MS),
        nursery=nursery,
    )
    fleet._record_writes()
    return fleet
