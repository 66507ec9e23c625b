"""Calls a function for each connection that has something to read.

A task for each connection waits anew after each message: the loop changes its
registration with the system, schedules the task and enters its coroutines. Here the
system keeps the registrations, and one task calls plain functions.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Any, Protocol

import trio

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

# Connections that are looked at before other tasks have their turn.
_MOST_AT_ONCE = 128


class Poller(Protocol):
    """Watches sockets of one node."""

    def add(self, sock: Any, on_readable: Callable[[], None]) -> None:
        """Call a function whenever a socket has something to read."""

    def remove(self, sock: Any) -> None:
        """Watch a socket no longer."""

    async def run(self) -> None:
        """Watch until cancelled."""


class EpollPoller:
    """Watches sockets by ``epoll``, level-triggered.

    Functions that are called must not raise.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._on_readable: dict[int, Callable[[], None]] = {}

    def add(self, sock: socket.socket, on_readable: Callable[[], None]) -> None:
        """Call a function whenever a socket has something to read."""
        number = sock.fileno()
        if number not in self._on_readable:
            self._epoll.register(number, select.EPOLLIN)
        self._on_readable[number] = on_readable

    def remove(self, sock: socket.socket) -> None:
        """Watch a socket no longer; it must still be open."""
        number = sock.fileno()
        if self._on_readable.pop(number, None) is not None:
            self._epoll.unregister(number)

    async def run(self) -> None:
        """Watch until cancelled."""
        own = self._epoll.fileno()
        on_readable = self._on_readable
        while True:
            await trio.lowlevel.wait_readable(own)
            for number, _ in self._epoll.poll(0, _MOST_AT_ONCE):
                # One that was called before it may have closed it.
                call = on_readable.get(number)
                if call is not None:
                    call()


def make_poller() -> Poller:
    """Return a poller for the sockets of one node."""
    return EpollPoller()
