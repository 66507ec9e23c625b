"""A second book of the runs that were started, to notice one started twice.

It shares nothing with `TicketWindow`, so a fault there shows here.
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
    """The latest runs one process started, or handed to its backend server.

    Parameters
    ----------
    runs : OrderedDict
        Runs that were started and not truly refused, the oldest first.
    refused : OrderedDict
        Runs that were truly refused at least once, the oldest first.

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
        """Note the start of a run.

        Parameters
        ----------
        ticket : Ticket
            The root's ticket.
        child_key : str
            Key of the child call; empty for the root call.

        Returns
        -------
        bool
            False if it was started before and not refused since: a violation.
        """
        key = (ticket, child_key)
        if key in self.runs:
            return False
        self.runs[key] = None
        if len(self.runs) > _MAX_RUNS:
            self.runs.popitem(last=False)
        return True

    def mark_refused(self, ticket: Ticket, child_key: str) -> None:
        """Note that a run was truly refused."""
        key = (ticket, child_key)
        self.runs.pop(key, None)
        self.refused[key] = None
        if len(self.refused) > _MAX_RUNS:
            self.refused.popitem(last=False)

    def was_refused(self, ticket: Ticket, child_key: str) -> bool:
        """Return whether an earlier run was refused, so that another is a retry."""
        return (ticket, child_key) in self.refused
