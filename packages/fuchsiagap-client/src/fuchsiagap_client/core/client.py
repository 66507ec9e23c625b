"""The public client, which sends requests to any of several nodes."""

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
    """A client of several nodes; opened with `open_client`."""

    async def send(self, req: Request) -> Outcome:
        """Send a request, and retry it while that is safe and the allowance permits.

        Parameters
        ----------
        req : Request
            The request. All its attempts carry the same ticket.

        Returns
        -------
        Answered, Refused or Unknown
            `Refused` only if the request did not run and never will: if an attempt
            got no answer, the ticket is invalidated (burnt) first, so that a late
            attempt is refused.
            Cancelling the task abandons the request.
        """
        return await send(self, req)


@asynccontextmanager
async def open_client(
    cfg: ClientSettings,
    transport: httpx.AsyncBaseTransport | None = None,
    rng: random.Random | None = None,
) -> AsyncIterator[Client]:
    """Open a client as an async context manager; requires a running trio loop.

    Parameters
    ----------
    cfg : ClientSettings
        Settings of the client.
    transport : httpx.AsyncBaseTransport, optional
        Transport of the HTTP requests; by default TCP connections.
    rng : random.Random, optional
        Random number generator for the backoff jitter.

    Yields
    ------
    Client
        The client; its connections are closed on exit from the context.

    Raises
    ------
    ValueError
        If the settings are invalid; the message lists every fault.
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
