"""Start and stop the processes of a deployment on loopback addresses.

Only the demo and the benches use this; the product itself starts no processes.
"""

from __future__ import annotations

import ctypes
import os
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.clock import MS_PER_S, Milliseconds
from fuchsiagap_standins.serving import LISTENING_PREFIX

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

START_TIMEOUT: Milliseconds = 30_000.0
STOP_TIMEOUT: Milliseconds = 10_000.0
_POLL_S = 0.02
_TAIL_CHARACTERS = 2000
# Option of prctl(2) that sets the signal sent to a process when its parent exits.
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


class ProcessFailed(RuntimeError):
    """A process exited or was not ready in time."""


@dataclass(frozen=True, slots=True)
class AddressReservation:
    """Addresses that the kernel assigns to no other process until `close`.

    Parameters
    ----------
    addresses : tuple of str
        ``IP:PORT`` of each address.
    sockets : tuple of socket.socket
        Sockets that are bound and do not listen.
    """

    addresses: tuple[str, ...]
    sockets: tuple[socket.socket, ...]

    def close(self) -> None:
        """Release the addresses."""
        for sock in self.sockets:
            sock.close()


def reserve_addresses(ip: str, number: int) -> AddressReservation:
    """Reserve free ports of an IP address for processes to be started.

    Parameters
    ----------
    ip : str
        IP address.
    number : int
        Number of ports.

    Returns
    -------
    AddressReservation
        Only processes that set ``SO_REUSEADDR`` can listen on the addresses.
    """
    sockets = []
    for _ in range(number):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind((ip, 0))
        # Set after the bind, so that the kernel chooses an unused port. A process that
        # also sets the option can then listen on it, as this socket never listens.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sockets.append(sock)
    addresses = tuple(f"{ip}:{sock.getsockname()[1]}" for sock in sockets)
    return AddressReservation(addresses, tuple(sockets))


@dataclass(slots=True)
class RunningProcess:
    """A process started by a `ProcessGroup`.

    Parameters
    ----------
    name : str
        Name of the process.
    popen : subprocess.Popen
        The process.
    log : Path
        File with its stdout and stderr.
    offset : int
        Position in the log where its output begins; output of earlier processes of
        the same name precedes it.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log: Path
    offset: int = 0

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return self.popen.poll()

    def output(self) -> str:
        """Return the output so far."""
        return self.log.read_bytes()[self.offset :].decode("utf-8", "replace")

    def log_tail(self) -> str:
        """Return the last part of the output."""
        return self.output()[-_TAIL_CHARACTERS:]

    def send(self, signum: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(signum)


class ProcessGroup:
    """The processes of one deployment.

    Parameters
    ----------
    folder : Path
        Directory for their logs and settings files.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, RunningProcess] = {}
        self._started: set[str] = set()

    def start(self, name: str, argv: Sequence[str]) -> RunningProcess:
        """Start a process.

        Parameters
        ----------
        name : str
            Name that no running process of the group has.
        argv : sequence of str
            Program and arguments.

        Returns
        -------
        RunningProcess
            The process, which may not be ready yet.
        """
        log = self.folder / f"{name}.log"
        if name not in self._started:
            log.write_bytes(b"")  # the folder may hold logs of earlier runs
            self._started.add(name)
        offset = log.stat().st_size
        with log.open("ab") as output:
            # In a session of its own, the process does not receive Ctrl-C: only this
            # process does, and it stops the others in order.
            popen = subprocess.Popen(
                argv,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
                preexec_fn=_terminate_with_parent,
            )
        process = RunningProcess(name, popen, log, offset)
        self.running[name] = process
        return process

    async def start_standin(self, name: str, module: str, *args: str) -> str:
        """Start a stand-in and wait until it prints the address that it listens on.

        Parameters
        ----------
        name : str
            Name of the process.
        module : str
            Module of `fuchsiagap_standins` to run.
        *args : str
            Command line arguments.

        Returns
        -------
        str
            ``IP:PORT`` that it listens on.

        Raises
        ------
        ProcessFailed
            If it exits or is not ready within `START_TIMEOUT`.
        """
        argv = [sys.executable, "-m", f"fuchsiagap_standins.{module}", *args]
        process = self.start(name, argv)
        with trio.move_on_after(START_TIMEOUT / MS_PER_S):
            while True:
                for line in process.output().splitlines():
                    if line.startswith(LISTENING_PREFIX):
                        return line.removeprefix(LISTENING_PREFIX).strip()
                self._raise_if_exited(process)
                await trio.sleep(_POLL_S)
        raise ProcessFailed(f"{name} was not ready in time:\n{process.log_tail()}")

    async def start_node(self, name: str, ini: str, callers: str) -> RunningProcess:
        """Start a node and wait until it accepts connections from callers.

        Parameters
        ----------
        name : str
            Name of the node.
        ini : str
            Text of its settings file.
        callers : str
            ``IP:PORT`` where it listens for callers.

        Returns
        -------
        RunningProcess
            The process of the node.

        Raises
        ------
        ProcessFailed
            If it exits or is not ready within `START_TIMEOUT`.
        """
        path = self.folder / f"{name}.ini"
        path.write_text(ini)
        program = Path(sys.executable).parent / "fuchsiagap-node"
        process = self.start(name, [str(program), "--config", str(path)])
        host, _, port = callers.rpartition(":")
        with trio.move_on_after(START_TIMEOUT / MS_PER_S):
            while True:
                self._raise_if_exited(process)
                try:
                    stream = await trio.open_tcp_stream(host, int(port))
                except OSError:
                    await trio.sleep(_POLL_S)
                    continue
                await trio.aclose_forcefully(stream)
                return process
        raise ProcessFailed(f"{name} was not ready in time:\n{process.log_tail()}")

    async def stop(self, name: str, timeout: Milliseconds = STOP_TIMEOUT) -> int:
        """Stop a running or paused process; kill it if it outlasts `timeout`.

        Parameters
        ----------
        name : str
            Name of the process.
        timeout : float
            Milliseconds for a graceful shutdown.

        Returns
        -------
        int
            Exit code of the process.
        """
        process = self.running[name]
        process.send(signal.SIGCONT)
        process.send(signal.SIGTERM)
        with trio.move_on_after(timeout / MS_PER_S):
            while process.exit_code is None:
                await trio.sleep(_POLL_S)
        return self.kill(name)

    def kill(self, name: str) -> int:
        """Kill a process, as when its host fails, and return its exit code."""
        process = self.running.pop(name)
        process.send(signal.SIGKILL)
        return process.popen.wait()

    def ended(self) -> list[RunningProcess]:
        """Return the processes that exited without being stopped or killed."""
        return [p for p in self.running.values() if p.exit_code is not None]

    def pause(self, name: str) -> None:
        """Suspend a process until `resume`."""
        self.running[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.running[name].send(signal.SIGCONT)

    async def stop_all(self, timeout: Milliseconds = STOP_TIMEOUT) -> dict[str, int]:
        """Stop all processes concurrently and return their exit codes by name."""
        codes: dict[str, int] = {}

        async def stop(name: str) -> None:
            codes[name] = await self.stop(name, timeout)

        async with trio.open_nursery() as nursery:
            for name in list(self.running):
                nursery.start_soon(stop, name)
        return codes

    def _raise_if_exited(self, process: RunningProcess) -> None:
        code = process.exit_code
        if code is not None:
            tail = process.log_tail()
            raise ProcessFailed(f"{process.name} exited with code {code}:\n{tail}")


@asynccontextmanager
async def process_group(
    folder: Path, stop_timeout: Milliseconds = STOP_TIMEOUT
) -> AsyncIterator[ProcessGroup]:
    """Open a group of processes, which are all stopped when the block ends.

    They are also stopped if the block ends by an error or a cancellation.

    Parameters
    ----------
    folder : Path
        Directory for their logs and settings files.
    stop_timeout : float
        Milliseconds that each process has for a graceful shutdown.

    Yields
    ------
    ProcessGroup
        An empty group.
    """
    group = ProcessGroup(folder)
    try:
        yield group
    finally:
        with trio.CancelScope(shield=True):
            await group.stop_all(stop_timeout)


def _terminate_with_parent() -> None:
    """Have the kernel send SIGTERM when the parent exits, even if it is killed."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGTERM)


def memory_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def cpu_ms(pid: int) -> Milliseconds:
    """Return the CPU time that a process has used so far, in milliseconds."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(stat[11]), int(stat[12])
    return MS_PER_S * (user + system) / os.sysconf("SC_CLK_TCK")
