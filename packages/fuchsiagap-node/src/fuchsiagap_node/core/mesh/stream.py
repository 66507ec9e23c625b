"""TCP connections of the request path.

Unlike trio's own stream, `Stream` tries to send at once and waits only if the send
buffer is full, which saves two checkpoints for each message.
"""

from __future__ import annotations

import contextlib
import errno
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias, TypeVar

import trio

from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_node.core import tcp

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap_node.core.mesh.poller import Poller

Argument = TypeVar("Argument")
Buffer: TypeAlias = "bytes | memoryview"

# Maximum bytes of one read: many small messages, or a large part of a large body.
READ_BYTES = 65_536
# Maximum number of connections that wait to be accepted.
_BACKLOG = 1_024
# Seconds before accepting again after file descriptors have run out.
_ACCEPT_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class KeepaliveProbes:
    """TCP keepalive settings of a connection.

    Parameters
    ----------
    idle_s, interval_s : int
        Seconds of silence before the first probe, and between two probes.
    max_unanswered : int
        Number of unanswered probes after which the connection is reset.
    """

    idle_s: int
    interval_s: int
    max_unanswered: int


# A watch whose peer is silent is reset after 5 s, well before the watch itself ends.
WATCH_PROBES = KeepaliveProbes(2, 1, 3)
# An idle connection to a backend server is reset after 3 s of silence. Otherwise the
# next call on it would wait for its timeout.
IDLE_PROBES = KeepaliveProbes(1, 1, 2)
# Leaves unacknowledged data to the kernel's own limits, which exceed any deadline.
NO_USER_TIMEOUT: Milliseconds = 0.0
# Errors of `accept` when file descriptors or socket buffers have run out.
_OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS})


class BrokenStream(Exception):
    """The connection was reset, was closed or could not be opened."""


class EndedStream(BrokenStream):
    """The peer closed the connection in an orderly way."""


class SilentStream(BrokenStream):
    """The peer did not answer or acknowledge within the time limit."""


class RefusedStream(BrokenStream):
    """The address refused the connection."""


class Stream:
    """One TCP connection.

    Parameters
    ----------
    sock : socket.socket
        A connected socket; it is made non-blocking.

    Attributes
    ----------
    closed : bool
        Whether this end has closed the connection.
    """

    __slots__ = ("_on_data", "_on_end", "_poller", "_send_error", "_sock", "closed")

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self.closed = False
        # A socket reports its error once. A read after the failed send returns no
        # data, like one at an orderly end.
        self._send_error: BrokenStream | None = None
        self._poller: Poller | None = None
        self._on_data: Callable[[bytes], None] = _ignore
        self._on_end: Callable[[BrokenStream], None] = _ignore

    def start_reading(
        self,
        poller: Poller,
        on_data: Callable[[bytes], None],
        on_end: Callable[[BrokenStream], None],
    ) -> None:
        """Read by callbacks from now on, instead of `receive`.

        Parameters
        ----------
        poller : Poller
            Reports when the connection is readable.
        on_data : callable
            Called with the data that arrives.
        on_end : callable
            Called once with the reason when the connection ends. If this end closes
            the connection, it is called soon after `close`, not from within it.
        """
        self._check_open()
        self._poller = poller
        self._on_data = on_data
        self._on_end = on_end
        poller.add(self._sock, self._read)

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if self._poller is not None and not self.closed:
            self._poller.remove(self._sock)

    def resume(self) -> None:
        """Continue reading."""
        if self._poller is not None and not self.closed:
            self._poller.add(self._sock, self._read)

    def _read(self) -> None:
        """Read the available data and pass it to the callback."""
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._finish_reading(_broken_stream(exc))
        else:
            if data:
                self._run_callback(self._on_data, data)
            else:
                self._finish_reading(self._end_reason())

    def _finish_reading(self, reason: BrokenStream) -> None:
        """Stop reading and call `on_end`, once."""
        self.pause()
        on_end, self._on_end = self._on_end, _ignore
        self._on_data = _ignore
        self._run_callback(on_end, reason)

    def _run_callback(
        self, callback: Callable[[Argument], None], argument: Argument
    ) -> None:
        """Call a callback; an exception from it closes only this connection."""
        try:
            callback(argument)
        except Exception as exc:
            assert self._poller is not None
            self._poller.on_fault(exc)
            self.close()

    async def receive(self) -> bytes:
        """Wait for data.

        Returns
        -------
        bytes
            Data; empty if the peer closed the connection in an orderly way.

        Raises
        ------
        BrokenStream
            If the connection was reset, or closed by this end.
        """
        while True:
            self._check_open()
            try:
                await trio.lowlevel.wait_readable(self._sock)
                data = self._sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError) as exc:
                raise _broken_stream(exc) from exc
            if not data and self._send_error is not None:
                raise self._end_reason()
            return data

    def send_parts(self, parts: Iterable[Buffer]) -> list[Buffer]:
        """Send as much as the socket accepts without waiting, and return the rest.

        Parameters
        ----------
        parts : iterable of bytes or memoryview
            Parts of the data. A large part is never copied.

        Returns
        -------
        list of bytes or memoryview
            What has not been sent; also if the connection breaks after a part of the
            data was sent.

        Raises
        ------
        BrokenStream
            If the connection was already broken and nothing was sent.
        """
        unsent: list[Buffer] = []
        has_sent = False
        for part in parts:
            if unsent:
                unsent.append(part)
                continue
            large = len(part) >= READ_BYTES
            try:
                rest = self.send_some(memoryview(part) if large else part)
            except BrokenStream:
                if not has_sent:
                    raise
                rest = part
            has_sent = True
            if rest:
                unsent.append(rest)
        return unsent

    async def send(self, data: Buffer) -> None:
        """Send all data.

        Parameters
        ----------
        data : bytes or memoryview
            Bytes to send.

        Raises
        ------
        BrokenStream
            If the connection was reset, or closed by this end.
        """
        large = len(data) >= READ_BYTES
        rest = self.send_some(memoryview(data) if large else data)
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
                raise self._record_send_error(exc) from exc

    def send_some(self, data: Buffer) -> Buffer:
        """Send as much as the socket accepts without waiting, and return the rest."""
        self._check_open()
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return data
        except OSError as exc:
            raise self._record_send_error(exc) from exc
        return data[sent:] if sent < len(data) else b""

    def _record_send_error(self, exc: Exception) -> BrokenStream:
        """Record the error of a failed send, and return the one to raise."""
        self._send_error = _broken_stream(exc)
        return _broken_stream(exc)

    def _end_reason(self) -> BrokenStream:
        """Return why a read got no data.

        The recorded error is never raised itself, as its traceback would keep this
        connection and the data of the send alive.
        """
        if self._send_error is None:
            return EndedStream("closed by the peer")
        return type(self._send_error)(*self._send_error.args)

    def _check_open(self) -> None:
        """Raise `BrokenStream` if this end has closed the connection.

        The descriptor of a closed socket is -1, and trio treats every later wait on -1
        as a second wait on the same descriptor. Without this check, one wait on a
        closed connection broke 14,248 others within 40 s of overload.
        """
        if self.closed:
            raise BrokenStream("closed by this end")

    def is_reusable(self) -> bool:
        """Whether the connection is open and has no unread data."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def wait_acknowledged(self) -> None:
        """Wait until the peer has acknowledged all that was sent.

        Raises
        ------
        BrokenStream
            If the connection was reset before, or closed by this end.
        """
        while self._has_unacknowledged():
            await trio.sleep(tcp.ACK_CHECK_S)

    def _has_unacknowledged(self) -> bool:
        self._check_open()
        if self._send_error is not None:
            raise self._end_reason()
        try:
            return tcp.has_unacknowledged(self._sock)
        except OSError as exc:
            raise self._record_send_error(exc) from exc

    def count_unacknowledged(self) -> int:
        """Return the number of sent bytes without acknowledgement; 0 once closed."""
        if self.closed:
            return 0
        try:
            return tcp.count_unacknowledged(self._sock)
        except OSError:
            return 0

    def finish_sending(self) -> None:
        """Send an end of stream after all that was sent; reading goes on.

        Raises
        ------
        BrokenStream
            If the connection was reset before, or closed by this end.
        """
        self._check_open()
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise self._record_send_error(exc) from exc

    async def close_gracefully(self, wait: Milliseconds) -> None:
        """Send an end of stream, and close the connection once the peer has.

        The kernel answers data that arrives at a closed socket with a reset, on which
        the peer may lose what it has not read yet. Input is therefore read and
        discarded meanwhile.

        Parameters
        ----------
        wait : float
            Maximum milliseconds to wait for the peer.
        """
        try:
            with trio.move_on_after(wait / MS_PER_S):
                self.finish_sending()
                while await self.receive():
                    pass
        except BrokenStream:
            return
        finally:
            self.close()

    def set_user_timeout(self, wait: Milliseconds) -> None:
        """Reset the connection if sent data stays unacknowledged for `wait` ms.

        This includes the time for which the receive window of the peer is closed.
        """
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(wait))

    def limit_unsent(self, n_bytes: int) -> None:
        """Let the kernel accept no more data once it holds `n_bytes` not yet sent.

        Data that was sent and not acknowledged does not count. Has no effect where the
        kernel does not support it.
        """
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, n_bytes)

    def enable_keepalive(self, probes: KeepaliveProbes = WATCH_PROBES) -> None:
        """Enable TCP keepalive, which resets the connection when the peer is silent.

        The kernel sends the probes, so a watch that waits for half a minute needs no
        calls to check its connection.

        Parameters
        ----------
        probes : KeepaliveProbes
            When to send probes, and after how many unanswered ones to reset.
        """
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, probes.idle_s),
            (socket.TCP_KEEPINTVL, probes.interval_s),
            (socket.TCP_KEEPCNT, probes.max_unanswered),
        ):
            self._sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def close(self) -> None:
        """Close the connection; pending waits on it raise `BrokenStream`."""
        if self.closed:
            return
        if self._poller is not None:
            self._poller.remove(self._sock)
            reason = BrokenStream("closed by this end")
            trio.lowlevel.current_trio_token().run_sync_soon(
                self._finish_reading, reason
            )
        self.closed = True
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()


def _broken_stream(exc: Exception) -> BrokenStream:
    """Return the error of a connection for the one that its socket raised."""
    if isinstance(exc, TimeoutError):
        return SilentStream(str(exc))
    return BrokenStream(str(exc))


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into IP address and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def dial(address: str, wait: Milliseconds) -> Stream:
    """Open a TCP connection.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    wait : float
        Timeout in milliseconds.

    Returns
    -------
    Stream
        The connection.

    Raises
    ------
    RefusedStream
        If the address refuses the connection.
    SilentStream
        If the connection is not established in time.
    BrokenStream
        If it cannot be established for another reason.
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


class CannotListen(OSError):
    """An address is in use or does not belong to this host; the message names it."""


def listen(address: str) -> socket.socket:
    """Return a listening socket at ``IP:PORT``; raises `CannotListen`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(split_address(address))
        sock.listen(_BACKLOG)
    except OSError as exc:
        sock.close()
        raise CannotListen(f"cannot listen on {address}: {exc.strerror}") from exc
    sock.setblocking(False)
    return sock


Handler: TypeAlias = "Callable[[Stream], Awaitable[None]]"


async def accept_all(
    sock: socket.socket, handle: Handler, nursery: trio.Nursery
) -> None:
    """Start `handle` in the nursery for each accepted connection, until cancelled."""

    def start(stream: Stream) -> None:
        nursery.start_soon(handle, stream)

    await accept_each(sock, start)


async def accept_each(sock: socket.socket, take: Callable[[Stream], None]) -> None:
    """Call `take` for each accepted connection, until cancelled."""
    with sock:
        while True:
            await trio.lowlevel.wait_readable(sock)
            if not _accept_pending(sock, take):
                await trio.sleep(_ACCEPT_PAUSE_S)


def _accept_pending(sock: socket.socket, take: Callable[[Stream], None]) -> bool:
    """Accept all pending connections; return False if descriptors have run out."""
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
    """Default callback; does nothing."""
