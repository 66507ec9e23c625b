"""Receiving end of the links on which other nodes send calls to this one."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from fuchsiagap.core.backend_queue.departures import Departure
from fuchsiagap.core.backend_queue.server_load import NO_SPEED
from fuchsiagap.core.quarantine.quarantine import Crash, HeldRequest
from fuchsiagap.core.retries.rank_coverage import N_SAMPLING_KEYS
from fuchsiagap_node.core.mesh.body_memory import BodyMemory, BodySizes
from fuchsiagap_node.core.mesh.frames import BadFrame, DroppedCall
from fuchsiagap_node.core.mesh.large_frames import LARGE_BODY_BYTES
from fuchsiagap_node.core.mesh.link import FramedLink
from fuchsiagap_node.core.mesh.messages import (
    NO_CALLS,
    Call,
    Cancel,
    Cleared,
    ConfigQuery,
    DepartureReceipt,
    DownstreamSummary,
    EncodedConfig,
    Hello,
    NoticeReport,
    Ping,
    Pong,
    Reply,
    StalenessQuery,
    StalenessReply,
    Status,
    TokenGrant,
    TokenRequest,
)
from fuchsiagap_node.core.mesh.outcome import NO_MEMORY, Answered, NotRun
from fuchsiagap_node.core.mesh.pending_call import PendingCall
from fuchsiagap_node.core.mesh.server_speed import differs_in_speed, is_slow
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.backend_queue import BackendQueue
    from fuchsiagap_node.core.mesh.crash_reports import Post, Report
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.frames import Dropped
    from fuchsiagap_node.core.mesh.messages import Message
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.stream import Stream


# Downstream summary of a call that was not queued.
_NO_DOWNSTREAM_INFO = DownstreamSummary(NO_CALLS, 0)
# Milliseconds after the load was last sent to a node, during which a change of the load
# alone is not sent to it in a status.
_LOAD_FRESH_MS = 1_000.0
# The same for a node that was told that the server is slow: it sends its calls
# elsewhere, so no reply tells it that the load moved with them.
_SLOW_LOAD_FRESH_MS = 200.0
# Milliseconds after the last call of a node during which it is told at once that the
# server has become slow. Other nodes see that in the reply to their next call.
_CALLED_RECENTLY_MS = 2_000.0


@dataclass(slots=True, eq=False)
class _Sender:
    """A node that sends calls to this one on a link.

    Parameters
    ----------
    pending_calls : dict of int to PendingCall
        Its calls that have no reply yet, by call number.
    last_status : Status or None
        The last status sent to it.
    load_sent_at : float
        Local time in milliseconds at which it was last sent the load, in a reply or a
        status.
    called_at : float
        Local time in milliseconds of its last call.
    speed_sent : int
        The last speed of the server sent to it.
    node : str
        Its name; empty until its greeting has arrived.
    """

    pending_calls: dict[int, PendingCall] = field(default_factory=dict)
    last_status: Status | None = None
    load_sent_at: Milliseconds = float("-inf")
    called_at: Milliseconds = float("-inf")
    speed_sent: int = NO_SPEED
    node: str = ""


class InboundLinks:
    """Accepts links from other nodes and answers the messages on them.

    Parameters
    ----------
    hello : Hello
        Greeting of this node.
    backend_queue : BackendQueue
        Queue to which calls are submitted.
    status : callable
        Returns the current status of the backend server.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Event log and counters.
    poller : Poller
        Reads the connections.

    Attributes
    ----------
    on_hello : callable
        Called with the greeting of each node that opens a link.
    config_text : callable
        Returns the encoded active configuration, or None.
    downstream_fullness : callable
        Returns the fullness of the services that a route's requests call.
    downstream_keys : callable
        Returns the sampling keys that the retry budgets of these services cover, given
        the route and the rank of a call.
    on_report : callable
        Called with another node's report of requests that crash servers, and with the
        name of that node.
    on_notice : callable
        Called with the limit or departure of a server and the name of the node that
        sent it.
    on_departure : callable
        Called with the departure of a backend server, and with the name and the send
        function of the node that sent it.
    on_departure_receipt : callable
        Called with the confirmation that another node has received a departure, and
        its name.
    send_snapshot : callable
        Sends a newly linked node, given its send function and name, the state that it
        needs before it may send calls.
    answer_staleness : callable
        Returns the reply to a staleness query: how long ago the active configuration
        was last known to be the newest. None if that is not known.
    grant_tokens : callable
        Returns the tokens that this node grants from a quota that it owns.
    body_memory : BodyMemory
        Memory for bodies.
    sizes : BodySizes
        Sizes of the requests that the local backend server has answered and of their
        responses, by route.
    """

    def __init__(
        self,
        hello: Hello,
        backend_queue: BackendQueue,
        status: Callable[[], Status],
        clock: Clock,
        event_log: EventLog,
        poller: Poller,
    ) -> None:
        self._poller = poller
        self._hello = hello
        self._backend_queue = backend_queue
        self._status = status
        self._clock = clock
        self._event_log = event_log
        self._links: dict[FramedLink, _Sender] = {}
        self._by_node: dict[str, FramedLink] = {}
        self.on_hello: Callable[[Hello], None] = _ignore
        self.config_text: Callable[[], EncodedConfig | None] = _no_config
        self.downstream_fullness: Callable[[str], float] = _no_calls
        self.downstream_keys: Callable[[str, int], int] = _all_keys
        self.on_report: Callable[[Report, str], None] = _ignore_report
        self.on_notice: Callable[[NoticeReport, str], None] = _ignore_notice
        self.on_departure: Callable[[Departure, str, Post], None] = _ignore_departure
        self.on_departure_receipt: Callable[[DepartureReceipt, str], None] = (
            _ignore_receipt
        )
        self.send_snapshot: Callable[[Post, str], None] = _ignore_post
        self.answer_staleness: Callable[[StalenessQuery], StalenessReply | None] = (
            _no_staleness
        )
        self.grant_tokens: Callable[[TokenRequest], TokenGrant] = _no_tokens
        self.body_memory = BodyMemory()
        self.sizes = BodySizes()

    def posts(self) -> Iterator[tuple[str, Post]]:
        """Yield the name and the send function of each node with an open link."""
        for link, sender in self._links.items():
            if link.hello_sent and sender.node:
                yield sender.node, link.post

    def last_received_at(self, node: str) -> Milliseconds:
        """Return when a node last sent data on its link; -inf if it has no link."""
        link = self._by_node.get(node)
        return float("-inf") if link is None else link.last_received_at

    def has_undelivered_replies(self) -> bool:
        """Whether a node has not acknowledged the reply to one of its calls."""
        return any(link.has_undelivered_reply() for link in self._links)

    def close_all(self) -> None:
        """Close every link; nodes that still need one reconnect."""
        for link in list(self._links):
            link.close()

    async def serve(self, stream: Stream) -> None:
        """Serve one link until it ends."""
        link = FramedLink(stream, self._clock, self.body_memory)
        sender = self._links[link] = _Sender()
        pending_calls = sender.pending_calls

        def handle(message: Message | Dropped) -> None:
            self._handle_message(link, sender, message)

        try:
            await link.serve(self._poller, handle)
        except (BrokenStream, BadFrame) as exc:
            self._event_log.event(
                "link-ended", cause=str(exc), calls=len(pending_calls)
            )
        except Exception as exc:
            self._event_log.log_exception("taking-link", exc)
        finally:
            del self._links[link]
            if self._by_node.get(sender.node) is link:
                del self._by_node[sender.node]
            for pending in list(pending_calls.values()):
                self._backend_queue.cancel(pending)
            link.close()

    def _handle_message(
        self, link: FramedLink, sender: _Sender, message: Message | Dropped
    ) -> None:
        match message:
            case Call() as call:
                self._handle_call(link, sender, call)
            case DroppedCall(call_id):
                self._refuse(link, call_id)
            case Cancel(call_id):
                pending = sender.pending_calls.pop(call_id, None)
                if pending is not None:
                    self._backend_queue.cancel(pending)
            case Ping():
                link.post(Pong())
            case Hello() as hello:
                self._greet(link, sender, hello)
            case Crash() | HeldRequest() | Cleared() as report:
                self.on_report(report, sender.node)
            case NoticeReport() as notice:
                self.on_notice(notice, sender.node)
            case Departure() as departure:
                self.on_departure(departure, sender.node, link.post)
            case DepartureReceipt() as receipt:
                self.on_departure_receipt(receipt, sender.node)
            case StalenessQuery() as query:
                staleness_reply = self.answer_staleness(query)
                if staleness_reply is not None:
                    link.post(staleness_reply)
            case TokenRequest() as query:
                link.post(self.grant_tokens(query))
            case ConfigQuery():
                text = self.config_text()
                if text is not None:
                    link.post(text)

    def _greet(self, link: FramedLink, sender: _Sender, hello: Hello) -> None:
        """Answer the greeting of a node."""
        link.post_hello(self._hello, hello.compressed)
        sender.node = hello.node
        self._by_node[hello.node] = link
        # Precedes the status, after which the other node may begin to send calls.
        self.send_snapshot(link.post, hello.node)
        self._post_status(link, sender, self._status())
        self.on_hello(hello)

    def _handle_call(self, link: FramedLink, sender: _Sender, call: Call) -> None:
        pending_calls, call_id = sender.pending_calls, call.call_id
        memory, n_held = self.body_memory, len(call.body)
        n_expected = min(self.sizes.expected(call.route), LARGE_BODY_BYTES)
        if not memory.admits(max(n_held, round(n_expected)), call.rank):
            self._refuse(link, call_id)
            return
        memory.hold(n_held)

        def reply(outcome: Outcome) -> None:
            memory.release(n_held)
            # Refers to the pending call by number, as a cycle would keep its body.
            pending = pending_calls.pop(call_id, None)
            if pending is not None:
                call = pending.call
                if isinstance(outcome, Answered):
                    self.sizes.record(call.route, n_held + len(outcome.body))
                queue = self._backend_queue
                downstream = pending.summarize_nested_calls(
                    self.downstream_fullness(call.route),
                    min(
                        queue.covered_keys(call.rank),
                        self.downstream_keys(call.route, call.rank),
                    ),
                )
                sender.load_sent_at = self._clock.now()
                sender.speed_sent = queue.speed
                link.post(self._reply_to(call_id, outcome, downstream))

        sender.called_at = self._clock.now()
        pending_calls[call_id] = pending = PendingCall.of(call, sender.called_at, reply)
        self._backend_queue.submit(pending)

    def _refuse(self, link: FramedLink, call_id: int) -> None:
        """Refuse a call for whose body there is no memory."""
        link.post(self._reply_to(call_id, NotRun(NO_MEMORY), _NO_DOWNSTREAM_INFO))

    def _reply_to(
        self, call_id: int, outcome: Outcome, downstream: DownstreamSummary
    ) -> Reply:
        """Return the reply to a call, with the load of the backend server."""
        queue = self._backend_queue
        load, offered = queue.reported_load, queue.offered()
        return Reply(call_id, outcome, load, offered, downstream, queue.speed)

    def send_status(self) -> None:
        """Send the backend server's status to the senders whose copy is outdated.

        A change of the load alone is not sent to a sender that had a reply or a status
        recently, since replies carry the load. Without this rule, four statuses per
        second on each of 80 links cost more than the calls of a node. Small changes of
        the server's speed are sent in replies only.
        """
        status = self._status()
        now = self._clock.now()
        for link, sender in self._links.items():
            if link.hello_sent and _is_outdated(sender, status, now):
                self._post_status(link, sender, status)

    def _post_status(self, link: FramedLink, sender: _Sender, status: Status) -> None:
        link.post(status)
        sender.last_status = status
        sender.speed_sent = status.speed
        sender.load_sent_at = self._clock.now()


def _is_outdated(sender: _Sender, status: Status, now: Milliseconds) -> bool:
    """Whether a sender has to be sent a status."""
    if sender.last_status is None or _needs_speed(sender, status.speed, now):
        return True
    last_status = replace(sender.last_status, speed=status.speed)
    if last_status == status:
        return False
    if replace(last_status, load=status.load, offered=status.offered) == status:
        fresh_ms = _SLOW_LOAD_FRESH_MS if is_slow(sender.speed_sent) else _LOAD_FRESH_MS
        return now - sender.load_sent_at >= fresh_ms
    return True


def _needs_speed(sender: _Sender, speed: int, now: Milliseconds) -> bool:
    """Whether a sender has to be sent a changed speed of the server."""
    sent = sender.speed_sent
    if not differs_in_speed(sent, speed):
        return False
    # A sender that was told that the server is slow may send it no calls, and so would
    # not see in a reply that it no longer is.
    was_told = NO_SPEED in (sent, speed) or is_slow(sent)
    return was_told or now - sender.called_at < _CALLED_RECENTLY_MS


def _ignore(_: object) -> None:
    """Ignore a message."""


def _ignore_report(_: Report, __: str) -> None:
    """Ignore a report."""


def _ignore_post(_: Post, __: str) -> None:
    """Send no snapshot."""


def _ignore_departure(_: Departure, __: str, ___: Post) -> None:
    """Ignore a departure."""


def _ignore_receipt(_: DepartureReceipt, __: str) -> None:
    """Ignore a receipt."""


def _ignore_notice(_: NoticeReport, __: str) -> None:
    """Ignore a notice."""


def _no_config() -> None:
    """Return no configuration."""


def _no_staleness(_: StalenessQuery) -> None:
    """Return no age."""


def _no_tokens(query: TokenRequest) -> TokenGrant:
    """Return a grant of no tokens, as this node owns no quota."""
    return TokenGrant(query.query_id, query.workspace, 0, 0.0, is_owner=False)


def _no_calls(_: str) -> float:
    """Return the value for a route whose requests make no nested calls."""
    return NO_CALLS


def _all_keys(_: str, __: int) -> int:
    """Return the value for a route whose call trees are all covered."""
    return N_SAMPLING_KEYS
