"""The sending end of a link: one task for each node that this one sends to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap.core.freshness.store_view import NO_EPOCH
from fuchsiagap.core.placement.choice import Target
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest
from fuchsiagap.core.watching.watcher_rank import UpdateSource
from fuchsiagap_node.core.mesh.frames import BadFrame
from fuchsiagap_node.core.mesh.link import FramedLink
from fuchsiagap_node.core.mesh.messages import (
    NO_CALLS,
    Cleared,
    DownstreamSummary,
    EncodedConfig,
    Hello,
    Ping,
    Reply,
    StalenessReply,
    Status,
    TokenGrant,
)
from fuchsiagap_node.core.mesh.outcome import LINK_LOST, MayHaveRun, NotRun
from fuchsiagap_node.core.mesh.stream import BrokenStream, dial

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.crash_reports import Post, Report
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import Call, Message
    from fuchsiagap_node.core.mesh.peers import OnReply
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.stream import Stream

# What a call led to whose reply does not come.
_NOTHING_KNOWN = DownstreamSummary(NO_CALLS, 0)
# Milliseconds to open a link; ten round trips between regions and room for a busy host.
_DIAL_MS = 1_000.0
# Milliseconds between two attempts to reach a node, doubled up to the second figure.
_REDIAL_MS = 150.0
_REDIAL_MAX_MS = 1_000.0
# Milliseconds between two looks at a link.
LOOK_MS = 400.0
# Milliseconds of silence after which a ping is sent where no calls wait; where some do,
# each look sends one.
_IDLE_PING_MS = 1_200.0
# Milliseconds of silence after which nothing new is sent to the node; beyond two pings.
_SUSPECT_MS = 1_000.0
_IDLE_SUSPECT_MS = 2_000.0
# Milliseconds of silence after which the link is closed and its calls are given back.
_LOST_MS = 2_200.0
_IDLE_LOST_MS = 3_400.0


@dataclass(frozen=True, slots=True)
class Member:
    """A node, as it announces itself.

    Parameters
    ----------
    node, incarnation : str
        Name, and what tells this process from an earlier one.
    address : str
        Where it takes links.
    data_centre, service : str
        Where it stands, and the service of the backend server beside it.
    """

    node: str
    incarnation: str
    address: str
    data_centre: str
    service: str


class OutboundLink:
    """A door on another host.

    Parameters
    ----------
    member : Member
        The node.
    hello : Hello
        What this node says of itself.
    local : bool
        Whether the node stands in this node's data centre.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs and counters.
    poller : Poller
        Watches the connection.

    Attributes
    ----------
    target : Target
        The backend server beside the node, as this node sees it.
    version : int
        Version of the configuration that the node has adopted.
    epoch : int
        Epoch of the store, as the node last heard from it.
    update_source : UpdateSource
        How the node hears of newer ones.
    on_config : callable
        Told the configuration that the node sends.
    on_status : callable
        Told that the node's status changed.
    on_report : callable
        Told what the node reports of requests that crash servers.
    on_staleness : callable
        Told how old the node's knowledge of the configuration is.
    on_token_grant : callable
        Told what the node grants of a quota that it owns.
    on_open : callable
        Told that the link can be used.
    heard_elsewhere : callable
        Returns when the node was last heard of on its own link to this one.
    send_snapshot : callable
        Sends the node what it has to know first.
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
        self._serving: FramedLink | None = None
        self._pending: dict[int, OnReply] = {}
        self.target = Target(member.node, "", member.service, local, usable=False)
        self.version = 0
        self.epoch = NO_EPOCH
        self.update_source = UpdateSource.PEERS
        # Of two nodes that are linked both ways, one asks first and the other is heard.
        is_first = hello.node < member.node
        self._idle_ping = _IDLE_PING_MS if is_first else _IDLE_PING_MS + LOOK_MS
        self._reached_at = clock.now()
        self._busy_since = clock.now()
        self._is_closed_here = False
        self.on_config: Callable[[EncodedConfig], None] = _ignore
        self.on_status: Callable[[OutboundLink], None] = _ignore
        self.on_report: Callable[[Report, str], None] = _ignore_both
        self.on_staleness: Callable[[StalenessReply, str], None] = _ignore_both
        self.on_token_grant: Callable[[TokenGrant], None] = _ignore
        self.on_open: Callable[[OutboundLink], None] = _ignore
        self.heard_elsewhere: Callable[[], Milliseconds] = _never
        self.send_snapshot: Callable[[Post], None] = _ignore
        self.scope = trio.CancelScope()

    @property
    def reached_at(self) -> Milliseconds:
        """When the node was last reached; at first, when it became known."""
        here = self._reached_at if self._link is None else self._link.last_received_at
        return max(here, self.heard_elsewhere())

    def is_up(self) -> bool:
        """Whether the node is linked and heard of."""
        return self._link is not None and self.target.usable

    def is_open(self) -> bool:
        """Whether the node is linked."""
        return self._link is not None

    def is_responsive(self) -> bool:
        """Whether the node is linked and was heard of, also without a server."""
        link = self._link
        return link is not None and (
            self._clock.now() - self.reached_at < _IDLE_SUSPECT_MS
        )

    def is_unused(self) -> bool:
        """Whether no call waits for its reply."""
        return not self._pending

    def send(self, call: Call, reply: OnReply) -> None:
        """Send a call; `reply` is told its outcome, once."""
        if self._link is None:
            reply(NotRun(LINK_LOST), _NOTHING_KNOWN)
            return
        if not self._pending:
            self._busy_since = self._clock.now()
        self.target.own_in_flight += 1
        self._pending[call.call_id] = reply
        self._link.post(call, call.call_id)

    def cancel(self, call_id: int) -> None:
        """Say that a call is no longer wanted."""
        if self._pending.pop(call_id, None) is not None:
            self.target.own_in_flight -= 1
            if self._link is not None:
                self._link.withdraw(call_id)

    def close(self) -> None:
        """Close the link, as far as it is open; it is opened anew at once."""
        self.target.usable = False
        if self._serving is not None:
            self._serving.close()
            self._is_closed_here = True

    def post(self, message: Message) -> None:
        """Send a message if the link is up."""
        if self._link is not None:
            self._link.post(message)

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        wait = _REDIAL_MS
        with self.scope:
            while True:
                started = self._clock.now()
                try:
                    stream = await dial(self.member.address, _DIAL_MS)
                    await self._serve(stream)
                except (BrokenStream, BadFrame) as exc:
                    self._event_log.event(
                        "link-failed", to=self.member.node, cause=str(exc)
                    )
                except Exception as exc:
                    self._event_log.log_exception("sending-link", exc)
                if self._is_closed_here:
                    self._is_closed_here = False
                    continue
                if self._clock.now() - started > _REDIAL_MAX_MS:
                    wait = _REDIAL_MS
                await trio.sleep(wait / MS_PER_S)
                wait = min(2 * wait, _REDIAL_MAX_MS)

    async def _serve(self, stream: Stream) -> None:
        link = FramedLink(stream, self._clock)
        link.post_hello(self._hello, compressed=not self.target.local)

        def take(message: Message) -> None:
            self._take_message(link, message)

        self._serving = link
        try:
            await link.serve(self._poller, take)
        except (BrokenStream, BadFrame) as exc:
            self._event_log.event("link-down", to=self.member.node, cause=str(exc))
        finally:
            self._serving = None
            self._lose(link)
            link.close()

    def tick(self) -> None:
        """Ping a silent node, suspect it, and give the link up."""
        if self._serving is None:
            return
        link = self._serving
        busy = bool(self._pending)
        # Whether this very connection works counts from when a call waits on it.
        here = max(link.last_received_at, self._busy_since)
        silent = self._clock.now() - (here if busy else self.reached_at)
        if silent >= (_LOST_MS if busy else _IDLE_LOST_MS):
            self._event_log.event("link-silent", to=self.member.node, silent=silent)
            link.end(BrokenStream("silent"))
            return
        if silent >= (_SUSPECT_MS if busy else _IDLE_SUSPECT_MS) and self.target.usable:
            self.target.usable = False
            self._event_log.event(
                "node-suspected", node=self.member.node, silent=silent
            )
        if silent >= (LOOK_MS if busy else self._idle_ping) * 0.9:
            link.post(Ping())

    def _take_message(self, link: FramedLink, message: Message) -> None:
        match message:
            case Reply() as reply:
                self._take_reply(reply)
            case Status() as status:
                self._take_status(status)
            case EncodedConfig() as config:
                self.on_config(config)
            case Crash() | HeldRequest() | Cleared() as report:
                self.on_report(report, self.member.node)
            case StalenessReply() as age:
                self.on_staleness(age, self.member.node)
            case TokenGrant() as tokens:
                self.on_token_grant(tokens)
            case Hello() as hello:
                self._check(hello, link)
        if not self.target.usable and self.target.instance and self._link:
            self.target.usable = True

    def _check(self, hello: Hello, link: FramedLink) -> None:
        """Make sure that the right node answers at the address."""
        if hello.node != self.member.node or hello.service != self.member.service:
            raise BrokenStream(f"{hello.node} answers at {self.member.address}")
        self._link = link
        self.send_snapshot(link.post)
        self.on_open(self)
        self._event_log.event("link-up", to=hello.node, incarnation=hello.incarnation)

    def _take_reply(self, reply: Reply) -> None:
        self.target.others = max(reply.load - self.target.own_in_flight, 0)
        self.target.offered = reply.offered
        on_outcome = self._pending.pop(reply.call_id, None)
        if on_outcome is None:
            self._event_log.counts["late_replies", ""] += 1
            return
        self.target.own_in_flight -= 1
        on_outcome(reply.outcome, reply.downstream)

    def _take_status(self, status: Status) -> None:
        target = self.target
        target.instance = status.instance
        target.usable = bool(status.instance)
        target.limit = status.limit
        target.others = max(status.load - target.own_in_flight, 0)
        target.offered = status.offered
        target.failing = status.failing
        target.warming = status.warming
        target.service_ms = status.service_ms
        self.version = status.version
        self.epoch = status.epoch
        self.update_source = status.update_source
        self.on_status(self)

    def _lose(self, link: FramedLink) -> None:
        """Give back the calls of a link that has ended."""
        if self._link is not None:
            self._reached_at = link.last_received_at
        self._link = None
        self.target.usable = False
        self.target.instance = ""
        unsent = link.unsent()
        pending, self._pending = self._pending, {}
        self.target.own_in_flight = 0
        for call_id, reply in pending.items():
            lost = NotRun(LINK_LOST) if call_id in unsent else MayHaveRun(LINK_LOST)
            reply(lost, _NOTHING_KNOWN)


def _never() -> Milliseconds:
    """Return that the node was not heard of."""
    return float("-inf")


def _ignore(_: object) -> None:
    """Do nothing."""


def _ignore_both(_: object, __: object) -> None:
    """Do nothing."""
