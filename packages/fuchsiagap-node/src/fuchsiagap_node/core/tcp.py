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
    (n_bytes,) = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))
    if not n_bytes:
        return False
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
    return True


async def wait_acknowledged(sock: socket.socket | trio.socket.SocketType) -> None:
    """Wait until the peer has acknowledged all that was sent; raises `OSError`."""
    while has_unacknowledged(sock):
        await trio.sleep(ACK_CHECK_S)
