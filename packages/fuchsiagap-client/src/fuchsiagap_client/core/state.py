"""State that the requests of one client share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    import httpx

    from fuchsiagap import Clock
    from fuchsiagap_client.core.nodes import NodeSelector
    from fuchsiagap_client.core.settings import ClientSettings
    from fuchsiagap_client.core.tickets import TicketPool


@dataclass(frozen=True, slots=True, eq=False)
class ClientState:
    """State that the requests of one client share.

    Parameters
    ----------
    cfg : ClientSettings
        Settings of the client.
    clock : Clock
        The clock of this process.
    rng : random.Random
        Source of the jitter.
    http : httpx.AsyncClient
        Connection pool.
    nodes : NodeSelector
        Selects the node for each attempt.
    ticket_pool : TicketPool
        Pool of unused tickets.
    """

    cfg: ClientSettings
    clock: Clock
    rng: random.Random
    http: httpx.AsyncClient
    nodes: NodeSelector
    ticket_pool: TicketPool
