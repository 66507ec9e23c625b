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


class FirstResponse(NamedTuple, Generic[Result]):
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


def _constant_interval() -> float:
    """Return that the time stays the same."""
    return 1.0


async def hedge(
    send: Callable[[], Awaitable[Result]],
    interval: Milliseconds,
    on_unresponsive: Callable[[], None],
    backoff_factor: Callable[[], float] = _constant_interval,
) -> FirstResponse[Result]:
    """Return the first result of a request that is sent again and again.

    A store that answers slowly answers the first one, and one that has dropped what was
    asked while it was silent answers the first that it gets afterwards.

    Parameters
    ----------
    send : callable
        Sends the request once; ends by itself.
    interval : float
        Milliseconds between two requests.
    on_unresponsive : callable
        Told that a second request has no answer either.
    backoff_factor : callable, optional
        Returns by what that time grows from one request to the next.
    """
    responses: list[FirstResponse[Result]] = []
    is_answered = trio.Event()

    async def send_one(number: int) -> None:
        responses.append(FirstResponse(await send(), number))
        is_answered.set()

    async with trio.open_nursery() as nursery:
        for number in count():
            if number == 2:
                on_unresponsive()
            nursery.start_soon(send_one, number)
            with trio.move_on_after(interval * backoff_factor() ** number / MS_PER_S):
                await is_answered.wait()
            if is_answered.is_set():
                break
        nursery.cancel_scope.cancel()
    return responses[0]
