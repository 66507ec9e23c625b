"""Connections within one process, which take the place of loopback sockets.

On loopback sockets a play in virtual time hangs on when the system delivers bytes: the
clock may jump before they are there. Here what was sent is there at once, so a play of
one seed takes the same course on every machine.
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

from fuchsiagap_node.core.mesh import poller, stream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    Address = tuple[str, int]

# Bytes that one end may have sent and the other has not read.
_WINDOW_BYTES = 262_144


class MemorySocket:
    """A socket of a `MemoryNetwork`, as `fuchsiagap_node` uses sockets.

    Parameters
    ----------
    network : MemoryNetwork
        Where it listens and connects.
    """

    def __init__(self, network: MemoryNetwork) -> None:
        self._network = network
        self._address: Address | None = None
        self._peer: MemorySocket | None = None
        self._backlog: deque[MemorySocket] = deque()
        self._received = bytearray()
        self._is_eof = False
        self._is_reset = False
        self._is_closed = False
        self._reader: trio.lowlevel.Task | None = None
        self._writer: trio.lowlevel.Task | None = None
        self._poller: MemoryPoller | None = None

    def __enter__(self) -> MemorySocket:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def setblocking(self, _: bool) -> None:
        """Do nothing: no call ever blocks."""

    def setsockopt(self, *_: object) -> None:
        """Do nothing: nothing is ever lost on the way."""

    def getsockopt(self, *_: object) -> int:
        """Return that there is no error."""
        return 0

    def bind(self, address: Address) -> None:
        """Take an address."""
        self._address = address

    def listen(self, _: int) -> None:
        """Take connections at the address."""
        assert self._address is not None
        self._network.listeners[self._address] = self

    def connect_ex(self, address: Address) -> int:
        """Connect at once; return an error number if nobody listens there."""
        listener = self._network.listeners.get(address)
        if listener is None:
            return errno.ECONNREFUSED
        other = MemorySocket(self._network)
        self._peer, other._peer = other, self
        listener._backlog.append(other)
        listener._wake_reader()
        return 0

    def accept(self) -> tuple[MemorySocket, Address]:
        """Return a connection that waits."""
        if not self._backlog:
            raise BlockingIOError
        return self._backlog.popleft(), ("127.0.0.1", 0)

    def send(self, data: bytes | memoryview) -> int:
        """Hand over as many bytes as there is room for."""
        peer = self._peer
        if self._is_closed or peer is None:
            raise OSError(errno.EBADF, "not connected")
        if peer._is_closed:
            raise BrokenPipeError(errno.EPIPE, "closed by the other end")
        room = _WINDOW_BYTES - len(peer._received)
        if room <= 0:
            raise BlockingIOError
        part = bytes(data[:room])
        peer._received += part
        peer._wake_reader()
        return len(part)

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        """Return received bytes; empty at the end of the connection."""
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

    def close(self) -> None:
        """Close this end; bytes that nobody reads any more reset the connection."""
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
        """Wait until `send` takes bytes, or says that the other end is gone."""
        peer = self._peer
        if peer is None or peer._is_closed or len(peer._received) < _WINDOW_BYTES:
            await trio.lowlevel.checkpoint()
            return
        if self._writer is not None:
            raise trio.BusyResourceError("another task waits to write")
        self._writer = trio.lowlevel.current_task()
        await trio.lowlevel.wait_task_rescheduled(self._cancel_write)

    def notify_closing(self) -> None:
        """Wake whoever waits here with `trio.ClosedResourceError`."""
        closed = outcome.Error(trio.ClosedResourceError("closed by another task"))
        reader, self._reader = self._reader, None
        writer, self._writer = self._writer, None
        for task in (reader, writer):
            if task is not None:
                trio.lowlevel.reschedule(task, closed)

    def watch(self, poller: MemoryPoller | None) -> None:
        """Let a poller know when there is something to read; None for no longer."""
        self._poller = poller
        if poller is not None and self.is_readable():
            poller.mark_ready(self)

    def is_readable(self) -> bool:
        """Whether `recv` has something to return."""
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
        """Let the task that waits to read be cancelled."""
        self._reader = None
        return trio.lowlevel.Abort.SUCCEEDED

    def _cancel_write(self, _: object) -> trio.lowlevel.Abort:
        """Let the task that waits to write be cancelled."""
        self._writer = None
        return trio.lowlevel.Abort.SUCCEEDED


class MemoryPoller:
    """Calls a function for each socket of this module that has something to read."""

    def __init__(self) -> None:
        self._on_readable: dict[MemorySocket, Callable[[], None]] = {}
        self._ready: dict[MemorySocket, None] = {}
        self._any_ready = trio.Event()
        self.before_callbacks: Callable[[], None] = _nothing
        self.on_fault: Callable[[Exception], None] = _ignore

    def add(self, sock: MemorySocket, on_readable: Callable[[], None]) -> None:
        """Call a function whenever a socket has something to read."""
        self._on_readable[sock] = on_readable
        sock.watch(self)

    def remove(self, sock: MemorySocket) -> None:
        """Watch a socket no longer."""
        self._on_readable.pop(sock, None)
        self._ready.pop(sock, None)
        sock.watch(None)

    async def wait_writable(self, sock: MemorySocket) -> None:
        """Wait until a socket takes bytes, or is closed."""
        try:
            await sock.wait_writable()
        except trio.ClosedResourceError:
            return

    def mark_ready(self, sock: MemorySocket) -> None:
        """Take in that a socket may have something to read."""
        self._ready[sock] = None
        self._any_ready.set()

    async def run(self) -> None:
        """Watch until cancelled."""
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
    """Sockets that reach each other by address.

    Attributes
    ----------
    listeners : dict of tuple to MemorySocket
        Sockets that take connections, by host and port.
    """

    def __init__(self) -> None:
        self.listeners: dict[Address, MemorySocket] = {}

    def socket(self, *_: object) -> MemorySocket:
        """Return a new socket, whatever its family and type."""
        return MemorySocket(self)


class _SocketModule:
    """The standard module with another `socket`."""

    def __init__(self, network: MemoryNetwork) -> None:
        self.socket = network.socket

    def __getattr__(self, name: str) -> Any:
        return getattr(socket, name)


@contextmanager
def patch_sockets() -> Iterator[MemoryNetwork]:
    """Let the streams of nodes and stand-ins run over a network in memory."""
    network = MemoryNetwork()
    lowlevel = trio.lowlevel
    with (
        mock.patch.object(stream, "socket", _SocketModule(network)),
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
    """Return trio's wait, which leaves the sockets of this module to themselves."""

    async def wait(sock: Any) -> None:
        if isinstance(sock, MemorySocket):
            await getattr(sock, name)()
        else:
            await original(sock)

    return wait


def _wrap_notify_closing(original: Callable[[Any], None]) -> Callable[[Any], None]:
    """Return trio's note of a close, for both kinds of sockets."""

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
