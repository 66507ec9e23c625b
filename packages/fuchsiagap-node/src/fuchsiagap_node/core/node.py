"""A node put together: its aggregates, its tasks, its start and its stop."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import trio

from fuchsiagap.core.admission.gate import Gate
from fuchsiagap.core.admission.reported_levels import ReportedLevels
from fuchsiagap.core.clock import sleep_ms
from fuchsiagap.core.membership.table import Membership
from fuchsiagap.core.retries.budget import RetryBudget
from fuchsiagap.core.routing.router import Router
from fuchsiagap.core.settings.book import SettingsBook
from fuchsiagap.core.telemetry.events import EventKind
from fuchsiagap.core.telemetry.telemetry import make_telemetry
from fuchsiagap.core.telemetry.violations import Invariant
from fuchsiagap.core.tickets.tickets import Tickets
from fuchsiagap_node.core import gossip, state_events
from fuchsiagap_node.core.callpath import home, home_tickets, relay, serve
from fuchsiagap_node.core.drain import stopping as drain
from fuchsiagap_node.core.drain import takeover
from fuchsiagap_node.core.peers.handlers import Handlers
from fuchsiagap_node.core.peers.links import LinkPeers, LinkSettings
from fuchsiagap_node.core.peers.wiring import make_wire_context
from fuchsiagap_node.core.settings import sync as settings_sync
from fuchsiagap_node.core.state import NodeState
from fuchsiagap_node.core.wire.messages_call import Hello

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.clock import Clock
    from fuchsiagap_node.core.callpath.calls import CallTable
    from fuchsiagap_node.core.config import NodeConfig
    from fuchsiagap_node.core.ports import BackendServer, Dial, Link, Platform

    Take: TypeAlias = Callable[[Link], Awaitable[None]]

_PARTS = (
    serve,
    relay,
    home_tickets,
    takeover,
    gossip,
    settings_sync,
    drain,
    state_events,
)
_TASKS = (home.run, gossip.run, settings_sync.run, state_events.run)
_LOAD_POLL_MS = 1_000.0
_IDLE_STEPS = 50
_IDLE_FACTOR = 5.0
# Replies to a node that no longer reads must not hold up the stop for ever.
_REPLIES_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class NodePorts:
    """What a node meets outside, real or fake.

    Parameters
    ----------
    clock : Clock
        The one clock.
    rng : random.Random
        Source of all random choices.
    incarnation : int
        The life of this process.
    dial : callable
        Returns a `Dial` whose connections live in the nursery it gets.
    listen : callable
        Serves each link of another node with the function it gets, until
        cancelled.
    backend : BackendServer
        The backend server on this host.
    platform : Platform
        The platform's object API.
    """

    clock: Clock
    rng: random.Random
    incarnation: int
    dial: Callable[[trio.Nursery], Dial]
    listen: Callable[[Take], Awaitable[None]]
    backend: BackendServer
    platform: Platform


async def run_node(
    cfg: NodeConfig,
    ports: NodePorts,
    edges: Callable[[NodeState], Awaitable[None]] | None = None,
    task_status: trio.TaskStatus[NodeState] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a node until it has left gracefully.

    Parameters
    ----------
    cfg : NodeConfig
        The node's own settings, its addresses final.
    ports : NodePorts
        What it meets outside.
    edges : callable, optional
        Serves callers and operators until cancelled.
    task_status : trio.TaskStatus
        Started with the state once the node takes calls.

    See Also
    --------
    fuchsiagap_node.core.drain.stopping.drain : The graceful shutdown.
    """
    async with trio.open_nursery() as nursery:
        state = make_state(cfg, ports, nursery)
        _register(state)
        for task in (*_TASKS, _step_gate, _poll_load):
            nursery.start_soon(task, state)
        assert isinstance(state.peers, LinkPeers)
        nursery.start_soon(ports.listen, state.peers.serve_link)
        nursery.start_soon(_issue_once_joined, state)
        if edges is not None:
            nursery.start_soon(edges, state)
        state.telemetry.ring.record(EventKind.PROCESS_STARTED)
        task_status.started(state)
        await state.drain_requested.wait()
        await drain.drain(state, "requested")
        await _until_quiet(state.peers, state.calls)
        _check_idle(state)
        state.telemetry.ring.record(EventKind.PROCESS_STOPPED)
        nursery.cancel_scope.cancel()


async def _issue_once_joined(state: NodeState) -> None:
    """Hand out tickets only once other nodes can find their home."""
    state.tickets.issuing = False
    await gossip.wait_until_joined(state)
    state.tickets.issuing = True


async def _until_quiet(peers: LinkPeers, calls: CallTable) -> None:
    """Wait until replies are written, and what came in meanwhile is answered."""
    while True:
        with trio.move_on_after(_REPLIES_TIMEOUT_S):
            await peers.wait_idle()
        if not calls.busy():
            return
        calls.idle = trio.Event()
        await calls.idle.wait()


def _check_idle(state: NodeState) -> None:
    """Report calls that the end of the process would cut."""
    calls = state.calls
    if calls.busy():
        detail = (
            f"{len(calls.serving)} served, {calls.n_queued} waiting,"
            f" {calls.n_entered} entered, {calls.n_responding} being answered"
        )
        state.telemetry.violation(Invariant.PLANNED_STOP_CUT, detail)


def make_state(cfg: NodeConfig, ports: NodePorts, nursery: trio.Nursery) -> NodeState:
    """Return the state of a node whose links live in a nursery.

    Parameters
    ----------
    cfg : NodeConfig
        The node's own settings.
    ports : NodePorts
        What it meets outside.
    nursery : trio.Nursery
        Where the links' tasks run.

    Returns
    -------
    NodeState
        Nothing runs yet.
    """
    clock, rng = ports.clock, ports.rng
    telemetry = make_telemetry(cfg.telemetry, cfg.name, clock)
    handlers = Handlers()
    hello = Hello(cfg.name, ports.incarnation, cfg.data_centre, cfg.peer_address)

    def note_link(peer: Hello, is_up: bool) -> None:
        kind = EventKind.LINK_UP if is_up else EventKind.LINK_DOWN
        telemetry.ring.record(kind, peer=peer.node)

    wire = make_wire_context(cfg, hello, handlers, telemetry)
    dial = ports.dial(nursery)
    peers = LinkPeers(LinkSettings(), wire, dial, nursery, note_link)
    membership = Membership(
        cfg.membership, cfg.self_member(ports.incarnation), clock, rng
    )
    router = Router(cfg.routing, cfg.data_centre, clock, rng, cfg.name)
    router.update(membership.instances())
    return NodeState(
        cfg=cfg,
        incarnation=ports.incarnation,
        clock=clock,
        rng=rng,
        book=SettingsBook(),
        gate=Gate(cfg.gate, clock, rng),
        levels=ReportedLevels(clock),
        router=router,
        budget=RetryBudget(cfg.retries, clock),
        membership=membership,
        tickets=Tickets(cfg.tickets, cfg.name, ports.incarnation, clock),
        telemetry=telemetry,
        backend=ports.backend,
        platform=ports.platform,
        peers=peers,
        handlers=handlers,
    )


def _register(state: NodeState) -> None:
    for part in _PARTS:
        part.register(state)


async def _step_gate(state: NodeState) -> None:
    """Let the gate adjust limit and level at its own interval.

    A gate without calls is looked at less often: at rest each wake costs as much as
    the step.
    """
    n_idle = 0
    while True:
        pause = state.cfg.gate.step_ms
        await sleep_ms(pause if n_idle < _IDLE_STEPS else pause * _IDLE_FACTOR)
        state.gate.step()
        is_idle = state.gate.in_flight == 0 and state.gate.n_waiting == 0
        n_idle = n_idle + 1 if is_idle else 0


async def _poll_load(state: NodeState) -> None:
    """Ask the backend server for its load; it may lag or mislead."""
    was_up: bool | None = None
    while True:
        load = await state.backend.load()
        is_up = load is not None and load.healthy
        if load is not None:
            state.gate.apply_report(load.slots, load.in_flight)
        if is_up is not was_up:
            kind = EventKind.BACKEND_UP if is_up else EventKind.BACKEND_DOWN
            state.telemetry.ring.record(kind)
            was_up = is_up
        await sleep_ms(_LOAD_POLL_MS)
