"""A client of several nodes."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpx

from fuchsiagap import Outcome, trio_clock
from fuchsiagap.core.clock import MS_PER_S
from fuchsiagap_client.core.nodes import NodeSelector
from fuchsiagap_client.core.sending import send
from fuchsiagap_client.core.settings import ClientSettings, check_settings
from fuchsiagap_client.core.state import ClientState
from fuchsiagap_client.core.tickets import TicketPool

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fuchsiagap_client.core.request import Request


class Client(ClientState):
    """A client; `open_client` makes one."""

    async def send(self, req: Request) -> Outcome:
        """Send a request, and repeat it as far as that is safe and allowed.

        Parameters
        ----------
        req : Request
            The request. It gets a ticket of its own, and all its copies bear it.

        Returns
        -------
        Answered, Refused or Unknown
            `Refused` only if the request was not run and never will be: if a copy
            is unaccounted for, its ticket is burnt first. Cancelling the task gives
            the request up.
        """
        return await send(self, req)


@asynccontextmanager
async def open_client(
    cfg: ClientSettings,
    transport: httpx.AsyncBaseTransport | None = None,
    rng: random.Random | None = None,
) -> AsyncIterator[Client]:
    """Open a client for the time of a block; `trio` must run.

    Parameters
    ----------
    cfg : ClientSettings
        Its settings.
    transport : httpx.AsyncBaseTransport, optional
        By default connections over TCP.
    rng : random.Random, optional
        Source of the jitter.

    Yields
    ------
    Client
        The client, whose connections close at the end of the block.

    Raises
    ------
    ValueError
        If the settings cannot work, with every fault.
    """
    faults = check_settings(cfg)
    if faults is not None:
        raise ValueError(str(faults))
    clock = trio_clock()
    nodes = NodeSelector(cfg, clock)
    async with httpx.AsyncClient(
        transport=transport,
        timeout=httpx.Timeout(None, connect=cfg.connect_timeout / MS_PER_S),
        limits=httpx.Limits(max_connections=cfg.max_connections),
        trust_env=False,
    ) as http:
        ticket_pool = TicketPool(cfg, clock, http, nodes)
        yield Client(cfg, clock, rng or random.Random(), http, nodes, ticket_pool)
