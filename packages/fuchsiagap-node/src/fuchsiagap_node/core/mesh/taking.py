"""The taking end of links: one task for each node that sends to this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fuchsiagap_node.core.mesh.frames import (
    BadFrame,
    Call,
    Cancel,
    ConfigText,
    ConfigWanted,
    Hello,
    Ping,
    Pong,
    Reply,
    Status,
)
from fuchsiagap_node.core.mesh.job import Job
from fuchsiagap_node.core.mesh.link import FramedLink
from fuchsiagap_node.core.mesh.pressures import NO_CALLS
from fuchsiagap_node.core.mesh.stream import BrokenStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Clock
    from fuchsiagap_node.core.mesh.door import Door
    from fuchsiagap_node.core.mesh.outcome import Outcome
    from fuchsiagap_node.core.mesh.stream import Stream
    from fuchsiagap_node.core.mesh.telling import Teller


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
    teller : Teller
        Logs and counters.

    Attributes
    ----------
    on_hello : callable
        Told of each node that opens a link.
    config_text : callable
        Returns the adopted configuration, or None.
    below : callable
        Returns the fullness of the services below a route.
    """

    def __init__(
        self,
        hello: Hello,
        door: Door,
        status: Callable[[], Status],
        clock: Clock,
        teller: Teller,
    ) -> None:
        self._hello = hello
        self._door = door
        self._status = status
        self._clock = clock
        self._tell = teller
        self._links: dict[FramedLink, dict[int, Job]] = {}
        self._last: Status | None = None
        self.on_hello: Callable[[Hello], None] = _ignore
        self.config_text: Callable[[], ConfigText | None] = _no_config
        self.below: Callable[[str], float] = _no_calls

    async def serve(self, stream: Stream) -> None:
        """Serve one link until it ends."""
        link = FramedLink(stream, self._clock)
        jobs = self._links[link] = {}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, link, nursery)
                try:
                    await self._receive(link, jobs)
                except (BrokenStream, BadFrame) as exc:
                    self._tell.event("link-ended", cause=str(exc), calls=len(jobs))
                nursery.cancel_scope.cancel()
        except Exception as exc:
            self._tell.fault("taking-link", exc)
        finally:
            del self._links[link]
            for job in list(jobs.values()):
                self._door.cancel(job)
            link.close()

    async def _write(self, link: FramedLink, nursery: trio.Nursery) -> None:
        try:
            await link.write()
        except BrokenStream as exc:
            self._tell.event("link-ended", cause=str(exc))
            nursery.cancel_scope.cancel()

    async def _receive(self, link: FramedLink, jobs: dict[int, Job]) -> None:
        while True:
            for message in await link.read():
                match message:
                    case Call() as call:
                        self._take(link, jobs, call)
                    case Cancel(call_id):
                        job = jobs.pop(call_id, None)
                        if job is not None:
                            self._door.cancel(job)
                    case Ping():
                        link.post(Pong())
                    case Hello() as hello:
                        link.post_hello(self._hello, hello.packed)
                        link.post(self._status())
                        self.on_hello(hello)
                    case ConfigWanted():
                        text = self.config_text()
                        if text is not None:
                            link.post(text)

    def _take(self, link: FramedLink, jobs: dict[int, Job], call: Call) -> None:
        def reply(outcome: Outcome) -> None:
            if jobs.pop(call.call_id, None) is not None:
                below = self.below(call.route)
                link.post(Reply(call.call_id, outcome, self._door.load, below))

        job = Job(call, self._clock.now() + call.left, reply)
        jobs[call.call_id] = job
        self._door.submit(job)

    def tell_status(self) -> None:
        """Send the door's status to every sender if it has changed."""
        status = self._status()
        if status == self._last:
            return
        self._last = status
        for link in self._links:
            if link.greeted:
                link.post(status)


def _ignore(_: object) -> None:
    """Do nothing."""


def _no_config() -> None:
    """Return no configuration."""


def _no_calls(_: str) -> float:
    """Return that no requests make calls."""
    return NO_CALLS
