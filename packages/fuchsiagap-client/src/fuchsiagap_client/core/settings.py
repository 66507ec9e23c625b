"""Settings of a client."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap import Milliseconds


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """How a client calls, and how hard it may retry.

    Parameters
    ----------
    nodes : tuple of str
        ``IP:PORT`` for callers of several nodes, those of the own data centre first.
    timeout : float
        Milliseconds a request may take, repeats included.
    allowance : int
        Extra attempts of a request over the whole chain, the client's own included.
    attempt_timeout : float
        Milliseconds to wait for one attempt before the request is repeated through
        another node; 0 waits until the deadline. It costs an extra attempt, and an
        idempotent request may then run twice at one time.
    connect_timeout : float
        Milliseconds to open a connection.
    node_pause : float
        Milliseconds a node that could not be reached is passed over.
    backoff, backoff_max : float
        Bound of the wait before the first repeat and before any, in milliseconds.
    settle_time : float
        Milliseconds kept back from the deadline to ask what became of a request.
    ticket_batch : int
        Tickets fetched at once.
    ticket_age : float
        Milliseconds after which an unused ticket is thrown away. NodeSelector remember
        unused tickets for two minutes at least.
    max_connections : int
        Connections to all nodes.
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
    """Settings that cannot work.

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
