"""Specification of tickets: at most one run, and "not run" only if it is true.

A ticket is held by its home node, and after a planned stop of the home by a successor.
Each copy of the request that the caller sends arrives at most once, at any time and in
any order. So do the frames on the link between a holder and the node of a backend
server. Any request, frame or response may be lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiagap_standins.model import implementations
from fuchsiagap_standins.model.spec import ENVIRONMENT, Action, Spec
from fuchsiagap_standins.model.ticket_state import (
    ANSWERED,
    ARRIVED,
    BURNT,
    DROPPED,
    FORGOTTEN,
    FROZEN,
    HOME,
    IN_FLIGHT,
    LOST,
    NO_ENTRY,
    OPEN,
    PAUSED,
    RAN,
    REFUSED,
    RUNNING,
    STARTED,
    STARTED_BY_HOME,
    UNKNOWN,
    UP,
    WAITING,
    Attempt,
    Copy,
    State,
    TicketBound,
    TicketPart,
    each_ticket,
    may_start,
    runs,
    with_entry,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Names of the bugs that can be planted.
BREAKS = (
    "forget-window",
    "retry-unknown",
    "unburnt-not-run",
    "reopen-repeated",
    "reborn-home",
    "take-over-suspected",
    "hand-over-early",
    "hand-over-twice",
)


def ticket_spec(bound: TicketBound, bugs: frozenset[str] = frozenset()) -> Spec:
    """Return the specification of the ticket protocol.

    Parameters
    ----------
    bound : TicketBound
        Size of the model.
    bugs : frozenset of str
        Names of planted bugs, from `BREAKS`.

    Returns
    -------
    Spec
        The specification.
    """
    no_snapshot = (NO_ENTRY,) * bound.tickets
    ticket = TicketPart(entries=(OPEN,) + (NO_ENTRY,) * bound.successors)
    tickets = (ticket,) * bound.tickets
    return Spec(
        name="tickets",
        initial=State(1, UP, no_snapshot, (False,) * bound.successors, tickets),
        actions=(
            *_caller_actions(bound, bugs),
            *_holder_actions(bound, bugs),
            *_link_actions(),
            *_hand_over_actions(bound, bugs),
            *_process_actions(bound, bugs),
        ),
        invariants={
            "at_most_one_run": lambda s: all(runs(t) <= 1 for t in s.tickets),
            "not_run_is_true": lambda s: (
                not any(t.said_not_run and runs(t) for t in s.tickets)
            ),
        },
    )


def _caller_actions(bound: TicketBound, bugs: frozenset[str]) -> tuple[Action, ...]:
    def send(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        waits = any(copy.view == WAITING for copy in ticket.copies)
        more = len(ticket.copies) < bound.copies
        if more and not (waits or ticket.asked or ticket.said_not_run):
            yield ticket._replace(copies=(*ticket.copies, Copy()))
            if all(copy.view == REFUSED for copy in ticket.copies):
                marked = Copy(first=True)
                yield ticket._replace(copies=(*ticket.copies, marked))

    def give_up(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        for index, copy in enumerate(ticket.copies):
            if copy.view == WAITING:
                yield _with_copy(ticket, index, copy._replace(view=LOST))

    def conclude(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        if ticket.copies and ticket.copies[-1].view == REFUSED:
            yield ticket._replace(said_not_run=True)

    def ask(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        if any(copy.view == LOST for copy in ticket.copies):
            yield ticket._replace(asked=True)

    return (
        Action("caller sends a copy", implementations.CLIENT_SEND, each_ticket(send)),
        Action(
            "caller stops waiting for a copy",
            implementations.CLIENT_SEND,
            each_ticket(give_up),
        ),
        Action(
            "caller concludes that it was not run",
            implementations.CLIENT_SEND,
            each_ticket(conclude),
        ),
        Action(
            "caller asks the holder for the outcome",
            implementations.CLIENT_ASK,
            each_ticket(ask),
        ),
    )


def _with_copy(ticket: TicketPart, index: int, copy: Copy) -> TicketPart:
    copies = (*ticket.copies[:index], copy, *ticket.copies[index + 1 :])
    return ticket._replace(copies=copies)


def _holder_actions(bound: TicketBound, bugs: frozenset[str]) -> tuple[Action, ...]:
    def can_start(state: State, ticket: TicketPart, holder: int) -> bool:
        entry = ticket.entries[holder]
        if len(ticket.attempts) >= bound.attempts:
            return False
        if "forget-window" in bugs and entry == FORGOTTEN:
            return may_start(state, holder)
        if "take-over-suspected" in bugs and state.home == PAUSED and holder != HOME:
            return entry == NO_ENTRY
        return entry == OPEN and may_start(state, holder)

    def entry_after_refusal(ticket: TicketPart, copies: tuple[Copy, ...]) -> str:
        """Return the entry after a refusal that is reported to `copies`."""
        if "reopen-repeated" in bugs:
            return OPEN
        return OPEN if all(c.first for c in copies) and not ticket.asked else BURNT

    def receive_copy(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        for index, copy in enumerate(ticket.copies):
            if copy.place != IN_FLIGHT:
                continue
            arrived = copy._replace(place=ARRIVED)
            for holder, entry in enumerate(ticket.entries):
                if can_start(state, ticket, holder):
                    started = _with_copy(ticket, index, arrived)
                    yield _with_attempt(with_entry(started, holder, STARTED), holder)
                if entry in (STARTED, STARTED_BY_HOME):
                    yield _with_copy(ticket, index, arrived)
                if entry == BURNT:
                    yield _with_copy(ticket, index, _with_refusal(arrived))
                if entry == OPEN and may_start(state, holder):
                    refused = _with_copy(ticket, index, _with_refusal(arrived))
                    yield with_entry(
                        refused, holder, entry_after_refusal(ticket, (copy,))
                    )

    def settle(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        if not ticket.asked:
            return
        for holder, entry in enumerate(ticket.entries):
            if entry == OPEN and may_start(state, holder):
                kept = entry if "unburnt-not-run" in bugs else BURNT
                yield with_entry(ticket, holder, kept)._replace(said_not_run=True)
            if entry == BURNT:
                yield ticket._replace(said_not_run=True)

    def keep(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        for index, holder in _pending_attempts(state, ticket, RAN):
            kept = _with_view(ticket, index, RAN)
            yield with_entry(kept, holder, ANSWERED)

    def on_refusal(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        for index, holder in _pending_attempts(state, ticket, REFUSED):
            updated = _with_view(ticket, index, REFUSED)
            if len(ticket.attempts) < bound.attempts:
                yield _with_attempt(updated, holder)
            waiting = tuple(c for c in updated.copies if c.place == ARRIVED)
            copies = tuple(
                _with_refusal(c) if c.place == ARRIVED else c for c in updated.copies
            )
            entry = entry_after_refusal(updated, waiting)
            yield with_entry(updated._replace(copies=copies), holder, entry)

    def on_loss(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        for index, holder in _pending_attempts(state, ticket, None):
            lost = _with_view(ticket, index, LOST)
            yield with_entry(lost, holder, UNKNOWN)
            if "retry-unknown" in bugs and len(ticket.attempts) < bound.attempts:
                yield _with_attempt(lost, holder)

    def forget(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        for holder, entry in enumerate(ticket.entries):
            if entry in (OPEN, ANSWERED, UNKNOWN, BURNT):
                yield with_entry(ticket, holder, FORGOTTEN)

    return (
        Action(
            "holder takes a copy", implementations.HOME_START, each_ticket(receive_copy)
        ),
        Action(
            "holder answers not run and burns it",
            implementations.HOME_BURN,
            each_ticket(settle),
        ),
        Action("holder keeps the answer", implementations.HOME_KEEP, each_ticket(keep)),
        Action(
            "holder receives a refusal",
            implementations.DISPATCH,
            each_ticket(on_refusal),
        ),
        Action("holder loses the link", implementations.DISPATCH, each_ticket(on_loss)),
        Action("holder forgets it", implementations.WINDOW_SHRINK, each_ticket(forget)),
    )


def _with_refusal(copy: Copy) -> Copy:
    """Return a copy whose caller was told "not run", if it still waits for it."""
    return copy._replace(place=ARRIVED, view=REFUSED if copy.view == WAITING else LOST)


def _with_attempt(ticket: TicketPart, holder: int) -> TicketPart:
    return ticket._replace(attempts=(*ticket.attempts, Attempt(holder)))


def _pending_attempts(
    state: State, ticket: TicketPart, place: str | None
) -> Iterator[tuple[int, int]]:
    """Yield index and holder of attempts that a holder waits for.

    If `place` is given, only those in that place.
    """
    for index, attempt in enumerate(ticket.attempts):
        if attempt.view != WAITING or place not in (None, attempt.place):
            continue
        paused = attempt.holder == HOME and state.home == PAUSED
        if ticket.entries[attempt.holder] == STARTED and not paused:
            yield index, attempt.holder


def _with_view(ticket: TicketPart, index: int, view: str) -> TicketPart:
    attempts = list(ticket.attempts)
    attempts[index] = attempts[index]._replace(view=view)
    return ticket._replace(attempts=tuple(attempts))


def _link_actions() -> tuple[Action, ...]:
    def move(place: str, to: str) -> Callable[[State], Iterator[State]]:
        def steps(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
            for index, attempt in enumerate(ticket.attempts):
                if attempt.place == place:
                    attempts = list(ticket.attempts)
                    attempts[index] = attempt._replace(place=to)
                    yield ticket._replace(attempts=tuple(attempts))

        return each_ticket(steps)

    return (
        Action(
            "backend server starts it", implementations.SERVE, move(IN_FLIGHT, RUNNING)
        ),
        Action("gate refuses it", implementations.GATE_ENTER, move(IN_FLIGHT, REFUSED)),
        Action("the frame is lost", ENVIRONMENT, move(IN_FLIGHT, DROPPED)),
        Action("it has run", ENVIRONMENT, move(RUNNING, RAN)),
    )


def _hand_over_actions(bound: TicketBound, bugs: frozenset[str]) -> tuple[Action, ...]:
    def freeze(state: State) -> Iterator[State]:
        if state.life == 1 and state.home == UP:
            snapshot = tuple(_entry_to_hand_over(ticket) for ticket in state.tickets)
            home = UP if "hand-over-early" in bugs else FROZEN
            yield state._replace(home=home, snapshot=snapshot)

    def adopt(state: State) -> Iterator[State]:
        if not all(state.snapshot):
            return
        for successor in range(bound.successors):
            # The last message of the handover is sent to a second peer only if the
            # first is known not to have received it.
            if any(state.ended) and "hand-over-twice" not in bugs:
                continue
            if state.ended[successor]:
                continue
            tickets = tuple(
                with_entry(ticket, successor + 1, entry)
                for ticket, entry in zip(state.tickets, state.snapshot, strict=True)
            )
            ended = list(state.ended)
            ended[successor] = True
            yield state._replace(tickets=tickets, ended=tuple(ended))

    def send_late_outcome(state: State, ticket: TicketPart) -> Iterator[TicketPart]:
        entry = ticket.entries[HOME]
        for holder in range(1, bound.successors + 1):
            if ticket.entries[holder] == STARTED_BY_HOME and entry not in (
                STARTED,
                NO_ENTRY,
            ):
                yield with_entry(ticket, holder, entry)

    return (
        Action("home hands over", implementations.HAND_OVER, freeze),
        Action("successor adopts", implementations.ADOPT_WINDOW, adopt),
        Action(
            "home sends a late outcome",
            implementations.LATE_OUTCOME,
            each_ticket(send_late_outcome),
        ),
    )


def _entry_to_hand_over(ticket: TicketPart) -> str:
    entry = ticket.entries[HOME]
    return STARTED_BY_HOME if entry == STARTED else entry


def _process_actions(bound: TicketBound, bugs: frozenset[str]) -> tuple[Action, ...]:
    def pause(state: State) -> Iterator[State]:
        if state.home == UP:
            yield state._replace(home=PAUSED)

    def wake(state: State) -> Iterator[State]:
        if state.home == PAUSED:
            yield state._replace(home=UP)

    def end_home(state: State) -> Iterator[State]:
        if state.life >= bound.lives:
            return
        entry = OPEN if "reborn-home" in bugs else NO_ENTRY
        tickets = tuple(with_entry(t, HOME, entry) for t in state.tickets)
        life = 1 if "reborn-home" in bugs else state.life + 1
        yield state._replace(life=life, home=UP, tickets=tickets)

    def end_successor(state: State) -> Iterator[State]:
        for successor in range(bound.successors):
            if state.ended[successor]:
                tickets = tuple(
                    with_entry(t, successor + 1, NO_ENTRY) for t in state.tickets
                )
                yield state._replace(tickets=tickets)

    return (
        Action("home is paused", ENVIRONMENT, pause),
        Action("home wakes", ENVIRONMENT, wake),
        Action("home ends and is replaced", ENVIRONMENT, end_home),
        Action("successor ends", ENVIRONMENT, end_successor),
    )
