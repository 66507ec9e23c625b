"""A TCP connection as the path of a request needs it.

Thinner than trio's own stream: a send tries the socket at once and waits only if the
socket is full, which saves two checkpoints for each message.
"""

from __future__ import annotations

import errno
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias, TypeVar

import trio

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.mesh.poller import Poller

Told = TypeVar("Told")

# Bytes of one read: a page of small messages, or a good part of a large body.
READ_BYTES = 65_536
# Connections that may wait to be accepted.
_BACKLOG = 1_024
# A pause before accepting again when descriptors have run out, in seconds.
_ACCEPT_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Probes:
    """When the system probes a connection that is silent.

    Parameters
    ----------
    idle_s, interval_s : int
        Seconds of silence before the first probe, and between two.
    unanswered : int
        Probes that stay unanswered when the connection breaks.
    """

    idle_s: int
    interval_s: int
    unanswered: int


# A silent watch breaks after 5 s, within the watch of a node that looks closely.
WATCH_PROBES = Probes(2, 1, 3)
# An idle connection to a backend server breaks after 3 s of silence; the next call on
# it would wait for its time-out.
IDLE_PROBES = Probes(1, 1, 2)
_OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS})


class BrokenStream(Exception):
    """The connection was reset, or could not be opened."""


class EndedStream(BrokenStream):
    """The other end has closed in order."""


class SilentStream(BrokenStream):
    """The other end has acknowledged nothing for too long."""


class RefusedStream(BrokenStream):
    """Nobody takes connections at the address."""


class Stream:
    """One TCP connection.

    Parameters
    ----------
    sock : socket.socket
        A connected socket; it becomes non-blocking.
    """

    __slots__ = ("_on_data", "_on_end", "_poller", "_sock", "closed")

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self.closed = False
        self._poller: Poller | None = None
        self._on_data: Callable[[bytes], None] = _ignore
        self._on_end: Callable[[BrokenStream], None] = _ignore

    def start_reading(
        self,
        poller: Poller,
        on_data: Callable[[bytes], None],
        on_end: Callable[[BrokenStream], None],
    ) -> None:
        """Read by functions from now on, in place of `receive`.

        Parameters
        ----------
        poller : Poller
            Watches the connection.
        on_data : callable
            Told the bytes that come.
        on_end : callable
            Told once why no more come. Where this end closes the connection, it is
            told soon after, not from within `close`.
        """
        self._check_open()
        self._poller = poller
        self._on_data = on_data
        self._on_end = on_end
        poller.add(self._sock, self._read)

    def pause(self) -> None:
        """Read nothing until `resume`."""
        if self._poller is not None and not self.closed:
            self._poller.remove(self._sock)

    def resume(self) -> None:
        """Go on reading."""
        if self._poller is not None and not self.closed:
            self._poller.add(self._sock, self._read)

    def _read(self) -> None:
        """Read what is there, and tell it."""
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except TimeoutError as exc:
            self._end(SilentStream(str(exc)))
        except OSError as exc:
            self._end(BrokenStream(str(exc)))
        else:
            if data:
                self._call(self._on_data, data)
            else:
                self._end(EndedStream("closed by the other end"))

    def _end(self, why: BrokenStream) -> None:
        """Read no more, and tell why, once."""
        self.pause()
        on_end, self._on_end = self._on_end, _ignore
        self._call(on_end, why)

    def _call(self, told: Callable[[Told], None], what: Told) -> None:
        """Call a function; an exception ends its connection and nothing else."""
        try:
            told(what)
        except Exception as exc:
            assert self._poller is not None
            self._poller.on_fault(exc)
            self.close()

    async def receive(self) -> bytes:
        """Wait for bytes.

        Returns
        -------
        bytes
            Empty when the other end has closed in order.

        Raises
        ------
        BrokenStream
            If the connection was reset or closed here.
        """
        while True:
            self._check_open()
            try:
                await trio.lowlevel.wait_readable(self._sock)
                return self._sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except TimeoutError as exc:
                raise SilentStream(str(exc)) from exc
            except (OSError, trio.ClosedResourceError) as exc:
                raise BrokenStream(str(exc)) from exc

    async def send(self, data: bytes) -> None:
        """Send all bytes; `BrokenStream` if the connection breaks."""
        rest = self.send_some(data)
        if not rest:
            return
        view = memoryview(rest)
        while view:
            self._check_open()
            try:
                if self._poller is None:
                    await trio.lowlevel.wait_writable(self._sock)
                else:
                    await self._poller.wait_writable(self._sock)
                    self._check_open()
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError) as exc:
                raise BrokenStream(str(exc)) from exc

    def send_some(self, data: bytes) -> bytes:
        """Send what the socket takes at once, and return the rest."""
        self._check_open()
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return data
        except OSError as exc:
            raise BrokenStream(str(exc)) from exc
        return data[sent:] if sent < len(data) else b""

    def _check_open(self) -> None:
        """Raise `BrokenStream` if this end has closed the connection.

        The descriptor of a closed socket is -1, and trio takes every later wait on -1
        for a second one on the same descriptor: one wait on a closed connection broke
        14,248 others in 40 s of a surge.
        """
        if self.closed:
            raise BrokenStream("closed by this end")

    def is_reusable(self) -> bool:
        """Whether the connection is open and has nothing to read."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def set_user_timeout(self, wait: Milliseconds) -> None:
        """Break the connection if sent bytes stay unacknowledged for `wait` ms."""
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(wait))

    def enable_keepalive(self, probes: Probes = WATCH_PROBES) -> None:
        """Break the connection some seconds after the other end has gone silent.

        The system probes by itself, so a watch that waits for half a minute needs no
        calls to show that its connection is alive.
        """
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, probes.idle_s),
            (socket.TCP_KEEPINTVL, probes.interval_s),
            (socket.TCP_KEEPCNT, probes.unanswered),
        ):
            self._sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def close(self) -> None:
        """Close the connection; whoever waits on it gets `BrokenStream`."""
        if self.closed:
            return
        if self._poller is not None:
            self._poller.remove(self._sock)
            why = BrokenStream("closed by this end")
            trio.lowlevel.current_trio_token().run_sync_soon(self._end, why)
        self.closed = True
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def dial(address: str, wait: Milliseconds) -> Stream:
    """Open a connection.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    wait : float
        Milliseconds it may take.

    Returns
    -------
    Stream
        The connection.

    Raises
    ------
    RefusedStream
        If nobody takes connections there.
    SilentStream
        If there is none in time.
    BrokenStream
        If it cannot be opened for another reason.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        with trio.move_on_after(wait / MS_PER_S):
            code = sock.connect_ex(split_address(address))
            if code == errno.EINPROGRESS:
                await trio.lowlevel.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code == 0:
                return Stream(sock)
            cause = f"{address}: {errno.errorcode.get(code, code)}"
            if code == errno.ECONNREFUSED:
                raise RefusedStream(cause)
            raise BrokenStream(cause)
    except OSError as exc:
        sock.close()
        raise BrokenStream(f"{address}: {exc}") from exc
    except BaseException:
        sock.close()
        raise
    sock.close()
    raise SilentStream(f"{address}: no connection within {wait:.0f} ms")


def listen(address: str) -> socket.socket:
    """Return a listening socket at ``IP:PORT``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen(_BACKLOG)
    sock.setblocking(False)
    return sock


Handler: TypeAlias = "Callable[[Stream], Awaitable[None]]"


async def accept_all(
    sock: socket.socket, handle: Handler, nursery: trio.Nursery
) -> None:
    """Start `handle` in the nursery for each connection that comes in."""

    def start(stream: Stream) -> None:
        nursery.start_soon(handle, stream)

    await accept_each(sock, start)


async def accept_each(sock: socket.socket, take: Callable[[Stream], None]) -> None:
    """Call `take` for each connection that comes in."""
    with sock:
        while True:
            await trio.lowlevel.wait_readable(sock)
            if not _accept_waiting(sock, take):
                await trio.sleep(_ACCEPT_PAUSE_S)


def _accept_waiting(sock: socket.socket, take: Callable[[Stream], None]) -> bool:
    """Accept what waits; False if descriptors have run out."""
    while True:
        try:
            conn, _ = sock.accept()
        except BlockingIOError:
            return True
        except OSError as exc:
            return exc.errno not in _OUT_OF_DESCRIPTORS
        try:
            stream = Stream(conn)
        except OSError:
            conn.close()
            continue
        take(stream)


def _ignore(_: object) -> None:
    """Do nothing."""
