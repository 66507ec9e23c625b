"""Messages about tickets: settlement, and the hand-over of a ticket window.

A hand-over is a `HandOverBegin`, any number of `HandOverPart` and a `HandOverEnd`,
each answered by a `HandOverReply`. A `LateOutcome` follows for each run that was in
progress.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiagap.core.calls.outcome import Outcome
from fuchsiagap.core.tickets.snapshot import BitmapPage, RecordCopy
from fuchsiagap.core.tickets.ticket import Life
from fuchsiagap_node.core.wire.codec import message

if TYPE_CHECKING:
    from fuchsiagap.core.clock import Milliseconds
    from fuchsiagap.core.tickets.ticket import Ticket


@message(30)
@dataclass(frozen=True, slots=True)
class SettleMessage:
    """Request for the state of a ticket from its home.

    A ticket that has not been started is marked burnt: it can never be started.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    remaining : float
        Time for which to wait for a run in progress, in milliseconds.
    """

    ticket: Ticket
    remaining: Milliseconds


@message(31, Life=Life)
@dataclass(frozen=True, slots=True)
class HandOverBegin:
    """Start of a hand-over.

    Parameters
    ----------
    life : Life
        Incarnation of the node whose tickets are handed over.
    low, next : int
        Sequences from `low` and below `next` are in the window.
    """

    life: Life
    low: int
    next: int


@message(32, Life=Life, BitmapPage=BitmapPage, RecordCopy=RecordCopy)
@dataclass(frozen=True, slots=True)
class HandOverPart:
    """Part of the state of a window.

    Parameters
    ----------
    life : Life
        Incarnation of the node whose tickets are handed over.
    number : int
        Number of the part, from 0.
    pages : tuple of BitmapPage
        Pages of the bitmaps that mark the state of each ticket.
    records : tuple of RecordCopy
        Records of runs.
    """

    life: Life
    number: int
    pages: tuple[BitmapPage, ...]
    records: tuple[RecordCopy, ...]


@message(33, Life=Life)
@dataclass(frozen=True, slots=True)
class HandOverEnd:
    """End of a hand-over; makes the receiver the home if it got all parts.

    Parameters
    ----------
    life : Life
        Incarnation of the node whose tickets are handed over.
    n_parts : int
        Number of parts that were sent.
    """

    life: Life
    n_parts: int


@message(34)
@dataclass(frozen=True, slots=True)
class HandOverReply:
    """Reply to each message of a hand-over.

    Parameters
    ----------
    accepted : bool
        Whether the message was accepted.
    detail : str
        Human-readable reason if it was not.
    node : str
        Name of the replying node.
    """

    accepted: bool
    detail: str
    node: str


@message(35, Life=Life, Outcome=Outcome)
@dataclass(frozen=True, slots=True)
class LateOutcome:
    """Outcome of a run that was in progress at the hand-over.

    Parameters
    ----------
    life : Life
        Incarnation of the node whose tickets were handed over.
    sequence : int
        Sequence number of the root's ticket.
    child_key : str
        Key of the child call; empty for the root call.
    burn : bool
        Whether a `Refused` outcome burns the ticket instead of making it usable again.
    outcome : Answered or Refused or Unknown
        Outcome of the run.
    """

    life: Life
    sequence: int
    child_key: str
    burn: bool
    outcome: Outcome
