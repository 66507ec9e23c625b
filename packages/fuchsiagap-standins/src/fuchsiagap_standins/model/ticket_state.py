"""State of the ticket specification, and functions on it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

# States of the home node's process; `FROZEN` from the start of a handover on.
UP, PAUSED, FROZEN = "up", "paused", "frozen"
# Entry of a holder for a ticket. `BURNT` means that the request must not run any more,
# `FORGOTTEN` that the ticket has left the window of the holder. A holder without an
# entry answers ``Unknown``.
OPEN, STARTED, ANSWERED, UNKNOWN = "open", "started", "answered", "unknown"
BURNT, FORGOTTEN, NO_ENTRY = "burnt", "out", ""
# Entry of a successor for a request that the home has started and still waits for.
STARTED_BY_HOME = "elsewhere"
# Places of a copy or an attempt.
IN_FLIGHT, ARRIVED, RUNNING, RAN, REFUSED = (
    "flying",
    "arrived",
    "running",
    "ran",
    "refused",
)
DROPPED = "dropped"
# What the sender knows about a copy or an attempt: one of these or of the places above.
WAITING, LOST = "waiting", "lost"

# Index of the home among the holders.
HOME = 0


class Copy(NamedTuple):
    """A copy of the request that the caller sent.

    Attributes
    ----------
    place : str
        Where the copy is.
    view : str
        What the caller knows about it.
    first : bool
        Whether the caller marked it as the only copy that may still run. The client
        library sets this mark, other callers don't.
    """

    place: str = IN_FLIGHT
    view: str = WAITING
    first: bool = False


class Attempt(NamedTuple):
    """An attempt of a holder to run the request at a backend server.

    Attributes
    ----------
    holder : int
        Index of the holder.
    place : str
        Where the attempt is.
    view : str
        What the holder knows about it.
    """

    holder: int
    place: str = IN_FLIGHT
    view: str = WAITING


class TicketPart(NamedTuple):
    """State of one ticket.

    Attributes
    ----------
    entries : tuple of str
        Entry of each holder; the first holder is the home.
    copies : tuple of Copy
        Copies that the caller has sent.
    attempts : tuple of Attempt
        Attempts of all holders.
    asked : bool
        Whether the caller has asked what became of the ticket.
    said_not_run : bool
        Whether the caller was told that the request did not run.
    """

    entries: tuple[str, ...]
    copies: tuple[Copy, ...] = ()
    attempts: tuple[Attempt, ...] = ()
    asked: bool = False
    said_not_run: bool = False


class State(NamedTuple):
    """State of the home, the successors and the tickets.

    Attributes
    ----------
    life : int
        Number of the home's current process, starting at 1.
    home : str
        State of that process.
    snapshot : tuple of str
        Entries that the home handed over, by ticket; empty strings before that.
    ended : tuple of bool
        Whether the handover to each successor is complete.
    tickets : tuple of TicketPart
        All tickets.
    """

    life: int
    home: str
    snapshot: tuple[str, ...]
    ended: tuple[bool, ...]
    tickets: tuple[TicketPart, ...]


@dataclass(frozen=True, slots=True)
class TicketBound:
    """Size of the model.

    Parameters
    ----------
    tickets : int
        Number of tickets with the same home.
    copies : int
        Maximum number of copies that the caller sends.
    attempts : int
        Maximum number of attempts of all holders for one ticket.
    lives : int
        Maximum number of processes of the home.
    successors : int
        Number of nodes that the tickets may be handed over to.
    """

    tickets: int
    copies: int
    attempts: int
    lives: int
    successors: int


PartSteps = Callable[[State, TicketPart], Iterator[TicketPart]]


def runs(ticket: TicketPart) -> int:
    """Return how often the request of a ticket has run or started to run."""
    return sum(attempt.place in (RUNNING, RAN) for attempt in ticket.attempts)


def each_ticket(steps: PartSteps) -> Callable[[State], Iterator[State]]:
    """Return the transitions of the whole state for those of one ticket."""

    def all_steps(state: State) -> Iterator[State]:
        for index, ticket in enumerate(state.tickets):
            for following in steps(state, ticket):
                tickets = list(state.tickets)
                tickets[index] = following
                yield state._replace(tickets=tuple(tickets))

    return all_steps


def with_entry(ticket: TicketPart, holder: int, entry: str) -> TicketPart:
    """Return a ticket with the entry of one holder replaced."""
    entries = list(ticket.entries)
    entries[holder] = entry
    return ticket._replace(entries=tuple(entries))


def may_start(state: State, holder: int) -> bool:
    """Whether a holder may start an open ticket, or burn it so that it never runs.

    The home may do so only in its first process, while it is up.
    """
    return holder != HOME or (state.life == 1 and state.home == UP)
