"""Assembly of a node: state, tasks, start and graceful shutdown."""

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

    ServeLink: TypeAlias = Callable[[Link], Awaitable[None]]

_HANDLER_MODULES = (
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
_LOAD_POLL_INTERVAL_MS = 1_000.0
# Gate steps without calls after which `_IDLE_INTERVAL_FACTOR` applies.
_STEPS_BEFORE_IDLE = 50
_IDLE_INTERVAL_FACTOR = 5.0
# Limits the wait for replies to be sent, so that a peer that no longer reads cannot
# block the shutdown.
_REPLIES_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class NodePorts:
    """External interfaces of a node, real or fake.

    Parameters
    ----------
    clock : Clock
        Source of all times.
    rng : random.Random
        Source of all random choices.
    incarnation : int
        Incarnation of this process.
    dial : callable
        Takes a nursery and returns a `Dial` whose connections live in that nursery.
    listen : callable
        Takes a function and runs it for each link from another node, until cancelled.
    backend : BackendServer
        The backend server on this host.
    platform : Platform
        The platform's object API.
    """

    clock: Clock
    rng: random.Random
    incarnation: int
    dial: Callable[[trio.Nursery], Dial]
    listen: Callable[[ServeLink], Awaitable[None]]
    backend: BackendServer
    platform: Platform


async def run_node(
    cfg: NodeConfig,
    ports: NodePorts,
    edges: Callable[[NodeState], Awaitable[None]] | None = None,
    task_status: trio.TaskStatus[NodeState] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a node until its graceful shutdown is complete.

    Parameters
    ----------
    cfg : NodeConfig
        Settings of the node, with bound addresses.
    ports : NodePorts
        External interfaces.
    edges : callable, optional
        Serves callers and operators until cancelled.
    task_status : trio.TaskStatus
        Reports the state once the node accepts calls.

    See Also
    --------
    fuchsiagap_node.core.drain.stopping.drain : The graceful shutdown.
    """
    async with trio.open_nursery() as nursery:
        state = make_state(cfg, ports, nursery)
        _register_handlers(state)
        for task in (*_TASKS, _step_gate, _poll_backend_load):
            nursery.start_soon(task, state)
        assert isinstance(state.peers, LinkPeers)
        nursery.start_soon(ports.listen, state.peers.serve_link)
        nursery.start_soon(_enable_tickets_once_joined, state)
        if edges is not None:
            nursery.start_soon(edges, state)
        state.telemetry.ring.record(EventKind.PROCESS_STARTED)
        task_status.started(state)
        await state.drain_requested.wait()
        await drain.drain(state, "requested")
        await _until_quiet(state.peers, state.calls)
        _report_unfinished_calls(state)
        state.telemetry.ring.record(EventKind.PROCESS_STOPPED)
        nursery.cancel_scope.cancel()


async def _enable_tickets_once_joined(state: NodeState) -> None:
    """Enable the issuing of tickets once this node has joined the cluster.

    Only then can other nodes look up the home of these tickets, which is this node.
    """
    state.tickets.issuing = False
    await gossip.wait_until_joined(state)
    state.tickets.issuing = True


async def _until_quiet(peers: LinkPeers, calls: CallTable) -> None:
    """Wait until replies are written and calls received meanwhile have ended."""
    while True:
        with trio.move_on_after(_REPLIES_TIMEOUT_S):
            await peers.wait_idle()
        if not calls.has_calls():
            return
        calls.idle = trio.Event()
        await calls.idle.wait()


def _report_unfinished_calls(state: NodeState) -> None:
    """Report a violation if calls are in progress, which the exit would interrupt."""
    calls = state.calls
    if calls.has_calls():
        detail = (
            f"{len(calls.serving)} running, {calls.n_queued} queued,"
            f" {calls.n_entered} entered, {calls.n_responding} with an open response"
        )
        state.telemetry.report_violation(Invariant.PLANNED_STOP_CUT, detail)


def make_state(cfg: NodeConfig, ports: NodePorts, nursery: trio.Nursery) -> NodeState:
    """Build the state of a node.

    Parameters
    ----------
    cfg : NodeConfig
        Settings of the node.
    ports : NodePorts
        External interfaces.
    nursery : trio.Nursery
        Nursery for the tasks of links.

    Returns
    -------
    NodeState
        The state; no task runs yet.
    """
    clock, rng = ports.clock, ports.rng
    telemetry = make_telemetry(cfg.telemetry, cfg.name, clock)
    handlers = Handlers()
    hello = Hello(cfg.name, ports.incarnation, cfg.data_centre, cfg.peer_address)

    def record_link_change(peer: Hello, is_up: bool) -> None:
        kind = EventKind.LINK_UP if is_up else EventKind.LINK_DOWN
        telemetry.ring.record(kind, peer=peer.node)

    wire = make_wire_context(cfg, hello, handlers, telemetry)
    dial = ports.dial(nursery)
    peers = LinkPeers(LinkSettings(), wire, dial, nursery, record_link_change)
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


def _register_handlers(state: NodeState) -> None:
    for module in _HANDLER_MODULES:
        module.register(state)


async def _step_gate(state: NodeState) -> None:
    """Update the limit and the level of the gate periodically.

    The interval is longer without calls, since each wake-up then costs as much as the
    step itself.
    """
    n_idle = 0
    while True:
        interval_ms = state.cfg.gate.step_ms
        await sleep_ms(
            interval_ms
            if n_idle < _STEPS_BEFORE_IDLE
            else interval_ms * _IDLE_INTERVAL_FACTOR
        )
        state.gate.step()
        is_idle = state.gate.in_flight == 0 and state.gate.n_waiting == 0
        n_idle = n_idle + 1 if is_idle else 0


async def _poll_backend_load(state: NodeState) -> None:
    """Poll the load that the backend server reports, which may be outdated or wrong."""
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
        await sleep_ms(_LOAD_POLL_INTERVAL_MS)
