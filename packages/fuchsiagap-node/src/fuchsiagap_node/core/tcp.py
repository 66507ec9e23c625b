"""State of TCP connections that their sockets do not report by themselves."""

from __future__ import annotations

import fcntl
import os
import socket
import struct
import termios

import trio

# Seconds between two checks for acknowledgements, which the kernel does not signal.
ACK_CHECK_S = 0.005


def count_unacknowledged(sock: socket.socket | trio.socket.SocketType) -> int:
    """Return the number of sent bytes that the peer has not acknowledged.

    An end of stream that was sent counts as one byte.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    """
    (n_bytes,) = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))
    return int(n_bytes)


def has_unacknowledged(sock: socket.socket | trio.socket.SocketType) -> bool:
    """Whether the peer has not yet acknowledged all that was sent.

    Parameters
    ----------
    sock : socket.socket
        A connected TCP socket.

    Raises
    ------
    OSError
        If the connection was reset before.
    """
    if not count_unacknowledged(sock):
        return False
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
    return True


async def wait_acknowledged(sock: socket.socket | trio.socket.SocketType) -> None:
    """Wait until the peer has acknowledged all that was sent; raises `OSError`."""
    while has_unacknowledged(sock):
        await trio.sleep(ACK_CHECK_S)
