"""Hedged requests: sent again until one is answered; the first answer is used."""

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
    """The first answer to a hedged request.

    Parameters
    ----------
    result : object
        Result of the request.
    n_dropped : int
        Number of requests sent before the answered one; they count as dropped.
    """

    result: Result
    n_dropped: int


def _constant_factor() -> float:
    """Return the factor that keeps the interval constant."""
    return 1.0


async def hedge(
    send: Callable[[], Awaitable[Result]],
    interval: Milliseconds,
    on_unresponsive: Callable[[], None],
    backoff_factor: Callable[[], float] = _constant_factor,
) -> FirstResponse[Result]:
    """Send a request repeatedly until one is answered; return the first result.

    Earlier requests stay open: a store that is only slow answers the first of them. A
    store that dropped requests while it was unresponsive answers the first request that
    it receives afterwards.

    Parameters
    ----------
    send : callable
        Sends the request once and returns its result; must have its own timeout.
    interval : float
        Milliseconds between the first two requests.
    on_unresponsive : callable
        Called when the second request is not answered within its interval either.
    backoff_factor : callable, optional
        Returns the factor by which the interval grows from one request to the next.

    Returns
    -------
    FirstResponse
        The first result, and the number of requests sent before the answered one.
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
