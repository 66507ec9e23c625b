"""Specifications of calls on a link and of the retry allowance of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from fuchsiagap_standins.model import implementations
from fuchsiagap_standins.model.spec import ENVIRONMENT, Action, Spec

if TYPE_CHECKING:
    from collections.abc import Iterator

# Names of the bugs that can be planted in each specification.
ANSWER_BREAKS = ("swap-answers", "reuse-call-id")
ALLOWANCE_BREAKS = ("lose-allowance", "return-twice")


class LinkState(NamedTuple):
    """State of the calls on one link.

    Attributes
    ----------
    next_id : int
        Id of the next call.
    waiting : tuple of int
        Call id that each caller waits for; 0 for none.
    frames, answers : frozenset of tuple
        Requests and responses in flight, as call id and index of the caller.
    wrong : bool
        Whether a caller received the response to another call.
    """

    next_id: int
    waiting: tuple[int, ...]
    frames: frozenset[tuple[int, int]]
    answers: frozenset[tuple[int, int]]
    wrong: bool


def answers_spec(callers: int, calls: int, bugs: frozenset[str] = frozenset()) -> Spec:
    """Return the specification of concurrent calls on one link.

    Its invariant is that each caller receives only the response to its own call.

    Parameters
    ----------
    callers : int
        Number of callers that share the link.
    calls : int
        Maximum number of calls.
    bugs : frozenset of str
        Names of planted bugs, from `ANSWER_BREAKS`.

    Returns
    -------
    Spec
        The specification.
    """

    def send(state: LinkState) -> Iterator[LinkState]:
        for caller, call in enumerate(state.waiting):
            if call or state.next_id > calls:
                continue
            call_id = state.next_id
            if "reuse-call-id" in bugs:
                call_id = _lowest_free_id(state.waiting)
            yield state._replace(
                next_id=state.next_id + 1,
                waiting=_replace_at(state.waiting, caller, call_id),
                frames=state.frames | {(call_id, caller)},
            )

    def serve(state: LinkState) -> Iterator[LinkState]:
        for frame in state.frames:
            yield state._replace(
                frames=state.frames - {frame}, answers=state.answers | {frame}
            )

    def deliver(state: LinkState) -> Iterator[LinkState]:
        for answer in state.answers:
            call_id, intended = answer
            following = state._replace(answers=state.answers - {answer})
            receiver = _receiver(state.waiting, call_id, "swap-answers" in bugs)
            if receiver is not None:
                following = following._replace(
                    waiting=_replace_at(state.waiting, receiver, 0),
                    wrong=state.wrong or receiver != intended,
                )
            yield following

    def abandon(state: LinkState) -> Iterator[LinkState]:
        for caller, call in enumerate(state.waiting):
            if call:
                yield state._replace(waiting=_replace_at(state.waiting, caller, 0))

    return Spec(
        name="answers",
        initial=LinkState(1, (0,) * callers, frozenset(), frozenset(), False),
        actions=(
            Action("caller sends", implementations.LINK_ASK, send),
            Action("other node answers", implementations.LINK_SERVE, serve),
            Action("answer arrives", implementations.LINK_ANSWER, deliver),
            Action("caller gives up", implementations.LINK_ASK, abandon),
        ),
        invariants={"own_answer": lambda s: not s.wrong},
        goal=lambda s: not any(s.waiting) and not s.answers,
    )


def _replace_at(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _lowest_free_id(waiting: tuple[int, ...]) -> int:
    """Return the lowest call id that no caller waits for."""
    return next(n for n in range(1, len(waiting) + 2) if n not in waiting)


def _receiver(waiting: tuple[int, ...], call_id: int, in_order: bool) -> int | None:
    """Return the caller that gets a response; None if no caller waits for it.

    With `in_order`, a planted bug, it is the caller of the oldest call.
    """
    if in_order:
        ids = [call for call in waiting if call]
        return waiting.index(min(ids)) if ids else None
    return waiting.index(call_id) if call_id in waiting else None


class AllowanceState(NamedTuple):
    """State of the retry allowance of one request and its nested calls.

    Attributes
    ----------
    held : int
        Retries that the request may still make or lend.
    children : tuple of (int, str)
        Lent share of the allowance and phase of each nested call.
    attempts : int
        Number of attempts of all nested calls.
    returning : tuple of int
        Unused shares on their way back, until they arrive or are lost.
    """

    held: int
    children: tuple[tuple[int, str], ...]
    attempts: int
    returning: tuple[int, ...]


# Phases of a nested call: not sent, attempted at least once, ended.
NEW, TRIED, DONE = "new", "tried", "done"


def allowance_spec(
    children: int, allowance: int, bugs: frozenset[str] = frozenset()
) -> Spec:
    """Return the specification of the retry allowance of one request.

    Parameters
    ----------
    children : int
        Number of nested calls of the request.
    allowance : int
        Maximum number of retries of all nested calls.
    bugs : frozenset of str
        Names of planted bugs, from `ALLOWANCE_BREAKS`.

    Returns
    -------
    Spec
        The specification.
    """
    bound = children + allowance

    def start(state: AllowanceState) -> Iterator[AllowanceState]:
        for index, (_, phase) in enumerate(state.children):
            if phase != NEW:
                continue
            for share in range(state.held + 1):
                left = state.held if "lose-allowance" in bugs else state.held - share
                yield state._replace(
                    held=left,
                    children=_put_child(state.children, index, (share, TRIED)),
                    attempts=state.attempts + 1,
                )

    def retry(state: AllowanceState) -> Iterator[AllowanceState]:
        for index, (share, phase) in enumerate(state.children):
            if phase == TRIED and share:
                yield state._replace(
                    children=_put_child(state.children, index, (share - 1, TRIED)),
                    attempts=min(state.attempts + 1, bound + 1),
                )

    def finish(state: AllowanceState) -> Iterator[AllowanceState]:
        for index, (share, phase) in enumerate(state.children):
            if phase == TRIED:
                yield state._replace(
                    children=_put_child(state.children, index, (0, DONE)),
                    returning=(*state.returning, share),
                )

    def return_share(state: AllowanceState) -> Iterator[AllowanceState]:
        for index, share in enumerate(state.returning):
            rest = state.returning[:index] + state.returning[index + 1 :]
            times = (1, 2) if "return-twice" in bugs else (1,)
            for n in times:
                held = min(state.held + n * share, bound + 1)
                yield state._replace(held=held, returning=rest)

    def lose(state: AllowanceState) -> Iterator[AllowanceState]:
        for index in range(len(state.returning)):
            rest = state.returning[:index] + state.returning[index + 1 :]
            yield state._replace(returning=rest)

    return Spec(
        name="allowance",
        initial=AllowanceState(allowance, ((0, NEW),) * children, 0, ()),
        actions=(
            Action("call is sent with a share", implementations.ALLOWANCE_SPLIT, start),
            Action("refused call is retried", implementations.DISPATCH, retry),
            Action("call ends", implementations.SERVE, finish),
            Action(
                "unused share is returned",
                implementations.ALLOWANCE_RETURN,
                return_share,
            ),
            Action("answer is lost with its share", ENVIRONMENT, lose),
        ),
        invariants={"attempts_bounded": lambda s: s.attempts <= bound},
    )


def _put_child(
    children: tuple[tuple[int, str], ...], index: int, child: tuple[int, str]
) -> tuple[tuple[int, str], ...]:
    return (*children[:index], child, *children[index + 1 :])
