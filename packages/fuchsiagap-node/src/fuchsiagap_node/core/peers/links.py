"""Links of a node by the address of the other node, opened on first use."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds
from fuchsiagap_node.core.peers.conn import PeerConn, WireContext
from fuchsiagap_node.core.ports import DialFailed, LinkClosed, LinkLost

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap_node.core.ports import Dial, Link
    from fuchsiagap_node.core.wire.messages_call import Hello

_IDLE_POLL_S = 0.005


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Timeouts of a link.

    Parameters
    ----------
    dial_timeout : float
        Time to open a link and exchange hellos, in milliseconds.
    redial_pause : float
        Time after a failed dial during which the address counts as down, in
        milliseconds.
    """

    dial_timeout: Milliseconds = 1000.0
    redial_pause: Milliseconds = 100.0


def _ignore_change(_peer: Hello, _is_up: bool) -> None:
    """Ignore a change of a link's state; the default of `on_change`."""


@dataclass(slots=True, eq=False)
class LinkPeers:
    """All links of a node; implements `Peers`.

    Parameters
    ----------
    cfg : LinkSettings
        Timeouts of a link.
    wire : WireContext
        Shared by all links.
    dial : Dial
        Opens a link to an address.
    nursery : trio.Nursery
        Runs the tasks of the links.
    on_change : callable
        Takes the other node's hello and whether the link is up, whenever a link comes
        up or goes down.
    """

    cfg: LinkSettings
    wire: WireContext
    dial: Dial
    nursery: trio.Nursery
    on_change: Callable[[Hello, bool], None] = _ignore_change
    _conns: dict[str, PeerConn] = field(default_factory=dict)
    _open_conns: set[PeerConn] = field(default_factory=set)
    _dial_locks: dict[str, trio.Lock] = field(default_factory=dict)
    _redial_after: dict[str, float] = field(default_factory=dict)

    async def ask(self, address: str, message: object) -> object:
        """Send a request to the node at an address and wait for its reply.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        message : object
            A registered message.

        Returns
        -------
        object
            The reply, or `LinkLost`.
        """
        conn = await self._get_conn(address)
        if isinstance(conn, LinkLost):
            return conn
        return await conn.ask(message)

    async def notify(self, address: str, message: object) -> None:
        """Send a notification to the node at an address; it may get lost."""
        conn = await self._get_conn(address)
        if not isinstance(conn, LinkLost):
            await conn.notify(message)

    async def notify_linked(self, message: object) -> None:
        """Send a notification on every open link, whichever side opened it."""
        for conn in tuple(self._open_conns):
            if not conn.closed:
                self.nursery.start_soon(conn.notify, message)

    def drop(self, address: str) -> None:
        """Close the link to an address, for example that of a dead node.

        Requests that wait for a reply on it end with `LinkLost`.
        """
        conn = self._conns.get(address)
        if conn is not None and not conn.closed:
            self.nursery.start_soon(conn.link.aclose)

    async def wait_idle(self) -> None:
        """Wait until the replies to all requests of other nodes are sent."""
        while any(conn.has_running_requests() for conn in self._open_conns):
            await trio.sleep(_IDLE_POLL_S)

    def linked(self) -> tuple[str, ...]:
        """Return the addresses to which a link is open."""
        return tuple(sorted(a for a, c in self._conns.items() if not c.closed))

    async def serve_link(self, link: Link) -> None:
        """Serve a link that another node has opened until it closes."""
        async with trio.open_nursery() as nursery:
            conn = PeerConn(link, self.wire, nursery)
            await self._handshake_and_run(conn, handshake_done=None)
            nursery.cancel_scope.cancel()

    async def _get_conn(self, address: str) -> PeerConn | LinkLost:
        conn = self._conns.get(address)
        if conn is not None and not conn.closed:
            return conn
        lock = self._dial_locks.setdefault(address, trio.Lock())
        async with lock:
            conn = self._conns.get(address)
            if conn is not None and not conn.closed:
                return conn
            return await self._open(address)

    async def _open(self, address: str) -> PeerConn | LinkLost:
        if trio.current_time() < self._redial_after.get(address, 0.0):
            return LinkLost(sent=False, detail=f"a recent dial to {address} failed")
        conn: PeerConn | LinkClosed | DialFailed = DialFailed(address, "timeout")
        with trio.move_on_after(self.cfg.dial_timeout / MS_PER_S):
            conn = await self._dial_and_handshake(address)
        if isinstance(conn, PeerConn):
            self._redial_after.pop(address, None)
            return conn
        pause = self.cfg.redial_pause / MS_PER_S
        self._redial_after[address] = trio.current_time() + pause
        return LinkLost(sent=False, detail=f"no link to {address}: {conn.detail}")

    async def _dial_and_handshake(
        self, address: str
    ) -> PeerConn | LinkClosed | DialFailed:
        link = await self.dial(address)
        if isinstance(link, DialFailed):
            return link
        handshake_done: trio.Event = trio.Event()
        conn = PeerConn(link, self.wire, self.nursery)
        self.nursery.start_soon(self._handshake_and_run, conn, handshake_done)
        try:
            await handshake_done.wait()
        except trio.Cancelled:
            conn.closed = True
            self.nursery.start_soon(link.aclose)
            raise
        if conn.closed:
            return LinkClosed("the link closed during the handshake")
        # The dialled address may differ from the one in the hello.
        self._conns[address] = conn
        return conn

    async def _handshake_and_run(
        self, conn: PeerConn, handshake_done: trio.Event | None
    ) -> None:
        hello = await conn.handshake()
        if isinstance(hello, LinkClosed):
            conn.closed = True
            await conn.link.aclose()
            if handshake_done is not None:
                handshake_done.set()
            return
        known = self._conns.get(hello.address)
        if known is None or known.closed:
            self._conns[hello.address] = conn
        if handshake_done is not None:
            handshake_done.set()
        self._open_conns.add(conn)
        self.on_change(hello, True)
        try:
            await conn.run()
        finally:
            self._open_conns.discard(conn)
            if self._conns.get(hello.address) is conn:
                del self._conns[hello.address]
            self.on_change(hello, False)
