"""All tickets one node answers for: its own, and those of nodes that stopped."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fuchsiagap.core.tickets.ledger import RunLedger
from fuchsiagap.core.tickets.window import TicketWindow

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Clock, Milliseconds
    from fuchsiagap.core.tickets.settings import TicketSettings
    from fuchsiagap.core.tickets.ticket import Life, Ticket


@dataclass(slots=True, eq=False)
class IncomingWindow:
    """A window on its way to this node; nobody is answered from it yet.

    Parameters
    ----------
    window : TicketWindow
        What has come so far.
    n_parts : int
        How many parts have come, in order.
    """

    window: TicketWindow
    n_parts: int = 0


class Tickets:
    """The windows this node answers for.

    Parameters
    ----------
    cfg : TicketSettings
        The bounds.
    node : str
        Name of this node.
    incarnation : int
        The life of this process; no other life of the node may share it.
    clock : Clock
        The clock of this process.

    Attributes
    ----------
    issuing : bool
        Whether tickets are handed out now.
    own : TicketWindow
        The tickets this process issues; its incarnation is theirs.
    adopted : dict
        Windows that were handed over to this node, by the life that issued them.
    runs : trio.Nursery or None
        Where runs live; None until `ready` is set.
    started : RunLedger
        Runs this node started as a home.
    handed_to_backend : RunLedger
        Runs this node handed to its backend server.
    incoming : dict
        Windows that are being handed over to this node, by life.
    """

    def __init__(
        self, cfg: TicketSettings, node: str, incarnation: int, clock: Clock
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.own = TicketWindow(cfg, node, incarnation, clock)
        self.adopted: dict[Life, TicketWindow] = {}
        self.runs: trio.Nursery | None = None
        self.ready = trio.Event()
        self.issuing = True
        self.started = RunLedger()
        self.handed_to_backend = RunLedger()
        self.incoming: dict[Life, IncomingWindow] = {}
        self._adopted_at: dict[Life, Milliseconds] = {}

    def window_of(self, ticket: Ticket) -> TicketWindow | None:
        """Return the window that rules a ticket; None if it is not here."""
        own = self.own
        life = ticket.life
        if life == own.life:
            return own
        return self.adopted.get(life)

    def windows(self) -> tuple[TicketWindow, ...]:
        """Return all windows this node answers for."""
        return (self.own, *self.adopted.values())

    def ever_owned(self, life: Life) -> bool:
        """Whether this node answers for a life, or ever did."""
        return life == self.own.life or life in self._adopted_at

    def adopt(self, window: TicketWindow) -> bool:
        """Answer for a life of another node, whose whole window was handed over.

        Parameters
        ----------
        window : TicketWindow
            The window.

        Returns
        -------
        bool
            False if this node answered for that life before: what it did since is
            not in the window.
        """
        life = window.life
        if self.ever_owned(life):
            return False
        self._adopted_at[life] = self.clock.now()
        self.adopted[life] = window
        self._trim_adopted()
        return True

    def _trim_adopted(self) -> None:
        """Drop the oldest adopted windows, and what they keep, to the bounds."""
        oldest_time = self.clock.now() - self.cfg.adopted_age
        for life in tuple(self.adopted):
            old = self._adopted_at[life] < oldest_time
            if old or len(self.adopted) > self.cfg.adopted_windows:
                del self.adopted[life]
        n_bytes = sum(window.kept_bytes for window in self.adopted.values())
        for window in self.adopted.values():
            if n_bytes <= self.cfg.kept_bytes:
                return
            n_bytes -= window.kept_bytes
            window.shrink(0)
