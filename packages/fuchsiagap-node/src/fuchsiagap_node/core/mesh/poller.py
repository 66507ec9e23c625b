"""Calls a function for each connection that has something to read.

A task for each connection costs a turn of trio's loop a message: 119 us of processor
time in a process that echoes a hundred messages a second among 23 others, where a bare
`epoll` loop takes 11. So the connections of the path are watched on trio's own epoll
instance, and the functions are called in the midst of its wait; the loop has its turn
only when a task is to run or a deadline has come.

This rests on names of trio that it makes no promise for (`EpollIOManager`, and the
`runq` of its runner), so its version is pinned and `EpollPoller` is their only user.
"""

from __future__ import annotations

import select
import time
from typing import TYPE_CHECKING, Any, Protocol

import trio
from trio._core import _io_epoll, _run

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable


# Events of one wait, beside those that trio's own tasks wait for.
_MAX_EVENTS_PER_WAIT = 64
# Stands for functions that were called in a wait: trio takes one without any event for
# idle, and a virtual clock then jumps.
_CALLBACKS_RAN = (-1, 0)


class Poller(Protocol):
    """Watches the connections of one node.

    Attributes
    ----------
    before_callbacks : callable
        Called after each wait, before any function of a connection is.
    on_fault : callable
        Told of an exception of a connection that nobody expected.
    """

    before_callbacks: Callable[[], None]
    on_fault: Callable[[Exception], None]

    def add(self, sock: Any, on_readable: Callable[[], None]) -> None:
        """Call a function whenever a socket has something to read."""

    def remove(self, sock: Any) -> None:
        """Watch a socket no longer; whoever waits to write to it goes on."""

    async def wait_writable(self, sock: Any) -> None:
        """Wait until a socket takes bytes, or is removed."""

    async def run(self) -> None:
        """Watch until cancelled."""


class EpollPoller:
    """Watches sockets by ``epoll``, level-triggered, amid trio's wait for events.

    Functions that are called must not raise: that would end the loop.

    Attributes
    ----------
    before_callbacks : callable
        Called after each wait, before any function of a connection is.
    on_fault : callable
        Told of an exception of a connection that nobody expected.
    """

    def __init__(self) -> None:
        self._epoll: select.epoll | None = None
        self._on_readable: dict[int, Callable[[], None]] = {}
        self._on_writable: dict[int, trio.Event] = {}
        self.before_callbacks: Callable[[], None] = _nothing
        self.on_fault: Callable[[Exception], None] = _ignore

    def add(self, sock: socket.socket, on_readable: Callable[[], None]) -> None:
        """Call a function whenever a socket has something to read."""
        fd = sock.fileno()
        self._on_readable[fd] = on_readable
        self._register(fd)

    def remove(self, sock: socket.socket) -> None:
        """Watch a socket no longer; whoever waits to write to it goes on."""
        fd = sock.fileno()
        if not self._is_watched(fd):
            return
        self._on_readable.pop(fd, None)
        waiting = self._on_writable.pop(fd, None)
        if waiting is not None:
            waiting.set()
        if self._epoll is not None:
            self._epoll.unregister(fd)

    async def wait_writable(self, sock: socket.socket) -> None:
        """Wait until a socket takes bytes, or is removed."""
        fd = sock.fileno()
        waiting = self._on_writable[fd] = trio.Event()
        self._register(fd)
        await waiting.wait()

    async def run(self) -> None:
        """Watch until cancelled."""
        manager = _install_manager()
        self._epoll = manager._epoll
        for fd in {*self._on_readable, *self._on_writable}:
            self._register(fd)
        manager.pollers.append(self)
        try:
            await trio.sleep_forever()
        finally:
            manager.pollers.remove(self)
            for fd in {*self._on_readable, *self._on_writable}:
                self._epoll.unregister(fd)
            self._epoll = None

    def dispatch(self, fd: int, flags: int) -> bool:
        """Call what waits for a socket; False if it is none of those watched."""
        if not self._is_watched(fd):
            return False
        if flags & ~select.EPOLLIN:
            waiting = self._on_writable.pop(fd, None)
            if waiting is not None:
                waiting.set()
                self._register(fd)
        if flags & ~select.EPOLLOUT:
            on_readable = self._on_readable.get(fd)
            if on_readable is not None:
                on_readable()
        return True

    def _is_watched(self, fd: int) -> bool:
        return fd in self._on_readable or fd in self._on_writable

    def _register(self, fd: int) -> None:
        """Tell the system what is waited for on a socket."""
        if self._epoll is None:
            return
        flags = 0
        if fd in self._on_readable:
            flags |= select.EPOLLIN
        if fd in self._on_writable:
            flags |= select.EPOLLOUT
        if not flags:
            # The system tells of a broken connection whatever is waited for.
            self._epoll.unregister(fd)
            return
        try:
            # A socket on which trio has waited is known to the system still.
            self._epoll.modify(fd, flags)
        except FileNotFoundError:
            self._epoll.register(fd, flags)


class _PollerIOManager(_io_epoll.EpollIOManager):
    """Trio's own manager, with the calls of pollers amid its wait.

    Parameters
    ----------
    original : EpollIOManager
        The manager that it stands in for, whose state it shares.
    runner : Runner
        Trio's loop.

    Attributes
    ----------
    pollers : list of EpollPoller
        What is called; one for each node of the process.
    """

    def __init__(self, original: _io_epoll.EpollIOManager, runner: _run.Runner) -> None:
        self._epoll = original._epoll
        self._registered = original._registered
        self._force_wakeup = original._force_wakeup
        self._force_wakeup_fd = original._force_wakeup_fd
        self._runner = runner
        self.pollers: list[EpollPoller] = []

    def get_events(self, timeout: float) -> list[tuple[int, int]]:
        """Wait for events of trio's own tasks, and call functions meanwhile."""
        until = time.monotonic() + timeout
        was_idle = True
        while True:
            events = self._epoll.poll(
                timeout, len(self._registered) + _MAX_EVENTS_PER_WAIT
            )
            for poller in self.pollers:
                poller.before_callbacks()
            others = [event for event in events if not self._dispatch(*event)]
            was_idle = was_idle and not events
            timeout = until - time.monotonic()
            if others or self._runner.runq or timeout <= 0.0:
                return others if others or was_idle else [_CALLBACKS_RAN]

    def process_events(self, events: Iterable[tuple[int, int]]) -> None:
        """Wake the tasks that wait for events."""
        super().process_events([event for event in events if event != _CALLBACKS_RAN])

    def _dispatch(self, fd: int, flags: int) -> bool:
        """Call what waits for a socket; False if that is one of trio's tasks."""
        return any(poller.dispatch(fd, flags) for poller in self.pollers)


def _install_manager() -> _PollerIOManager:
    """Return the manager of the running loop, put in place once a loop."""
    runner = _run.GLOBAL_RUN_CONTEXT.runner
    manager = runner.io_manager
    if not isinstance(manager, _PollerIOManager):
        manager = runner.io_manager = _PollerIOManager(manager, runner)
    return manager


def make_poller() -> Poller:
    """Return a poller for the connections of one node."""
    return EpollPoller()


def _nothing() -> None:
    """Do nothing."""


def _ignore(_: Exception) -> None:
    """Do nothing."""
