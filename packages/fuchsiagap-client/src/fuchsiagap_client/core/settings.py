"""Settings of a client and their validation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap import Milliseconds


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of a client: its nodes, timeouts, retries and connections.

    Parameters
    ----------
    nodes : tuple of str
        ``IP:PORT`` of each node's endpoint for callers; nodes in the client's data
        centre come first.
    timeout : float
        Milliseconds a request may take, retries included.
    allowance : int
        Maximum number of retries of a request, those by the client and those of all
        nested calls together.
    attempt_timeout : float
        Milliseconds to wait for the response to one attempt before a retry through
        another node; 0 waits until the deadline. The retry counts against the
        allowance, and two attempts of an idempotent request may then run at the same
        time.
    connect_timeout : float
        Milliseconds allowed for opening a connection.
    node_pause : float
        Milliseconds for which a node that could not be reached is avoided.
    backoff, backoff_max : float
        Upper bounds, in milliseconds, of the random wait before the first retry and
        before any retry.
    settle_time : float
        Milliseconds reserved before the deadline for asking a node for the outcome of
        a request whose attempts got no answer.
    ticket_batch : int
        Number of tickets per request to a node for tickets.
    ticket_age : float
        Milliseconds after which an unused ticket is discarded. Nodes accept unused
        tickets for at least two minutes.
    max_connections : int
        Maximum number of connections to all nodes together.
    """

    nodes: tuple[str, ...]
    timeout: Milliseconds = 10_000.0
    allowance: int = 3
    attempt_timeout: Milliseconds = 0.0
    connect_timeout: Milliseconds = 1_000.0
    node_pause: Milliseconds = 2_000.0
    backoff: Milliseconds = 50.0
    backoff_max: Milliseconds = 2_000.0
    settle_time: Milliseconds = 200.0
    ticket_batch: int = 32
    ticket_age: Milliseconds = 60_000.0
    max_connections: int = 100


@dataclass(frozen=True, slots=True)
class InvalidClientSettings:
    """The result of validating invalid settings.

    Parameters
    ----------
    faults : tuple of str
        Each fault: the setting, what was passed, what is expected.
    """

    faults: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(self.faults)


def check_settings(cfg: ClientSettings) -> InvalidClientSettings | None:
    """Return every fault of the settings, or None."""
    faults = []
    if not cfg.nodes:
        faults.append("nodes: got none, expected at least one IP:PORT")
    for node in cfg.nodes:
        host, _, port = node.rpartition(":")
        if not host or not port.isdigit():
            faults.append(f"nodes: got {node!r}, expected IP:PORT")
    for name in ("timeout", "connect_timeout", "ticket_batch", "max_connections"):
        value = getattr(cfg, name)
        if value <= 0:
            faults.append(f"{name}: got {value}, expected a number above 0")
    if cfg.allowance < 0:
        faults.append(f"allowance: got {cfg.allowance}, expected a number from 0")
    return InvalidClientSettings(tuple(faults)) if faults else None
