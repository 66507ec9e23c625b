"""Pool of unused tickets, which are fetched from nodes in batches."""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fuchsiagap import Reason, Refused, Ticket, Unknown, parse_ticket
from fuchsiagap_client.core.attempt import NodeRequest, read_outcome, send_to_node

if TYPE_CHECKING:
    import httpx

    from fuchsiagap import Clock, Milliseconds
    from fuchsiagap_client.core.nodes import NodeSelector
    from fuchsiagap_client.core.settings import ClientSettings

TICKETS_PATH = "/tickets"
_JSON = (("content-type", "application/json"),)
_OK = 200


@dataclass(frozen=True, slots=True)
class IssuedTicket:
    """A ticket and the node that issued it.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    node : str
        ``IP:PORT`` of the node that issued it.
    expires : float
        Milliseconds on the clock of this process, when the pool discards the ticket.
    """

    ticket: Ticket
    node: str
    expires: Milliseconds


@dataclass(slots=True, eq=False)
class TicketPool:
    """Pool of the unused tickets of a client.

    Parameters
    ----------
    cfg : ClientSettings
        The client's settings.
    clock : Clock
        The clock of this process.
    http : httpx.AsyncClient
        Connection pool.
    nodes : NodeSelector
        Selects the node that tickets are requested from.
    """

    cfg: ClientSettings
    clock: Clock
    http: httpx.AsyncClient
    nodes: NodeSelector
    _unused: deque[IssuedTicket] = field(default_factory=deque)
    _fetch_lock: trio.Lock = field(default_factory=trio.Lock)

    async def take(self, deadline: Milliseconds) -> IssuedTicket | Refused:
        """Take a ticket that no other request gets; if there is none, fetch a batch.

        Parameters
        ----------
        deadline : float
            Milliseconds on the clock of this process; no ticket is requested later.

        Returns
        -------
        IssuedTicket or Refused
            `Refused` if no node issued a ticket in time.
        """
        failure = Refused(Reason.NEEDS_TICKET, detail="no node issued a ticket in time")
        tried: tuple[str, ...] = ()
        while True:
            issued = self._pop()
            if issued is not None:
                return issued
            if len(tried) >= len(self.cfg.nodes) or self.clock.now() >= deadline:
                return failure
            async with self._fetch_lock:
                # Another request may have fetched tickets during the wait for the lock.
                if self._unused:
                    continue
                node = self.nodes.choose("", tried)
                tried = (*tried, node)
                failure = await self._fetch(node, deadline) or failure

    def discard_same_issuer(self, ticket: Ticket) -> None:
        """Discard all unused tickets of the node incarnation that issued this one."""
        kept = [issued for issued in self._unused if issued.ticket.life != ticket.life]
        self._unused = deque(kept)

    def _pop(self) -> IssuedTicket | None:
        now = self.clock.now()
        while self._unused:
            issued = self._unused.popleft()
            if issued.expires > now:
                return issued
        return None

    async def _fetch(self, node: str, deadline: Milliseconds) -> Refused | None:
        body = json.dumps({"count": self.cfg.ticket_batch}).encode()
        node_req = NodeRequest(node, "POST", TICKETS_PATH, _JSON, body)
        requested_at = self.clock.now()
        response = await send_to_node(self.http, node_req, deadline - requested_at)
        if isinstance(response, (Refused, Unknown)):
            self.nodes.mark_unreachable(node)
            return Refused(Reason.NEEDS_TICKET, detail=response.detail)
        tickets = _read_tickets(response)
        if not tickets:
            outcome = read_outcome(response)
            wait = outcome.retry_after if isinstance(outcome, Refused) else 0.0
            detail = f"{node} issued no tickets: {response.text:.200}"
            return Refused(Reason.NEEDS_TICKET, wait, detail=detail)
        expires = requested_at + self.cfg.ticket_age
        self._unused.extend(IssuedTicket(ticket, node, expires) for ticket in tickets)
        return None


def _read_tickets(response: httpx.Response) -> tuple[Ticket, ...]:
    if response.status_code != _OK:
        return ()
    try:
        texts = response.json()["tickets"]
    except (ValueError, KeyError, TypeError):
        return ()
    tickets = [parse_ticket(text) for text in texts if isinstance(text, str)]
    return tuple(ticket for ticket in tickets if isinstance(ticket, Ticket))
