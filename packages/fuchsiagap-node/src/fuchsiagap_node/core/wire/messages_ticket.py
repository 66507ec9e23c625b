"""Messages about tickets: their state, and the hand-over of a window.

A hand-over is `HandOverBegin`, any number of `HandOverPart`, and `HandOverEnd`, each
answered by a `HandOverReply`; outcomes of runs that were in progress follow.
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
    """Ask the home for the state of a ticket, burning it if it was not started.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    remaining : float
        Milliseconds the asker waits for a run in progress.
    """

    ticket: Ticket
    remaining: Milliseconds


@message(31, Life=Life)
@dataclass(frozen=True, slots=True)
class HandOverBegin:
    """Announce a window.

    Parameters
    ----------
    life : Life
        The life whose tickets are handed over.
    low, next : int
        The window's ends.
    """

    life: Life
    low: int
    next: int


@message(32, Life=Life, BitmapPage=BitmapPage, RecordCopy=RecordCopy)
@dataclass(frozen=True, slots=True)
class HandOverPart:
    """Some pages of marks, and some runs.

    Parameters
    ----------
    life : Life
        The life whose tickets are handed over.
    number : int
        Number of the part, from 0.
    pages : tuple of BitmapPage
        Pages of marks.
    records : tuple of RecordCopy
        Runs.
    """

    life: Life
    number: int
    pages: tuple[BitmapPage, ...]
    records: tuple[RecordCopy, ...]


@message(33, Life=Life)
@dataclass(frozen=True, slots=True)
class HandOverEnd:
    """Make the receiver the home, if it got all parts.

    Parameters
    ----------
    life : Life
        The life whose tickets are handed over.
    n_parts : int
        How many parts there were.
    """

    life: Life
    n_parts: int


@message(34)
@dataclass(frozen=True, slots=True)
class HandOverReply:
    """The reply to each message of a hand-over.

    Parameters
    ----------
    accepted : bool
        Whether the message was taken.
    detail : str
        Why not, for people.
    node : str
        Name of the receiver.
    """

    accepted: bool
    detail: str
    node: str


@message(35, Life=Life, Outcome=Outcome)
@dataclass(frozen=True, slots=True)
class LateOutcome:
    """The outcome of a run that was in progress at the hand-over.

    Parameters
    ----------
    life : Life
        The life whose tickets were handed over.
    sequence : int
        Sequence of the root's ticket.
    child_key : str
        Key of the child call; empty for the root call.
    burn : bool
        Whether a true refusal burns the ticket.
    outcome : Answered or Refused or Unknown
        What became of the run.
    """

    life: Life
    sequence: int
    child_key: str
    burn: bool
    outcome: Outcome
