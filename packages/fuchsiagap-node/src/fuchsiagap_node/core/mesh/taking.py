"""The taking end of links from the nodes that send to this one."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from fuchsiagap.core.quarantine.quarantine import Crash, Held
from fuchsiagap_node.core.mesh.frames import BadFrame
from fuchsiagap_node.core.mesh.job import Job
from fuchsiagap_node.core.mesh.link import FramedLink
from fuchsiagap_node.core.mesh.messages import (
    NO_CALLS,
    Age,
    AgeWanted,
    Call,
    Cancel,
    Cleared,
    ConfigText,
    ConfigWanted,
    Hello,
    Ping,
    Pong,
    Reply,
    Status,
    TokensGranted,
    TokensWanted,
)
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap_node.core.mesh.crash_reports import Post, Report
    from fuchsiagap_node.core.mesh.door import Door
    from fuchsiagap_node.core.mesh.event_log import EventLog
    from fuchsiagap_node.core.mesh.messages import Message
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.poller import Poller
    from fuchsiagap_node.core.mesh.stream import Stream


# Milliseconds for which a sender's knowledge of the load is good enough.
_LOAD_KNOWN_MS = 1_000.0


@dataclass(slots=True, eq=False)
class _Sender:
    """A node that sends calls here.

    Parameters
    ----------
    jobs : dict of int to Job
        Its calls without a reply.
    told : Status or None
        The last status sent to it.
    heard_load_at : float
        When a reply or a status last told it the load.
    node : str
        Its name, once it has said it.
    """

    jobs: dict[int, Job] = field(default_factory=dict)
    told: Status | None = None
    heard_load_at: Milliseconds = float("-inf")
    node: str = ""


class TakingLinks:
    """Links on which other nodes send calls.

    Parameters
    ----------
    hello : Hello
        What this node says of itself.
    door : Door
        The door of the backend server.
    status : callable
        Returns what the door says of its server now.
    clock : Clock
        Time in milliseconds.
    event_log : EventLog
        Logs and counters.
    poller : Poller
        Watches the connections.

    Attributes
    ----------
    on_hello : callable
        Told of each node that opens a link.
    config_text : callable
        Returns the adopted configuration, or None.
    below : callable
        Returns the fullness of the services below a route.
    on_report : callable
        Told what another node reports of requests that crash servers.
    send_snapshot : callable
        Sends a node that has just opened a link what it has to know first.
    answer_age : callable
        Returns how old this node's knowledge of the configuration is, or None.
    answer_tokens : callable
        Returns what this node grants of a quota that it owns.
    """

    def __init__(
        self,
        hello: Hello,
        door: Door,
        status: Callable[[], Status],
        clock: Clock,
        event_log: EventLog,
        poller: Poller,
    ) -> None:
        self._poller = poller
        self._hello = hello
        self._door = door
        self._status = status
        self._clock = clock
        self._event_log = event_log
        self._links: dict[FramedLink, _Sender] = {}
        self._by_node: dict[str, FramedLink] = {}
        self.on_hello: Callable[[Hello], None] = _ignore
        self.config_text: Callable[[], ConfigText | None] = _no_config
        self.below: Callable[[str], float] = _no_calls
        self.on_report: Callable[[Report, str], None] = _ignore_report
        self.send_snapshot: Callable[[Post], None] = _ignore
        self.answer_age: Callable[[AgeWanted], Age | None] = _no_age
        self.answer_tokens: Callable[[TokensWanted], TokensGranted] = _no_tokens

    def posts(self) -> Iterator[tuple[str, Post]]:
        """Yield the nodes that send calls here, and how to tell them something."""
        for link, sender in self._links.items():
            if link.hello_sent and sender.node:
                yield sender.node, link.post

    def last_received_at(self, node: str) -> Milliseconds:
        """Return when a node was last heard of on a link of its own."""
        link = self._by_node.get(node)
        return float("-inf") if link is None else link.last_received_at

    def close_all(self) -> None:
        """Close every link; whoever wants one opens it anew."""
        for link in list(self._links):
            link.close()

    async def serve(self, stream: Stream) -> None:
        """Serve one link until it ends."""
        link = FramedLink(stream, self._clock)
        sender = self._links[link] = _Sender()
        jobs = sender.jobs

        def take(message: Message) -> None:
            self._take_message(link, sender, message)

        try:
            await link.serve(self._poller, take)
        except (BrokenStream, BadFrame) as exc:
            self._event_log.event("link-ended", cause=str(exc), calls=len(jobs))
        except Exception as exc:
            self._event_log.log_exception("taking-link", exc)
        finally:
            del self._links[link]
            if self._by_node.get(sender.node) is link:
                del self._by_node[sender.node]
            for job in list(jobs.values()):
                self._door.cancel(job)
            link.close()

    def _take_message(
        self, link: FramedLink, sender: _Sender, message: Message
    ) -> None:
        match message:
            case Call() as call:
                self._take(link, sender, call)
            case Cancel(call_id):
                job = sender.jobs.pop(call_id, None)
                if job is not None:
                    self._door.cancel(job)
            case Ping():
                link.post(Pong())
            case Hello() as hello:
                self._greet(link, sender, hello)
            case Crash() | Held() | Cleared() as report:
                self.on_report(report, sender.node)
            case AgeWanted() as question:
                age = self.answer_age(question)
                if age is not None:
                    link.post(age)
            case TokensWanted() as question:
                link.post(self.answer_tokens(question))
            case ConfigWanted():
                text = self.config_text()
                if text is not None:
                    link.post(text)

    def _greet(self, link: FramedLink, sender: _Sender, hello: Hello) -> None:
        """Answer the first message of a node."""
        link.post_hello(self._hello, hello.compressed)
        sender.node = hello.node
        self._by_node[hello.node] = link
        # Before the status, on which it may begin to send.
        self.send_snapshot(link.post)
        self._post_status(link, sender, self._status())
        self.on_hello(hello)

    def _take(self, link: FramedLink, sender: _Sender, call: Call) -> None:
        jobs = sender.jobs

        def reply(outcome: Outcome) -> None:
            if jobs.pop(call.call_id, None) is not None:
                below = job.led_to(self.below(call.route))
                sender.heard_load_at = self._clock.now()
                load, offered = self._door.load, self._door.offered()
                link.post(Reply(call.call_id, outcome, load, offered, below))

        job = Job.of(call, self._clock.now(), reply)
        jobs[call.call_id] = job
        self._door.submit(job)

    def tell_status(self) -> None:
        """Send the door's status to the senders that do not know it.

        A change of load alone is not worth a message to a sender that had a reply or a
        status of late: replies carry the load. At four statuses a second on each of 80
        links, telling all of them was more work than the calls of a node.
        """
        status = self._status()
        now = self._clock.now()
        for link, sender in self._links.items():
            if not link.hello_sent or sender.told == status:
                continue
            known_of_late = now - sender.heard_load_at < _LOAD_KNOWN_MS
            if not (known_of_late and _differs_in_load_only(sender.told, status)):
                self._post_status(link, sender, status)

    def _post_status(self, link: FramedLink, sender: _Sender, status: Status) -> None:
        link.post(status)
        sender.told = status
        sender.heard_load_at = self._clock.now()


def _differs_in_load_only(told: Status | None, status: Status) -> bool:
    """Whether a sender would learn nothing new but the load."""
    if told is None:
        return False
    return replace(told, load=status.load, offered=status.offered) == status


def _ignore(_: object) -> None:
    """Do nothing."""


def _ignore_report(_: Report, __: str) -> None:
    """Do nothing."""


def _no_config() -> None:
    """Return no configuration."""


def _no_age(_: AgeWanted) -> None:
    """Return that nothing is known."""


def _no_tokens(question: TokensWanted) -> TokensGranted:
    """Return that this node owns no quota."""
    return TokensGranted(question.question, question.workspace, 0, 0.0, is_owner=False)


def _no_calls(_: str) -> float:
    """Return that no requests make calls."""
    return NO_CALLS
