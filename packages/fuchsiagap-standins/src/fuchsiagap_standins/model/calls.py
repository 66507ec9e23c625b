"""Specifications of calls on a link (own answer) and of the allowance (attempts)."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from fuchsiagap_standins.model import implementations
from fuchsiagap_standins.model.spec import ENVIRONMENT, Action, Spec

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWER_BREAKS = ("swap-answers", "reuse-call-id")
ALLOWANCE_BREAKS = ("lose-allowance", "return-twice")


class LinkState(NamedTuple):
    """Calls of one link.

    `waiting` holds, for each caller, the call id it waits for (0: none), `frames` the
    requests under way, `answers` the answers under way as (call id, caller it is for).
    """

    next_id: int
    waiting: tuple[int, ...]
    frames: frozenset[tuple[int, int]]
    answers: frozenset[tuple[int, int]]
    wrong: bool


def answers_spec(callers: int, calls: int, bugs: frozenset[str] = frozenset()) -> Spec:
    """Return the specification of answers on a link: each to its own call.

    Parameters
    ----------
    callers : int
        Callers that share the link.
    calls : int
        Calls in all.
    bugs : frozenset of str
        Planted bugs, of `ANSWER_BREAKS`.

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
    return next(n for n in range(1, len(waiting) + 2) if n not in waiting)


def _receiver(waiting: tuple[int, ...], call_id: int, in_order: bool) -> int | None:
    """Return the caller that gets an answer; `in_order` is the planted bug."""
    if in_order:
        ids = [call for call in waiting if call]
        return waiting.index(min(ids)) if ids else None
    return waiting.index(call_id) if call_id in waiting else None


class AllowanceState(NamedTuple):
    """The allowance of one request with `children` calls below it.

    `held` is what the parent holds. A child is (share, phase); `attempts` counts every
    attempt at a child. A returning share is in `returning` until it arrives or is lost.
    """

    held: int
    children: tuple[tuple[int, str], ...]
    attempts: int
    returning: tuple[int, ...]


NEW, TRIED, DONE = "new", "tried", "done"


def allowance_spec(
    children: int, allowance: int, bugs: frozenset[str] = frozenset()
) -> Spec:
    """Return the specification of the attempt allowance of one request.

    Parameters
    ----------
    children : int
        Calls below the request.
    allowance : int
        Extra attempts the request may make in all.
    bugs : frozenset of str
        Planted bugs, of `ALLOWANCE_BREAKS`.

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
            Action(
                "call goes out with a share", implementations.ALLOWANCE_SPLIT, start
            ),
            Action("refused, tried elsewhere", implementations.DISPATCH, retry),
            Action("call ends", implementations.SERVE, finish),
            Action(
                "unused share comes back",
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
