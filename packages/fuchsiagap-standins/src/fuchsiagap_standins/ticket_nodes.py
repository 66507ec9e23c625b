"""Nodes that handle tickets only, with links that a test can break or delay.

Home nodes, hand-over and messages are those of the real node. Membership, links and
dispatch are fakes.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, TypeAlias

import trio

from fuchsiagap.core.calls.outcome import Answered, Outcome
from fuchsiagap.core.clock import trio_clock
from fuchsiagap.core.membership.member import Member, MemberState
from fuchsiagap.core.telemetry.telemetry import TelemetrySettings, make_telemetry
from fuchsiagap.core.tickets.settings import TicketSettings
from fuchsiagap.core.tickets.tickets import Tickets
from fuchsiagap_node.core.callpath import home, home_tickets
from fuchsiagap_node.core.callpath.home import at_home
from fuchsiagap_node.core.callpath.home_lookup import (
    LocalHome,
    RemoteHome,
    find_home,
    outcome_of_relay,
)
from fuchsiagap_node.core.drain import takeover
from fuchsiagap_node.core.peers.handlers import Handlers
from fuchsiagap_node.core.ports import LinkLost
from fuchsiagap_node.core.wire import codec
from fuchsiagap_node.core.wire.messages_call import (
    HomeCallMessage,
    head_from_wire,
    head_to_wire,
)
from fuchsiagap_standins.builders import an_unknown

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.calls.head import CallHead
    from fuchsiagap.core.tickets.ticket import Ticket

Runner: TypeAlias = "Callable[[CallHead, bytes], Awaitable[Outcome]]"


@dataclass(slots=True, eq=False)
class FakeBackends:
    """Backend servers that run calls and count the runs of each one.

    Parameters
    ----------
    runner : callable
        Runs one call and returns its outcome.
    runs : dict
        Number of runs by ticket and child key.
    """

    runner: Runner
    runs: dict[tuple[Ticket | None, str], int] = field(default_factory=dict)

    def n_runs(self, ticket: Ticket, child_key: str = "") -> int:
        """Return the number of runs of a call."""
        return self.runs.get((ticket, child_key), 0)

    def record_run(self, head: CallHead) -> None:
        """Count a run of a call; called by the runner."""
        key = (head.ticket, head.child_key)
        self.runs[key] = self.runs.get(key, 0) + 1


@dataclass(slots=True, eq=False)
class TicketNet:
    """Set of ticket nodes with fake membership and links.

    Parameters
    ----------
    backends : FakeBackends
        Backend servers, shared by all nodes.
    nursery : trio.Nursery
        Nursery of the nodes' tasks.
    cfg : TicketSettings
        Ticket settings of every node.
    nodes : dict
        State of each running node by peer address.
    members : dict
        Member records that all nodes see, by node name.
    unreachable : set of str
        Peer addresses to which no message is sent and from which no reply arrives.
    lose_reply : callable
        Takes address and message, and returns whether the reply is lost after the
        message has taken effect.
    before_delivery : callable
        Awaited with address and message before each delivery, for example to delay it;
        None if there is nothing to await.
    """

    backends: FakeBackends
    nursery: trio.Nursery
    cfg: TicketSettings = field(default_factory=TicketSettings)
    nodes: dict[str, Any] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    lose_reply: Callable[[str, object], bool] = lambda _address, _msg: False
    before_delivery: Callable[[str, object], Awaitable[None]] | None = None

    async def start(self, name: str, incarnation: int = 1) -> Any:
        """Start a node, or restart one with a new incarnation."""
        state = self._make_state(name, incarnation)
        self.nodes[state.cfg.peer_address] = state
        self.members[name] = Member(name, incarnation, state.cfg.peer_address, "hall-a")
        home_tickets.register(state)
        takeover.register(state)

        async def on_call(_peer: str, msg: HomeCallMessage) -> Outcome:
            head = head_from_wire(msg.head, state.clock.now())
            return await at_home(state, head, msg.body, self.run_of(head, msg.body))

        state.handlers.on_request(HomeCallMessage, on_call)
        self.nursery.start_soon(self._run, state)
        await state.tickets.ready.wait()
        return state

    async def _run(self, state: Any) -> None:
        with state.scope:
            await home.run(state)

    def _make_state(self, name: str, incarnation: int) -> Any:
        clock = trio_clock(0.0)
        telemetry = TelemetrySettings(stop_on_violation=True)
        return SimpleNamespace(
            node=name,
            cfg=SimpleNamespace(peer_address=f"{name}:{incarnation}"),
            clock=clock,
            handlers=Handlers(),
            leaving=False,
            membership=_FakeMembership(self.members),
            peers=_FakePeers(self, name),
            scope=trio.CancelScope(),
            stopped=trio.Event(),
            telemetry=make_telemetry(telemetry, name, clock),
            tickets=Tickets(self.cfg, name, incarnation, clock),
        )

    def crash(self, state: Any) -> None:
        """Stop a node without notice; it can no longer be reached."""
        self.nodes.pop(state.cfg.peer_address, None)
        state.scope.cancel()
        state.stopped.set()

    def announce_left(self, state: Any, successor: str) -> None:
        """Record that a node has left and which node took over its tickets."""
        self.members[state.node] = Member(
            state.node,
            state.tickets.own.incarnation,
            state.cfg.peer_address,
            "hall-a",
            state=MemberState.LEFT,
            successor=successor,
            handed_incarnation=state.tickets.own.incarnation,
        )

    def announce_successor(self, old: Member) -> None:
        """Record the successor of a node's previous incarnation in its new record."""
        self.members[old.node] = replace(
            self.members[old.node],
            successor=old.successor,
            handed_incarnation=old.handed_incarnation,
        )

    def run_of(self, head: CallHead, body: bytes) -> home.Run:
        """Return a function that runs a call at the backend servers."""

        async def run() -> Outcome:
            return await self.backends.runner(head, body)

        return run

    async def call(self, state: Any, head: CallHead, body: bytes = b"") -> Outcome:
        """Send a non-idempotent call through a node, and return its outcome."""
        assert head.ticket is not None
        location = find_home(state, head.ticket)
        if isinstance(location, LocalHome):
            return await at_home(state, head, body, self.run_of(head, body))
        if isinstance(location, RemoteHome):
            msg = HomeCallMessage(head_to_wire(head, state.clock.now()), body)
            reply = await state.peers.ask(location.address, msg)
            return outcome_of_relay(head, reply, first_copy=False)
        return an_unknown(location.reason)


@dataclass(frozen=True, slots=True)
class _FakeMembership:
    members: dict[str, Member]

    def get(self, node: str) -> Member | None:
        return self.members.get(node)

    def successor_of(self, node: str, incarnation: int) -> str:
        known = self.members.get(node)
        if known is None or known.handed_incarnation != incarnation:
            return ""
        return known.successor


@dataclass(frozen=True, slots=True)
class _FakePeers:
    net: TicketNet
    name: str

    async def ask(self, address: str, message: object) -> object:
        net = self.net
        message = codec.decode(codec.encode(message))
        await trio.lowlevel.checkpoint()
        if address in net.unreachable or address not in net.nodes:
            return LinkLost(sent=False, detail=f"{address} is not reached")
        if net.before_delivery is not None:
            await net.before_delivery(address, message)
        state = net.nodes.get(address)
        if state is None:
            return LinkLost(sent=True, detail=f"{address} stopped before delivery")
        reply: object = LinkLost(
            sent=True, detail=f"{address} stopped before its reply"
        )
        with trio.CancelScope() as scope:
            # When a node stops, the peers' requests that it handles are cancelled.
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_with, state, scope)
                reply = await state.handlers.request_handlers[type(message)](
                    self.name, message
                )
                nursery.cancel_scope.cancel()
        if net.lose_reply(address, message) or address in net.unreachable:
            return LinkLost(sent=True, detail="the reply was lost")
        if isinstance(reply, LinkLost):
            return reply
        return codec.decode(codec.encode(reply))


async def _cancel_with(state: Any, scope: trio.CancelScope) -> None:
    await state.stopped.wait()
    scope.cancel()


def counting_runner(
    backends_of: Callable[[], FakeBackends], duration_s: float = 0.0
) -> Runner:
    """Return a runner that answers each call with its number of runs.

    Parameters
    ----------
    backends_of : callable
        Returns the backend servers that count the runs.
    duration_s : float, default=0.0
        Duration of a run in seconds.
    """

    async def runner(head: CallHead, body: bytes) -> Outcome:
        backends = backends_of()
        backends.record_run(head)
        await trio.sleep(duration_s)
        count = backends.runs[(head.ticket, head.child_key)]
        return Answered(200, (), b"run %d of %s" % (count, body))

    return runner
