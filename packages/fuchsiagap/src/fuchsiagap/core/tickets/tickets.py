"""The ticket windows of one node: its own, and those taken over from stopped nodes."""

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
    """A partly received window, which is not used to answer requests yet.

    Parameters
    ----------
    window : TicketWindow
        The window as received so far.
    n_parts : int
        Number of parts received so far. Parts are only accepted in order.
    """

    window: TicketWindow
    n_parts: int = 0


class Tickets:
    """The windows of all tickets for which this node is the home node.

    Parameters
    ----------
    cfg : TicketSettings
        Limits of the windows.
    node : str
        Name of this node.
    incarnation : int
        Incarnation of this process; unique among the incarnations of the node.
    clock : Clock
        The clock of this process.

    Attributes
    ----------
    issuing : bool
        Whether tickets are issued now.
    own : TicketWindow
        Window of the tickets that this process issues.
    adopted : dict
        Windows taken over from other nodes, by the incarnation that issued them.
    runs : trio.Nursery or None
        Nursery in which runs are executed; None until `ready` is set.
    ready : trio.Event
        Set once `runs` is available.
    started : RunLedger
        Runs that this node started as their home node.
    handed_to_backend : RunLedger
        Runs that this node sent to its backend server.
    incoming : dict
        Windows that this node is receiving, by the incarnation that issued them.
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
        """Return the window of a ticket; None if this node is not its home node."""
        own = self.own
        life = ticket.life
        if life == own.life:
            return own
        return self.adopted.get(life)

    def windows(self) -> tuple[TicketWindow, ...]:
        """Return this node's own window and those it has taken over."""
        return (self.own, *self.adopted.values())

    def ever_owned(self, life: Life) -> bool:
        """Return whether this process owns, or once owned, an incarnation's tickets."""
        return life == self.own.life or life in self._adopted_at

    def adopt(self, window: TicketWindow) -> bool:
        """Take over the completely received window of another node.

        Parameters
        ----------
        window : TicketWindow
            The window.

        Returns
        -------
        bool
            False if this node was the home node of these tickets before. The window
            is then rejected, since it lacks the runs this node has started since.
        """
        life = window.life
        if self.ever_owned(life):
            return False
        self._adopted_at[life] = self.clock.now()
        self.adopted[life] = window
        self._trim_adopted()
        return True

    def _trim_adopted(self) -> None:
        """Apply the limits on the age, number and total size of adopted windows.

        Windows that are too old or too many are dropped, the oldest first. To reduce
        the total size, all kept outcomes of the oldest windows are evicted.
        """
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
