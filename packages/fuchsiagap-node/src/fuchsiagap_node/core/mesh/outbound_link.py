"""Outbound end of a link: sends calls to another node and keeps the link open."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.backend_queue.departures import Departure
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_view import NO_EPOCH
from fuchsiagap.core.placement.choice import Target
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.body_memory import BodyMemory
from fuchsiagap_node.core.mesh.frames import BadFrame, DroppedAnswer
from fuchsiagap_node.core.mesh.link import FramedLink
from fuchsiagap_node.core.mesh.messages import (
    NO_CALLS,
    Cleared,
    DepartureReceipt,
    DownstreamSummary,
    EncodedConfig,
    Hello,
    NoticeReport,
    Ping,
    Reply,
    StalenessReply,
    Status,
    TokenGrant,
)
from fuchsiagap_node.core.mesh.outcome import (
    LINK_LOST,
    NO_MEMORY,
    MayHaveRun,
    NotRun,
    Outcome,
)
from fuchsiagap_node.core.mesh.stream import BrokenStream, dial

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.crash_reports import Post, Report
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.frames import Dropped
    from fuchsiagap_node.core.mesh.messages import Call, Message
    from fuchsiagap_node.core.mesh.peers import OnReply
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.stream import Stream

# Downstream summary of a call that gets no reply.
_NO_DOWNSTREAM_INFO = DownstreamSummary(NO_CALLS, 0)
# Timeout for opening a link, in milliseconds: ten round trips between regions and a
# reserve for a busy host.
_CONNECT_TIMEOUT_MS = 1_000.0
# Milliseconds between two attempts to connect, doubled after each up to the maximum.
_RECONNECT_DELAY_MS = 150.0
_MAX_RECONNECT_DELAY_MS = 1_000.0
# Milliseconds between two liveness checks of a link.
LIVENESS_CHECK_INTERVAL_MS = 400.0
# Milliseconds of silence after which a ping is sent if no calls are pending. While
# calls are pending, each liveness check sends one.
_IDLE_PING_AFTER_MS = 1_200.0
# Milliseconds of silence after which the node is suspected and gets no new calls, while
# calls are pending and while idle: longer than two pings.
_SUSPECT_AFTER_MS = 1_000.0
_IDLE_SUSPECT_AFTER_MS = 2_000.0
# Milliseconds of silence after which the link is closed and its pending calls fail,
# while calls are pending and while idle.
_CLOSE_AFTER_MS = 2_200.0
_IDLE_CLOSE_AFTER_MS = 3_400.0


@dataclass(frozen=True, slots=True)
class Member:
    """Identity and address of a node.

    Parameters
    ----------
    node, incarnation : str
        Name, and identifier of the process among those of the same name.
    address : str
        ``IP:PORT`` at which it accepts links.
    data_centre, service : str
        Its data centre, and the service of the backend server on its host.
    departures : tuple of Departure, default=()
        Last departures of servers beside it.
    """

    node: str
    incarnation: str
    address: str
    data_centre: str
    service: str
    departures: tuple[Departure, ...] = ()


class OutboundLink:
    """Link to the backend queue of another node.

    Parameters
    ----------
    member : Member
        The node.
    hello : Hello
        First message on a link, which describes this node.
    local : bool
        Whether the node is in the same data centre as this node.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log and counters.
    poller : Poller
        Reports when the connection is readable.

    Attributes
    ----------
    member : Member
        The node.
    target : Target
        State of the backend server of the node, as known to this node.
    version : int
        Version of the configuration that is active on the node.
    epoch : int
        Epoch of the store that the node last received.
    update_source : UpdateSource
        How the node receives configuration updates.
    on_config : callable
        Called with a configuration that the node sends.
    on_status : callable
        Called when the status of the node changes.
    on_report : callable
        Called with a report of requests that crash backend servers.
    on_notice : callable
        Called with the limit or departure of the node's server and the node's name.
    on_departure : callable
        Called with the departure of a backend server, the node's name and its send
        function.
    on_departure_receipt : callable
        Called when the node confirms that it has received a departure.
    on_staleness : callable
        Called with the staleness of the node's configuration and the node's name.
    on_token_grant : callable
        Called with tokens that the node grants from a quota that it owns.
    on_open : callable
        Called when the link is ready for use.
    inbound_received_at : callable
        Returns the time of the last data on the link that the node opened to this one.
    send_snapshot : callable
        Sends the initial state to the node.
    body_memory : BodyMemory
        Memory for bodies.
    scope : trio.CancelScope
        Scope of `run`.
    """

    def __init__(
        self,
        member: Member,
        hello: Hello,
        local: bool,
        clock: Clock,
        event_log: EventLog,
        poller: Poller,
    ) -> None:
        self._poller = poller
        self.member = member
        self._hello = hello
        self._clock = clock
        self._event_log = event_log
        self._link: FramedLink | None = None
        self._connection: FramedLink | None = None
        self._pending: dict[int, OnReply] = {}
        self.target = Target(member.node, "", member.service, local, usable=False)
        self.version = 0
        self.epoch = NO_EPOCH
        self.update_source = UpdateSource.PEERS
        # Of two nodes with links in both directions, only one pings while both are
        # idle: its traffic shows the other one that it is alive.
        is_first = hello.node < member.node
        self._idle_ping_after = (
            _IDLE_PING_AFTER_MS
            if is_first
            else _IDLE_PING_AFTER_MS + LIVENESS_CHECK_INTERVAL_MS
        )
        self._reached_at = clock.now()
        self._busy_since = clock.now()
        self._reconnect_at_once = False
        self.on_config: Callable[[EncodedConfig], None] = _ignore
        self.on_status: Callable[[OutboundLink], None] = _ignore
        self.on_report: Callable[[Report, str], None] = _ignore_both
        self.on_notice: Callable[[NoticeReport, str], None] = _ignore_both
        self.on_departure: Callable[[Departure, str, Post], None] = _ignore_departure
        self.on_departure_receipt: Callable[[DepartureReceipt], None] = _ignore
        self.on_staleness: Callable[[StalenessReply, str], None] = _ignore_both
        self.on_token_grant: Callable[[TokenGrant], None] = _ignore
        self.on_open: Callable[[OutboundLink], None] = _ignore
        self.inbound_received_at: Callable[[], Milliseconds] = _never_received
        self.send_snapshot: Callable[[Post], None] = _ignore
        self.body_memory = BodyMemory()
        self.scope = trio.CancelScope()

    @property
    def reached_at(self) -> Milliseconds:
        """Time of the last data from the node; initially when it became known."""
        received_at = (
            self._reached_at if self._link is None else self._link.last_received_at
        )
        return max(received_at, self.inbound_received_at())

    def is_up(self) -> bool:
        """Whether the node is connected and its backend server is usable."""
        return self._link is not None and self.target.usable

    def is_open(self) -> bool:
        """Whether the node is connected."""
        return self._link is not None

    def is_responsive(self) -> bool:
        """Whether the node is connected and not silent, with or without a server."""
        link = self._link
        return link is not None and (
            self._clock.now() - self.reached_at < _IDLE_SUSPECT_AFTER_MS
        )

    def has_no_pending_calls(self) -> bool:
        """Whether no call is waiting for its reply."""
        return not self._pending

    def send(self, call: Call, reply: OnReply) -> None:
        """Send a call; `reply` is called once with its outcome."""
        if self._link is None:
            reply(NotRun(LINK_LOST), _NO_DOWNSTREAM_INFO)
            return
        if not self._pending:
            self._busy_since = self._clock.now()
        self.target.own_in_flight += 1
        self._pending[call.call_id] = reply
        self._link.post(call, call.call_id)

    def cancel(self, call_id: int) -> None:
        """Cancel a call; its reply is ignored."""
        if self._pending.pop(call_id, None) is not None:
            self.target.own_in_flight -= 1
            if self._link is not None:
                self._link.cancel(call_id)

    def close(self) -> None:
        """Close the link if it is open; it is reopened immediately."""
        self.target.usable = False
        if self._connection is not None:
            self._connection.close()
            self._reconnect_at_once = True

    def post(self, message: Message) -> None:
        """Send a message if the link is open; drop it otherwise."""
        if self._link is not None:
            self._link.post(message)

    async def run(self) -> None:
        """Keep the link open, reconnecting with backoff, until cancelled."""
        wait = _RECONNECT_DELAY_MS
        with self.scope:
            while True:
                started = self._clock.now()
                try:
                    stream = await dial(self.member.address, _CONNECT_TIMEOUT_MS)
                    await self._serve(stream)
                except (BrokenStream, BadFrame) as exc:
                    self._event_log.event(
                        "link-failed", to=self.member.node, cause=str(exc)
                    )
                except Exception as exc:
                    self._event_log.log_exception("sending-link", exc)
                if self._reconnect_at_once:
                    self._reconnect_at_once = False
                    continue
                if self._clock.now() - started > _MAX_RECONNECT_DELAY_MS:
                    wait = _RECONNECT_DELAY_MS
                await trio.sleep(wait / MS_PER_S)
                wait = min(2 * wait, _MAX_RECONNECT_DELAY_MS)

    async def _serve(self, stream: Stream) -> None:
        link = FramedLink(stream, self._clock, self.body_memory)
        link.post_hello(self._hello, compressed=not self.target.local)

        def handle(message: Message | Dropped) -> None:
            self._handle_message(link, message)

        self._connection = link
        try:
            await link.serve(self._poller, handle)
        except (BrokenStream, BadFrame) as exc:
            self._event_log.event("link-down", to=self.member.node, cause=str(exc))
        finally:
            self._connection = None
            self._handle_loss(link)
            link.close()

    def check_liveness(self) -> None:
        """Ping a silent node, then suspect it, then close the link."""
        if self._connection is None:
            return
        link = self._connection
        busy = bool(self._pending)
        # While calls are pending, only data on this connection counts, starting from
        # the time when the first of them was sent.
        received_at = max(link.last_received_at, self._busy_since)
        silent = self._clock.now() - (received_at if busy else self.reached_at)
        if silent >= (_CLOSE_AFTER_MS if busy else _IDLE_CLOSE_AFTER_MS):
            self._event_log.event("link-silent", to=self.member.node, silent=silent)
            link.end(BrokenStream("silent"))
            return
        if (
            silent >= (_SUSPECT_AFTER_MS if busy else _IDLE_SUSPECT_AFTER_MS)
            and self.target.usable
        ):
            self.target.usable = False
            self._event_log.event(
                "node-suspected", node=self.member.node, silent=silent
            )
        if (
            silent
            >= (LIVENESS_CHECK_INTERVAL_MS if busy else self._idle_ping_after) * 0.9
        ):
            link.post(Ping())

    def _handle_message(self, link: FramedLink, message: Message | Dropped) -> None:
        match message:
            case Reply() as reply:
                self._handle_reply(reply)
            case DroppedAnswer(call_id):
                self._settle(call_id, MayHaveRun(NO_MEMORY), _NO_DOWNSTREAM_INFO)
            case Status() as status:
                self._handle_status(status)
            case EncodedConfig() as config:
                self.on_config(config)
            case Crash() | HeldRequest() | Cleared() as report:
                self.on_report(report, self.member.node)
            case NoticeReport() as notice:
                self.on_notice(notice, self.member.node)
            case Departure() as departure:
                self.on_departure(departure, self.member.node, link.post)
            case DepartureReceipt() as receipt:
                self.on_departure_receipt(receipt)
            case StalenessReply() as staleness:
                self.on_staleness(staleness, self.member.node)
            case TokenGrant() as grant:
                self.on_token_grant(grant)
            case Hello() as hello:
                self._handle_hello(hello, link)
        if not self.target.usable and self.target.instance and self._link:
            self.target.usable = True

    def _handle_hello(self, hello: Hello, link: FramedLink) -> None:
        """Check that the expected node answers, and activate the link."""
        if hello.node != self.member.node or hello.service != self.member.service:
            raise BrokenStream(f"unexpected node {hello.node} at {self.member.address}")
        self._link = link
        self.send_snapshot(link.post)
        self.on_open(self)
        self._event_log.event("link-up", to=hello.node, incarnation=hello.incarnation)

    def _handle_reply(self, reply: Reply) -> None:
        self.target.others = max(reply.load - self.target.own_in_flight, 0)
        self.target.offered = reply.offered
        self.target.speed = reply.speed
        self._settle(reply.call_id, reply.outcome, reply.downstream)

    def _settle(
        self, call_id: int, outcome: Outcome, downstream: DownstreamSummary
    ) -> None:
        on_outcome = self._pending.pop(call_id, None)
        if on_outcome is None:
            self._event_log.counts["late_replies", ""] += 1
            return
        self.target.own_in_flight -= 1
        on_outcome(outcome, downstream)

    def _handle_status(self, status: Status) -> None:
        target = self.target
        target.instance = status.instance
        target.usable = bool(status.instance)
        target.limit = status.limit
        target.others = max(status.load - target.own_in_flight, 0)
        target.offered = status.offered
        target.failing = status.failing
        target.warming = status.warming
        target.service_ms = status.service_ms
        target.speed = status.speed
        target.refusing = status.refusing
        self.version = status.version
        self.epoch = status.epoch
        self.update_source = status.update_source
        self.on_status(self)

    def _handle_loss(self, link: FramedLink) -> None:
        """Fail the pending calls of a link that has ended."""
        if self._link is not None:
            self._reached_at = link.last_received_at
        self._link = None
        self.target.usable = False
        self.target.instance = ""
        unsent = link.unsent()
        pending, self._pending = self._pending, {}
        self.target.own_in_flight = 0
        for call_id, on_reply in pending.items():
            lost = NotRun(LINK_LOST) if call_id in unsent else MayHaveRun(LINK_LOST)
            on_reply(lost, _NO_DOWNSTREAM_INFO)


def _never_received() -> Milliseconds:
    """Return the time of the last data if none has arrived."""
    return float("-inf")


def _ignore(_: object) -> None:
    """Default callback; does nothing."""


def _ignore_departure(_: object, __: object, ___: object) -> None:
    """Default callback; does nothing."""


def _ignore_both(_: object, __: object) -> None:
    """Default callback; does nothing."""
