"""In-memory sockets that replace loopback sockets within one process.

With loopback sockets, a simulation in virtual time depends on when the kernel delivers
bytes: the clock may jump before they arrive. With the sockets of this module, sent
bytes are readable at once, so a simulation is reproducible from its seed on every
machine.
"""

from __future__ import annotations

import errno
import socket
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any
from unittest import mock

import outcome
import trio

from fuchsiagap_node.core import tcp
from fuchsiagap_node.core.mesh import poller, stream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    Address = tuple[str, int]

# Maximum number of bytes that one end has sent and the other has not yet read.
WINDOW_BYTES = 262_144


class MemorySocket:
    """A socket of a `MemoryNetwork`, with the methods that `fuchsiagap_node` uses.

    Parameters
    ----------
    network : MemoryNetwork
        Network in which the socket listens and connects.
    """

    def __init__(self, network: MemoryNetwork) -> None:
        self._network = network
        self._address: Address | None = None
        self._peer: MemorySocket | None = None
        self._backlog: deque[MemorySocket] = deque()
        self._received = bytearray()
        self._is_eof = False
        self._is_reset = False
        self._is_shut_down = False
        self._is_closed = False
        self._reader: trio.lowlevel.Task | None = None
        self._writer: trio.lowlevel.Task | None = None
        self._poller: MemoryPoller | None = None

    def __enter__(self) -> MemorySocket:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def setblocking(self, _: bool) -> None:
        """Do nothing, as no method ever blocks."""

    def setsockopt(self, *_: object) -> None:
        """Do nothing, as no option has an effect on in-memory connections."""

    def getsockopt(self, *_: object) -> int:
        """Return 0, which stands for no error."""
        return 0

    def bind(self, address: Address) -> None:
        """Set the local address."""
        self._address = address

    def listen(self, _: int) -> None:
        """Accept connections at the bound address."""
        assert self._address is not None
        self._network.listeners[self._address] = self

    def connect_ex(self, address: Address) -> int:
        """Connect at once; return 0, or ``ECONNREFUSED`` if no socket listens there."""
        listener = self._network.listeners.get(address)
        if listener is None:
            return errno.ECONNREFUSED
        other = MemorySocket(self._network)
        self._peer, other._peer = other, self
        listener._backlog.append(other)
        listener._wake_reader()
        return 0

    def accept(self) -> tuple[MemorySocket, Address]:
        """Return the next connection of the backlog.

        Raises
        ------
        BlockingIOError
            If the backlog is empty.
        """
        if not self._backlog:
            raise BlockingIOError
        return self._backlog.popleft(), ("127.0.0.1", 0)

    def send(self, data: bytes | memoryview) -> int:
        """Send as many bytes as the peer's receive buffer takes; return their number.

        Parameters
        ----------
        data : bytes or memoryview
            Bytes to send.

        Raises
        ------
        BlockingIOError
            If the buffer is full.
        OSError
            If the socket is not connected, or the peer has closed its end.
        """
        peer = self._peer
        if self._is_closed or peer is None:
            raise OSError(errno.EBADF, "not connected")
        if peer._is_closed or self._is_shut_down:
            raise BrokenPipeError(errno.EPIPE, "closed by the other end")
        room = WINDOW_BYTES - len(peer._received)
        if room <= 0:
            raise BlockingIOError
        part = bytes(data[:room])
        peer._received += part
        peer._wake_reader()
        return len(part)

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        """Return received bytes; empty at end of stream.

        Parameters
        ----------
        max_bytes : int
            Maximum number of bytes to return.
        flags : int, default=0
            With ``MSG_PEEK`` the bytes stay in the buffer.

        Raises
        ------
        BlockingIOError
            If nothing has been received yet.
        OSError
            If this end is closed, or the connection was reset.
        """
        if self._is_closed:
            raise OSError(errno.EBADF, "closed")
        if self._is_reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset by the other end")
        if not self._received and not self._is_eof:
            raise BlockingIOError
        part = bytes(self._received[:max_bytes])
        if not flags & socket.MSG_PEEK:
            del self._received[:max_bytes]
            if self._peer is not None:
                self._peer._wake_writer()
        return part

    def shutdown(self, how: int) -> None:
        """End the sending direction; `how` is ``SHUT_WR``."""
        assert how == socket.SHUT_WR
        if self._is_closed or self._peer is None or self._peer._is_closed:
            raise OSError(errno.ENOTCONN, "not connected")
        self._is_shut_down = True
        self._peer._is_eof = True
        self._peer._wake_reader()

    def close(self) -> None:
        """Close this end; the connection is reset if received bytes were not read."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._address is not None:
            self._network.listeners.pop(self._address, None)
        peer = self._peer
        if peer is not None:
            peer._is_eof = True
            peer._is_reset |= bool(self._received)
            peer._wake_reader()
            peer._wake_writer()
        for waiting in self._backlog:
            waiting.close()

    async def wait_readable(self) -> None:
        """Wait until `recv` or `accept` has something to return."""
        if self._received or self._is_eof or self._backlog:
            await trio.lowlevel.checkpoint()
            return
        if self._reader is not None:
            raise trio.BusyResourceError("another task waits to read")
        self._reader = trio.lowlevel.current_task()
        await trio.lowlevel.wait_task_rescheduled(self._cancel_read)

    async def wait_writable(self) -> None:
        """Wait until `send` accepts bytes or fails because the peer has closed."""
        peer = self._peer
        if peer is None or peer._is_closed or len(peer._received) < WINDOW_BYTES:
            await trio.lowlevel.checkpoint()
            return
        if self._writer is not None:
            raise trio.BusyResourceError("another task waits to write")
        self._writer = trio.lowlevel.current_task()
        await trio.lowlevel.wait_task_rescheduled(self._cancel_write)

    def notify_closing(self) -> None:
        """Raise `trio.ClosedResourceError` in the tasks that wait for this socket."""
        closed = outcome.Error(trio.ClosedResourceError("closed by another task"))
        reader, self._reader = self._reader, None
        writer, self._writer = self._writer, None
        for task in (reader, writer):
            if task is not None:
                trio.lowlevel.reschedule(task, closed)

    def watch(self, poller: MemoryPoller | None) -> None:
        """Notify a poller when this socket becomes readable; None to stop."""
        self._poller = poller
        if poller is not None and self.is_readable():
            poller.mark_ready(self)

    def is_readable(self) -> bool:
        """Whether `recv` returns bytes, end of stream or a reset."""
        return bool(self._received) or self._is_eof or self._is_reset

    def _wake_reader(self) -> None:
        if self._poller is not None:
            self._poller.mark_ready(self)
        task, self._reader = self._reader, None
        if task is not None:
            trio.lowlevel.reschedule(task)

    def _wake_writer(self) -> None:
        task, self._writer = self._writer, None
        if task is not None:
            trio.lowlevel.reschedule(task)

    def _cancel_read(self, _: object) -> trio.lowlevel.Abort:
        """Abort the wait of the reader; called by trio when that task is cancelled."""
        self._reader = None
        return trio.lowlevel.Abort.SUCCEEDED

    def _cancel_write(self, _: object) -> trio.lowlevel.Abort:
        """Abort the wait of the writer; called by trio when that task is cancelled."""
        self._writer = None
        return trio.lowlevel.Abort.SUCCEEDED


class MemoryPoller:
    """Calls a callback for each readable `MemorySocket`; replaces the node's poller.

    Attributes
    ----------
    before_callbacks : callable
        Called before the callbacks of each batch of readable sockets.
    on_fault : callable
        Part of the poller's interface; never called here.
    """

    def __init__(self) -> None:
        self._on_readable: dict[MemorySocket, Callable[[], None]] = {}
        self._ready: dict[MemorySocket, None] = {}
        self._any_ready = trio.Event()
        self.before_callbacks: Callable[[], None] = _nothing
        self.on_fault: Callable[[Exception], None] = _ignore

    def add(self, sock: MemorySocket, on_readable: Callable[[], None]) -> None:
        """Call `on_readable` whenever a socket is readable."""
        self._on_readable[sock] = on_readable
        sock.watch(self)

    def remove(self, sock: MemorySocket) -> None:
        """Stop watching a socket."""
        self._on_readable.pop(sock, None)
        self._ready.pop(sock, None)
        sock.watch(None)

    async def wait_writable(self, sock: MemorySocket) -> None:
        """Wait until a socket is writable or has been closed."""
        try:
            await sock.wait_writable()
        except trio.ClosedResourceError:
            return

    def mark_ready(self, sock: MemorySocket) -> None:
        """Queue a socket that may be readable for the next batch."""
        self._ready[sock] = None
        self._any_ready.set()

    async def run(self) -> None:
        """Call the callbacks of readable sockets until cancelled."""
        while True:
            await self._any_ready.wait()
            self._any_ready = trio.Event()
            self.before_callbacks()
            ready, self._ready = self._ready, {}
            for sock in ready:
                call = self._on_readable.get(sock)
                if call is not None and sock.is_readable():
                    call()
                    if sock in self._on_readable and sock.is_readable():
                        self.mark_ready(sock)


class MemoryNetwork:
    """An address space in which sockets of this module connect to each other.

    Attributes
    ----------
    listeners : dict of tuple to MemorySocket
        Listening sockets by host and port.
    """

    def __init__(self) -> None:
        self.listeners: dict[Address, MemorySocket] = {}

    def socket(self, *_: object) -> MemorySocket:
        """Return a new socket, whatever its family and type."""
        return MemorySocket(self)


class _SocketModule:
    """The standard `socket` module with `MemoryNetwork.socket` as its `socket`."""

    def __init__(self, network: MemoryNetwork) -> None:
        self.socket = network.socket

    def __getattr__(self, name: str) -> Any:
        return getattr(socket, name)


@contextmanager
def patch_sockets() -> Iterator[MemoryNetwork]:
    """Make streams of nodes and test doubles use in-memory sockets within the block."""
    network = MemoryNetwork()
    lowlevel = trio.lowlevel
    with (
        mock.patch.object(stream, "socket", _SocketModule(network)),
        mock.patch.object(
            tcp,
            "count_unacknowledged",
            _wrap_unacknowledged(tcp.count_unacknowledged),
        ),
        mock.patch.object(poller, "make_poller", MemoryPoller),
        mock.patch.object(
            lowlevel,
            "wait_readable",
            _wrap_wait("wait_readable", lowlevel.wait_readable),
        ),
        mock.patch.object(
            lowlevel,
            "wait_writable",
            _wrap_wait("wait_writable", lowlevel.wait_writable),
        ),
        mock.patch.object(
            lowlevel, "notify_closing", _wrap_notify_closing(lowlevel.notify_closing)
        ),
    ):
        yield network


def _wrap_wait(
    name: str, original: Callable[[Any], Awaitable[None]]
) -> Callable[[Any], Awaitable[None]]:
    """Return a wait function that calls the method `name` of a `MemorySocket`.

    Other sockets are passed to `original`, the function of trio.
    """

    async def wait(sock: Any) -> None:
        if isinstance(sock, MemorySocket):
            await getattr(sock, name)()
        else:
            await original(sock)

    return wait


def _wrap_unacknowledged(original: Callable[[Any], int]) -> Callable[[Any], int]:
    """Return a count of unacknowledged bytes of in-memory sockets and others."""

    def count_unacknowledged(sock: Any) -> int:
        # The other end of an in-memory connection has at once what was sent.
        return 0 if isinstance(sock, MemorySocket) else original(sock)

    return count_unacknowledged


def _wrap_notify_closing(original: Callable[[Any], None]) -> Callable[[Any], None]:
    """Return a `notify_closing` for in-memory sockets and those of trio."""

    def notify_closing(sock: Any) -> None:
        if isinstance(sock, MemorySocket):
            sock.notify_closing()
        else:
            original(sock)

    return notify_closing


def _nothing() -> None:
    """Do nothing."""


def _ignore(_: Exception) -> None:
    """Do nothing."""
