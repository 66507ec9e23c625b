"""Links between nodes in memory, with delay, cuts, losses and pauses."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core.ports import Dial, DialFailed, Link, LinkClosed

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class LinkProfile:
    """How links of a fake network behave when nothing is wrong.

    Parameters
    ----------
    delay : float
        Milliseconds one way.
    jitter : float
        Milliseconds added at most, evenly drawn; frames of a link stay in order.
    dial_timeout : float
        Milliseconds until dialling a node that cannot be reached fails.
    capacity : int
        Frames under way in one direction before the sender has to wait.
    """

    delay: Milliseconds = 0.5
    jitter: Milliseconds = 0.1
    dial_timeout: Milliseconds = 1_000.0
    capacity: int = 256


class FakeNetwork:
    """A network of nodes in one process.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    profile : LinkProfile
        Of all links.

    Notes
    -----
    A cut or a pause holds frames back until it ends, as TCP would; it closes no
    link. `crash` and `drop_links` close links, and what was under way is lost.
    The tasks of a paused node go on running here, but nothing of what they send
    gets out and nothing gets in before `resume`.
    """

    def __init__(self, rng: random.Random, profile: LinkProfile | None = None) -> None:
        self.profile = profile or LinkProfile()
        self._rng = rng
        self._listeners: dict[str, Callable[[Link], Awaitable[object]]] = {}
        self._pipes: list[_Pipe] = []
        self._cuts: set[frozenset[str]] = set()
        self._paused: set[str] = set()
        self._changed = trio.Event()

    async def listen(
        self, address: str, serve: Callable[[Link], Awaitable[object]]
    ) -> None:
        """Serve the links dialled to an address until cancelled.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        serve : callable
            Started as a task of its own with each accepted link.
        """
        async with trio.open_nursery() as nursery:

            async def accept(link: Link) -> None:
                nursery.start_soon(serve, link)

            self._listeners[address] = accept
            try:
                await trio.sleep_forever()
            finally:
                # After a crash another node may listen there.
                if self._listeners.get(address) is accept:
                    del self._listeners[address]

    def dial_from(self, source: str) -> Dial:
        """Return the function by which the node at `source` dials others."""
        return partial(self._dial, source)

    def cut(self, side_a: set[str], side_b: set[str]) -> None:
        """Hold back all frames between two sets of addresses."""
        self._cuts |= {frozenset((a, b)) for a in side_a for b in side_b if a != b}
        self._notify()

    def heal(self) -> None:
        """End all cuts; frames held back are on their way again."""
        self._cuts.clear()
        self._notify()

    def pause(self, address: str) -> None:
        """Hold back all frames from and to a node."""
        self._paused.add(address)
        self._notify()

    def resume(self, address: str) -> None:
        """End the pause of a node."""
        self._paused.discard(address)
        self._notify()

    def drop_links(self, address: str, other: str | None = None) -> int:
        """Close links of a node at both ends; frames under way are lost.

        Parameters
        ----------
        address : str
            The node.
        other : str, optional
            Only links with this node.

        Returns
        -------
        int
            Number of links closed.
        """
        lost = 0
        for pipe in list(self._pipes):
            if address in pipe.ends and (other is None or other in pipe.ends):
                self._close(pipe, "the link was lost")
                lost += 1
        return lost // 2

    def crash(self, address: str) -> None:
        """Stop listening at an address and close its links."""
        self._listeners.pop(address, None)
        self.drop_links(address)

    def reachable(self, source: str, target: str) -> bool:
        """Whether frames get from one address to the other now."""
        if source in self._paused or target in self._paused:
            return False
        return frozenset((source, target)) not in self._cuts

    @property
    def n_links(self) -> int:
        """Number of open links."""
        return len(self._pipes) // 2

    async def _dial(self, source: str, address: str) -> Link | DialFailed:
        with trio.move_on_after(self.profile.dial_timeout / MS_PER_S):
            await self._until_reachable(source, address)
            await trio.sleep(2 * self._draw_delay())
            accept = self._listeners.get(address)
            if accept is None:
                return DialFailed(address, "nobody listens there")
            to_target = _Pipe(source, address)
            to_source = _Pipe(address, source)
            self._pipes += (to_target, to_source)
            await accept(_MemoryLink(self, incoming=to_target, outgoing=to_source))
            return _MemoryLink(self, incoming=to_source, outgoing=to_target)
        return DialFailed(address, "timeout")

    async def _until_reachable(self, source: str, target: str) -> None:
        while not self.reachable(source, target):
            await self._changed.wait()

    def _draw_delay(self) -> float:
        jitter = self._rng.uniform(0.0, self.profile.jitter)
        return (self.profile.delay + jitter) / MS_PER_S

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _close(self, pipe: _Pipe, detail: str) -> None:
        pipe.closed = LinkClosed(detail)
        pipe.frames.clear()
        pipe.notify()
        if pipe in self._pipes:
            self._pipes.remove(pipe)


@dataclass(eq=False, slots=True)
class _Pipe:
    """One direction of a link."""

    source: str
    target: str
    frames: deque[tuple[float, bytes]] = field(default_factory=deque)
    last_arrival: float = -math.inf
    closed: LinkClosed | None = None
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def ends(self) -> tuple[str, str]:
        return self.source, self.target

    def notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class _MemoryLink:
    """One end of a link; implements `fuchsiagap_node.core.ports.Link`."""

    def __init__(self, network: FakeNetwork, incoming: _Pipe, outgoing: _Pipe) -> None:
        self._network = network
        self._incoming = incoming
        self._outgoing = outgoing

    async def send(self, frame: bytes) -> LinkClosed | None:
        """Hand a frame to the link."""
        pipe = self._outgoing
        await trio.lowlevel.checkpoint()
        while (
            pipe.closed is None and len(pipe.frames) >= self._network.profile.capacity
        ):
            await pipe.changed.wait()
        if pipe.closed is not None:
            return pipe.closed
        arrival = trio.current_time() + self._network._draw_delay()
        pipe.last_arrival = max(arrival, pipe.last_arrival)
        pipe.frames.append((pipe.last_arrival, frame))
        pipe.notify()
        return None

    async def receive(self) -> bytes | LinkClosed:
        """Wait for the next frame that gets through."""
        pipe = self._incoming
        await trio.lowlevel.checkpoint()
        while True:
            if pipe.closed is not None and not pipe.frames:
                return pipe.closed
            if not pipe.frames:
                await pipe.changed.wait()
            elif not self._network.reachable(pipe.source, pipe.target):
                await self._network._changed.wait()
            elif (arrival := pipe.frames[0][0]) > trio.current_time():
                await trio.sleep_until(arrival)
            else:
                _, frame = pipe.frames.popleft()
                pipe.notify()
                return frame

    async def aclose(self) -> None:
        """Close the link; frames already sent still arrive, as with TCP."""
        network = self._network
        self._outgoing.closed = LinkClosed("closed by the other end")
        self._outgoing.notify()
        network._close(self._incoming, "closed at this end")
        if self._outgoing in network._pipes:
            network._pipes.remove(self._outgoing)
        await trio.lowlevel.checkpoint()
