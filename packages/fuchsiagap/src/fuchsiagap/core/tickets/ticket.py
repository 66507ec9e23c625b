"""Tickets, which callers send with non-idempotent requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Life:
    """One incarnation of a node, from its start to its stop or crash.

    Parameters
    ----------
    node : str
        Name of the node.
    incarnation : int
        Incarnation number; higher after each restart of the node.
    """

    node: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """A token for at most one execution of a non-idempotent request.

    Parameters
    ----------
    node : str
        Name of the issuing node, which is the home node of the ticket unless it has
        handed over its tickets.
    incarnation : int
        Incarnation of the issuing node; higher after each restart.
    sequence : int
        Sequence number within the incarnation, from 0.
    """

    node: str
    incarnation: int
    sequence: int

    @property
    def life(self) -> Life:
        """The incarnation of the node that issued the ticket."""
        return Life(self.node, self.incarnation)

    def __str__(self) -> str:
        return f"{self.node}.{self.incarnation:x}.{self.sequence:x}"


@dataclass(frozen=True, slots=True)
class MalformedTicket:
    """A text that cannot be parsed as a ticket.

    Parameters
    ----------
    text : str
        The text.
    """

    text: str

    def __str__(self) -> str:
        return (
            f"ticket {self.text!r} is malformed: expected NODE.INCARNATION.SEQUENCE"
            " with the last two in hexadecimal; ask any node for new ones with"
            " POST /tickets"
        )


def parse_ticket(text: str) -> Ticket | MalformedTicket:
    """Parse the text form of a ticket.

    Parameters
    ----------
    text : str
        ``NODE.INCARNATION.SEQUENCE``, the numbers in hexadecimal.

    Returns
    -------
    Ticket or MalformedTicket
        The ticket, or the error. Only the text that `str` gives for a ticket is
        accepted, so leading zeros or upper case are malformed.

    Examples
    --------
    >>> str(parse_ticket("n1.1f.a"))
    'n1.1f.a'
    """
    parts = text.rsplit(".", 2)
    if len(parts) != 3 or not parts[0]:
        return MalformedTicket(text)
    node, incarnation, sequence = parts
    try:
        ticket = Ticket(node, int(incarnation, 16), int(sequence, 16))
    except ValueError:
        return MalformedTicket(text)
    if str(ticket) != text or ticket.incarnation < 0 or ticket.sequence < 0:
        return MalformedTicket(text)
    return ticket
