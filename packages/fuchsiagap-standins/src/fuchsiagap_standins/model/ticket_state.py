"""The state of the ticket specification, and small steps over it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

# States of the home.
UP, PAUSED, FROZEN = "up", "paused", "frozen"
# What a holder knows of a ticket; a holder that knows nothing says `Unknown`.
OPEN, STARTED, ANSWERED, UNKNOWN = "open", "started", "answered", "unknown"
BURNT, FORGOTTEN, NO_ENTRY = "burnt", "out", ""
# A run that the successor knows of, but that the home waits for.
STARTED_BY_HOME = "elsewhere"
# Where a copy or an attempt is.
IN_FLIGHT, ARRIVED, RUNNING, RAN, REFUSED = (
    "flying",
    "arrived",
    "running",
    "ran",
    "refused",
)
DROPPED = "dropped"
# What the sender thinks of it.
WAITING, LOST = "waiting", "lost"

HOME = 0


class Copy(NamedTuple):
    """One copy of the request, and what the caller was told about it.

    `first` says that no other copy is unaccounted for, as the library marks it; other
    callers mark none.
    """

    place: str = IN_FLIGHT
    view: str = WAITING
    first: bool = False


class Attempt(NamedTuple):
    """One hand-over of the request to a backend server's node."""

    holder: int
    place: str = IN_FLIGHT
    view: str = WAITING


class TicketPart(NamedTuple):
    """All that belongs to one ticket; `entries` is what each holder knows."""

    entries: tuple[str, ...]
    copies: tuple[Copy, ...] = ()
    attempts: tuple[Attempt, ...] = ()
    asked: bool = False
    said_not_run: bool = False


class State(NamedTuple):
    """The home, what it handed over, and the tickets."""

    life: int
    home: str
    snapshot: tuple[str, ...]
    ended: tuple[bool, ...]
    tickets: tuple[TicketPart, ...]


@dataclass(frozen=True, slots=True)
class TicketBound:
    """How far the specification goes.

    Parameters
    ----------
    tickets : int
        Tickets that share the home.
    copies : int
        Copies the caller sends.
    attempts : int
        Attempts that holders make for one ticket.
    lives : int
        Lives of the home process.
    successors : int
        Nodes that the tickets may be handed to.
    """

    tickets: int
    copies: int
    attempts: int
    lives: int
    successors: int


PartSteps = Callable[[State, TicketPart], Iterator[TicketPart]]


def runs(ticket: TicketPart) -> int:
    """Return how often the request of a ticket has run."""
    return sum(attempt.place in (RUNNING, RAN) for attempt in ticket.attempts)


def each_ticket(steps: PartSteps) -> Callable[[State], Iterator[State]]:
    """Lift steps of one ticket to steps of the whole state."""

    def all_steps(state: State) -> Iterator[State]:
        for index, ticket in enumerate(state.tickets):
            for following in steps(state, ticket):
                tickets = list(state.tickets)
                tickets[index] = following
                yield state._replace(tickets=tuple(tickets))

    return all_steps


def with_entry(ticket: TicketPart, holder: int, entry: str) -> TicketPart:
    """Return a ticket of which a holder knows something else."""
    entries = list(ticket.entries)
    entries[holder] = entry
    return ticket._replace(entries=tuple(entries))


def may_start(state: State, holder: int) -> bool:
    """Whether a holder may start or burn an open ticket."""
    return holder != HOME or (state.life == 1 and state.home == UP)
