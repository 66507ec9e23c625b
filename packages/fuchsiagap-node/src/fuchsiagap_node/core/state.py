"""The state of a node: its settings, its aggregates and its ways out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.callpath.calls import CallTable
from fuchsiagap_node.core.peers.handlers import Handlers

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.admission.gate import Gate
    from fuchsiagap.core.admission.reported_levels import ReportedLevels
    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.calls.outcome import Outcome
    from fuchsiagap.core.clock import Clock
    from fuchsiagap.core.membership.table import Membership
    from fuchsiagap.core.retries.budget import RetryBudget
    from fuchsiagap.core.routing.router import Router
    from fuchsiagap.core.settings.book import SettingsBook
    from fuchsiagap.core.telemetry.telemetry import Telemetry
    from fuchsiagap.core.tickets.tickets import Tickets
    from fuchsiagap_node.core.config import NodeConfig
    from fuchsiagap_node.core.ports import BackendServer, Peers, Platform


async def _serve_unregistered(head: CallHead, body: bytes) -> Outcome:
    raise RuntimeError(f"nothing serves calls yet: {head.call_id}, {len(body)} bytes")


@dataclass(slots=True, eq=False)
class NodeState:
    """All that the tasks of a node share.

    Parameters
    ----------
    cfg : NodeConfig
        The node's own settings.
    incarnation : int
        The life of this process, in milliseconds since the epoch at its start.
    clock : Clock
        The one clock.
    rng : random.Random
        Source of all random choices.
    book : SettingsBook
        Settings of all teams.
    gate : Gate
        Admission of calls to the backend server beside this node.
    levels : ReportedLevels
        Admission levels of the services that this node calls.
    router : Router
        Choice of backend servers.
    budget : RetryBudget
        Retry budgets of the services that this node calls.
    membership : Membership
        The other nodes.
    tickets : Tickets
        Tickets whose home is this node.
    telemetry : Telemetry
        Events, counters and histograms.
    backend : BackendServer
        The backend server on this host.
    platform : Platform
        The platform's object API.
    peers : Peers
        Asking and telling other nodes; set when the links run.
    handlers : Handlers
        Who answers which message.
    calls : CallTable
        Calls in progress.
    drain_requested : trio.Event
        Set by a signal or by an operator.
    leaving : bool
        Whether new work is refused.
    serve : callable
        Runs a call on the backend server of this node, if it is admitted; put in by
        `callpath.serve.register`.
    """

    cfg: NodeConfig
    incarnation: int
    clock: Clock
    rng: random.Random
    book: SettingsBook
    gate: Gate
    levels: ReportedLevels
    router: Router
    budget: RetryBudget
    membership: Membership
    tickets: Tickets
    telemetry: Telemetry
    backend: BackendServer
    platform: Platform
    peers: Peers
    handlers: Handlers = field(default_factory=Handlers)
    calls: CallTable = field(default_factory=CallTable)
    drain_requested: trio.Event = field(default_factory=trio.Event)
    leaving: bool = False
    serve: Callable[[CallHead, bytes], Awaitable[Outcome]] = field(
        default=_serve_unregistered
    )

    @property
    def node(self) -> str:
        """The node's name."""
        return self.cfg.name

    @property
    def name(self) -> str:
        """The node's name."""
        return self.cfg.name

    def request_drain(self) -> None:
        """Ask for a graceful shutdown."""
        self.drain_requested.set()
