"""Independent record of started runs, used to detect one that is started twice.

The record shares no code or state with `TicketWindow`, so it also detects faults of
the window.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiagap.core.tickets.ticket import Ticket

_MAX_RUNS = 8192


@dataclass(slots=True)
class RunLedger:
    """The most recent runs that one process started or sent to its backend server.

    A run is identified by the ticket of its root request and its child key. The oldest
    runs are evicted beyond `_MAX_RUNS`.

    Parameters
    ----------
    runs : OrderedDict
        Runs that were started and not refused since, the oldest first.
    refused : OrderedDict
        Runs that were refused, hence not executed, at least once; the oldest first.

    Examples
    --------
    >>> from fuchsiagap import Ticket
    >>> ledger = RunLedger()
    >>> ticket = Ticket("n1", 1, 0)
    >>> ledger.start(ticket, ""), ledger.start(ticket, "")
    (True, False)
    """

    runs: OrderedDict[tuple[Ticket, str], None] = field(default_factory=OrderedDict)
    refused: OrderedDict[tuple[Ticket, str], None] = field(default_factory=OrderedDict)

    def start(self, ticket: Ticket, child_key: str) -> bool:
        """Record the start of a run.

        Parameters
        ----------
        ticket : Ticket
            The root's ticket.
        child_key : str
            Key of the child call; empty for the root call.

        Returns
        -------
        bool
            False if the run was started before and not refused since, which violates
            the at-most-once guarantee.
        """
        key = (ticket, child_key)
        if key in self.runs:
            return False
        self.runs[key] = None
        if len(self.runs) > _MAX_RUNS:
            self.runs.popitem(last=False)
        return True

    def mark_refused(self, ticket: Ticket, child_key: str) -> None:
        """Record that a run was refused and therefore not executed."""
        key = (ticket, child_key)
        self.runs.pop(key, None)
        self.refused[key] = None
        if len(self.refused) > _MAX_RUNS:
            self.refused.popitem(last=False)

    def was_refused(self, ticket: Ticket, child_key: str) -> bool:
        """Return whether the run was refused before; starting it again is a retry."""
        return (ticket, child_key) in self.refused
