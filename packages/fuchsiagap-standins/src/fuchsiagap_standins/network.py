"""In-memory network between nodes, with delays, partitions, losses and pauses."""

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
    """Behaviour of a fake network's links while no fault is injected.

    Parameters
    ----------
    delay : float
        Delay in one direction, in milliseconds.
    jitter : float
        Maximum additional delay in milliseconds, drawn from a uniform distribution. The
        frames of a link stay in order.
    dial_timeout : float
        Milliseconds after which dialling an unreachable node fails.
    capacity : int
        Maximum number of frames in flight in one direction. Beyond it, the sender
        waits.
    """

    delay: Milliseconds = 0.5
    jitter: Milliseconds = 0.1
    dial_timeout: Milliseconds = 1_000.0
    capacity: int = 256


class FakeNetwork:
    """In-memory network between nodes of one process.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    profile : LinkProfile, optional
        Delay and capacity of all links; by default a `LinkProfile` with its defaults.

    Notes
    -----
    `cut` and `pause` delay frames until `heal` or `resume`, as TCP would, and close no
    link. `crash` and `drop_links` close links, and the frames in flight are lost. The
    tasks of a paused node keep running, but no frame from or to it is delivered before
    `resume`.
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
        """Accept links at an address until cancelled.

        Parameters
        ----------
        address : str
            Address of the node; any string, for example ``certs-1:7000``.
        serve : callable
            Called in a new task with each accepted link.
        """
        async with trio.open_nursery() as nursery:

            async def accept(link: Link) -> None:
                nursery.start_soon(serve, link)

            self._listeners[address] = accept
            try:
                await trio.sleep_forever()
            finally:
                # After a crash, another node may listen at the address.
                if self._listeners.get(address) is accept:
                    del self._listeners[address]

    def dial_from(self, source: str) -> Dial:
        """Return the function with which the node at `source` dials other nodes."""
        return partial(self._dial, source)

    def cut(self, side_a: set[str], side_b: set[str]) -> None:
        """Delay all frames between two sets of addresses until `heal`."""
        self._cuts |= {frozenset((a, b)) for a in side_a for b in side_b if a != b}
        self._notify()

    def heal(self) -> None:
        """End all partitions; delayed frames are delivered."""
        self._cuts.clear()
        self._notify()

    def pause(self, address: str) -> None:
        """Delay all frames from and to a node until `resume`."""
        self._paused.add(address)
        self._notify()

    def resume(self, address: str) -> None:
        """End the pause of a node; delayed frames are delivered."""
        self._paused.discard(address)
        self._notify()

    def drop_links(self, address: str, other: str | None = None) -> int:
        """Close links of a node at both ends; frames in flight are lost.

        Parameters
        ----------
        address : str
            Address of the node.
        other : str, optional
            Close only links with the node at this address.

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
        """Stop the listener at an address and close its links."""
        self._listeners.pop(address, None)
        self.drop_links(address)

    def reachable(self, source: str, target: str) -> bool:
        """Whether frames are currently delivered between two addresses."""
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
            await trio.sleep(2 * self._draw_delay_s())
            accept = self._listeners.get(address)
            if accept is None:
                return DialFailed(address, "no listener at this address")
            to_target = _Pipe(source, address)
            to_source = _Pipe(address, source)
            self._pipes += (to_target, to_source)
            await accept(_MemoryLink(self, incoming=to_target, outgoing=to_source))
            return _MemoryLink(self, incoming=to_source, outgoing=to_target)
        return DialFailed(address, "timeout")

    async def _until_reachable(self, source: str, target: str) -> None:
        while not self.reachable(source, target):
            await self._changed.wait()

    def _draw_delay_s(self) -> float:
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
    """One direction of a link; `frames` holds arrival time (s) and data of each."""

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
    """One end of an in-memory link; implements `fuchsiagap_node.core.ports.Link`."""

    def __init__(self, network: FakeNetwork, incoming: _Pipe, outgoing: _Pipe) -> None:
        self._network = network
        self._incoming = incoming
        self._outgoing = outgoing

    async def send(self, frame: bytes) -> LinkClosed | None:
        """Send a frame, after a wait if the link is at capacity."""
        pipe = self._outgoing
        await trio.lowlevel.checkpoint()
        while (
            pipe.closed is None and len(pipe.frames) >= self._network.profile.capacity
        ):
            await pipe.changed.wait()
        if pipe.closed is not None:
            return pipe.closed
        arrival = trio.current_time() + self._network._draw_delay_s()
        pipe.last_arrival = max(arrival, pipe.last_arrival)
        pipe.frames.append((pipe.last_arrival, frame))
        pipe.notify()
        return None

    async def receive(self) -> bytes | LinkClosed:
        """Wait until the next frame is delivered."""
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
        """Close the link; frames sent before still arrive, as with TCP."""
        network = self._network
        self._outgoing.closed = LinkClosed("closed by the other end")
        self._outgoing.notify()
        network._close(self._incoming, "closed at this end")
        if self._outgoing in network._pipes:
            network._pipes.remove(self._outgoing)
        await trio.lowlevel.checkpoint()
