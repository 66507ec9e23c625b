"""How a node notices a suspension of its host before any task runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiagap.core.clock import Milliseconds


class SuspensionWatch(trio.abc.Instrument):
    """Looks at the clock each time the loop has waited.

    Parameters
    ----------
    catch_up : callable
        Returns the milliseconds of a suspension since the last call; see `Clock`.
    on_resume : callable
        Called with them, where there was one.
    """

    def __init__(
        self,
        catch_up: Callable[[], Milliseconds],
        on_resume: Callable[[Milliseconds], None],
    ) -> None:
        self._catch_up = catch_up
        self._on_resume = on_resume

    def after_io_wait(self, timeout: float) -> None:
        """Handle a suspension."""
        if suspended := self._catch_up():
            self._on_resume(suspended)
