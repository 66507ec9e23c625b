"""What is done each time the loop has waited, before any task runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable


class AfterWaiting(trio.abc.Instrument):
    """Calls a function each time the loop has waited, before the tasks run.

    Parameters
    ----------
    call : callable
        The function.
    """

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call

    def after_io_wait(self, timeout: float) -> None:
        """Call it."""
        self._call()
