"""State of a node that its tasks share."""

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
    raise RuntimeError(
        f"no handler is registered for calls: {head.call_id}, {len(body)} bytes"
    )


@dataclass(slots=True, eq=False)
class NodeState:
    """State of a node that its tasks share.

    Parameters
    ----------
    cfg : NodeConfig
        Settings of the node.
    incarnation : int
        Incarnation of this process: milliseconds since the epoch at its start.
    clock : Clock
        Source of all times.
    rng : random.Random
        Source of all random choices.
    book : SettingsBook
        Settings of all teams.
    gate : Gate
        Admission control for calls to the local backend server.
    levels : ReportedLevels
        Admission levels reported by the services that this node calls.
    router : Router
        Selects instances for calls.
    budget : RetryBudget
        Retry budgets of the services that this node calls.
    membership : Membership
        View of all members, including this node.
    tickets : Tickets
        Tickets whose home is this node.
    telemetry : Telemetry
        Events, metrics and reports of violations.
    backend : BackendServer
        The backend server on this host.
    platform : Platform
        The platform's object API.
    peers : Peers
        Requests and notifications to other nodes.
    handlers : Handlers
        Handlers of messages from other nodes, by message type.
    calls : CallTable
        Calls in progress.
    drain_requested : trio.Event
        Set to start the graceful shutdown.
    leaving : bool
        Whether new calls are refused because the node shuts down.
    serve : callable
        Runs a call on the local backend server if it is admitted; set by
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
        """Request a graceful shutdown."""
        self.drain_requested.set()
