"""Hedged requests: sent again while without an answer, and the first one counts."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

import trio

from fuchsiagap.core.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiagap.core.clock import Milliseconds

Result = TypeVar("Result")


class FirstAnswer(NamedTuple, Generic[Result]):
    """The answer that came first.

    Parameters
    ----------
    result : object
        The result.
    n_dropped : int
        Requests sent before the one that it answers.
    """

    result: Result
    n_dropped: int


def _no_growth() -> float:
    """Return that the time stays the same."""
    return 1.0


async def hedge(
    ask: Callable[[], Awaitable[Result]],
    every: Milliseconds,
    on_silence: Callable[[], None],
    growth: Callable[[], float] = _no_growth,
) -> FirstAnswer[Result]:
    """Return the first result of a request that is sent again and again.

    A store that answers slowly answers the first one, and one that has dropped what was
    asked while it was silent answers the first that it gets afterwards.

    Parameters
    ----------
    ask : callable
        Sends the request once; ends by itself.
    every : float
        Milliseconds between two requests.
    on_silence : callable
        Told that a second request has no answer either.
    growth : callable, optional
        Returns by what that time grows from one request to the next.
    """
    answers: list[FirstAnswer[Result]] = []
    answered = trio.Event()

    async def ask_one(number: int) -> None:
        answers.append(FirstAnswer(await ask(), number))
        answered.set()

    async with trio.open_nursery() as nursery:
        for number in count():
            if number == 2:
                on_silence()
            nursery.start_soon(ask_one, number)
            with trio.move_on_after(every * growth() ** number / MS_PER_S):
                await answered.wait()
            if answered.is_set():
                break
        nursery.cancel_scope.cancel()
    return answers[0]
